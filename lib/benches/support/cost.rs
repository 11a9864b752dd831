//! Measures processor time and memory of decisions for different numbers of targets.

use std::time::{Duration, Instant};

use damaskloom_lib::config::{
    DetectionMode, Idempotence, PolicyMode, Service, Target, TargetState,
};
use damaskloom_lib::evidence::{
    AttemptOutcome, AttemptScope, EvidenceDigest, EvidenceEntry, EvidenceMessage,
};
use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::service_health::{HealthMessage, PickRequest, ServiceHealth};
use damaskloom_lib::time::MonoTime;

const ROUNDS: u64 = 20_000;
const REPORTING_NODES: usize = 48;
const PAGE_BYTES: f64 = 4_096.0;

/// The cost of decisions for one number of targets.
pub struct DecisionCost {
    pub targets: usize,
    pub request_ns: f64,
    pub entry_ns: f64,
    pub tick_ns_per_target: f64,
    pub evaluator_bytes_per_target: f64,
}

fn node(index: usize) -> NodeId {
    NodeId {
        vm: format!("vm-{index:02}").parse().expect("the name is valid"),
        incarnation: Incarnation(1),
    }
}

fn targets(service: &Service, count: usize) -> Vec<Target> {
    (0..count)
        .map(|index| Target {
            id: format!("convoy-desk-{index:05}")
                .parse()
                .expect("the name is valid"),
            service: service.id.clone(),
            address: "127.0.0.1:9".parse().expect("the address is valid"),
            data_centre: "khatgal".parse().expect("the name is valid"),
            slots: 2,
            connections: 400,
            state: TargetState::Active,
        })
        .collect()
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Measures an evaluator of a service with `count` targets that 48 nodes use on three routes.
pub fn measure(count: usize) -> DecisionCost {
    let service = Service {
        id: "convoy-desk".parse().expect("the name is valid"),
        floor: count as u32 / 2,
        detection: DetectionMode::Balanced,
        policy: PolicyMode::Adaptive,
        objective_ppm: 999_000,
    };
    let targets = targets(&service, count);
    let target_refs: Vec<&Target> = targets.iter().collect();
    let data_centre = targets[0].data_centre.clone();
    let before = resident_bytes();
    let mut health = ServiceHealth::new(node(0), &service, data_centre);
    health.set_targets(MonoTime::ZERO, &target_refs);
    health.set_peers(&[node(0), node(1), node(2)]);
    let entry_ns = fill(&mut health, &targets);
    let bytes = resident_bytes() - before;
    let request_ns = time_requests(&mut health);
    let started = Instant::now();
    for round in 0..100 {
        health.tick(MonoTime::from_millis(20_000 + round * 50));
    }
    let tick_ns = started.elapsed().as_nanos() as f64 / 100.0;
    DecisionCost {
        targets: count,
        request_ns,
        entry_ns,
        tick_ns_per_target: tick_ns / count as f64,
        evaluator_bytes_per_target: bytes / count as f64,
    }
}

fn fill(health: &mut ServiceHealth, targets: &[Target]) -> f64 {
    let mut entries = 0;
    let mut spent = Duration::ZERO;
    for reporter in 0..REPORTING_NODES {
        for (chunk_index, chunk) in targets.chunks(8).enumerate() {
            let digest = digest(chunk, chunk_index as u64 + 1);
            entries += digest.entries.len();
            let message = HealthMessage::Evidence(EvidenceMessage::Digest(digest));
            let started = Instant::now();
            health.handle(MonoTime::from_millis(1_000), &node(reporter), message);
            spent += started.elapsed();
        }
    }
    spent.as_nanos() as f64 / entries as f64
}

fn digest(targets: &[Target], sequence: u64) -> EvidenceDigest {
    let entries = targets.iter().flat_map(|target| {
        (0..3).map(|route| EvidenceEntry {
            target: target.id.clone(),
            route: format!("route-{route}").parse().expect("the name is valid"),
            successes: 1,
            failed: 0,
            unanswered: 0,
            slow: 0,
            rejected: 0,
            shed: 0,
            probes_failed: 0,
            failure_millinats: [-90, -20],
            rejection_millinats: [-320, -77],
            slowness_millinats: -320,
        })
    });
    EvidenceDigest {
        sequence,
        entries: entries.collect(),
    }
}

fn time_requests(health: &mut ServiceHealth) -> f64 {
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = MonoTime::from_micros(10_000_000 + round * 100);
        let request = PickRequest {
            idempotence: Idempotence::Idempotent,
            seed: round,
            excluded: &[],
        };
        let picked = health.pick(now, &request).expect("targets serve");
        let scope = AttemptScope {
            target: picked.target.clone(),
            route: "route-0".parse().expect("the name is valid"),
            customer: "customer-0".parse().expect("the name is valid"),
        };
        let id = health.begin(now, scope, picked.trial);
        let end = now + Duration::from_millis(25);
        health.finish(end, id, &picked.target, AttemptOutcome::Success);
    }
    started.elapsed().as_nanos() as f64 / ROUNDS as f64
}
