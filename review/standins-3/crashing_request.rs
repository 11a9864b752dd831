//! A request that crashes each server that begins to run it comes again and again.
//! `CLIENTS` and `CRASHING_BODY_BYTES` set how many clients there are beside it, and how long its body is.
//! Judges how many of its retries reach servers later than `contact_s` after it has crashed the third.

#[allow(dead_code)]
mod bed;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bed::*;

const CONTACT_S: f64 = 3.0;
/// The number of late retries that the rule allows.
const LATE_RETRIES: usize = 3;
const ZONES: [&str; 2] = ["khatgal", "khankh"];
const ENTRIES: u8 = 6;
const SERVERS: u8 = 12;
/// The time until a crashed server is back.
const BACK_AFTER_S: f64 = 3.0;
/// The time between two tries of the request.
const COMES_EVERY_S: f64 = 1.5;
const LASTS_S: f64 = 45.0;
/// The pause of an ordinary client after each answer.
const CLIENT_PAUSE_MS: u64 = 520;
const CRASHING_PATH: &str = "/book/crashing";

fn main() {
    let code = run().unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    });
    std::process::exit(code);
}

/// Draws numbers below a bound.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

fn run() -> std::io::Result<i32> {
    let script = Script::read()?;
    let number = |name: &str, default: u64| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let clients = number("CLIENTS", 4);
    let body = Arc::new(vec![b'x'; number("CRASHING_BODY_BYTES", 0) as usize]);
    let record = script.record.clone();
    let network = Network::choose();
    let bounds = Bounds { grace_s: 6.0, config_apply_s: 2.0 };
    let bed = Bed::new(record.clone(), script.work.clone(), script.root.clone(), &network, bounds)?;
    let store = Store::new();
    let platform = store.listen(network.ip(2))?;
    let configuration = r#"{"version":7,"routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","public","traffic_split"],"rows":[["r-book","desk.example","/book/","unsafe",1.2,0.4,1,"desk",2,false,null],["r-look","desk.example","/look/","safe",1.2,0.4,1,"desk",2,false,null]]},"services":{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[["desk","/health",390,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["haulier",["key-one"],1,0,0],["trucker",["key-two"],1,0,0]]}}"#;
    store.write("op", "config", Some(configuration.into()));
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        runs: Mutex::default(),
        cut: Mutex::default(),
        early_above: usize::MAX,
        read_slowly: None,
        work: Duration::from_millis(110),
        crashing_path: if script.has_trouble { CRASHING_PATH.to_owned() } else { String::new() },
    });
    let spec = |index: u8, boot: u32, port: u16| ServerSpec {
        id: format!("i-{index}-{boot}"),
        service: "desk".to_owned(),
        zone: ZONES[usize::from(index) % ZONES.len()].to_owned(),
        ip: network.ip(100 + index),
        slots: 2,
        port,
    };
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        servers.push(start_server(&fleet, &store, spec(index, 0, 0))?);
        sleep_s(0.11);
    }
    let mut entries = Vec::new();
    for index in 0..ENTRIES {
        let zone = ZONES[usize::from(index) % ZONES.len()];
        let mut entry = bed.entry(&format!("edge-{zone}-{}", 1 + index / 2), network.ip(10 + index));
        bed.render(&entry, zone, &ZONES, platform.address, true)?;
        bed.start(&mut entry)?;
        entries.push(entry);
    }
    if !wait_for(15.0, || entries.iter().all(Entry::is_ready)) {
        record.line("not all processes became ready");
        return Ok(NOT_RUN);
    }
    record.line("all processes are ready");
    let fronts: Vec<_> = entries.iter().map(|entry| entry.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let crowd: Vec<_> = (0..clients)
        .map(|client| {
            let record = record.clone();
            let (fronts, is_over, outcomes) = (fronts.clone(), Arc::clone(&is_over), Arc::clone(&outcomes));
            thread::spawn(move || {
                let mut draw = Draw(0x9e37_79b9_7f4a_7c15 ^ (client + 1) << 20 ^ unix_ms());
                sleep_s(draw.below(CLIENT_PAUSE_MS) as f64 / 1e3);
                while !is_over.load(Ordering::SeqCst) {
                    let node = fronts[draw.below(fronts.len() as u64) as usize];
                    let id = next_id();
                    let (method, path) = match draw.below(2) {
                        0 => ("POST", format!("/book/{id}")),
                        _ => ("GET", format!("/look/{id}")),
                    };
                    let call = Call { node, method, path: &path, key: "key-one", id: id.clone(), deadline_ms: 1_200 };
                    let sent_at = record.seconds();
                    let outcome = call.send();
                    record.answered(method, &path, &id, &node.to_string(), sent_at, &outcome);
                    outcomes.lock().unwrap().push((id, method, outcome));
                    sleep_s(CLIENT_PAUSE_MS as f64 / 1e3);
                }
            })
        })
        .collect();
    sleep_s(5.0);
    let start = record.seconds();
    let mut draw = Draw(0xd1b5_4a32_d192_ed03 ^ unix_ms());
    let mut crashed = vec![None; servers.len()];
    let mut boots = vec![0; servers.len()];
    let mut crash_times = Vec::new();
    let mut tries: Vec<(String, f64)> = Vec::new();
    let mut next_at = start;
    while record.seconds() < start + LASTS_S {
        for index in 0..servers.len() {
            match crashed[index] {
                None if servers[index].has_ended() => {
                    let at = record.seconds();
                    crashed[index] = Some(at);
                    crash_times.push(at);
                    record.line(format!("server {} has crashed, the {} crash", servers[index].id, ordinal(crash_times.len())));
                }
                Some(at) if record.seconds() > at + BACK_AFTER_S => {
                    boots[index] += 1;
                    let port = servers[index].address.port();
                    servers[index] = start_server(&fleet, &store, spec(index as u8, boots[index], port))?;
                    crashed[index] = None;
                    record.line(format!("server {} has started in its place", servers[index].id));
                }
                _ => {}
            }
        }
        if record.seconds() >= next_at {
            next_at += COMES_EVERY_S;
            let entry = draw.below(fronts.len() as u64) as usize;
            let (node, name) = (fronts[entry], entries[entry].name.clone());
            let (record, body) = (record.clone(), Arc::clone(&body));
            let id = next_id();
            tries.push((id.clone(), record.seconds()));
            thread::spawn(move || {
                let call = Call { node, method: "POST", path: CRASHING_PATH, key: "key-two", id: id.clone(), deadline_ms: 1_200 };
                let outcome = call.send_with_body(&body);
                record.line(format!("the request comes to {name} as {id}: status {:?} ({})", outcome.status, outcome.detail));
            });
        }
        sleep_s(0.01);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in crowd {
        let _ = client.join();
    }
    sleep_s(0.3);
    let runs = fleet.runs.lock().unwrap().clone();
    let arrivals: Vec<&Run> = runs.iter().filter(|run| run.target == CRASHING_PATH).collect();
    for run in &arrivals {
        record.line(format!("the request reached {} at {:.3} s as {} from {}", run.server, run.at_s, run.id, run.from));
    }
    // The tries that were sent later, and reached a server.
    let late = match crash_times.get(2) {
        Some(third) => {
            let sent_late = tries.iter().filter(|(_, sent_at)| *sent_at > third + CONTACT_S);
            sent_late.filter(|(id, _)| arrivals.iter().any(|run| run.id == *id)).count()
        }
        None => 0,
    };
    let outcomes = outcomes.lock().unwrap();
    let mut lost = 0;
    for (id, method, outcome) in outcomes.iter().filter(|(_, _, outcome)| outcome.status != Some(200)) {
        let ran: Vec<_> = runs.iter().filter(|run| run.id == *id).map(|run| run.server.as_str()).collect();
        lost += usize::from(!ran.is_empty());
        record.line(format!("ordinary {method} {id}: status {:?} ({}), begun by {ran:?}", outcome.status, outcome.detail));
    }
    let ended = entries.iter_mut().any(Entry::has_ended);
    record.line(format!(
        "{} ordinary requests, {:.1} a second, {} of them not served, {lost} of these had begun at a server; a process ended: {ended}",
        outcomes.len(),
        outcomes.len() as f64 / (record.seconds() - start + 5.0),
        outcomes.iter().filter(|(_, _, outcome)| outcome.status != Some(200)).count(),
    ));
    record.line(format!(
        "the request reached servers {} times and crashed {}; {late} tries sent later than {CONTACT_S} s after its third crash did ({LATE_RETRIES} allowed)",
        arrivals.len(),
        crash_times.len()
    ));
    let is_broken = late > LATE_RETRIES;
    record.line(if is_broken { "BUDGET is broken" } else { "BUDGET holds" });
    Ok(if is_broken { BROKEN } else { HELD })
}

fn ordinal(number: usize) -> String {
    let suffix = match number {
        1 | 21 | 31 => "st",
        2 | 22 => "nd",
        3 | 23 => "rd",
        _ => "th",
    };
    format!("{number}{suffix}")
}
