//! Three gateways of different data centres, connected by peer links, with one target and a
//! platform.
//!
//! Each gateway has a runtime of its own, so that a crash ends all its tasks at once. The fixture
//! sets the assignment itself: these tests are about claims and not about the agreement on members.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_gateway::claim_fleet::{ClaimFleet, ClaimMember};
use damaskloom_gateway::claim_store::{ClaimStore, claim_client_settings};
use damaskloom_gateway::control_loop::dispatch;
use damaskloom_gateway::gateway::GatewayState;
use damaskloom_gateway::peer_auth::SharedSecret;
use damaskloom_gateway::peer_codec::PeerTopic;
use damaskloom_gateway::peer_faults::PeerFault;
use damaskloom_gateway::peer_link::{PeerHandle, PeerInbox, PeerLink, PeerSettings};
use damaskloom_gateway::process::GatewayProcess;
use damaskloom_lib::claim_message::ClaimKey;
use damaskloom_lib::ids::{Epoch, NodeId};
use damaskloom_platform::client::{ClientSettings, PlatformClient};
use damaskloom_testutils::platform_server::PlatformServer;
use damaskloom_testutils::target_server::{TargetHandle, TargetServer};
use damaskloom_testutils::target_settings::{ServiceTime, TargetSettings};
use serde_json::Value;
use tokio::runtime::Runtime;

use crate::fixture::{ConfigEdit, RawAnswer, authorization, send_raw, settings};

