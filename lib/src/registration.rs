//! Registration: how a node gets its incarnation and makes itself known.
//!
//! A node writes one row when it starts, and none after that. The row's condition orders the starts
//! on one VM, so that a later start has a higher incarnation. See
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

/// What a node makes known about itself.
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
    /// A random number that tells this start's write from another's.
    #[serde(default)]
    pub token: u64,
}

impl MemberRecord {
    /// Returns the key of a VM's row.
    pub fn row_key(vm: &VmId) -> RowKey {
        RowKey(format!("{MEMBER_ROW_PREFIX}{vm}"))
    }
}

/// What the registrar wants done.
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
/// A write whose answer was lost is read back: the row's token tells whose write took effect.
#[derive(Clone, Debug)]
pub struct MemberRegistrar {
    record: MemberRecord,
    next_read: Option<MonoTime>,
    retry_delay_ms: u64,
    registered: bool,
}

impl MemberRegistrar {
    /// Makes a registrar.
    ///
    /// The record's incarnation is the lowest that the node may get, such as the wall clock's
    /// milliseconds: it keeps incarnations rising when a row has been deleted.
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

    /// Takes the answer to a read.
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

    /// Takes the outcome of a transaction.
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
