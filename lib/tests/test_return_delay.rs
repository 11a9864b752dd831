//! Tests when callers that were refused for lack of capacity come back.

use std::time::Duration;

use damaskloom_lib::return_delay::return_delay;
use damaskloom_lib::routing::PriorityRank;

/// Guards against callers that come back while no target can have a free slot yet, all at the same
/// time, or the less urgent ones first.
#[test]
fn callers_come_back_when_there_is_room_spread_and_urgent_ones_first() {
    let wait = Duration::from_millis(800);
    let delay = |rank, drawn| return_delay(wait, PriorityRank(rank), drawn);
    assert_eq!(delay(0, 0.5), wait);
    assert!(delay(0, 1.0) - delay(0, 0.0) >= wait / 3);
    for rank in 0..4 {
        assert!(delay(rank, 0.5) < delay(rank + 1, 0.5));
    }
    assert_eq!(delay(4, 0.5), delay(1_000_000, 0.5));
    for wait_ms in [0, 1, 60_000] {
        let delay = return_delay(Duration::from_millis(wait_ms), PriorityRank(0), 0.5);
        assert!((100..=2_000).contains(&delay.as_millis()), "{delay:?}");
    }
}
