//! Measures detection, false ejections and the cost of decisions, compared with the baseline
//! policy.

mod support;

use std::time::Duration;

use damaskloom_lib::config::{DetectionMode, PolicyMode};
use damaskloom_lib::time::MonoTime;
use support::cost::measure as measure_size;
use support::fault::{FaultMode, TargetFault};
use support::fleet::{Fleet, FleetOptions};

const WARM_UP_S: u64 = 10;
const FAULT_S: u64 = 30;
const DEFAULT_THREADS: f64 = 4.0;

#[derive(Clone, Copy)]
struct Deployment {
    name: &'static str,
    targets: usize,
    slots: usize,
    floor: u32,
    mode: DetectionMode,
}

const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        name: "khovsgol/convoy-desk",
        targets: 30,
        slots: 2,
        floor: 24,
        mode: DetectionMode::Fast,
    },
    Deployment {
        name: "mtkvari/hiredesk",
        targets: 25,
        slots: 4,
        floor: 20,
        mode: DetectionMode::Careful,
    },
    Deployment {
        name: "khovsgol/berth-dispatch",
        targets: 8,
        slots: 2,
        floor: 6,
        mode: DetectionMode::Fast,
    },
    Deployment {
        name: "mtkvari/fielddispatch",
        targets: 6,
        slots: 4,
        floor: 4,
        mode: DetectionMode::Careful,
    },
];

/// Returns the deployments whose names contain the text of the variable `DEPLOYMENT`.
fn deployments() -> impl Iterator<Item = Deployment> {
    let wanted = std::env::var("DEPLOYMENT").unwrap_or_default();
    DEPLOYMENTS
        .into_iter()
        .filter(move |deployment| deployment.name.contains(&wanted))
}

fn options(deployment: Deployment, nodes: usize, policy: PolicyMode, seed: u64) -> FleetOptions {
    FleetOptions {
        nodes,
        targets: deployment.targets,
        slots: deployment.slots,
        floor: deployment.floor,
        mode: deployment.mode,
        policy,
        load: 0.6,
        seed,
    }
}

struct DetectionRun {
    detected_after: Option<Duration>,
    wrong: u64,
    failed_ratio: f64,
}

fn detect(options: FleetOptions, modes: &[FaultMode]) -> DetectionRun {
    let seed = options.seed as usize;
    let count = options.targets;
    let mut fleet = Fleet::new(options);
    let from = MonoTime::from_millis(WARM_UP_S * 1_000 + (seed as u64 * 37) % 500);
    let until = from + Duration::from_secs(FAULT_S);
    fleet.faults = modes
        .iter()
        .enumerate()
        .map(|(index, mode)| TargetFault {
            target: (seed + index * 7) % count,
            mode: *mode,
            from,
            until,
        })
        .collect();
    fleet.run_until(from);
    let before = fleet.counts.clone();
    let target = fleet.faults[0].target;
    let ejected_at = fleet.run_until_ejected(target, until);
    if ejected_at.is_some() {
        fleet.run_until(until);
    }
    report_wrong_ejections(&fleet, seed as u64);
    let requests = fleet.counts.requests - before.requests;
    DetectionRun {
        detected_after: ejected_at.map(|at| at.since(from)),
        wrong: fleet.counts.wrong_ejections - before.wrong_ejections,
        failed_ratio: (fleet.counts.failed - before.failed) as f64 / requests as f64,
    }
}

fn run_in_parallel<T: Send>(count: usize, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let results = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..setting("BENCH_THREADS", DEFAULT_THREADS) as usize {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if index >= count {
                        break;
                    }
                    let result = run(index as u64);
                    results.lock().expect("no run panics").push(result);
                }
            });
        }
    });
    results.into_inner().expect("no run panics")
}

fn seconds(sorted: &[Duration], quantile: f64, runs: usize) -> String {
    let rank = ((runs as f64 * quantile) as usize).min(runs - 1);
    match sorted.get(rank) {
        Some(time) => format!("{:.2}", time.as_secs_f64()),
        None => format!(">{FAULT_S}"),
    }
}

