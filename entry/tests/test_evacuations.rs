//! Tests entry nodes while operators evacuate data centres.

use std::rc::Rc;

use bytes::Bytes;
use damaskloom_entry::settings::EntrySettings;
use damaskloom_testutils::platform_faults::PlatformFaults;
use damaskloom_testutils::platform_server::PlatformServer;
use http::StatusCode;
use http_body_util::Empty;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::cut_network::{CutNetwork, NetworkCut};
use crate::fixture::{
    EntryNode, PEER_PORT, TargetBehaviour, TestTarget, booking, configuration, connect,
    node_settings, wait_until,
};
use crate::test_target_notices::HeldNetwork;

/// The metric with the number of evacuated data centres, and the start of its series with their names.
const METRIC: &str = "damaskloom_evacuated_data_centres";
/// The number of requests that show where requests go.
const REQUESTS: u32 = 30;

/// Targets in two data centres with their store.
struct TwoCentres {
    store: PlatformServer,
    near: Rc<TestTarget>,
    away: Rc<TestTarget>,
}

impl TwoCentres {
    async fn start() -> Self {
        let store = PlatformServer::start_local().await;
        let store = store.expect("loopback has a free port");
        store.put("op", "config", configuration(1, &["key-1"]));
        let near = TestTarget::start("i-near", TargetBehaviour::Succeeds).await;
        store.put("servers", "i-near", near.row("ready"));
        let away = TestTarget::start("i-away", TargetBehaviour::Succeeds).await;
        let row = away.row("ready").replace("\"near\"", "\"away\"");
        store.put("servers", "i-away", row);
        Self { store, near, away }
    }

    async fn node(&self) -> EntryNode {
        let mut settings = node_settings(self.store.address(), PEER_PORT);
        settings["data_centres"]["away"] = "region".into();
        let settings = EntrySettings::parse(settings.to_string(), "test").expect("valid settings");
        let node = EntryNode::start_with(settings);
        node.wait_until_ready().await;
        wait_until("the targets are known", async || {
            node.metric("damaskloom_targets").await == Some(2.0)
        })
        .await;
        node
    }

