//! Registration: how a node gets its incarnation and announces itself to the fleet.
//!
//! A node writes one row when it starts and none after that. The write is conditional on the row's
//! version, which orders the starts on one VM: a later start has a higher incarnation. See
//! [docs/design/membership.md](../../docs/design/membership.md).

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, Incarnation, NodeId, VmId};
use crate::platform::{
    CommitOutcome, Condition, Mutation, PlatformError, RowKey, TableRow, Transaction,
};
use crate::time::MonoTime;

/// The prefix of the rows of registered nodes.
pub const MEMBER_ROW_PREFIX: &str = "member/";

const MIN_RETRY_DELAY_MS: u64 = 200;
const MAX_RETRY_DELAY_MS: u64 = 5_000;

/// A node's registration, as its row holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberRecord {
    /// The node.
    pub node: NodeId,
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// Where the node listens for peers.
    pub peer_address: SocketAddr,
    /// Where the node listens for callers.
    pub caller_address: SocketAddr,
    /// A random number that distinguishes this start's write from those of other starts.
    #[serde(default)]
    pub token: u64,
}

impl MemberRecord {
    /// Returns the key of a VM's row.
    pub fn row_key(vm: &VmId) -> RowKey {
        RowKey(format!("{MEMBER_ROW_PREFIX}{vm}"))
    }
}

/// An action that the registrar requests from its process.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistrarAction {
    /// Reads the row and gives it to [`MemberRegistrar::on_read`].
    Read(RowKey),
    /// Commits the transaction and gives the outcome to [`MemberRegistrar::on_commit`].
    Commit(Transaction),
    /// The node is registered.
    Registered(MemberRecord),
}

/// Registers one start of a node.
///
/// A write whose answer was lost is read back; the row's token shows whose write took effect.
#[derive(Clone, Debug)]
pub struct MemberRegistrar {
    record: MemberRecord,
    next_read: Option<MonoTime>,
    retry_delay_ms: u64,
    registered: bool,
}

impl MemberRegistrar {
    /// Creates a registrar.
    ///
    /// The record's incarnation is the lowest that the node may get, such as the wall clock in
    /// milliseconds, so that incarnations keep rising after a row has been deleted.
    pub fn new(record: MemberRecord) -> Self {
        Self {
            record,
            next_read: Some(MonoTime::ZERO),
            retry_delay_ms: MIN_RETRY_DELAY_MS,
            registered: false,
        }
    }

    /// Starts or retries the registration when it is due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<RegistrarAction> {
        if self.registered || self.next_read.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.next_read = None;
        vec![RegistrarAction::Read(MemberRecord::row_key(
            &self.record.node.vm,
        ))]
    }

    /// Handles the answer to a read.
    pub fn on_read(
        &mut self,
        now: MonoTime,
        answer: Result<Option<TableRow>, PlatformError>,
    ) -> Vec<RegistrarAction> {
        match answer {
            Ok(None) => vec![self.commit(None, self.record.node.incarnation)],
            Ok(Some(row)) => self.apply_row(now, &row),
            Err(_) => self.retry(now),
        }
    }

    /// Handles the outcome of a transaction.
    pub fn on_commit(
        &mut self,
        now: MonoTime,
        outcome: Result<CommitOutcome, PlatformError>,
    ) -> Vec<RegistrarAction> {
        match outcome {
            Ok(CommitOutcome::Committed) => self.finish(),
            Ok(CommitOutcome::Conflict(_)) | Err(_) => self.retry(now),
        }
    }

    fn apply_row(&mut self, now: MonoTime, row: &TableRow) -> Vec<RegistrarAction> {
        let Ok(known) = serde_json::from_value::<MemberRecord>(row.value.clone()) else {
            return self.retry(now);
        };
        if known.token == self.record.token {
            self.record.node.incarnation = known.node.incarnation;
            return self.finish();
        }
        let next = known.node.incarnation.next();
        vec![self.commit(Some(row), next)]
    }

    fn commit(&mut self, row: Option<&TableRow>, at_least: Incarnation) -> RegistrarAction {
        let node = &mut self.record.node;
        node.incarnation = node.incarnation.max(at_least);
        let key = MemberRecord::row_key(&node.vm);
        let condition = match row {
            Some(row) => Condition::VersionIs(key.clone(), row.version),
            None => Condition::Absent(key.clone()),
        };
        let value = serde_json::to_value(&self.record).expect("records are plain data");
        RegistrarAction::Commit(Transaction {
            conditions: vec![condition],
            mutations: vec![Mutation::Put(key, value)],
        })
    }

    fn finish(&mut self) -> Vec<RegistrarAction> {
        self.registered = true;
        vec![RegistrarAction::Registered(self.record.clone())]
    }

    fn retry(&mut self, now: MonoTime) -> Vec<RegistrarAction> {
        self.next_read = Some(now + Duration::from_millis(self.retry_delay_ms));
        self.retry_delay_ms = (self.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
        Vec::new()
    }
}
