//! Refuses requests that crash targets, over the whole fleet.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::config::TargetState;
use damaskloom_lib::crash_guard::{
    CheckResult, CrashAction, CrashGuard, CrashMessage, RequestDigest, RequestFingerprint,
};
use damaskloom_lib::ids::{CustomerId, NodeId, RouteId, TargetId};
use damaskloom_lib::outcome::{Reason, Refusal};
use damaskloom_lib::rendezvous::StableHash;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::request::Parts;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;

use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::health_monitor::HealthMonitor;
use crate::peer_codec::PeerTopic;
use crate::peer_outbox::PeerOutbox;

/// The length of the part of a body, from its start, that is digested to identify a request, in
/// bytes.
const DIGESTED_BODY_BYTES: usize = 4 << 10;
/// The timeout for connecting to a target that is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// The number of other targets of the service that are connected to if a target is unreachable.
const COMPARED_TARGETS: usize = 3;

/// The crash guard that all requests of one node share, with its messages to peers.
#[derive(Clone, Debug)]
pub struct CrashRegistry {
    clock: MonoClock,
    config: Arc<ConfigView>,
    health: Arc<HealthMonitor>,
    outbox: Arc<PeerOutbox>,
    guard: Arc<Mutex<CrashGuard>>,
}

impl CrashRegistry {
    /// Makes a registry without crashes.
    pub fn new(
        clock: MonoClock,
        config: Arc<ConfigView>,
        health: Arc<HealthMonitor>,
        outbox: Arc<PeerOutbox>,
    ) -> Self {
        Self {
            clock,
            config,
            health,
            outbox,
            guard: Arc::new(Mutex::new(CrashGuard::new())),
        }
    }

    /// Identifies a request by what a target would run.
    pub fn fingerprint(
        customer: &CustomerId,
        route: &RouteId,
        parts: &Parts,
        body: &Bytes,
    ) -> RequestFingerprint {
        let start = &body[..body.len().min(DIGESTED_BODY_BYTES)];
        let body_digest = StableHash::of(start).with(StableHash(body.len() as u64));
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        RequestFingerprint {
            customer: customer.clone(),
            route: route.clone(),
            digest: RequestDigest::of(
                parts.method.as_str().as_bytes(),
                path.as_bytes(),
                &body_digest.0.to_be_bytes(),
            ),
        }
    }

    /// Admits a request unless it is suspected to crash targets.
    ///
    /// # Errors
    ///
    /// Refuses such a request with [`Reason::CrashSuspected`].
    pub fn check(&self, fingerprint: &RequestFingerprint) -> Result<(), Refusal> {
        let guard = self.lock();
        if guard.is_idle() {
            return Ok(());
        }
        match guard.check(self.clock.now(), fingerprint) {
            None => Ok(()),
            Some(wait) => Err(Refusal::not_run(Reason::CrashSuspected).with_retry_after(wait)),
        }
    }

    /// Records that a target's connection was lost while it ran the request.
    pub fn record_lost_connection(&self, fingerprint: &RequestFingerprint, target: &TargetId) {
        let now = self.clock.now();
        let actions = self.lock().record_lost_connection(now, fingerprint, target);
        self.perform(actions);
    }

    /// Records that an attempt could not connect to a target.
    pub fn record_failed_connect(&self, target: &TargetId) {
        let now = self.clock.now();
        let actions = self.lock().record_failed_connect(now, target);
        self.perform(actions);
    }

    /// Records that a request was answered successfully.
    pub fn record_success(&self, fingerprint: &RequestFingerprint) {
        let actions = self.lock().record_success(self.clock.now(), fingerprint);
        self.perform(actions);
    }

    /// Handles a message from a peer.
    pub fn handle(&self, message: CrashMessage) {
        let actions = self.lock().handle_message(self.clock.now(), message);
        self.perform(actions);
    }

    /// Drops old suspicions.
    pub fn tick(&self) {
        self.lock().tick(self.clock.now());
    }

    /// Sets the other nodes to which crashes are reported.
    pub fn set_peers(&self, peers: impl IntoIterator<Item = NodeId>) {
        self.lock().set_peers(peers);
    }

    fn perform(&self, actions: Vec<CrashAction>) {
        for action in actions {
            match action {
                CrashAction::Send { to, message } => {
                    self.outbox.send(&to, PeerTopic::Crash, &message);
                }
                CrashAction::Exempt { target, period } => {
                    if let Some(target) = self.config.target(&target) {
                        self.health.exempt(&target.service, &target.id, period);
                    }
                }
                CrashAction::Check { target, delay } => {
                    let registry = self.clone();
                    tokio::spawn(async move { registry.run_check(&target, delay).await });
                }
                CrashAction::Blocked(fingerprint) => {
                    let (customer, route) = (&fingerprint.customer, &fingerprint.route);
                    tracing::warn!(%customer, %route, "request crashes targets and is refused");
                }
            }
        }
    }

    async fn run_check(&self, target: &TargetId, delay: Duration) {
        tokio::time::sleep(delay).await;
        let started_at = self.clock.now();
        let result = self.check_target(target).await;
        tracing::info!(%target, ?result, "target checked after a lost connection");
        let now = self.clock.now();
        let actions = self.lock().record_check(now, target, started_at, result);
        self.perform(actions);
    }

    async fn check_target(&self, target: &TargetId) -> CheckResult {
        let Some(checked) = self.config.target(target) else {
            return CheckResult::Unknown;
        };
        if accepts_connection(checked.address).await {
            return CheckResult::Up;
        }
        let others: Vec<SocketAddr> = self.config.with(|config| {
            let others = config.targets.values().filter(|other| {
                other.service == checked.service
                    && other.id != checked.id
                    && other.state == TargetState::Active
            });
            others
                .map(|other| other.address)
                .choose_multiple(&mut rand::rng(), COMPARED_TARGETS)
        });
        if others.is_empty() {
            return CheckResult::Down;
        }
        let mut connects: FuturesUnordered<_> =
            others.into_iter().map(accepts_connection).collect();
        while let Some(is_accepted) = connects.next().await {
            if is_accepted {
                return CheckResult::Down;
            }
        }
        CheckResult::Unknown
    }

    fn lock(&self) -> MutexGuard<'_, CrashGuard> {
        self.guard
            .lock()
            .expect("no holder of the crash guard panics")
    }
}

/// Returns whether a target accepts a connection, even if it resets it then, as one with too many does.
async fn accepts_connection(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    match tokio::time::timeout(CHECK_TIMEOUT, connect).await {
        Ok(Ok(_)) => true,
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionReset,
        Err(_) => false,
    }
}
