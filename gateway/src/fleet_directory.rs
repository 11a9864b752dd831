//! The fleet's members as this node knows them, for directory answers.

use std::sync::RwLock;
use std::time::Duration;

use damaskloom_lib::config::Customer;
use damaskloom_lib::directory::{
    DirectoryAnswer, DirectoryMember, DirectoryPlanner, DirectoryQuery, DirectorySettings,
};

/// Answers which gateways a caller should use.
#[derive(Debug)]
pub struct FleetDirectory {
    planner: RwLock<DirectoryPlanner>,
}

impl FleetDirectory {
    /// Makes a directory whose answers may be cached for `lifetime_ms`.
    pub fn new(lifetime_ms: u64) -> Self {
        let settings = DirectorySettings {
            lifetime_ms,
            ..DirectorySettings::default()
        };
        Self {
            planner: RwLock::new(DirectoryPlanner::new(settings)),
        }
    }

    /// Replaces the gateways that answers may name.
    pub fn set_members(&self, members: impl IntoIterator<Item = DirectoryMember>) {
        self.planner
            .write()
            .expect("no holder of the directory panics")
            .set_members(members);
    }

    /// Replaces the customers, whose rates decide how many gateways each is spread over.
    pub fn set_customers(&self, customers: &[Customer]) {
        let rates = customers
            .iter()
            .map(|customer| (&customer.id, customer.rate));
        self.planner
            .write()
            .expect("no holder of the directory panics")
            .set_customers(rates);
    }

    /// Returns the longest time for which a caller may cache an answer.
    pub fn max_lifetime(&self) -> Duration {
        self.planner
            .read()
            .expect("no holder of the directory panics")
            .max_lifetime()
    }

    /// Answers a caller's query.
    pub fn answer(&self, query: &DirectoryQuery<'_>) -> DirectoryAnswer {
        self.planner
            .read()
            .expect("no holder of the directory panics")
            .answer(query)
    }
}
