//! Embeds detection and ejection: three nodes pool their evidence, and an evaluator among them
//! ejects the target that fails half of its requests.

use std::time::Duration;

use damaskloom_lib::config::DetectionMode;
use damaskloom_lib::detector::{DetectorAction, TargetDetector};
use damaskloom_lib::ejector::TargetEjector;
use damaskloom_lib::evidence::{AttemptOutcome, AttemptScope, EvidenceAction, EvidenceLog};
use damaskloom_lib::ids::{Incarnation, NodeId, TargetId};
use damaskloom_lib::time::MonoTime;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut targets: Vec<TargetId> = Vec::new();
    for index in 0..10 {
        targets.push(format!("server-{index}").parse()?);
    }
    let mut nodes = Vec::new();
    for index in 0..3 {
        let vm = format!("vm-{index}").parse()?;
        let incarnation = Incarnation(1);
        nodes.push(NodeId { vm, incarnation });
    }
    let mut logs = Vec::new();
    for node in &nodes {
        // Without peers each log has its own node as the only evaluator and returns its digests.
        logs.push(EvidenceLog::new(node.clone(), "convoy-desk".parse()?));
    }
    let mut detector = TargetDetector::new(DetectionMode::Fast);
    detector.set_targets(targets.clone());
    let mut ejector = TargetEjector::new(nodes[0].clone());
    // One unit of ejectable capacity: ten targets less a floor of nine.
    ejector.add_units(1);
    for request in 0..6_000_usize {
        let now = MonoTime::from_millis(request as u64);
        let node = request % nodes.len();
        let scope = AttemptScope {
            target: targets[request / 3 % targets.len()].clone(),
            route: "slots".parse()?,
            customer: "ferries".parse()?,
        };
        let fails = scope.target == targets[4] && request % 2 == 0;
        let outcome = match fails {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Success,
        };
        logs[node].record(now, &scope, outcome, Duration::from_millis(25));
        for action in logs[node].tick(now) {
            if let EvidenceAction::Pool(digest) = action {
                detector.pool(now, &nodes[node], &digest);
            }
        }
        for action in detector.tick(now) {
            if let DetectorAction::Propose { target, cause } = action {
                ejector.propose(now, &target, cause, 0);
                ejector.tick(now);
                println!("{now} {:?}", ejector.explain(now, &target));
                println!(
                    "{}",
                    detector
                        .explain(now, &target)
                        .ok_or("the target is not evaluated")?
                );
                return Ok(());
            }
        }
    }
    Err("no target was ejected".into())
}