fn measure_detection(runs: usize, nodes: usize) {
    let flap = |seconds| FaultMode::Flap(Duration::from_secs(seconds));
    let cases: [(&str, &[FaultMode]); 13] = [
        ("errors 50%", &[FaultMode::Errors(0.5)]),
        ("hang", &[FaultMode::Hang]),
        ("10x slow", &[FaultMode::Slow(10.0)]),
        ("errors 20%", &[FaultMode::Errors(0.2)]),
        ("errors 5%", &[FaultMode::Errors(0.05)]),
        ("wrong status", &[FaultMode::WrongStatus]),
        ("slow route", &[FaultMode::SlowRoute(10.0)]),
        ("errors fast", &[FaultMode::FastErrors(1.0)]),
        ("flap 2 s", &[flap(2)]),
        ("flap 10 s", &[flap(10)]),
        ("flap 60 s", &[flap(60)]),
        ("cut, 10 nodes", &[FaultMode::Unreachable(10)]),
        ("50% + hang", &[FaultMode::Errors(0.5), FaultMode::Hang]),
    ];
    println!("detection to fleet-wide ejection, {nodes} nodes, load 60%");
    println!(
        "{:<25}{:<14}{:<10}{:>9}{:>9}{:>10}{:>8}{:>12}",
        "deployment", "fault", "policy", "median s", "p99 s", "detected", "wrong", "failed %"
    );
    for deployment in deployments() {
        for (index, (name, modes)) in cases.into_iter().enumerate() {
            // The first cases have latency goals and get enough runs for a 99th percentile.
            let runs = if index < 4 { runs } else { runs.div_ceil(4) };
            for policy in [PolicyMode::Adaptive, PolicyMode::Baseline] {
                let results = run_in_parallel(runs, |seed| {
                    detect(options(deployment, nodes, policy, seed), modes)
                });
                let mut times: Vec<Duration> = results
                    .iter()
                    .filter_map(|run| run.detected_after)
                    .collect();
                times.sort_unstable();
                let wrong: u64 = results.iter().map(|run| run.wrong).sum();
                let failed: f64 =
                    results.iter().map(|run| run.failed_ratio).sum::<f64>() / runs as f64;
                println!(
                    "{:<25}{:<14}{:<10}{:>9}{:>9}{:>10}{:>8}{:>12.3}",
                    deployment.name,
                    name,
                    format!("{policy:?}"),
                    seconds(&times, 0.5, runs),
                    seconds(&times, 0.99, runs),
                    format!("{}/{runs}", times.len()),
                    wrong,
                    failed * 100.0
                );
                println!(
                    "{{\"bench\":\"detection\",\"deployment\":\"{}\",\"fault\":\"{name}\",\
                     \"policy\":\"{policy:?}\",\"nodes\":{nodes},\"median_s\":\"{}\",\
                     \"p99_s\":\"{}\",\"detected\":{},\"runs\":{runs},\"wrong\":{wrong}}}",
                    deployment.name,
                    seconds(&times, 0.5, runs),
                    seconds(&times, 0.99, runs),
                    times.len()
                );
            }
        }
    }
}

fn measure_false_ejections(hours: f64, nodes: usize) {
    const RUN_MINUTES: u64 = 10;
    println!("healthy targets ejected without faults, virtual time, {nodes} nodes, load 60%");
    for deployment in deployments() {
        for (policy, hours) in [
            (PolicyMode::Adaptive, hours),
            (PolicyMode::Baseline, hours / 10.0),
        ] {
            let runs =
                (hours * 60.0 / RUN_MINUTES as f64 / deployment.targets as f64).ceil() as usize;
            let counts = run_in_parallel(runs, |seed| {
                let mut fleet = Fleet::new(options(deployment, nodes, policy, 1_000 + seed));
                fleet.run_until(MonoTime::from_millis(RUN_MINUTES * 60_000));
                report_wrong_ejections(&fleet, seed);
                fleet.counts
            });
            let target_hours = (runs * deployment.targets) as f64 * RUN_MINUTES as f64 / 60.0;
            let ejected: u64 = counts.iter().map(|counts| counts.wrong_ejections).sum();
            let requests: u64 = counts.iter().map(|counts| counts.requests).sum();
            println!(
                "{:<25}{:<10}{target_hours:>6.0} target-hours {requests:>12} requests {ejected:>4} ejected",
                deployment.name,
                format!("{policy:?}"),
            );
            println!(
                "{{\"bench\":\"calm\",\"deployment\":\"{}\",\"policy\":\"{policy:?}\",\
                 \"target_hours\":{target_hours:.0},\"ejected\":{ejected}}}",
                deployment.name
            );
        }
    }
}

