//! The state of one peer: its registration, its VM, its reported status and its probes.

use std::time::Duration;

use crate::directory::{DirectoryMember, MemberStanding};
use crate::membership_types::{PeerState, ServingStatus};
use crate::peer_probe::PeerProbe;
use crate::platform::{VmEntry, VmState};
use crate::registration::MemberRecord;
use crate::time::MonoTime;

/// The state of one peer.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) record: MemberRecord,
    pub(crate) probe: PeerProbe,
    pub(crate) status: ServingStatus,
    listed: Option<VmState>,
    absent_since: Option<MonoTime>,
    pub(crate) removed: bool,
    /// The state that was reported last by an action.
    pub(crate) reported: PeerState,
}

impl MemberEntry {
    pub(crate) fn new(record: MemberRecord) -> Self {
        Self {
            record,
            probe: PeerProbe::default(),
            status: ServingStatus::Serving,
            listed: None,
            absent_since: None,
            removed: false,
            reported: PeerState::Alive,
        }
    }

    pub(crate) fn state(&self) -> PeerState {
        let leaving = self.listed == Some(VmState::Leaving)
            || matches!(
                self.status,
                ServingStatus::Leaving | ServingStatus::Stopping
            );
        match self.probe.state() {
            _ if self.removed => PeerState::Removed,
            PeerState::Unreachable => PeerState::Unreachable,
            _ if leaving => PeerState::Leaving,
            state => state,
        }
    }

    /// Applies the peer's entry in the VM list.
    ///
    /// An outdated list may lack a new VM, so a VM counts as removed only once it has been listed
    /// and then been absent for `lag`.
    pub(crate) fn apply_vm_list(&mut self, now: MonoTime, entry: Option<&VmEntry>, lag: Duration) {
        match entry {
            Some(entry) => {
                self.listed = Some(entry.state);
                self.absent_since = None;
            }
            None if self.listed.is_some() => {
                let since = *self.absent_since.get_or_insert(now);
                self.removed |= now.since(since) >= lag;
            }
            None => {}
        }
    }

    /// Applies the reported status; returns whether the peer has just announced that it leaves.
    ///
    /// A planned stop is final, so that an older message that arrives late cannot undo it.
    pub(crate) fn apply_status(&mut self, status: ServingStatus) -> bool {
        let leaves = |status| matches!(status, ServingStatus::Leaving | ServingStatus::Stopping);
        let was_leaving = leaves(self.status);
        if !was_leaving || status == ServingStatus::Stopping {
            self.status = status;
        }
        !was_leaving && leaves(status)
    }

    /// Returns the directory's view of the peer.
    pub(crate) fn directory_member(&self) -> DirectoryMember {
        directory_member(&self.record, self.state(), self.status)
    }
}

/// Returns the directory's view of a node.
pub(crate) fn directory_member(
    record: &MemberRecord,
    state: PeerState,
    status: ServingStatus,
) -> DirectoryMember {
    let standing = match (state, status) {
        (PeerState::Removed | PeerState::Unreachable, _) => MemberStanding::Unreachable,
        (PeerState::Leaving, _) | (_, ServingStatus::Leaving | ServingStatus::Stopping) => {
            MemberStanding::Leaving
        }
        (_, ServingStatus::Fenced) => MemberStanding::Stale,
        (_, ServingStatus::Serving) => MemberStanding::Serving,
    };
    DirectoryMember {
        vm: record.node.vm.clone(),
        data_centre: record.data_centre.clone(),
        address: record.caller_address,
        standing,
    }
}
