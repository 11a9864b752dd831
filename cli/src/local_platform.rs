//! The platform stand-in of a local fleet, which holds the fleet's configuration.

use std::net::SocketAddr;

use damaskloom_lib::config::{ConfigChange, ConfigDelta, FleetConfig};
use damaskloom_lib::ids::Revision;
use damaskloom_lib::platform::{
    CommitOutcome, Condition, Mutation, ObjectStore, PlatformError, TableStore, Transaction,
};
use damaskloom_lib::table_layout::{
    HeadRow, SnapshotPart, SnapshotRow, delta_key, head_key, snapshot_key,
};
use damaskloom_platform::client::{ClientSettings, PlatformClient};
use damaskloom_testutils::platform_faults::PlatformFaults;
use damaskloom_testutils::platform_server::{PlatformServer, ServerError};
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

/// The error of the platform stand-in.
#[derive(Debug, Snafu)]
pub enum LocalPlatformError {
    /// The stand-in could not start.
    #[snafu(display("the platform stand-in cannot start"))]
    Start {
        /// The error of the server.
        source: ServerError,
    },
    /// A call failed.
    #[snafu(display("a call to the platform stand-in failed"))]
    Call {
        /// The error of the platform's client.
        source: PlatformError,
    },
    /// Another change was accepted concurrently.
    #[snafu(display("another change was accepted concurrently"))]
    Conflict,
}

/// A platform stand-in with the configuration of one fleet.
pub struct LocalPlatform {
    server: PlatformServer,
    client: PlatformClient,
    revision: Revision,
}

impl LocalPlatform {
    /// Starts the stand-in and stores a configuration as its snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in cannot start or store the configuration.
    pub async fn start(config: &FleetConfig) -> Result<Self, LocalPlatformError> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = PlatformServer::start(loopback).await.context(StartSnafu)?;
        let client = PlatformClient::new(server.address(), ClientSettings::default());
        let part = SnapshotPart {
            revision: config.revision,
            changes: config.changes().collect(),
        };
        let body = serde_json::to_vec(&part).expect("a snapshot is always valid JSON");
        let snapshot = SnapshotRow {
            revision: config.revision,
            name: format!("snapshot/{}", config.revision),
            parts: 1,
        };
        client
            .put_object(&snapshot.part_name(0), body.into())
            .await
            .context(CallSnafu)?;
        let platform = Self {
            server,
            client,
            revision: config.revision,
        };
        let mutations = vec![
            put(snapshot_key(), &snapshot),
            put(
                head_key(),
                &HeadRow {
                    revision: config.revision,
                },
            ),
        ];
        platform
            .commit(Transaction {
                conditions: Vec::new(),
                mutations,
            })
            .await?;
        Ok(platform)
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults that the stand-in injects.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.server.set_faults(faults);
    }

    /// Returns the stand-in's server, for its VM list and its counters.
    pub fn server(&self) -> &PlatformServer {
        &self.server
    }

    /// Commits changes as the next revision.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or another change was accepted concurrently.
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
        ensure!(outcome == CommitOutcome::Committed, ConflictSnafu);
        Ok(())
    }
}

fn put(key: damaskloom_lib::platform::RowKey, value: &impl Serialize) -> Mutation {
    let value = serde_json::to_value(value).expect("rows are always valid JSON");
    Mutation::Put(key, value)
}
