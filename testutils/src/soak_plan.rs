//! The fault plan of a soak, drawn from its seed.
//!
//! Faults overlap and some start at the same time; each has an end, so that the fleet has to serve
//! again once the last one is over.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// How a loopback proxy treats connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PathFault {
    /// Forwards everything.
    #[default]
    None,
    /// Forwards everything after a delay, in milliseconds.
    Delayed(u64),
    /// Resets open and new connections.
    Reset,
    /// Discards what the caller sends.
    CutToServer,
    /// Forwards requests and discards answers.
    CutToCaller,
    /// Accepts connections and discards everything in both directions.
    Silent,
}

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// Runs requests and answers them.
    #[default]
    None,
    /// Runs most requests and answers with an error.
    Gray,
    /// Takes ten times as long to run requests.
    Slow,
    /// Runs requests and never answers.
    Mute,
    /// Sends half of the answer and closes the connection.
    CutsAnswers,
    /// Sends a second answer after the first.
    ExtraAnswers,
    /// Sends a head without end.
    EndlessHead,
    /// Sends a body without a length and without end.
    EndlessBody,
    /// Names a limit in its answers; see [`NAMED_LIMIT_PER_S`].
    Limited,
    /// Says in its answers that it leaves, while its row says that it is ready; then starts anew.
    Leaves,
    /// Turns requests away and asks for [`REST_S`] without others.
    AsksForRest,
}

/// The requests a second that a target with [`TargetFault::Limited`] takes from all nodes together.
pub const NAMED_LIMIT_PER_S: f64 = 2.0;

/// The rest that a target with [`TargetFault::AsksForRest`] asks for, in seconds.
pub const REST_S: u64 = 3;

/// How the store fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// Refuses all calls.
    Refuses,
    /// Never answers.
    Hangs,
    /// Delays its answers.
    Slow,
    /// Applies writes, but loses the answers of half of them.
    LosesAnswers,
    /// Discards its history of changes, so that feeds must read their table again.
    Forgets,
    /// Is away, and comes back from an older copy; operators and targets write their rows again.
    Restored,
}

/// A fault of a process, a network path, a target or the store, or a change that the fleet must
/// bear.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakFault {
    /// A node is killed, and restarted when the fault ends.
    NodeKilled(usize),
    /// A node gets SIGTERM, and is restarted after its exit.
    NodeStopped(usize),
    /// A node is paused (SIGSTOP).
    NodePaused(usize),
    /// A node's settings file changes and the node gets SIGHUP.
    NodeReloaded(usize),
    /// All nodes are killed at the same time.
    AllKilled,
    /// The path from a node to the store fails.
    StorePath(usize, PathFault),
    /// The store fails.
    Store(StoreFault),
    /// The path from all nodes to a target fails.
    TargetPath(usize, PathFault),
    /// Some nodes, from the first one on, lose their paths to all targets.
    NodesCutOff {
        /// The first node.
        first: usize,
        /// The number of nodes.
        count: usize,
    },
    /// The address of a target leads to another target.
    AddressReused(usize),
    /// A target misbehaves.
    Target(usize, TargetFault),
    /// A target announces that it drains, and another one replaces it.
    TargetReplaced(usize),
    /// A new configuration changes a customer's limit.
    LimitChanged,
    /// A customer's second key is withdrawn, and restored when the fault ends.
    KeyWithdrawn,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// The start, in milliseconds since the start of traffic.
    pub from_ms: u64,
    /// The duration, in milliseconds.
    pub for_ms: u64,
    /// The fault.
    pub fault: SoakFault,
}

/// The size of a soak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SoakSize {
    /// The number of entry processes.
    pub nodes: usize,
    /// The number of targets of both services.
    pub targets: usize,
    /// The number of callers that send at the same time.
    pub callers: usize,
    /// The time in which faults start, in milliseconds.
    pub length_ms: u64,
    /// The faults that are drawn.
    pub scope: FaultScope,
}

