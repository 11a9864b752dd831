//! Measures burn counting: time per event, memory per series and size of a snapshot.

use std::time::{Duration, Instant};

use damaskloom_lib::burn_snapshot::BurnCause;
use damaskloom_lib::ids::{CustomerId, ServiceId};
use damaskloom_lib::service_burn::{BurnEvent, BurnLimits, BurnRecorder};
use damaskloom_lib::time::MonoTime;

const EVENTS: u64 = 1_000_000;
const FAILURE_EVERY: u64 = 100;
/// The number of services and the number of customers of each.
const SIZES: [(usize, usize); 3] = [(2, 8), (20, 100), (256, 500)];

fn main() {
    println!(
        "{:>8} {:>9} {:>7} {:>9} {:>13} {:>14} {:>12}",
        "services",
        "customers",
        "series",
        "ns/event",
        "bytes/series",
        "snapshot bytes",
        "snapshot ms"
    );
    for (services, customers) in SIZES {
        measure(services, customers);
    }
}

fn measure(services: usize, customers: usize) {
    let names: Vec<ServiceId> = (0..services).map(|index| id(format!("s{index}"))).collect();
    let callers: Vec<CustomerId> = (0..customers)
        .map(|index| id(format!("c{index}")))
        .collect();
    let start = MonoTime::from_millis(1_000);
    let before = resident_bytes();
    let mut recorder = BurnRecorder::new(start, BurnLimits::default());
    let begin = Instant::now();
    let mut now = start;
    for event in 0..EVENTS {
        now = now + Duration::from_millis(10);
        let failure = (event % FAILURE_EVERY == 0).then(|| BurnCause {
            target: None,
            data_centre: None,
            reason: "status-500".to_owned(),
        });
        let index = event as usize;
        recorder.record(
            now,
            BurnEvent {
                service: &names[index % services],
                objective_ppm: 999_000,
                customer: Some(&callers[index / services % customers]),
                failure,
            },
        );
    }
    let nanos = begin.elapsed().as_nanos() as u64 / EVENTS;
    let grown = resident_bytes().saturating_sub(before);
    let begin = Instant::now();
    let snapshot = recorder.snapshot(now, "node");
    let json = serde_json::to_vec(&snapshot).expect("snapshots serialise");
    let millis = begin.elapsed().as_secs_f64() * 1e3;
    let size = json.len();
    let held = snapshot.services.iter();
    let series: usize = held
        .map(|one| 1 + one.customers.len() + one.causes.len())
        .sum();
    let bytes = grown / series as u64;
    println!(
        "{services:>8} {customers:>9} {series:>7} {nanos:>9} {bytes:>13} {size:>14} {millis:>12.1}"
    );
    println!(
        "{{\"bench\":\"burn\",\"services\":{services},\"customers\":{customers},\
         \"series\":{series},\"ns_per_event\":{nanos},\"bytes_per_series\":{bytes},\"snapshot_bytes\":{size},\
         \"snapshot_ms\":{millis:.1}}}"
    );
    std::mem::forget(recorder);
}

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(name: String) -> T {
    name.parse().expect("the name is an identifier")
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
