//! The platform stand-in of a local fleet, and how the fleet's configuration gets into it.

use std::net::SocketAddr;

use damaskloom_lib::config::{ConfigChange, ConfigDelta, FleetConfig};
use damaskloom_lib::ids::Revision;
use damaskloom_lib::platform::{
    CommitOutcome, Condition, Mutation, PlatformError, TableStore, Transaction,
};
use damaskloom_lib::table_layout::{HeadRow, delta_key, head_key};
use damaskloom_platform::client::{ClientSettings, PlatformClient};
use damaskloom_testutils::platform_faults::PlatformFaults;
use damaskloom_testutils::platform_server::{PlatformServer, ServerError};
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

/// Says why the platform stand-in could not be used.
#[derive(Debug, Snafu)]
pub enum LocalPlatformError {
    /// It could not start.
    #[snafu(display("the platform stand-in cannot start"))]
    Start {
        /// Why.
        source: ServerError,
    },
    /// A call failed.
    #[snafu(display("a call of the platform stand-in failed"))]
    Call {
        /// How.
        source: PlatformError,
    },
    /// Another change was accepted meanwhile.
    #[snafu(display("another change was accepted meanwhile"))]
    Raced,
}

/// A platform stand-in with the configuration of one fleet.
pub struct LocalPlatform {
    server: PlatformServer,
    client: PlatformClient,
    revision: Revision,
}

impl LocalPlatform {
    /// Starts the stand-in and stores a configuration as its first revision.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in cannot start or take the configuration.
    pub async fn start(config: &FleetConfig) -> Result<Self, LocalPlatformError> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = PlatformServer::start(loopback).await.context(StartSnafu)?;
        let client = PlatformClient::new(server.address(), ClientSettings::default());
        let mut platform = Self {
            server,
            client,
            revision: Revision::default(),
        };
        platform.accept(config.changes().collect()).await?;
        Ok(platform)
    }

    /// Returns where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes how the stand-in fails.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.server.set_faults(faults);
    }

    /// Returns the stand-in, to set its VM list and to read its counters.
    pub fn server(&self) -> &PlatformServer {
        &self.server
    }

    /// Accepts changes as the next revision.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or another change was accepted meanwhile.
    pub async fn accept(
        &mut self,
        changes: Vec<ConfigChange>,
    ) -> Result<Revision, LocalPlatformError> {
        let revision = self.revision.next();
        let head = self.client.get(&head_key()).await.context(CallSnafu)?;
        let conditions = head
            .map(|row| Condition::VersionIs(row.key, row.version))
            .into_iter()
            .collect();
        let delta = ConfigDelta { revision, changes };
        let mutations = vec![
            put(delta_key(revision), &delta),
            put(head_key(), &HeadRow { revision }),
        ];
        self.commit(Transaction {
            conditions,
            mutations,
        })
        .await?;
        self.revision = revision;
        Ok(revision)
    }

    async fn commit(&self, transaction: Transaction) -> Result<(), LocalPlatformError> {
        let outcome = self.client.commit(&transaction).await.context(CallSnafu)?;
        ensure!(outcome == CommitOutcome::Committed, RacedSnafu);
        Ok(())
    }
}

fn put(key: damaskloom_lib::platform::RowKey, value: &impl Serialize) -> Mutation {
    let value = serde_json::to_value(value).expect("rows are always valid JSON");
    Mutation::Put(key, value)
}
