//! The epoch keeper's calls to the table, one at a time.

use std::time::Duration;

use crate::epoch_types::{EPOCH_ROW, EpochRow, StoreCallId};
use crate::platform::{CommitOutcome, Condition, PlatformError, RowKey, RowVersion};
use crate::time::MonoTime;

/// The state of the row in the table, as far as it is known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum RowState {
    #[default]
    Unknown,
    Absent,
    At(RowVersion),
}

/// A call whose answer is awaited.
#[derive(Clone, Debug)]
struct StoreCall {
    id: StoreCallId,
    since: MonoTime,
    /// The proposed row; none if the call is a read.
    proposal: Option<Box<EpochRow>>,
}

/// Tracks the calls and interprets their answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreCaller {
    state: RowState,
    call: Option<StoreCall>,
    last_id: StoreCallId,
    /// Whether a proposal may have taken effect without a known outcome.
    outcome_unknown: bool,
    next_read: MonoTime,
}

impl StoreCaller {
    pub(crate) const fn is_idle(&self) -> bool {
        self.call.is_none()
    }

    pub(crate) const fn is_outcome_unknown(&self) -> bool {
        self.outcome_unknown
    }

    /// Returns the condition under which the next row may be written; none if the row's version is
    /// not known.
    pub(crate) fn condition(&self) -> Option<Condition> {
        let key = RowKey::from(EPOCH_ROW);
        match self.state {
            RowState::Unknown => None,
            RowState::Absent => Some(Condition::Absent(key)),
            RowState::At(version) => Some(Condition::VersionIs(key, version)),
        }
    }

    /// Starts a read, unless a call is in flight or the last read started less than `retry` ago.
    pub(crate) fn start_read(&mut self, now: MonoTime, retry: Duration) -> bool {
        if now < self.next_read || self.call.is_some() {
            return false;
        }
        self.next_read = now + retry;
        self.start(now, None);
        true
    }

    pub(crate) fn start_commit(&mut self, now: MonoTime, row: EpochRow) -> StoreCallId {
        self.start(now, Some(Box::new(row)))
    }

    /// Drops a call that has no answer within the timeout; whether it took effect is unknown.
    pub(crate) fn expire_call(&mut self, now: MonoTime, timeout: Duration) {
        let late = |call: &StoreCall| now.since(call.since) >= timeout;
        if self.call.as_ref().is_some_and(late) {
            self.call = None;
            self.state = RowState::Unknown;
            self.outcome_unknown = true;
        }
    }

    /// Records that a read has been answered or has failed.
    pub(crate) fn finish_read(&mut self) {
        self.call.take_if(|call| call.proposal.is_none());
    }

    pub(crate) fn record_absent(&mut self) {
        self.outcome_unknown = false;
        self.state = RowState::Absent;
    }

    pub(crate) fn record_version(&mut self, version: RowVersion) {
        self.outcome_unknown = false;
        self.state = RowState::At(version);
    }

    /// Records that the row's version is no longer known.
    pub(crate) fn forget_version(&mut self) {
        self.state = RowState::Unknown;
    }

    /// Records the outcome of a proposal, and returns the row if it was committed.
    ///
    /// The outcome of an earlier call does not end the one in flight.
    pub(crate) fn finish_commit(
        &mut self,
        id: StoreCallId,
        outcome: Result<CommitOutcome, PlatformError>,
    ) -> Option<EpochRow> {
        // Whatever the outcome, the version that the proposal was based on may be outdated now.
        self.state = RowState::Unknown;
        let ended = self.call.take_if(|call| call.id == id);
        let proposal = ended.and_then(|call| call.proposal);
        match (outcome, proposal) {
            (Ok(CommitOutcome::Committed), Some(row)) => Some(*row),
            (Err(PlatformError::Unavailable { .. }), _) => None,
            _ => {
                self.outcome_unknown = true;
                None
            }
        }
    }

    fn start(&mut self, now: MonoTime, proposal: Option<Box<EpochRow>>) -> StoreCallId {
        self.last_id = self.last_id.next();
        self.call = Some(StoreCall {
            id: self.last_id,
            since: now,
            proposal,
        });
        self.last_id
    }
}