    /// Returns how many requests reach the targets nearby and away.
    async fn send_requests(&self, node: &EntryNode) -> [u32; 2] {
        let arrivals = || [self.near.arrivals.get(), self.away.arrivals.get()];
        let before = arrivals();
        for _ in 0..REQUESTS {
            let answer = node.send("GET", "/read/1", Some("key-1")).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        let after = arrivals();
        [after[0] - before[0], after[1] - before[1]]
    }
}

/// Returns the version of a data centre's row by the metric, or the number of evacuations without one.
async fn series(node: &EntryNode, data_centre: Option<&str>) -> Option<f64> {
    let text = node.metrics().await;
    let label = data_centre.map(|name| format!("data_centre=\"{name}\""));
    let mut lines = text.lines().filter(|line| line.starts_with(METRIC));
    let line = lines.find(|line| match &label {
        Some(label) => line.contains(label.as_str()),
        None => !line.contains("data_centre="),
    })?;
    line.rsplit(' ').next()?.parse().ok()
}

async fn wait_for_count(node: &EntryNode, count: f64) {
    wait_until("the evacuations are known", async || {
        series(node, None).await == Some(count)
    })
    .await;
}

async fn run_with_centres<F: Future<Output = ()>>(test: impl FnOnce(TwoCentres) -> F) {
    let local = LocalSet::new();
    local
        .run_until(async { test(TwoCentres::start().await).await })
        .await;
}

/// Guards against requests to a data centre whose row is written or written again, also of a node that
/// starts meanwhile, and against an evacuation that does not end with its row.
#[tokio::test]
async fn data_centre_gets_no_requests_while_its_row_exists() {
    run_with_centres(async |centres| {
        let node = centres.node().await;
        let store = &centres.store;
        for _ in 0..2 {
            assert!(centres.send_requests(&node).await[0] > 0);
            store.put("op", "evacuate/near", "{}");
            wait_for_count(&node, 1.0).await;
            assert_eq!(centres.send_requests(&node).await, [0, REQUESTS]);
            assert!(
                series(&node, Some("near"))
                    .await
                    .is_some_and(|version| version > 0.0)
            );
            let started = centres.node().await;
            assert_eq!(centres.send_requests(&started).await, [0, REQUESTS]);
            store.remove("op", "evacuate/near");
            wait_for_count(&node, 0.0).await;
            wait_for_count(&started, 0.0).await;
            assert_eq!(series(&node, Some("near")).await, Some(0.0));
        }
        assert!(centres.send_requests(&node).await[0] > 0);
    })
    .await;
}

/// Guards against callers that get no reason or no time to come back, and against nodes that take evacuated targets for unreachable ones.
#[tokio::test]
async fn requests_are_refused_at_once_while_all_data_centres_are_evacuated() {
    run_with_centres(async |centres| {
        let node = centres.node().await;
        for row in [
            "evacuate/near",
            "evacuate/away",
            "evacuate/nowhere",
            "evacuate/no name",
        ] {
            centres.store.put("op", row, "odd value");
        }
        wait_for_count(&node, 3.0).await;
        for (method, path) in [("GET", "/read/1"), ("POST", "/book/1")].repeat(8) {
            let answer = node.send(method, path, Some("key-1")).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(&answer.body[..], b"evacuated");
            assert!(answer.headers.contains_key("retry-after"));
        }
        assert_eq!(centres.near.arrivals.get() + centres.away.arrivals.get(), 0);
        assert_eq!(node.directory().await.len(), 1);
        centres.store.remove("op", "evacuate/away");
        wait_for_count(&node, 2.0).await;
        assert_eq!(centres.send_requests(&node).await, [0, REQUESTS]);
    })
    .await;
}

/// Guards against requests to an evacuated data centre since the store was restored from a copy without
/// the row, and against an evacuation of a restored row that nobody can end.
#[tokio::test]
async fn evacuations_outlast_a_restore_of_the_store() {
    run_with_centres(async |centres| {
        let node = centres.node().await;
        let store = &centres.store;
        let restore = async |copy, era| {
            store.set_faults(PlatformFaults::refusing());
            store.restore_tables(copy);
            store.set_faults(PlatformFaults::default());
            wait_until("the node reads the restored store", async || {
                node.metric("damaskloom_store_era").await == Some(era)
            })
            .await;
        };
        let without = store.copy_tables();
        store.put("op", "evacuate/near", "{}");
        wait_for_count(&node, 1.0).await;
        restore(&without, 1.0).await;
        assert_eq!(centres.send_requests(&node).await, [0, REQUESTS]);
        // A removal in the new era ends it at once; the row that a copy brings back is in force again.
        store.remove("op", "evacuate/near");
        wait_for_count(&node, 0.0).await;
        store.put("op", "evacuate/near", "{}");
        wait_for_count(&node, 1.0).await;
        let with = store.copy_tables();
        store.remove("op", "evacuate/near");
        wait_for_count(&node, 0.0).await;
        restore(&with, 2.0).await;
        wait_for_count(&node, 1.0).await;
        assert_eq!(centres.send_requests(&node).await, [0, REQUESTS]);
        restore(&without, 3.0).await;
        assert_eq!(centres.send_requests(&node).await, [0, REQUESTS]);
        wait_for_count(&node, 0.0).await;
        assert!(centres.send_requests(&node).await[0] > 0);
    })
    .await;
}

/// Guards against a request that waits for a connection, and is sent although its data centre was
/// evacuated in the meantime.
#[tokio::test]
async fn request_that_waited_is_not_sent_to_a_data_centre_that_is_evacuated_by_then() {
    run_with_centres(async |centres| {
        let released = Rc::new(Notify::new());
        let network = HeldNetwork::new(centres.near.address, &released);
        let node = Rc::new(EntryNode::start_on(
            &centres.store,
            Rc::clone(&network) as _,
        ));
        node.wait_until_ready().await;
        let caller = Rc::clone(&node);
        let answer = tokio::task::spawn_local(async move {
            caller.send("POST", "/book/1", Some("key-1")).await.status
        });
        network.begun.notified().await;
        centres.store.put("op", "evacuate/near", "{}");
        wait_for_count(&node, 1.0).await;
        released.notify_one();
        assert_eq!(answer.await.expect("it ends"), StatusCode::OK);
        let arrivals = [centres.near.arrivals.get(), centres.away.arrivals.get()];
        assert_eq!(arrivals, [0, 1]);
    })
    .await;
}

/// Guards against a node that takes itself for cut off because the targets of an evacuated data centre
/// are switched off while requests run there.
#[tokio::test]
async fn failures_at_evacuated_targets_are_no_loss_of_the_path() {
    run_with_centres(async |centres| {
        let store = &centres.store;
        store.remove("servers", "i-away");
        let mut targets = vec![Rc::clone(&centres.near)];
        for id in ["i-2", "i-3"] {
            let target = TestTarget::start(id, TargetBehaviour::NeverAnswers).await;
            store.put("servers", id, target.row("ready"));
            targets.push(target);
        }
        targets[0].behaviour.set(TargetBehaviour::NeverAnswers);
        let network = CutNetwork::new();
        let node = EntryNode::start_on(store, Rc::clone(&network) as _);
        node.wait_until_ready().await;
        let mut callers = Vec::new();
        for number in 1..=3 {
            let mut sender = connect::<Empty<Bytes>>(node.caller_address()).await;
            let request = booking(&format!("id-{number}"), 4_000).body(Empty::new());
            let answer = sender.send_request(request.expect("valid parts"));
            callers.push(tokio::task::spawn_local(answer));
            wait_until("the request runs", async || {
                targets
                    .iter()
                    .map(|target| target.arrivals.get())
                    .sum::<u32>()
                    == number
            })
            .await;
        }
        assert!(targets.iter().all(|target| target.arrivals.get() == 1));
        store.put("op", "evacuate/near", "{}");
        wait_for_count(&node, 1.0).await;
        network.set(NetworkCut::RefusesNew);
        for caller in callers {
            let answer = caller.await.expect("it ends").expect("an answer");
            assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
        }
        // A node that is cut off from the service hands requests on or refuses them for another reason.
        for _ in 0..REQUESTS {
            let answer = node.send("POST", "/book/1", Some("key-1")).await;
            assert_eq!(&answer.body[..], b"evacuated");
        }
    })
    .await;
}
