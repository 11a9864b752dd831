//! Collects the roll-out status of revisions.
//!
//! The gateways are queried directly, since they don't write their revision to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::ids::Revision;
use damaskloom_lib::platform::{TableStore, VmList};
use damaskloom_lib::table_layout::{HeadRow, head_key};
use futures::{StreamExt, stream};
use http::Uri;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexSet;
use serde::Deserialize;

use crate::settings::OperatorSettings;
use crate::wire::{FleetStatus, GatewayStatus, NodeStatus};

/// The time limit for a gateway's response, and for connecting to it.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The number of gateways that are queried concurrently.
const STATUS_CONCURRENCY: usize = 64;

/// The largest response body that is read from a gateway.
const MAX_STATUS_BYTES: usize = 64 << 10;

type StatusClient = Client<HttpConnector, Empty<Bytes>>;

/// Queries all gateways of the settings and the VM list for their revision.
pub(crate) async fn fleet_status(
    platform: &(impl TableStore + VmList),
    settings: &OperatorSettings,
) -> FleetStatus {
    let head = read_head(platform).await;
    let mut addresses: IndexSet<SocketAddr> = settings.gateways.iter().copied().collect();
    if let Some(port) = settings.gateway_status_port {
        let vms = platform.list_vms().await.unwrap_or_default();
        addresses.extend(
            vms.iter()
                .map(|vm| SocketAddr::new(vm.peer_address.ip(), port)),
        );
    }
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(STATUS_TIMEOUT));
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let queries = addresses
        .into_iter()
        .map(|address| query_gateway(client.clone(), address));
    let nodes = stream::iter(queries)
        .buffered(STATUS_CONCURRENCY)
        .collect()
        .await;
    FleetStatus { head, nodes }
}

/// Reads the newest accepted revision; a table without a head row is at the default revision.
async fn read_head(store: &impl TableStore) -> Option<Revision> {
    match store.get(&head_key()).await.ok()? {
        None => Some(Revision::default()),
        Some(row) => Some(HeadRow::deserialize(&row.value).ok()?.revision),
    }
}

async fn query_gateway(client: StatusClient, address: SocketAddr) -> NodeStatus {
    let response = tokio::time::timeout(STATUS_TIMEOUT, get_status(client, address)).await;
    NodeStatus {
        address,
        status: response.ok().flatten(),
    }
}

async fn get_status(client: StatusClient, address: SocketAddr) -> Option<GatewayStatus> {
    let uri: Uri = format!("http://{address}/v1/status").parse().ok()?;
    let response = client.get(uri).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_STATUS_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