/// The faults of a soak.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FaultScope {
    /// All faults.
    #[default]
    All,
    /// All but those of processes, so that what holds only while these run is checked.
    ProcessesRun,
}

impl SoakFault {
    const fn stops_processes(self) -> bool {
        match self {
            Self::NodeKilled(_) | Self::NodeStopped(_) | Self::NodePaused(_) | Self::AllKilled => {
                true
            }
            Self::NodeReloaded(_)
            | Self::StorePath(..)
            | Self::Store(_)
            | Self::TargetPath(..)
            | Self::NodesCutOff { .. }
            | Self::AddressReused(_)
            | Self::Target(..)
            | Self::TargetReplaced(_)
            | Self::LimitChanged
            | Self::KeyWithdrawn => false,
        }
    }
}

/// The mean time between the starts of two faults, in milliseconds.
const MEAN_GAP_MS: u64 = 700;
/// The range of fault durations, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 400..4_000;
/// The range of durations of limits, which are checked some seconds after their naming.
const LIMIT_LENGTH_MS: std::ops::Range<u64> = 8_000..12_000;

/// The range of durations of cuts, whose effect is checked some seconds after their start.
const CUT_LENGTH_MS: std::ops::Range<u64> = 5_000..9_000;
/// The length of faults in which a target says that it leaves or wants rest, beyond the time that nodes have.
const NOTICE_LENGTH_MS: std::ops::Range<u64> = 4_000..8_000;
/// Separates the numbers of the faults that were added later.
const LATER_FAULTS_SEED: u64 = 0x6375_7473;

/// The probability that a fault of a node or a change is the first one of a series.
const SERIES_PROBABILITY: f64 = 0.4;
/// The number of further faults of a series, and the gap between two of them in milliseconds.
const SERIES_LENGTH: std::ops::Range<usize> = 2..6;
const SERIES_GAP_MS: std::ops::Range<u64> = 30..800;

/// Draws the fault plan of a seed, in the order of the starts.
pub fn plan(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at_ms = 500;
    while at_ms < size.length_ms {
        let fault = draw(&mut rng, size);
        let first = PlannedFault {
            from_ms: at_ms,
            for_ms: rng.random_range(match fault {
                SoakFault::Target(_, TargetFault::Limited) => LIMIT_LENGTH_MS,
                _ => LENGTH_MS,
            }),
            fault,
        };
        faults.push(first);
        if next_of_series(fault, size).is_some() && rng.random_bool(SERIES_PROBABILITY) {
            let length = rng.random_range(SERIES_LENGTH);
            let gap_ms = rng.random_range(SERIES_GAP_MS);
            let mut last = first;
            for _ in 0..length {
                let Some(fault) = next_of_series(last.fault, size) else {
                    break;
                };
                last = PlannedFault {
                    from_ms: last.from_ms + gap_ms,
                    fault,
                    ..last
                };
                faults.push(last);
            }
        }
        // A third of the faults start together with the one before.
        if rng.random_bool(0.67) {
            at_ms += rng.random_range(1..MEAN_GAP_MS * 3);
        }
    }
    faults.extend(draw_later_faults(seed, size));
    if size.scope == FaultScope::ProcessesRun {
        faults.retain(|planned| !planned.fault.stops_processes());
    }
    faults.sort_by_key(|fault| fault.from_ms);
    faults
}

