//! A server is partitioned from the store for two seconds and leaves some time after it. A heartbeat that got no
//! response in the partition is performed after the removal of its row. Judges whether machines send to it later than `drain_s`.

#[allow(dead_code)]
mod bed;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bed::*;

const DRAIN_S: f64 = 2.0;
/// How long the server is partitioned from the store.
const PARTITION_S: f64 = 2.0;
/// The time from the server's next heartbeat until the server leaves.
const LEAVES_AFTER_S: f64 = 0.3;
/// The time from the leaving until the held-up heartbeat is performed.
const PERFORMED_AFTER_S: f64 = 0.7;
/// The time from the leaving until callers come again.
const CALLS_AFTER_S: f64 = 2.1;
/// The bookings that come to each machine; the servers that have not left have a slot for all of them.
const CALLS: usize = 7;
/// The time from the leaving until the server ends: `drain_s` and a little longer.
const ENDS_AFTER_S: f64 = 2.25;
const ZONES: [&str; 3] = ["khatgal", "khankh", "toilogt"];

fn main() {
    let code = run().unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    });
    std::process::exit(code);
}

fn run() -> std::io::Result<i32> {
    let script = Script::read()?;
    let record = script.record.clone();
    let network = Network::choose();
    let bounds = Bounds { grace_s: 6.0, config_apply_s: 2.0 };
    let bed = Bed::new(record.clone(), script.work.clone(), script.root.clone(), &network, bounds)?;
    let store = Store::new();
    let platform = store.listen(network.ip(2))?;
    let configuration = r#"{"version":7,"routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","public","traffic_split"],"rows":[["r-book","desk.example","/book/","unsafe",1.2,0.4,1,"desk",2,false,null]]},"services":{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[["desk","/health",390,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["haulier",["key-one"],1,0,0]]}}"#;
    store.write("op", "config", Some(configuration.into()));
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        runs: Mutex::default(),
        cut: Mutex::default(),
        early_above: usize::MAX,
        read_slowly: None,
        work: Duration::from_millis(200),
        crashing_path: String::new(),
    });
    let mut servers = Vec::new();
    for index in 0..5 {
        let spec = ServerSpec {
            id: format!("i-{index}"),
            service: "desk".to_owned(),
            zone: ZONES[usize::from(index) % 3].to_owned(),
            ip: network.ip(100 + index),
            slots: 16,
            port: 0,
        };
        servers.push(start_server(&fleet, &store, spec)?);
        sleep_s(0.29);
    }
    let Some(mut entries) = start_entries(&bed, &network, &ZONES, 9, platform.address)? else {
        return Ok(NOT_RUN);
    };
    sleep_s(4.0);
    let mut before = Vec::new();
    for call in send_all(&record, &entries, 3, "POST", "/book/1", "key-one") {
        before.push(call.join().expect("a client").2.status);
    }
    let served = before.iter().filter(|status| **status == Some(200)).count();
    record.line(format!("{served} of {} bookings before the partition were served", before.len()));
    sleep_s(1.0);
    let leaving = Arc::clone(&servers[0]);
    // Its heartbeats get no response; the first of them is performed late.
    let held_up = script.has_trouble.then(|| leaving.partition());
    if script.has_trouble {
        record.line(format!("server {} is partitioned from the store", leaving.id));
    }
    sleep_s(PARTITION_S);
    if script.has_trouble {
        record.line("the partition ends");
    }
    let sequence = leaving.rejoin();
    record.line(format!("the store acknowledges heartbeat {sequence} of server {}", leaving.id));
    sleep_s(LEAVES_AFTER_S);
    leaving.leave();
    let left_at = record.seconds();
    record.line(format!("server {} leaves: the store acknowledges the removal of its row; it serves on", leaving.id));
    sleep_s(PERFORMED_AFTER_S);
    if let Some(held_up) = held_up {
        store.write("servers", &leaving.id, Some(held_up.clone().into_bytes()));
        record.line(format!("the store performs the older heartbeat of {} that was held up: {held_up}", leaving.id));
    }
    sleep_s(left_at + CALLS_AFTER_S - record.seconds());
    let calls = send_all(&record, &entries, CALLS, "POST", "/book/1", "key-one");
    sleep_s((left_at + ENDS_AFTER_S - record.seconds()).max(0.0));
    leaving.crash();
    record.line(format!("server {} ends", leaving.id));
    let outcomes: Vec<_> = calls.into_iter().map(|call| call.join().expect("a client")).collect();
    let runs = fleet.runs.lock().unwrap().clone();
    let late: Vec<&Run> = runs.iter().filter(|run| run.server == leaving.id && run.at_s > left_at + DRAIN_S).collect();
    let mut lost = 0;
    for run in &late {
        let (name, _, outcome) = outcomes.iter().find(|(_, id, _)| *id == run.id).expect("a call");
        lost += usize::from(outcome.status != Some(200));
        record.line(format!(
            "booking {} sent to {name} is run by {} {:.3} s after the ack of its leaving: status {:?} ({})",
            run.id, run.server, run.at_s - left_at, outcome.status, outcome.detail
        ));
    }
    let served = outcomes.iter().filter(|(_, _, outcome)| outcome.status == Some(200)).count();
    let ended = entries.iter_mut().any(Entry::has_ended);
    record.line(format!(
        "{} bookings through {} machines, none of them disturbed: {served} served; {} reached the server later than {DRAIN_S} s, {lost} of these without success; a process ended: {ended}",
        outcomes.len(), entries.len(), late.len()
    ));
    record.line(if late.is_empty() { "DRAIN holds" } else { "DRAIN is broken" });
    Ok(if late.is_empty() { HELD } else { BROKEN })
}
