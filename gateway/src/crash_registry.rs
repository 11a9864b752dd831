//! Refuses requests that take targets down, over the whole fleet.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use damaskloom_lib::crash_guard::{
    CrashAction, CrashGuard, CrashMessage, RequestDigest, RequestFingerprint,
};
use damaskloom_lib::ids::{CustomerId, NodeId, RouteId, TargetId};
use damaskloom_lib::outcome::{Reason, Refusal};
use damaskloom_lib::rendezvous::StableHash;
use http::request::Parts;

use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::health_monitor::HealthMonitor;
use crate::peer_codec::PeerTopic;
use crate::peer_outbox::PeerOutbox;

/// The start of a body that tells requests apart.
const DIGESTED_BODY_BYTES: usize = 4 << 10;

/// Shares the crash guard between the requests of one node and its peers.
#[derive(Debug)]
pub struct CrashRegistry {
    clock: MonoClock,
    config: Arc<ConfigView>,
    health: Arc<HealthMonitor>,
    outbox: Arc<PeerOutbox>,
    guard: Mutex<CrashGuard>,
}

impl CrashRegistry {
    /// Makes a desk that knows of no crash.
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
            guard: Mutex::new(CrashGuard::new()),
        }
    }

    /// Names a request by what a target would run.
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

    /// Lets a request pass unless it is known to take targets down.
    ///
    /// # Errors
    ///
    /// Refuses with [`Reason::CrashSuspected`].
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

    /// Notes that a target's connection was lost while it ran the request.
    pub fn record_lost_connection(&self, fingerprint: &RequestFingerprint, target: &TargetId) {
        self.lock()
            .record_lost_connection(self.clock.now(), fingerprint, target);
    }

    /// Notes that no connection to a target could be made.
    pub fn record_unreachable(&self, target: &TargetId) {
        let actions = self.lock().record_unreachable(self.clock.now(), target);
        self.perform(actions);
    }

    /// Notes that a request ran to a good answer.
    pub fn record_success(&self, fingerprint: &RequestFingerprint) {
        let actions = self.lock().record_success(self.clock.now(), fingerprint);
        self.perform(actions);
    }

    /// Takes a peer's message.
    pub fn handle(&self, message: CrashMessage) {
        let actions = self.lock().handle_message(self.clock.now(), message);
        self.perform(actions);
    }

    /// Forgets old suspicions.
    pub fn tick(&self) {
        self.lock().tick(self.clock.now());
    }

    /// Sets the other nodes that are told of crashes.
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
                CrashAction::Blocked(fingerprint) => {
                    let (customer, route) = (&fingerprint.customer, &fingerprint.route);
                    tracing::warn!(%customer, %route, "a request that takes targets down is refused");
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashGuard> {
        self.guard
            .lock()
            .expect("no holder of the crash guard panics")
    }
}
