//! Registers this start of the process in the platform's table.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::platform::TableStore;
use damaskloom_lib::registration::{MemberRecord, MemberRegistrar, RegistrarAction};
use damaskloom_platform::client::PlatformClient;
use rand::Rng;

use crate::clock::MonoClock;
use crate::settings::GatewaySettings;

/// The interval at which the registrar is checked for a due retry, in milliseconds.
const RETRY_CHECK_INTERVAL_MS: u64 = 50;

/// Registers a node and returns its record; retries until the platform answers.
///
/// The listeners must already be bound, so that a registered start proves that earlier starts on
/// the VM have stopped.
pub async fn register(
    settings: &GatewaySettings,
    client: &PlatformClient,
    clock: MonoClock,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
) -> MemberRecord {
    let record = MemberRecord {
        node: NodeId {
            vm: settings.vm.clone(),
            incarnation: lowest_incarnation(),
        },
        data_centre: settings.data_centre.clone(),
        peer_address,
        caller_address,
        token: rand::rng().random(),
    };
    let mut registrar = MemberRegistrar::new(record);
    loop {
        let mut actions = registrar.tick(clock.now());
        while let Some(action) = actions.pop() {
            actions.extend(match action {
                RegistrarAction::Read(key) => {
                    let answer = client.get(&key).await;
                    registrar.on_read(clock.now(), answer)
                }
                RegistrarAction::Commit(transaction) => {
                    let outcome = client.commit(&transaction).await;
                    registrar.on_commit(clock.now(), outcome)
                }
                RegistrarAction::Registered(record) => return record,
            });
        }
        tokio::time::sleep(Duration::from_millis(RETRY_CHECK_INTERVAL_MS)).await;
    }
}

/// Returns the wall clock in milliseconds, which is above the numbers of earlier starts even if
/// their row was deleted.
fn lowest_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