/// Draws the faults that were added after seeds had been recorded, from numbers of their own, so that the
/// other faults of these seeds stay as they are.
fn draw_later_faults(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ LATER_FAULTS_SEED);
    let mut faults = Vec::new();
    // Cuts follow each other, since one replaces another.
    let mut at_ms = rng.random_range(500..MEAN_GAP_MS * 4);
    while at_ms < size.length_ms {
        let count = *[
            1,
            size.nodes.div_ceil(2),
            size.nodes.div_ceil(2),
            size.nodes,
        ]
        .choose(&mut rng)
        .expect("the list is not empty");
        let for_ms = rng.random_range(CUT_LENGTH_MS);
        let first = rng.random_range(0..size.nodes);
        faults.push(PlannedFault {
            from_ms: at_ms,
            for_ms,
            fault: SoakFault::NodesCutOff { first, count },
        });
        at_ms += for_ms + rng.random_range(1..MEAN_GAP_MS * 3);
    }
    let mut at_ms = rng.random_range(500..MEAN_GAP_MS * 4);
    while at_ms < size.length_ms {
        let target = rng.random_range(0..size.targets);
        faults.push(PlannedFault {
            from_ms: at_ms,
            for_ms: rng.random_range(LENGTH_MS),
            fault: SoakFault::AddressReused(target),
        });
        at_ms += rng.random_range(1..MEAN_GAP_MS * 6);
    }
    let mut at_ms = rng.random_range(500..MEAN_GAP_MS * 4);
    while at_ms < size.length_ms {
        let said = match rng.random_bool(0.5) {
            true => TargetFault::Leaves,
            false => TargetFault::AsksForRest,
        };
        faults.push(PlannedFault {
            from_ms: at_ms,
            for_ms: rng.random_range(NOTICE_LENGTH_MS),
            fault: SoakFault::Target(rng.random_range(0..size.targets), said),
        });
        at_ms += rng.random_range(1..MEAN_GAP_MS * 4);
    }
    faults
}

/// Returns the fault that follows another one in a series: the same at the next node, or one more
/// change; none for faults that come singly.
fn next_of_series(fault: SoakFault, size: SoakSize) -> Option<SoakFault> {
    let next = |node: usize| (node + 1) % size.nodes;
    match fault {
        SoakFault::NodeKilled(node) => Some(SoakFault::NodeKilled(next(node))),
        SoakFault::NodeStopped(node) => Some(SoakFault::NodeStopped(next(node))),
        SoakFault::NodePaused(node) => Some(SoakFault::NodePaused(next(node))),
        SoakFault::NodeReloaded(node) => Some(SoakFault::NodeReloaded(next(node))),
        SoakFault::TargetReplaced(target) => {
            Some(SoakFault::TargetReplaced((target + 1) % size.targets))
        }
        SoakFault::LimitChanged => Some(SoakFault::LimitChanged),
        SoakFault::AllKilled
        | SoakFault::StorePath(..)
        | SoakFault::Store(_)
        | SoakFault::TargetPath(..)
        | SoakFault::NodesCutOff { .. }
        | SoakFault::AddressReused(_)
        | SoakFault::Target(..)
        | SoakFault::KeyWithdrawn => None,
    }
}

fn draw(rng: &mut SmallRng, size: SoakSize) -> SoakFault {
    let node = rng.random_range(0..size.nodes);
    let target = rng.random_range(0..size.targets);
    let path = *[
        PathFault::Delayed(80),
        PathFault::Reset,
        PathFault::CutToServer,
        PathFault::CutToCaller,
        PathFault::Silent,
    ]
    .choose(rng)
    .expect("the list is not empty");
    let answers = *[
        TargetFault::Gray,
        TargetFault::Slow,
        TargetFault::Mute,
        TargetFault::CutsAnswers,
        TargetFault::ExtraAnswers,
        TargetFault::EndlessHead,
        TargetFault::EndlessBody,
        TargetFault::Limited,
        TargetFault::Limited,
    ]
    .choose(rng)
    .expect("the list is not empty");
    let store = *[
        StoreFault::Refuses,
        StoreFault::Hangs,
        StoreFault::Slow,
        StoreFault::LosesAnswers,
        StoreFault::Forgets,
        StoreFault::Restored,
        StoreFault::Restored,
    ]
    .choose(rng)
    .expect("the list is not empty");
    match rng.random_range(0..24) {
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
