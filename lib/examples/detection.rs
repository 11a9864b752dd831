//! Embeds detection and ejection: three nodes pool their evidence and eject a target that serves
//! half of its requests badly, each with no clock, socket or thread of its own.

use std::time::Duration;

use damaskloom_lib::config::{
    DetectionMode, Idempotence, PolicyMode, Service, Target, TargetState,
};
use damaskloom_lib::evidence::{AttemptOutcome, AttemptScope};
use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::service_health::{HealthAction, PickRequest, ServiceHealth};
use damaskloom_lib::time::MonoTime;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let service = Service {
        id: "convoy-desk".parse()?,
        floor: 4,
        detection: DetectionMode::Fast,
        policy: PolicyMode::Adaptive,
        objective_ppm: 999_000,
    };
    let mut targets = Vec::new();
    for index in 0..5 {
        targets.push(Target {
            id: format!("server-{index}").parse()?,
            service: service.id.clone(),
            address: format!("127.0.0.1:{}", 9_000 + index).parse()?,
            data_centre: "khatgal".parse()?,
            slots: 2,
            connections: 400,
            state: TargetState::Active,
        });
    }
    let mut ids = Vec::new();
    for index in 0..3 {
        let vm = format!("vm-{index}").parse()?;
        ids.push(NodeId {
            vm,
            incarnation: Incarnation(1),
        });
    }
    let target_refs: Vec<&Target> = targets.iter().collect();
    let mut nodes = Vec::new();
    for id in &ids {
        let mut health = ServiceHealth::new(id.clone(), &service, "khatgal".parse()?);
        health.set_targets(MonoTime::ZERO, &target_refs);
        health.set_peers(&ids);
        nodes.push(health);
    }
    // The whole ejectable capacity: five targets less the floor of four.
    let mut free_units = 1;
    let bad = &targets[3].id;
    for step in 0..4_000_u64 {
        let now = MonoTime::from_millis(step);
        let from = (step % 3) as usize;
        let request = PickRequest {
            idempotence: Idempotence::NonIdempotent,
            seed: step,
            excluded: &[],
        };
        let picked = nodes[from].pick(now, &request).ok_or("no target serves")?;
        let scope = AttemptScope {
            target: picked.target.clone(),
            route: "slots".parse()?,
            customer: "ferries".parse()?,
        };
        let fails = picked.target == *bad && step % 2 == 0;
        let outcome = if fails {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Good
        };
        let attempt = nodes[from].begin(now, scope, picked.trial);
        let end = now + Duration::from_micros(500);
        let mut actions = nodes[from].finish(end, attempt, &picked.target, outcome);
        if step % 50 < 3 {
            actions.extend(nodes[from].tick(end));
        }
        let mut pending: Vec<_> = actions.into_iter().map(|action| (from, action)).collect();
        while let Some((at, action)) = pending.pop() {
            match action {
                HealthAction::Send { to, message } => {
                    let receiver = ids.iter().position(|id| *id == to).ok_or("unknown node")?;
                    let answers = nodes[receiver].handle(end, &ids[at], message);
                    pending.extend(answers.into_iter().map(|answer| (receiver, answer)));
                }
                HealthAction::ClaimUnits(_) => {
                    nodes[at].add_units(std::mem::take(&mut free_units));
                }
                HealthAction::ReleaseUnits(count) => free_units += count,
                event => println!("{end} {}: {event:?}", ids[at]),
            }
        }
        if nodes.iter().all(|node| {
            node.standing(end, bad) == damaskloom_lib::target_picker::TargetStanding::Ejected
        }) {
            println!("{end} every node leaves {bad} out");
            return Ok(());
        }
    }
    Err("the target was not ejected".into())
}
