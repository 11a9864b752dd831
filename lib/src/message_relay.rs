//! Selects how a message reaches the nodes of each data centre: directly, or through a relay there that
//! forwards it.
//!
//! See [docs/design/peer-relays.md](../../docs/design/peer-relays.md).

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::entry_members::{EntryMembers, EntryPhase, KnownNode};
use crate::ids::{DataCentreId, VmId};
use crate::rendezvous::StableHash;
use crate::time::MonoTime;

/// The number of addressees in a data centre up to which a message goes to each one directly. A relay
/// saves little there, and its failure would cost a large share of the messages.
const MAX_DIRECT_ADDRESSEES: usize = 6;
/// The time without a message after which a relay is used only if there are few others, in
/// milliseconds: longer than the heartbeat interval. A relay that has failed is thereby avoided sooner
/// than it counts as unresponsive.
const RECENT_RELAY_MS: u64 = 1_200;
/// The recently heard relays are used alone if they are at least one in this many of the responsive
/// ones, so that a node that hears little does not load a few relays with all its messages.
const RECENT_RELAY_DIVISOR: usize = 4;

/// The nodes of a data centre that a message is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayScope {
    /// All nodes.
    All,
    /// The nodes that carry traffic.
    Carrying,
}

/// The data centres that a message is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageReach {
    /// The own data centre, and nodes whose data centre is not known yet from a heartbeat.
    Local,
    /// All other data centres.
    Remote,
    /// All data centres.
    Everywhere,
}

/// The number of relays in each data centre that a message goes through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayCopies {
    /// One relay: the next message replaces a lost one.
    Single,
    /// Two different relays, so that a relay that has just failed does not cost the message.
    Doubled,
}

/// The nodes that a message is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MessageAudience {
    /// The nodes within a data centre.
    pub scope: RelayScope,
    /// The data centres.
    pub reach: MessageReach,
}

/// The nodes that a message is sent to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayPlan {
    /// The addressees in the own data centre.
    pub local: Vec<IpAddr>,
    /// The addressees in other data centres that get the message directly.
    pub remote: Vec<IpAddr>,
    /// The relays in other data centres.
    pub relays: Vec<IpAddr>,
}

/// The selection of relays at one node.
#[derive(Debug)]
pub struct MessageRelays {
    data_centre: DataCentreId,
    seed: StableHash,
    turn: u64,
    last_positions: IndexMap<DataCentreId, usize>,
}

/// The nodes of one other data centre, as a message concerns them.
#[derive(Debug, Default)]
struct CentreNodes {
    /// The responsive nodes that relay.
    responsive: Vec<IpAddr>,
    /// Those of them that were heard recently.
    recent: Vec<IpAddr>,
    /// The addressees that read relayed messages.
    relayed: Vec<IpAddr>,
}

impl CentreNodes {
    fn candidates(&self) -> &[IpAddr] {
        if self.recent.len() * RECENT_RELAY_DIVISOR >= self.responsive.len() {
            &self.recent
        } else {
            &self.responsive
        }
    }
}

impl MessageAudience {
    /// Returns whether a node is an addressee.
    fn includes(self, own: &DataCentreId, now: MonoTime, node: &KnownNode) -> bool {
        let heartbeat = node.heartbeat.as_ref();
        // A node without a heartbeat yet may be of any data centre, and hears from all.
        let is_in_reach = heartbeat.is_none_or(|heartbeat| match self.reach {
            MessageReach::Local => heartbeat.data_centre == *own,
            MessageReach::Remote => heartbeat.data_centre != *own,
            MessageReach::Everywhere => true,
        });
        is_in_reach && self.scope.includes(now, node)
    }
}

impl RelayScope {
    fn includes(self, now: MonoTime, node: &KnownNode) -> bool {
        let heartbeat = node.heartbeat.as_ref();
        match self {
            Self::All => true,
            Self::Carrying => {
                node.is_responsive(now) && heartbeat.is_some_and(|heartbeat| heartbeat.carrying)
            }
        }
    }

    /// Returns the nodes of a data centre that a relay there forwards a message to, other than the
    /// message's origin.
    pub fn addressees(
        self,
        members: &EntryMembers,
        now: MonoTime,
        data_centre: &DataCentreId,
    ) -> Vec<IpAddr> {
        let nodes = members.iter().filter(|(_, node)| {
            node.data_centre() == Some(data_centre) && self.includes(now, node)
        });
        nodes.map(|(_, node)| node.ip).collect()
    }
}

impl MessageRelays {
    /// Creates the selection of a node. Nodes start at different positions, so that they do not all use
    /// the same relay at the same time.
    pub fn new(vm: &VmId, data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            seed: StableHash::of(vm.as_bytes()),
            turn: 0,
            last_positions: IndexMap::new(),
        }
    }

    /// Returns the nodes that a message is sent to.
    ///
    /// Relays are responsive nodes that have announced that they relay and are not leaving. Addressees
    /// that have not announced it may be of the previous build, which drops relayed messages, and get
    /// the message directly.
    pub fn plan(
        &mut self,
        members: &EntryMembers,
        now: MonoTime,
        audience: MessageAudience,
        copies: RelayCopies,
    ) -> RelayPlan {
        let mut plan = RelayPlan::default();
        let mut centres: IndexMap<&DataCentreId, CentreNodes> = IndexMap::new();
        let recent_age = Duration::from_millis(RECENT_RELAY_MS);
        for (_, node) in members.iter() {
            let is_addressee = audience.includes(&self.data_centre, now, node);
            if !is_addressee && audience.reach == MessageReach::Local {
                continue;
            }
            let heartbeat = node.heartbeat.as_ref();
            let remote = heartbeat.filter(|heartbeat| heartbeat.data_centre != self.data_centre);
            match remote.filter(|_| node.relays) {
                Some(heartbeat) => {
                    let centre = centres.entry(&heartbeat.data_centre).or_default();
                    if heartbeat.phase != EntryPhase::Leaving && node.is_responsive(now) {
                        centre.responsive.push(node.ip);
                        if node.is_heard_within(now, recent_age) {
                            centre.recent.push(node.ip);
                        }
                    }
                    if is_addressee {
                        centre.relayed.push(node.ip);
                    }
                }
                None if !is_addressee => {}
                None if node.data_centre() == Some(&self.data_centre) => plan.local.push(node.ip),
                None => plan.remote.push(node.ip),
            }
        }
        for (data_centre, nodes) in centres {
            let candidates = nodes.candidates();
            if candidates.is_empty() || nodes.relayed.len() <= MAX_DIRECT_ADDRESSEES {
                plan.remote.extend(nodes.relayed);
                continue;
            }
            let count = match copies {
                RelayCopies::Single => 1,
                RelayCopies::Doubled => 2.min(candidates.len()),
            };
            for _ in 0..count {
                let position = self.next_position(data_centre, candidates.len());
                plan.relays.push(candidates[position]);
            }
        }
        plan
    }

    /// Returns the position of the next relay among `count` candidates: any but the last one. The steps
    /// vary, so that messages of one kind do not always go through the same relay.
    fn next_position(&mut self, data_centre: &DataCentreId, count: usize) -> usize {
        self.turn += 1;
        let hash = self.seed.with(StableHash::of(self.turn.to_be_bytes())).0;
        let position = match self.last_positions.get(data_centre) {
            Some(last) if count > 1 => {
                let step = 1 + (hash % (count as u64 - 1)) as usize;
                (last + step) % count
            }
            _ => (hash % count as u64) as usize,
        };
        self.last_positions.insert(data_centre.clone(), position);
        position
    }
}