/// The largest number of rounds of a wait, which only a fault reaches.
const MAX_ROUNDS: usize = 2_000;
const ROUND_INTERVAL: Duration = Duration::from_millis(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const DATA_CENTRES: [&str; 3] = ["khatgal", "khankh", "toilogt"];

/// One gateway; dropping it is a crash.
pub struct ClaimGateway {
    pub process: GatewayProcess,
    pub handle: PeerHandle,
    pub member: ClaimMember,
    runtime: Option<Runtime>,
}

impl Drop for ClaimGateway {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The gateways that still run, their target and their platform.
pub struct ClaimFixture {
    pub gateways: Vec<Option<ClaimGateway>>,
    pub target: TargetHandle,
    pub platform: PlatformServer,
    pub fleet: ClaimFleet,
}

/// Sets deadlines that are too long to end a request.
pub fn long_deadline(config: &mut Value) {
    for route in config["routes"].as_array_mut().expect("routes are a list") {
        route["deadline_ms"] = Value::from(60_000);
    }
}

impl ClaimFixture {
    /// Starts three gateways that have entered epoch 1.
    pub async fn start(edits: [ConfigEdit; 3]) -> Self {
        let target = TargetSettings {
            slots: 8,
            service_time: ServiceTime::Fixed(1.0),
            restart_ms: 50,
            ..TargetSettings::default()
        };
        let target = TargetServer::start(target).await.expect("loopback is free");
        let loopback = "127.0.0.1:0".parse().expect("an address");
        let platform = PlatformServer::start(loopback).await.expect("loopback");
        let mut gateways = Vec::new();
        for (index, edit) in edits.into_iter().enumerate() {
            let data_centre = DATA_CENTRES[index];
            let settings = settings(
                &format!("vm-{index}"),
                data_centre,
                &[target.address()],
                edit,
            );
            gateways.push(Some(start_gateway(settings, &platform).await));
        }
        let mut fixture = Self {
            gateways,
            target,
            platform,
            fleet: ClaimFleet::default(),
        };
        fixture.connect().await;
        fixture.enter_epoch(1, &[]);
        fixture
    }

    async fn connect(&self) {
        for (from, to) in self.pairs() {
            from.handle
                .set_address(to.member.node.vm.clone(), to.handle.local_address());
        }
        for (from, to) in self.pairs() {
            let body = Bytes::from_static(b"0");
            let called = from
                .handle
                .call(&to.member.node, PeerTopic::Claims, body, CALL_TIMEOUT);
            called.await.expect("peers reach each other");
        }
    }

    fn pairs(&self) -> impl Iterator<Item = (&ClaimGateway, &ClaimGateway)> {
        let from = self.gateways.iter().flatten();
        from.flat_map(move |from| self.gateways.iter().flatten().map(move |to| (from, to)))
            .filter(|(from, to)| from.member != to.member)
    }

    /// Enters the next epoch on all running gateways, which are its members.
    pub fn enter_epoch(&mut self, epoch: u64, stopped: &[NodeId]) {
        let sources = self.fleet.members().to_vec();
        let members = self.gateways.iter().flatten();
        self.fleet = ClaimFleet::new(Epoch(epoch), members.map(|gateway| gateway.member.clone()));
        for gateway in self.gateways.iter().flatten() {
            let others = sources.iter().map(|source| source.node.clone());
            // Actions on rows must run as tasks of the gateway's own runtime.
            let _runtime = gateway.runtime.as_ref().map(Runtime::enter);
            let claims = &gateway.state().claims;
            claims.enter_epoch(self.fleet.clone(), others);
            stopped.iter().for_each(|node| claims.source_lost(node));
        }
    }

    /// Ends a gateway and all its tasks at once.
    pub fn crash(&mut self, index: usize) -> NodeId {
        let gateway = self.gateways[index].take().expect("the gateway runs");
        // Claim guards that are dropped with the runtime must not report results to peers.
        gateway.handle.faults().set_default(PeerFault::DROP_ALL);
        gateway.member.node.clone()
    }

    pub fn gateway(&self, index: usize) -> &ClaimGateway {
        self.gateways[index].as_ref().expect("the gateway runs")
    }

    /// Returns the `number`th of the request ids that the gateway owns.
    pub fn id_owned_by(&self, owner: usize, number: usize) -> String {
        let node = &self.gateway(owner).member.node;
        let ids = (0..).map(|counter| format!("r-{counter}"));
        let mut ids = ids.filter(|id| self.assignment_of(id).0 == *node);
        ids.nth(number)
            .expect("every node is the owner of some ids")
    }

    /// Returns the owner and the copy holder of a request id.
    pub fn assignment_of(&self, id: &str) -> (NodeId, Option<NodeId>) {
        let key = ClaimKey {
            customer: "border-post".parse().expect("a customer id"),
            request_id: id.to_owned().try_into().expect("a request id"),
        };
        let assignment = self.fleet.assign(&key).expect("the fleet has members");
        (assignment.owner, assignment.copy_holder)
    }

    /// Sends a booking and waits for its answer.
    pub async fn book(&self, index: usize, id: &str, body: &str) -> RawAnswer {
        let address = self.gateway(index).process.caller_address();
        send_raw(address, booking(id, body)).await
    }

    /// Sends a booking whose caller does not wait for the answer.
    pub fn spawn_booking(&self, index: usize, id: &str) -> tokio::task::JoinHandle<RawAnswer> {
        let address = self.gateway(index).process.caller_address();
        tokio::spawn(send_raw(address, booking(id, "convoy")))
    }

    /// Resends a booking until the outcome is the expected one; all others must be `unknown`.
    pub async fn resend_until(&self, index: usize, id: &str, expected: &str) -> RawAnswer {
        let mut seen = Vec::new();
        for _ in 0..MAX_ROUNDS {
            let answer = self.book(index, id, "convoy").await;
            if answer.outcome() == expected {
                return answer;
            }
            let execution = answer.header("damaskloom-execution");
            assert_eq!(execution, Some("unknown"), "{}", answer.outcome());
            seen.push(answer.outcome());
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        panic!("no resend ended with {expected}: {:?}", seen.last());
    }

    /// Returns the number of times that the target ran a request id.
    pub fn executions(&self, id: &str) -> usize {
        let executions = self.target.executions();
        let of_id = executions
            .iter()
            .filter(|execution| execution.request_id.as_deref() == Some(id));
        of_id.count()
    }

    /// Waits until a condition holds; `what` describes it in the failure message.
    pub async fn wait_until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        for _ in 0..MAX_ROUNDS {
            if holds(self) {
                return;
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        panic!("never happened: {what}");
    }
}

impl ClaimGateway {
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.process.state
    }
}

async fn start_gateway(
    settings: damaskloom_gateway::settings::GatewaySettings,
    platform: &PlatformServer,
) -> ClaimGateway {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let data_centre = settings.data_centre.clone();
    let process = runtime.spawn(GatewayProcess::start(settings));
    let process = process.await.expect("no panic").expect("loopback is free");
    let state = Arc::clone(&process.state);
    let secret = SharedSecret::new(*b"the fleet's secret");
    let loopback = "127.0.0.1:0".parse().expect("an address");
    let link = PeerSettings::new(state.node.clone(), loopback, secret);
    let (handle, inbox) = PeerLink::start(link).expect("loopback is free");
    state.outbox.open(handle.clone());
    // Tests send more bookings at once than a node's default limits on reads and writes allow.
    let client = ClientSettings {
        reads_per_second: 10_000,
        writes_per_second: 10_000,
        ..claim_client_settings()
    };
    let client = PlatformClient::new(platform.address(), client);
    state.claims.open_store(ClaimStore::new(Arc::new(client)));
    let member = ClaimMember {
        node: state.node.clone(),
        data_centre,
    };
    runtime.spawn(run_inbox(state, inbox));
    ClaimGateway {
        process,
        handle,
        member,
        runtime: Some(runtime),
    }
}

async fn run_inbox(state: Arc<GatewayState>, mut inbox: PeerInbox) {
    loop {
        tokio::select! {
            Some(delivery) = inbox.deliveries.recv() => dispatch(&state, &delivery),
            Some(request) = inbox.requests.recv() => {
                // The caller may no longer wait for the answer.
                let _ = request.reply.send(Bytes::new());
            }
            else => return,
        }
    }
}

pub fn booking(id: &str, body: &str) -> String {
    format!(
        "POST /book HTTP/1.1\r\nhost: gate\r\nconnection: close\r\n{}\r\nx-request-id: {id}\r\n\
         content-type: text/plain\r\ncontent-length: {}\r\n\r\n{body}",
        authorization(),
        body.len()
    )
}
