//! The results of probing one peer, and the state that follows from them.

use std::time::Duration;

use crate::membership_types::{PartitionDirection, PeerState};
use crate::time::MonoTime;

/// The number of failed rounds in a row after which the path counts as partitioned.
const PARTITIONED_ROUNDS: u32 = 4;
/// The number of rounds in a row without any answer after which the peer is unreachable.
const UNREACHABLE_ROUNDS: u32 = 3;

/// One round of probing a peer: a direct ping, then indirect ones.
#[derive(Clone, Debug)]
pub(crate) struct ProbeRound {
    pub(crate) started: MonoTime,
    pub(crate) requested_indirect: bool,
    pub(crate) concluded: bool,
    /// Whether the peer has sent this node a direct message on an indirect probe.
    pub(crate) received_hello: bool,
    /// Whether the peer has received a message from this node in this round; none without a report.
    pub(crate) report: Option<bool>,
}

impl ProbeRound {
    pub(crate) const fn new(started: MonoTime) -> Self {
        Self {
            started,
            requested_indirect: false,
            concluded: false,
            received_hello: false,
            report: None,
        }
    }

    /// Records a helper's report; once one report says that the peer received a message from this
    /// node in this round, later reports do not change that.
    pub(crate) fn add_report(&mut self, now: MonoTime, last_received_ago: Option<Duration>) {
        let received = last_received_ago.is_some_and(|ago| ago <= now.since(self.started));
        self.report = Some(received || self.report == Some(true));
    }

    /// Returns the partition that this round has shown; none if the peer was not reached at all.
    fn partition(&self) -> Option<PeerState> {
        match (self.received_hello, self.report) {
            (true, _) => Some(PeerState::OneWayPartition {
                direction: PartitionDirection::ToPeer,
            }),
            (false, Some(true)) => Some(PeerState::OneWayPartition {
                direction: PartitionDirection::FromPeer,
            }),
            (false, Some(false)) => Some(PeerState::TwoWayPartition),
            (false, None) => None,
        }
    }
}

/// The state of one peer by the probes so far.
#[derive(Clone, Debug)]
pub(crate) struct PeerProbe {
    state: PeerState,
    failed_rounds: u32,
    unreached_rounds: u32,
    unreachable_since: Option<MonoTime>,
    pub(crate) last_ack: Option<MonoTime>,
    pub(crate) last_received: Option<MonoTime>,
}

impl Default for PeerProbe {
    fn default() -> Self {
        Self {
            state: PeerState::Alive,
            failed_rounds: 0,
            unreached_rounds: 0,
            unreachable_since: None,
            last_ack: None,
            last_received: None,
        }
    }
}

impl PeerProbe {
    pub(crate) const fn state(&self) -> PeerState {
        self.state
    }

    /// Returns how long the peer has been unreachable.
    pub(crate) fn unreachable_for(&self, now: MonoTime) -> Option<Duration> {
        self.unreachable_since.map(|since| now.since(since))
    }

    /// Records an answer to a ping, which shows that both directions work.
    pub(crate) fn succeed(&mut self, now: MonoTime) {
        *self = Self {
            last_ack: Some(now),
            last_received: Some(now),
            ..Self::default()
        };
    }

    /// Records a round in which the ping was not answered.
    pub(crate) fn fail(&mut self, now: MonoTime, round: &ProbeRound) {
        self.failed_rounds += 1;
        match round.partition() {
            Some(partition) => {
                self.unreached_rounds = 0;
                self.unreachable_since = None;
                if self.failed_rounds >= PARTITIONED_ROUNDS {
                    self.state = partition;
                } else if matches!(self.state, PeerState::Suspect | PeerState::Unreachable) {
                    self.state = PeerState::Alive;
                }
            }
            None => {
                self.unreached_rounds += 1;
                if self.unreached_rounds >= UNREACHABLE_ROUNDS {
                    self.state = PeerState::Unreachable;
                    self.unreachable_since.get_or_insert(now);
                } else if self.state == PeerState::Alive {
                    self.state = PeerState::Suspect;
                }
            }
        }
    }
}
