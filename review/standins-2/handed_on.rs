//! A node that is partitioned from all servers hands requests on. Servers answer long requests before
//! they have read their bodies, and read on slowly. Judges whether callers get a final answer half a second after their
//! route's timeout.

#[allow(dead_code)]
#[path = "bed.rs"]
mod bed;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use bed::*;

const TIMEOUT_S: f64 = 1.0;
/// The rule's allowance after the timeout.
const ALLOWANCE_S: f64 = 0.5;
const UPLOADS: usize = 24;
const UPLOAD_BYTES: usize = 40 << 20;
const READS: usize = 12;

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
    let address = store.listen(network.ip(2))?;
    let configuration = format!(
        r#"{{"version":7,"routes":{{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","public","traffic_split"],"rows":[["r-read","desk.example","/read/","safe",{TIMEOUT_S},0.4,2,"desk",2,false,null],["r-book","desk.example","/book/","unsafe",{TIMEOUT_S},0.4,1,"desk",2,false,null]]}},"services":{{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[["desk","/health",390,"h1",false]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"tenants":{{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["haulier",["key-one"],1,0,0]]}}}}"#
    );
    store.write("op", "config", Some(configuration.into_bytes()));
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        runs: Mutex::default(),
        cut: Mutex::default(),
        early_above: 1 << 20,
        read_slowly: Some((64 << 10, Duration::from_millis(20))),
        work: Duration::from_millis(30),
    });
    for index in 0..4 {
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
        bed.render(&entry, "khatgal", &["khatgal"], address.address, true)?;
        bed.start(&mut entry)?;
        entries.push(entry);
    }
    if !wait_for(15.0, || entries.iter().all(Entry::is_ready)) {
        record.line("not all processes became ready");
        return Ok(NOT_RUN);
    }
    record.line("all processes are ready");
    sleep_s(4.0);
    let node = entries[0].front;
    let read = || Call { node, method: "GET", path: "/read/1", key: "key-one", id: next_id(), deadline_ms: 5_000 };
    if script.has_trouble {
        fleet.cut.lock().unwrap().push(entries[0].ip);
        record.line("edge-0 is partitioned from all servers: its connections to them are closed");
    }
    // How long each request at edge-0 took, the long ones included; the rule speaks of all requests.
    let mut taken = Vec::new();
    let mut served_in_row = 0;
    let is_served = wait_for(8.0, || {
        let outcome = read().send();
        taken.push(outcome.took_s);
        served_in_row = if outcome.status == Some(200) { served_in_row + 1 } else { 0 };
        served_in_row >= 20
    });
    record.line(format!("requests at edge-0 are served: {is_served}"));
    let is_handed_on = entries[0].has_logged("request handed on");
    record.line(format!("edge-0 has logged that it hands requests on: {is_handed_on}"));
    if !is_served || is_handed_on != script.has_trouble {
        return Ok(NOT_RUN);
    }

    let (answered, uploads) = mpsc::channel();
    for index in 0..UPLOADS {
        let (record, answered) = (record.clone(), answered.clone());
        thread::spawn(move || upload(&record, index, node, &answered));
    }
    drop(answered);
    sleep_s(1.0);
    let start = record.seconds();
    record.line(format!("{READS} requests of a safe route are sent to edge-0, timeout_s {TIMEOUT_S}"));
    let calls: Vec<_> = (0..READS)
        .map(|_| {
            let call = Call { node, method: "GET", path: "/read/2", key: "key-one", id: next_id(), deadline_ms: 5_000 };
            thread::spawn(move || (call.id.clone(), call.send()))
        })
        .collect();
    let outcomes: Vec<_> = calls.into_iter().map(|call| call.join().expect("a client")).collect();
    let runs = fleet.runs.lock().unwrap().clone();
    for (id, outcome) in &outcomes {
        let run = runs.iter().find(|run| run.id == *id);
        let run = run.map_or("never run".to_owned(), |run| format!("run at {:.3} s by {}", run.at_s, run.server));
        record.line(format!("request {id}: status {:?} after {:.3} s ({}); {run}", outcome.status, outcome.took_s, outcome.detail));
    }
    let short = outcomes.iter().filter(|(_, outcome)| outcome.took_s > TIMEOUT_S + ALLOWANCE_S).count();
    record.line(format!("of the {READS} short requests, {short} had no final answer {ALLOWANCE_S} s after timeout_s"));
    taken.extend(outcomes.iter().map(|(_, outcome)| outcome.took_s));
    let long_bodies: Vec<f64> = uploads.iter().collect();
    let late = long_bodies.iter().filter(|took_s| **took_s > TIMEOUT_S).count();
    record.line(format!("of the {} requests with long bodies, {late} had no answer at timeout_s", long_bodies.len()));
    taken.extend(long_bodies);
    let long = taken.iter().filter(|took_s| **took_s > TIMEOUT_S).count();
    let unanswered = taken.iter().filter(|took_s| **took_s > TIMEOUT_S + ALLOWANCE_S).count();
    let ended = entries.iter_mut().any(Entry::has_ended);
    record.line(format!(
        "all requests at edge-0: {}, the last from {start:.3} s on; longer than timeout_s: {long}; no final answer {ALLOWANCE_S} s after it: {unanswered}; a process ended: {ended}",
        taken.len()
    ));
    let is_broken = unanswered >= 8 && unanswered * 4 > long && unanswered * 2 > long;
    record.line(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Sends a long body; like a sound client it sends all of it, although the answer may come before.
fn upload(record: &Record, index: usize, node: std::net::SocketAddr, answered: &mpsc::Sender<f64>) {
    let call = Call { node, method: "POST", path: "/book/1", key: "key-one", id: next_id(), deadline_ms: 5_000 };
    let start = Instant::now();
    let result = (|| -> std::io::Result<u16> {
        let stream = TcpStream::connect(node)?;
        let mut writer = stream.try_clone()?;
        writer.write_all(call.head(UPLOAD_BYTES).as_bytes())?;
        let sender = thread::spawn(move || {
            let piece = vec![b'x'; 64 << 10];
            for _ in 0..UPLOAD_BYTES / piece.len() {
                if writer.write_all(&piece).is_err() {
                    return false;
                }
            }
            true
        });
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let head = read_head(&mut BufReader::new(&stream));
        let _ = answered.send(start.elapsed().as_secs_f64());
        let status = head?.status();
        if index < 2 {
            record.line(format!("upload {}: status {status} after {:.3} s", call.id, start.elapsed().as_secs_f64()));
        }
        let is_sent = sender.join().expect("the sender");
        if index < 2 {
            record.line(format!("upload {}: whole body sent: {is_sent}, after {:.3} s", call.id, start.elapsed().as_secs_f64()));
        }
        Ok(status)
    })();
    if let Err(error) = result {
        record.line(format!("upload {}: {:?}", call.id, error.kind()));
    }
}
