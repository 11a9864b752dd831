//! The store gives no response to a third of the machines: those that read it for the others. A key is taken away
//! meanwhile. Judges whether requests with that key run, later than `config_apply_s` after the ack, at machines
//! that the store serves without a pause.

#[allow(dead_code)]
mod bed;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bed::*;

const CONFIG_APPLY_S: f64 = 2.0;
/// The time from the beginning of the silence until the key is taken away.
const CHANGED_AFTER_S: f64 = 0.1;
/// How long the store is silent to these machines.
const SILENCE_S: f64 = 5.0;
/// The time from the ack until requests with the key come, and the time for which they do.
const CALLS_AFTER_S: f64 = 2.1;
const CALLS_FOR_S: f64 = 0.8;
const ZONES: [&str; 3] = ["khatgal", "khankh", "toilogt"];
const ENTRIES: u8 = 9;

fn main() {
    let code = run().unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    });
    std::process::exit(code);
}

fn configuration(version: u32, keys: &str) -> Vec<u8> {
    r#"{"version":VERSION,"routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","public","traffic_split"],"rows":[["r-book","desk.example","/book/","unsafe",1.2,0.4,1,"desk",2,false,null]]},"services":{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[["desk","/health",390,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["haulier",[KEYS],1,0,0]]}}"#
        .replace("VERSION", &version.to_string())
        .replace("KEYS", keys)
        .into_bytes()
}

fn run() -> std::io::Result<i32> {
    let script = Script::read()?;
    let record = script.record.clone();
    let network = Network::choose();
    let bounds = Bounds { grace_s: 6.0, config_apply_s: CONFIG_APPLY_S };
    let bed = Bed::new(record.clone(), script.work.clone(), script.root.clone(), &network, bounds)?;
    let store = Store::new();
    store.write("op", "config", Some(configuration(7, r#""key-one","key-two""#)));
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        runs: Mutex::default(),
        cut: Mutex::default(),
        early_above: usize::MAX,
        read_slowly: None,
        work: Duration::from_millis(50),
        crashing_path: String::new(),
    });
    let mut servers = Vec::new();
    for index in 0..6 {
        let spec = ServerSpec {
            id: format!("i-{index}"),
            service: "desk".to_owned(),
            zone: ZONES[usize::from(index) % 3].to_owned(),
            ip: network.ip(100 + index),
            slots: 8,
            port: 0,
        };
        servers.push(start_server(&fleet, &store, spec)?);
        sleep_s(0.23);
    }
    // Each machine has a path of its own to the store.
    let mut paths = Vec::new();
    let mut entries = Vec::new();
    for index in 0..ENTRIES {
        let zone = ZONES[usize::from(index) / 3];
        let mut entry = bed.entry(&format!("edge-{zone}-{}", 1 + index % 3), network.ip(10 + index));
        let path = store.listen(network.ip(30 + index))?;
        bed.render(&entry, zone, &ZONES, path.address, true)?;
        bed.start(&mut entry)?;
        paths.push(path);
        entries.push(entry);
    }
    if !wait_for(15.0, || entries.iter().all(Entry::is_ready)) {
        record.line("not all processes became ready");
        return Ok(NOT_RUN);
    }
    record.line("all processes are ready");
    sleep_s(6.0);
    let is_reader = |entry: &Entry| entry.last_logged("\"is_reader\":").is_some_and(|line| line.contains("\"is_reader\":true"));
    let readers: Vec<usize> = (0..entries.len()).filter(|index| is_reader(&entries[*index])).collect();
    let names: Vec<&str> = readers.iter().map(|index| entries[*index].name.as_str()).collect();
    record.line(format!("machines that read the store for others: {names:?}"));
    if readers.is_empty() || readers.len() > 3 {
        return Ok(NOT_RUN);
    }
    let calm: Vec<usize> = (0..entries.len()).filter(|index| !readers.contains(index)).collect();
    if script.has_trouble {
        for index in &readers {
            paths[*index].is_silent.store(true, Ordering::SeqCst);
        }
        record.line("the store gives these machines no response any more, and serves the others");
    }
    let silent_at = record.seconds();
    sleep_s(CHANGED_AFTER_S);
    store.write("op", "config", Some(configuration(9, r#""key-one""#)));
    let acked_at = record.seconds();
    record.line("the store acknowledges configuration 9 without key-two");
    sleep_s(CALLS_AFTER_S);
    let mut calls = Vec::new();
    while record.seconds() < acked_at + CALLS_AFTER_S + CALLS_FOR_S {
        for index in &calm {
            let (node, name) = (entries[*index].front, entries[*index].name.clone());
            let record = record.clone();
            calls.push(thread::spawn(move || {
                let sent_at = record.seconds();
                let call = Call { node, method: "POST", path: "/book/1", key: "key-two", id: next_id(), deadline_ms: 1_200 };
                let outcome = call.send();
                record.answered("POST", "/book/1 with key-two", &call.id, &name, sent_at, &outcome);
                (name, call.id, sent_at, outcome)
            }));
        }
        sleep_s(0.1);
    }
    let outcomes: Vec<_> = calls.into_iter().map(|call| call.join().expect("a client")).collect();
    sleep_s((silent_at + SILENCE_S - record.seconds()).max(0.0));
    for path in &paths {
        path.is_silent.store(false, Ordering::SeqCst);
    }
    let runs = fleet.runs.lock().unwrap().clone();
    let mut late = 0;
    for (name, id, sent_at, outcome) in &outcomes {
        let run = runs.iter().find(|run| run.id == *id);
        if let Some(run) = run {
            late += 1;
            record.line(format!(
                "booking {id} with key-two sent to {name} {:.3} s after the ack is run by {}: status {:?}",
                sent_at - acked_at, run.server, outcome.status
            ));
        }
    }
    let ended = entries.iter_mut().any(Entry::has_ended);
    record.line(format!(
        "{} bookings with key-two through {} machines that the store serves, from {CALLS_AFTER_S} s after the ack on: {late} run; a process ended: {ended}",
        outcomes.len(), calm.len()
    ));
    record.line(if late == 0 { "CONFIG holds" } else { "CONFIG is broken" });
    Ok(if late == 0 { HELD } else { BROKEN })
}
