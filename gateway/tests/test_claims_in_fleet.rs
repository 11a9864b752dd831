//! Claims in a fleet whose members find each other through the platform: the first run, resends and
//! a planned stop.

use std::net::SocketAddr;
use std::time::Duration;

use damaskloom_gateway::process::GatewayProcess;
use damaskloom_lib::config::{ConfigChange, ConfigDelta, FleetConfig};
use damaskloom_lib::ids::Revision;
use damaskloom_lib::platform::{CommitOutcome, Mutation, TableStore, Transaction};
use damaskloom_lib::table_layout::{HeadRow, delta_key, head_key};
use damaskloom_platform::client::{ClientSettings, PlatformClient};
use damaskloom_testutils::platform_server::PlatformServer;
use damaskloom_testutils::target_server::{TargetHandle, TargetServer};
use damaskloom_testutils::target_settings::TargetSettings;

use crate::claim_fixture::{booking, long_deadline};
use crate::fixture::{RawAnswer, send_raw, settings};

/// The largest number of rounds of a wait, which only a fault reaches.
const MAX_ROUNDS: usize = 2_000;
const ROUND_INTERVAL: Duration = Duration::from_millis(20);
const DATA_CENTRES: [&str; 3] = ["khatgal", "khankh", "toilogt"];

async fn accept_config(platform: SocketAddr, config: FleetConfig) {
    let services = config.services.into_values().map(ConfigChange::PutService);
    let customers = config.customers.into_values();
    let changes = services
        .chain(customers.map(ConfigChange::PutCustomer))
        .chain(config.keys.iter().map(ConfigChange::PutKey))
        .chain(config.routes.into_values().map(ConfigChange::PutRoute))
        .chain(config.targets.into_values().map(ConfigChange::PutTarget));
    let delta = ConfigDelta {
        revision: Revision(1),
        changes: changes.collect(),
    };
    let head = HeadRow {
        revision: Revision(1),
    };
    let json = "rows are valid JSON";
    let transaction = Transaction {
        conditions: Vec::new(),
        mutations: vec![
            Mutation::Put(
                delta_key(Revision(1)),
                serde_json::to_value(&delta).expect(json),
            ),
            Mutation::Put(head_key(), serde_json::to_value(head).expect(json)),
        ],
    };
    let client = PlatformClient::new(platform, ClientSettings::default());
    let committed = client.commit(&transaction).await;
    assert_eq!(committed, Ok(CommitOutcome::Committed));
}

async fn start_fleet(platform: &PlatformServer, target: &TargetHandle) -> Vec<GatewayProcess> {
    let mut gateways = Vec::new();
    for (index, data_centre) in DATA_CENTRES.into_iter().enumerate() {
        let vm = format!("vm-{index}");
        let mut settings = settings(&vm, data_centre, &[target.address()], long_deadline);
        if let Some(config) = settings.config.take().filter(|_| index == 0) {
            accept_config(platform.address(), config).await;
        }
        settings.platform = Some(platform.address());
        settings.peer_secret = "the secret of a test fleet".to_owned();
        let process = GatewayProcess::start(settings).await;
        gateways.push(process.expect("loopback is free"));
    }
    gateways
}

/// Waits until all gateways are members of one epoch and none acts on an earlier one.
async fn wait_until_settled(gateways: &[GatewayProcess]) {
    for _ in 0..MAX_ROUNDS {
        let is_settled = gateways.iter().all(|gateway| {
            let epoch = &gateway.state.epoch;
            epoch.members().len() == gateways.len() && epoch.unsettled_members().is_empty()
        });
        if is_settled {
            return;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
    panic!("the fleet never settles on one epoch");
}

/// Resends a booking until the outcome is the expected one.
async fn book_until(address: SocketAddr, id: &str, expected: &str) -> RawAnswer {
    let mut last = String::new();
    for _ in 0..MAX_ROUNDS {
        let answer = send_raw(address, booking(id, "convoy")).await;
        last = answer.outcome();
        if last == expected {
            return answer;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
    panic!("never {expected}, last {last}");
}

#[tokio::test]
async fn a_fleet_runs_each_id_once_through_a_planned_stop() {
    let loopback = "127.0.0.1:0".parse().expect("an address");
    let platform = PlatformServer::start(loopback).await.expect("loopback");
    let target = TargetServer::start(TargetSettings::default()).await;
    let target = target.expect("loopback is free");
    let mut gateways = start_fleet(&platform, &target).await;
    let address = |gateways: &[GatewayProcess], index: usize| gateways[index].caller_address();
    // An id whose claim is open when an epoch begins is spent, so that these may not get an answer.
    let early_ids: Vec<String> = (0..3).map(|number| format!("early-{number}")).collect();
    for id in &early_ids {
        send_raw(address(&gateways, 0), booking(id, "convoy")).await;
    }
    wait_until_settled(&gateways).await;
    let ids: Vec<String> = (0..9).map(|number| format!("r-{number}")).collect();
    for id in &ids {
        let first = book_until(address(&gateways, 0), id, "200 - -").await;
        for index in [1, 2] {
            let resent = book_until(address(&gateways, index), id, "200 - -").await;
            assert_eq!(resent.body, first.body);
        }
    }
    gateways.remove(0).stop().await;
    for id in &ids {
        for index in [0, 1] {
            // The gateway that stopped has handed over the answers that it retained.
            book_until(address(&gateways, index), id, "200 - -").await;
        }
    }
    for id in &ids {
        let executions = target.executions();
        let of_id = executions
            .iter()
            .filter(|execution| execution.request_id.as_ref() == Some(id));
        assert_eq!(of_id.count(), 1, "{id}");
    }
    for id in &early_ids {
        let executions = target.executions();
        let of_id = executions
            .iter()
            .filter(|execution| execution.request_id.as_ref() == Some(id));
        assert!(of_id.count() <= 1, "{id}");
    }
}
