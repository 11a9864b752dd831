//! Assigns the claims of request ids to the members of one epoch.

use damaskloom_lib::claim_client::ClaimAssignment;
use damaskloom_lib::claim_message::{ClaimKey, ClaimMessage};
use damaskloom_lib::ids::{DataCentreId, Epoch, NodeId, VmId};
use damaskloom_lib::rendezvous::{StableHash, top_members};

/// The largest total size of the retained answers in a handover, in bytes; well below the largest
/// frame between peers.
const MAX_HANDOVER_ANSWER_BYTES: usize = 128 << 10;

/// A member of an epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimMember {
    /// The node.
    pub node: NodeId,
    /// The node's data centre.
    pub data_centre: DataCentreId,
}

/// The members of one epoch.
///
/// The epoch and its members are kept together: an owner that is found among the members of one
/// epoch and used with the number of another would be a second owner.
#[derive(Clone, Debug, Default)]
pub struct ClaimFleet {
    epoch: Epoch,
    members: Vec<ClaimMember>,
    hashes: Vec<StableHash>,
}

impl ClaimFleet {
    /// Makes the fleet of an epoch from its members.
    pub fn new(epoch: Epoch, members: impl IntoIterator<Item = ClaimMember>) -> Self {
        let members: Vec<ClaimMember> = members.into_iter().collect();
        let hashes = members.iter().map(|member| member_hash(&member.node));
        Self {
            epoch,
            hashes: hashes.collect(),
            members,
        }
    }

    /// Returns the epoch.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the members.
    pub fn members(&self) -> &[ClaimMember] {
        &self.members
    }

    /// Returns the data centre of a VM, if the VM is a member.
    pub fn data_centre(&self, vm: &VmId) -> Option<&DataCentreId> {
        let mut members = self.members.iter();
        let member = members.find(|member| member.node.vm == *vm)?;
        Some(&member.data_centre)
    }

    /// Returns the owner of a request id and, as the copy holder, the highest-ranked node of
    /// another data centre; `None` if the fleet has no members.
    pub fn assign(&self, key: &ClaimKey) -> Option<ClaimAssignment> {
        let hash = StableHash::of(key.customer.as_bytes())
            .with(StableHash::of(key.request_id.to_string()));
        let owner = &self.members[*top_members(hash, &self.hashes, 1).first()?];
        Some(ClaimAssignment {
            epoch: self.epoch,
            owner: owner.node.clone(),
            copy_holder: self.choose_copy_holder(hash, &owner.data_centre),
        })
    }

    fn choose_copy_holder(&self, key: StableHash, owner: &DataCentreId) -> Option<NodeId> {
        let members = self.members.iter().zip(&self.hashes);
        let others = members.filter(|(member, _)| member.data_centre != *owner);
        let (others, hashes): (Vec<&ClaimMember>, Vec<StableHash>) = others.unzip();
        let best = *top_members(key, &hashes, 1).first()?;
        Some(others[best].node.clone())
    }
}

/// Returns a separate data centre for a node whose data centre is unknown, so that its loss is
/// never taken for a loss within another node's data centre.
pub(crate) fn placeholder_data_centre(node: &NodeId) -> DataCentreId {
    let name = format!("of-{}", node.vm);
    let id = name.parse().or_else(|_| node.vm.as_str().parse());
    id.expect("names of VMs are valid identifiers")
}

fn member_hash(node: &NodeId) -> StableHash {
    StableHash::of(node.to_string())
}

/// Removes the answers from a handover that would not fit into a frame; their request ids are then
/// spent.
pub(crate) fn limit_handover_size(message: ClaimMessage) -> ClaimMessage {
    let mut message = message;
    if let ClaimMessage::Handover { claims, .. } = &mut message {
        let mut bytes = 0;
        for claim in claims {
            let size = claim.answer.as_ref().map_or(0, |answer| answer.size());
            bytes += size;
            if bytes > MAX_HANDOVER_ANSWER_BYTES {
                bytes -= size;
                claim.answer = None;
            }
        }
    }
    message
}
