//! Tests which targets a node keeps, and tells others to keep, after its own calls to the store have failed.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use damaskloom_entry::peer_rows::{PeerReading, RowsAnswer, ask_reading};
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_lib::store_health::StoreReading;
use damaskloom_testutils::soak_plan::PathFault;
use damaskloom_testutils::soak_proxy::PathProxy;
use http::StatusCode;
use tokio::task::LocalSet;

use crate::fixture::{EntryNode, PEER_PORT, TargetBehaviour, start_store, wait_until};
use crate::test_row_fetches::{ReaderPeer, ask_rows, fleet_secret};

/// Long enough for the failed calls of a node to count as an outage, and for the peer's reading to count.
const PARTITION: Duration = Duration::from_millis(3_500);
/// A peer's reading of a store that was never away.
const READING: StoreReading = StoreReading {
    era: 0,
    answering_ms: 60_000,
};

/// Guards against a node that keeps a target which has left, and tells others to keep it, since it was partitioned
/// from the store for some seconds and takes that for an outage.
#[tokio::test]
async fn a_node_that_was_partitioned_from_the_store_alone_hands_on_no_grace_period() {
    LocalSet::new()
        .run_until(async {
            let (store, target) = start_store(TargetBehaviour::Succeeds).await;
            store.put("servers", "i-1", target.row("ready"));
            let path = PathProxy::start(store.address()).await;
            let path = path.expect("loopback has a free port");
            let node = EntryNode::start_with_store(path.address(), PEER_PORT);
            node.wait_until_ready().await;
            let secret = fleet_secret(&store);
            let peer = ReaderPeer::start(secret.clone(), node.ip(), 9).await;
            peer.reading.set(Some(READING));
            path.set_fault(PathFault::Reset);
            tokio::time::sleep(PARTITION).await;
            store.remove("servers", "i-1");
            let removed_at = store.newest_version();
            path.set_fault(PathFault::None);
            let mut grace_left_ms = None;
            wait_until("the node hands the removal on", async || {
                let answer = ask_rows(&node, &secret, "/rows/targets?after=0").await;
                if answer.status() != StatusCode::OK {
                    return false;
                }
                let decoded = postcard::take_from_bytes::<RowsAnswer>(answer.body());
                let (rows, _) = decoded.expect("it can be decoded");
                grace_left_ms = Some(rows.grace_left_ms);
                u64::from(rows.version) >= removed_at
            })
            .await;
            assert_eq!(grace_left_ms, Some(0));
            assert_eq!(node.metric("damaskloom_targets").await, Some(1.0));
        })
        .await;
}

/// Guards against a build that takes what the build before answers for a reading of the store.
#[tokio::test]
async fn a_peer_of_the_build_before_says_nothing_of_the_store() {
    LocalSet::new()
        .run_until(async {
            let secret = SharedSecret::new(vec![7; 32]);
            let node = IpAddr::V4(Ipv4Addr::new(127, 78, 1, 10));
            let peer = ReaderPeer::start(secret.clone(), node, 10).await;
            let address = SocketAddr::from(([127, 78, 0, 10], PEER_PORT));
            let ask = async || ask_reading(&secret, address, PARTITION).await;
            assert_eq!(ask().await, Some(PeerReading::Unsupported));
            peer.reading.set(Some(READING));
            assert_eq!(ask().await, Some(PeerReading::Answering(READING)));
        })
        .await;
}
