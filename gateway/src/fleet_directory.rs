//! The fleet's members as this node knows them, for directory answers.

use std::net::SocketAddr;
use std::sync::RwLock;

use damaskloom_lib::config::Route;
use damaskloom_lib::ids::{CustomerId, VmId};

/// A gateway that callers may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryEntry {
    /// The gateway's VM.
    pub vm: VmId,
    /// Where callers connect.
    pub address: SocketAddr,
}

/// Answers which gateways a caller should use.
#[derive(Debug, Default)]
pub struct FleetDirectory {
    entries: RwLock<Vec<DirectoryEntry>>,
}

impl FleetDirectory {
    /// Replaces the gateways that callers may be sent to.
    pub fn set_entries(&self, entries: Vec<DirectoryEntry>) {
        *self
            .entries
            .write()
            .expect("no holder of the directory lock panics") = entries;
    }

    /// Returns the gateways for a customer's requests on a route, the best first.
    pub fn entries(&self, _customer: Option<&CustomerId>, _route: &Route) -> Vec<SocketAddr> {
        let entries = self
            .entries
            .read()
            .expect("no holder of the directory lock panics");
        entries.iter().map(|entry| entry.address).collect()
    }
}
