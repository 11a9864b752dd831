//! The platform moves its store to another address and says so in the settings files, without a signal.
//! Judges whether a key that is taken away afterwards still works.

#[allow(dead_code)]
#[path = "bed.rs"]
mod bed;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bed::*;

const APPLY_S: f64 = 2.0;
/// The time in which the store is reachable at both addresses.
const OVERLAP_S: f64 = 6.0;
/// The contact time of the rules, with a margin.
const CALM_S: f64 = 4.0;
const REQUESTS: usize = 10;

fn main() {
    let code = run().unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    });
    std::process::exit(code);
}

fn configuration(version: u64, keys: &str) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","public","traffic_split"],"rows":[["r-book","desk.example","/book/","unsafe",1.2,0.4,1,"desk",2,false,null]]}},"services":{{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[["desk","/health",390,"h1",false]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"tenants":{{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["haulier",[{keys}],1,0,0]]}}}}"#
    )
    .into_bytes()
}

fn run() -> std::io::Result<i32> {
    let script = Script::read()?;
    let record = script.record.clone();
    let network = Network::choose();
    let bounds = Bounds { grace_s: 6.0, config_apply_s: APPLY_S };
    let bed = Bed::new(record.clone(), script.work.clone(), script.root.clone(), &network, bounds)?;
    let store = Store::new();
    let mut old = store.listen(network.ip(2))?;
    store.write("op", "config", Some(configuration(7, r#""key-one","key-two""#)));
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        runs: Mutex::default(),
        cut: Mutex::default(),
        early_above: usize::MAX,
        read_slowly: None,
        work: Duration::from_millis(30),
    });
    for index in 0..3 {
        let spec = ServerSpec {
            id: format!("i-{index}"),
            service: "desk".to_owned(),
            zone: "khatgal".to_owned(),
            ip: network.ip(100 + index),
            slots: 8,
        };
        start_server(&fleet, &store, spec)?;
    }
    let mut entries = Vec::new();
    for index in 0..3 {
        let mut entry = bed.entry(&format!("edge-{index}"), network.ip(10 + index));
        bed.render(&entry, "khatgal", &["khatgal"], old.address, true)?;
        bed.start(&mut entry)?;
        entries.push(entry);
    }
    if !wait_for(15.0, || entries.iter().all(Entry::is_ready)) {
        record.line("not all processes became ready");
        return Ok(NOT_RUN);
    }
    record.line("all processes are ready; the configuration is version 7 with key-one and key-two");
    sleep_s(CALM_S);
    let moved = store.listen(network.ip(3))?;
    if script.has_trouble {
        for entry in &entries {
            bed.render(entry, "khatgal", &["khatgal"], moved.address, true)?;
        }
        record.line("the store is reachable at a second address; the settings files name it, no signal is sent");
    }
    sleep_s(OVERLAP_S);
    if script.has_trouble {
        let noticed = entries.iter().filter(|entry| entry.has_logged("settings changed")).count();
        record.line(format!("processes that have logged the changed settings: {noticed} of {}", entries.len()));
        if noticed < entries.len() {
            return Ok(NOT_RUN);
        }
        old.close();
        record.line(format!("the store leaves its first address, {OVERLAP_S} s later"));
    }
    sleep_s(CALM_S);
    let send = |entry: &Entry, key: &str| {
        Call { node: entry.front, method: "POST", path: "/book/1", key, id: next_id(), deadline_ms: 1_200 }.send()
    };
    let is_served = entries.iter().all(|entry| send(entry, "key-two").status == Some(200));
    record.line(format!("key-two works at all machines: {is_served}"));
    if !is_served {
        return Ok(NOT_RUN);
    }
    store.write("op", "config", Some(configuration(9, r#""key-one""#)));
    let acked_at = record.seconds();
    record.line("version 9 without key-two is acknowledged");
    sleep_s(APPLY_S + 0.5);
    let mut ran = 0;
    for round in 0..REQUESTS {
        for entry in &entries {
            let outcome = send(entry, "key-two");
            ran += usize::from(outcome.status == Some(200));
            record.line(format!(
                "{:.3} s after the ack, request {round} with key-two at {}: status {:?} ({})",
                record.seconds() - acked_at, entry.name, outcome.status, outcome.detail
            ));
        }
        sleep_s(0.3);
    }
    let runs = fleet.runs.lock().unwrap().iter().filter(|run| run.at_s > acked_at + APPLY_S).count();
    let ready = entries.iter().filter(|entry| entry.is_ready()).count();
    let ended = entries.iter_mut().any(Entry::has_ended);
    record.line(format!(
        "requests with the key that was taken away, sent later than {APPLY_S} s after the ack: {}; answered with success: {ran}; runs at servers: {runs}; machines that say they are ready: {ready}; a process ended: {ended}",
        REQUESTS * entries.len()
    ));
    record.line(if ran > 0 { "CONFIG is broken" } else { "CONFIG holds" });
    Ok(if ran > 0 { BROKEN } else { HELD })
}
