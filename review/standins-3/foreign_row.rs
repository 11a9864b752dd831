//! Another writer puts a row without `version` under the id of a server, with another service. Judges whether
//! that server runs requests of a service that is not its own.

#[allow(dead_code)]
mod bed;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bed::*;

const CALLS_AFTER_S: f64 = 0.3;
const CALLS: usize = 10;
const ZONES: [&str; 2] = ["khatgal", "khankh"];

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
    let configuration = r#"{"version":7,"routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","public","traffic_split"],"rows":[["r-book","desk.example","/book/","unsafe",1.2,0.4,1,"desk",2,false,null],["r-lift","desk.example","/lift/","unsafe",1.2,0.4,1,"crane",2,false,null]]},"services":{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[["desk","/health",390,"h1",false],["crane","/health",390,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["haulier",["key-one"],1,0,0]]}}"#;
    store.write("op", "config", Some(configuration.into()));
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        runs: Mutex::default(),
        cut: Mutex::default(),
        early_above: usize::MAX,
        read_slowly: None,
        work: Duration::from_millis(100),
        crashing_path: String::new(),
    });
    let mut servers = Vec::new();
    for index in 0..6 {
        let spec = ServerSpec {
            id: format!("i-{index}"),
            service: if index < 3 { "desk" } else { "crane" }.to_owned(),
            zone: ZONES[usize::from(index) % 2].to_owned(),
            ip: network.ip(100 + index),
            slots: 16,
            port: 0,
        };
        servers.push(start_server(&fleet, &store, spec)?);
        sleep_s(0.23);
    }
    let Some(mut entries) = start_entries(&bed, &network, &ZONES, 6, platform.address)? else {
        return Ok(NOT_RUN);
    };
    sleep_s(4.0);
    let used = Arc::clone(&servers[5]);
    let sequence = used.sequence.load(std::sync::atomic::Ordering::SeqCst);
    if !wait_for(3.0, || used.sequence.load(std::sync::atomic::Ordering::SeqCst) > sequence) {
        return Ok(NOT_RUN);
    }
    if script.has_trouble {
        // As a server's row, but for the service, and without `version`.
        let row = used.row("ready", 900).replace("\"version\":\"v1\",", "").replace("\"crane\"", "\"desk\"");
        store.write("servers", &used.id, Some(row.clone().into_bytes()));
        record.line(format!("another writer puts under servers/{}: {row}", used.id));
    }
    sleep_s(CALLS_AFTER_S);
    let calls = send_all(&record, &entries, CALLS, "POST", "/book/1", "key-one");
    let outcomes: Vec<_> = calls.into_iter().map(|call| call.join().expect("a client")).collect();
    let runs = fleet.runs.lock().unwrap().clone();
    let wrong: Vec<&Run> = runs
        .iter()
        .filter(|run| run.target.starts_with("/book/") && servers[3..].iter().any(|server| server.id == run.server))
        .collect();
    for run in &wrong {
        record.line(format!("request {} ({}) of service desk is run by {} of service crane", run.id, run.target, run.server));
    }
    let served = outcomes.iter().filter(|(_, _, outcome)| outcome.status == Some(200)).count();
    let ended = entries.iter_mut().any(Entry::has_ended);
    record.line(format!(
        "{} requests on the route to desk: {served} served; {} of them run by a server of crane; a process ended: {ended}",
        outcomes.len(), wrong.len()
    ));
    record.line(if wrong.is_empty() { "ROUTE holds" } else { "ROUTE is broken" });
    Ok(if wrong.is_empty() { HELD } else { BROKEN })
}
