//! Tests what a node holds for valid after its VM was suspended: operators report nodes that act on a permission
//! that has run out meanwhile.

use std::cell::Cell;
use std::time::{Duration, Instant};

use damaskloom_entry::request_deadline::RequestDeadline;
use damaskloom_gateway::clock::{MonoClock, time_since_boot};
use nix::time::{ClockId, clock_gettime};

thread_local! {
    /// The time of the fake clock, which tests move on; no other clock sees that.
    static FAKE_TIME: Cell<Duration> = const { Cell::new(Duration::from_secs(1_000)) };
}

fn fake_clock() -> MonoClock {
    MonoClock::from_source(|| FAKE_TIME.get())
}

fn suspend(period: Duration) {
    FAKE_TIME.set(FAKE_TIME.get() + period);
}

/// Guards against a clock that stands still while the VM is suspended. No test can suspend its machine, so this
/// one checks which of the system's clocks is read.
#[test]
fn the_clock_counts_the_time_for_which_the_vm_is_suspended() {
    let boot_time = || {
        let reading = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Duration::from(reading.expect("the clock exists"))
    };
    let before = boot_time();
    let reading = time_since_boot();
    assert!((before..=boot_time()).contains(&reading));
    let origin = boot_time();
    let clock = MonoClock::start();
    let longest = Duration::from_micros(clock.now().as_micros());
    assert!(longest <= boot_time() - origin);
}

/// Guards against a request that is sent after its caller has given it up: the VM was suspended while the
/// request waited.
#[test]
fn a_deadline_passes_while_the_vm_is_suspended() {
    let clock = fake_clock();
    let deadline = RequestDeadline::after(&clock, Duration::from_secs(2));
    assert_eq!(deadline.time_left(&clock), Duration::from_secs(2));
    suspend(Duration::from_millis(1_500));
    assert!(!deadline.has_passed(&clock));
    assert_eq!(deadline.time_left(&clock), Duration::from_millis(500));
    suspend(Duration::from_millis(500));
    assert!(deadline.has_passed(&clock));
    assert!(deadline.timer_end(&clock) <= Instant::now());
}
