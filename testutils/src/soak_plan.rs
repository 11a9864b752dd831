//! The faults of a soak, drawn from its seed.
//!
//! Faults come in series and overlap; each one ends by itself, so that the fleet has to serve again
//! when the last one is over.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// How a loopback proxy treats connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PathFault {
    /// Passes everything on.
    #[default]
    None,
    /// Passes everything on late, by so many milliseconds.
    Delayed(u64),
    /// Closes connections at once, open and new ones.
    Reset,
    /// Takes what the caller sends and passes nothing on.
    CutToServer,
    /// Passes requests on and no answers back.
    CutToCaller,
    /// Accepts connections and passes nothing on either way.
    Silent,
}

/// How a target answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// Runs requests and answers them.
    #[default]
    None,
    /// Runs most requests and answers with an error.
    Gray,
    /// Runs requests ten times slower.
    Slow,
    /// Runs requests and never answers.
    Mute,
    /// Answers with half of the body and hangs up.
    CutsAnswers,
    /// Sends a second answer after the first.
    ExtraAnswers,
}

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// Turns all calls away.
    Refuses,
    /// Gives no answers.
    Hangs,
    /// Answers late.
    Slow,
    /// Loses the answers of half of the writes.
    LosesAnswers,
    /// Forgets its history.
    Forgets,
}

/// What happens to a process, a path, a target or the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakFault {
    /// A node is killed, and started again when the fault ends.
    NodeKilled(usize),
    /// A node is told to stop, and started again once it has.
    NodeStopped(usize),
    /// A node stands still.
    NodePaused(usize),
    /// A node's settings file changes and the node is told so.
    NodeReloaded(usize),
    /// All nodes are killed at once.
    AllKilled,
    /// The path of a node to the store.
    StorePath(usize, PathFault),
    /// The store itself.
    Store(StoreFault),
    /// The path of all nodes to a target.
    TargetPath(usize, PathFault),
    /// A target's answers.
    Target(usize, TargetFault),
    /// A target announces that it leaves, and another one comes in its place.
    TargetReplaced(usize),
    /// A new configuration: another limit for a customer.
    LimitChanged,
    /// A customer's second key is withdrawn, and granted again when the fault ends.
    KeyWithdrawn,
}

/// A fault and when it holds, in milliseconds since the start of traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// When it begins.
    pub from_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What happens.
    pub fault: SoakFault,
}

/// The sizes of a soak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoakSize {
    /// The entry processes.
    pub nodes: usize,
    /// The targets over both services.
    pub targets: usize,
    /// The callers that send at the same time.
    pub callers: usize,
    /// How long faults come, in milliseconds.
    pub length_ms: u64,
}

/// The mean time between two faults, in milliseconds.
const MEAN_GAP_MS: u64 = 700;
/// The shortest and the longest time that a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 400..4_000;

/// Draws the faults of a seed.
pub fn plan(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at_ms = 500;
    while at_ms < size.length_ms {
        faults.push(PlannedFault {
            from_ms: at_ms,
            for_ms: random.random_range(LENGTH_MS),
            fault: draw(&mut random, size),
        });
        // Series: a third of the faults comes together with the one before.
        if random.random_bool(0.67) {
            at_ms += random.random_range(1..MEAN_GAP_MS * 3);
        }
    }
    faults
}

fn draw(random: &mut SmallRng, size: SoakSize) -> SoakFault {
    let node = random.random_range(0..size.nodes);
    let target = random.random_range(0..size.targets);
    let path = *[
        PathFault::Delayed(80),
        PathFault::Reset,
        PathFault::CutToServer,
        PathFault::CutToCaller,
        PathFault::Silent,
    ]
    .choose(random)
    .expect("the list is not empty");
    let answers = *[
        TargetFault::Gray,
        TargetFault::Slow,
        TargetFault::Mute,
        TargetFault::CutsAnswers,
        TargetFault::ExtraAnswers,
    ]
    .choose(random)
    .expect("the list is not empty");
    let store = *[
        StoreFault::Refuses,
        StoreFault::Hangs,
        StoreFault::Slow,
        StoreFault::LosesAnswers,
        StoreFault::Forgets,
    ]
    .choose(random)
    .expect("the list is not empty");
    match random.random_range(0..24) {
        0..=1 => SoakFault::NodeKilled(node),
        2..=4 => SoakFault::NodeStopped(node),
        5..=6 => SoakFault::NodePaused(node),
        7 => SoakFault::NodeReloaded(node),
        8 => SoakFault::AllKilled,
        9..=10 => SoakFault::StorePath(node, path),
        11..=12 => SoakFault::Store(store),
        13..=14 => SoakFault::TargetPath(target, path),
        15..=18 => SoakFault::Target(target, answers),
        19..=20 => SoakFault::TargetReplaced(target),
        21..=22 => SoakFault::LimitChanged,
        _ => SoakFault::KeyWithdrawn,
    }
}