fn measure_attracted_traffic(nodes: usize) {
    println!("requests to a misleading target, relative to a healthy one, {nodes} nodes");
    for deployment in deployments() {
        for (name, mode) in [
            ("load stuck at zero", FaultMode::StuckLoad),
            ("5% fast errors", FaultMode::FastErrors(0.05)),
            ("50% shed", FaultMode::Shed(0.5)),
        ] {
            for policy in [PolicyMode::Adaptive, PolicyMode::Baseline] {
                let mut fleet = Fleet::new(options(deployment, nodes, policy, 3));
                fleet.faults.push(TargetFault {
                    target: 3,
                    mode,
                    from: MonoTime::ZERO,
                    until: MonoTime::from_millis(40_000),
                });
                fleet.run_until(MonoTime::from_millis(20_000));
                let before = fleet.counts.per_target.clone();
                fleet.run_until(MonoTime::from_millis(24_000));
                let received: Vec<u64> = (0..deployment.targets)
                    .map(|target| fleet.counts.per_target[target] - before[target])
                    .collect();
                let others = (received.iter().sum::<u64>() - received[3]) as f64
                    / (deployment.targets - 1) as f64;
                println!(
                    "{:<25}{:<20}{:<10}{:>6.2}",
                    deployment.name,
                    name,
                    format!("{policy:?}"),
                    received[3] as f64 / others
                );
            }
        }
    }
}

fn measure_bytes(nodes: usize) {
    const SECONDS: u64 = 20;
    println!("peer messages of a node, JSON bodies, {nodes} nodes");
    for deployment in deployments() {
        let mut fleet = Fleet::new(options(deployment, nodes, PolicyMode::Adaptive, 1));
        fleet.measure_bytes = true;
        fleet.run_until(MonoTime::from_millis(SECONDS * 1_000));
        let per_node = |count: u64| count as f64 / (nodes as u64 * SECONDS) as f64;
        println!(
            "{:<25}{:>8.0} bytes/s{:>8.1} messages/s",
            deployment.name,
            per_node(fleet.counts.evidence_bytes),
            per_node(fleet.counts.messages)
        );
    }
}

fn measure_cost() {
    println!("cost of decisions at an evaluator, 48 reporting nodes, 3 routes");
    println!(
        "{:>8}{:>22}{:>16}{:>20}{:>20}",
        "targets", "pick+begin+finish ns", "ns per entry", "tick ns per target", "bytes per target"
    );
    for targets in [30, 300, 3_000] {
        let cost = measure_size(targets);
        println!(
            "{:>8}{:>22.0}{:>16.0}{:>20.0}{:>20.0}",
            cost.targets,
            cost.request_ns,
            cost.entry_ns,
            cost.tick_ns_per_target,
            cost.evaluator_bytes_per_target
        );
        println!(
            "{{\"bench\":\"cost\",\"targets\":{},\"request_ns\":{:.0},\"entry_ns\":{:.0},\
             \"tick_ns_per_target\":{:.0},\"bytes_per_target\":{:.0}}}",
            cost.targets,
            cost.request_ns,
            cost.entry_ns,
            cost.tick_ns_per_target,
            cost.evaluator_bytes_per_target
        );
    }
}

fn report_wrong_ejections(fleet: &Fleet, seed: u64) {
    for (at, target, cause) in &fleet.counts.wrong_causes {
        eprintln!("wrong: seed {seed} at {at} target {target} for {cause}");
    }
}

fn setting(name: &str, default: f64) -> f64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn main() {
    let runs = setting("DETECTION_RUNS", 20.0) as usize;
    let hours = setting("CALM_TARGET_HOURS", 10.0);
    let nodes = setting("NODES", 48.0) as usize;
    if runs > 0 {
        measure_cost();
        measure_bytes(nodes);
        measure_attracted_traffic(nodes);
        measure_detection(runs, nodes);
    }
    if hours > 0.0 {
        measure_false_ejections(hours, nodes);
    }
}
