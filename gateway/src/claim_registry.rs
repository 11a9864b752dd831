//! The claims of one gateway: those that it requests, and those that it holds for the fleet.
//!
//! One lock guards both state machines. Only non-idempotent requests with a request id are claimed.
//! See [docs/design/at-most-once.md](../../docs/design/at-most-once.md).

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use damaskloom_lib::claim_action::{ClaimAction, ClaimLimits};
use damaskloom_lib::claim_client::{ClaimClient, ClaimClientAction, ClaimDecision, ClaimTimes};
use damaskloom_lib::claim_log::ClaimLog;
use damaskloom_lib::claim_message::{
    BodyFingerprint, ClaimKey, ClaimMessage, ClaimResult, ClaimTicket, RetainedAnswer,
};
use damaskloom_lib::ids::{DataCentreId, NodeId};
use damaskloom_lib::outcome::{Reason, Refusal};
use damaskloom_lib::time::MonoTime;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::oneshot;

use crate::claim_fleet::{ClaimFleet, ClaimMember, limit_handover_size, placeholder_data_centre};
use crate::claim_guard::ClaimGuard;
use crate::claim_store::ClaimStore;
use crate::clock::MonoClock;
use crate::peer_codec::PeerTopic;
use crate::peer_outbox::PeerOutbox;

/// The interval at which an unavailable store is probed, in milliseconds.
const STORE_PROBE_INTERVAL_MS: u64 = 1_000;
/// The largest number of claims that a tick writes to a store that has recovered.
const FLUSH_BATCH: usize = 4;
/// The time after which a caller may retry a request that could not be claimed now, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The store that makes claims durable.
#[derive(Clone, Debug)]
pub(crate) enum ClaimBacking {
    /// None, so that only copies can be made.
    Unset,
    /// The memory of this process, for a gateway that is a fleet of its own.
    Memory,
    /// The platform's table.
    Table(ClaimStore),
}

#[derive(Debug)]
pub(crate) struct RegistryState {
    client: ClaimClient,
    pub(crate) log: ClaimLog,
    fleet: ClaimFleet,
    pub(crate) backing: ClaimBacking,
    handover_sent_to: IndexSet<NodeId>,
    waiters: IndexMap<ClaimTicket, oneshot::Sender<ClaimDecision>>,
    store_unavailable: bool,
    next_store_probe: MonoTime,
}

/// The outcome of a claim that was not refused.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// The request may run, under this guard.
    Run(Arc<ClaimGuard>),
    /// The request ran before with this answer.
    Answer(RetainedAnswer),
}

pub(crate) enum RegistryStep {
    Client(ClaimClientAction),
    Log(ClaimAction),
}

/// Holds the claims of one gateway and performs the actions of their state machines.
#[derive(Debug)]
pub struct ClaimRegistry {
    node: NodeId,
    clock: MonoClock,
    clock_offset: AtomicU64,
    outbox: Arc<PeerOutbox>,
    state: Mutex<RegistryState>,
}

impl ClaimRegistry {
    /// Makes the registry of a gateway that belongs to no fleet yet; it refuses claims until then.
    pub fn new(node: &NodeId, clock: MonoClock, outbox: Arc<PeerOutbox>) -> Arc<Self> {
        let limits = ClaimLimits {
            flush_batch: FLUSH_BATCH,
            ..ClaimLimits::default()
        };
        Arc::new(Self {
            node: node.clone(),
            clock,
            clock_offset: AtomicU64::new(0),
            outbox,
            state: Mutex::new(RegistryState {
                client: ClaimClient::new(node.clone(), ClaimTimes::default()),
                log: ClaimLog::new(node.clone(), limits),
                fleet: ClaimFleet::default(),
                backing: ClaimBacking::Unset,
                handover_sent_to: IndexSet::new(),
                waiters: IndexMap::new(),
                store_unavailable: false,
                next_store_probe: MonoTime::ZERO,
            }),
        })
    }

    /// Makes the gateway a fleet of its own; its claims last as long as its process.
    pub fn set_standalone(&self, member: ClaimMember) {
        let mut state = self.lock();
        state.backing = ClaimBacking::Memory;
        state.fleet = ClaimFleet::new(state.fleet.epoch(), [member]);
    }

    /// Sets the platform's table as the store that makes claims durable.
    pub fn open_store(&self, store: ClaimStore) {
        let mut state = self.lock();
        state.backing = ClaimBacking::Table(store);
        state.record_store_status(true);
    }

    /// Enters an epoch; an older one is ignored.
    ///
    /// `sources` are the members of the settled epoch before, including the earlier start of a VM
    /// that was replaced. Call it before the node acknowledges the epoch.
    pub fn enter_epoch(
        self: &Arc<Self>,
        fleet: ClaimFleet,
        sources: impl IntoIterator<Item = NodeId>,
    ) {
        let mut state = self.lock();
        if fleet.epoch() <= state.fleet.epoch() {
            return;
        }
        let sources: Vec<NodeId> = sources.into_iter().collect();
        let is_source = sources.contains(&self.node);
        let others = sources.into_iter().filter(|source| *source != self.node);
        let others = others.map(|source| {
            let known = fleet.data_centre(&source.vm);
            let known = known.or_else(|| state.fleet.data_centre(&source.vm));
            let data_centre = known
                .cloned()
                .unwrap_or_else(|| placeholder_data_centre(&source));
            (source, data_centre)
        });
        let others: Vec<(NodeId, DataCentreId)> = others.collect();
        let actions = state.log.enter_epoch(self.now(), fleet.epoch(), others);
        state.fleet = fleet;
        state.handover_sent_to.clear();
        let mut steps = log_steps(actions);
        if is_source {
            // Members that entered before this node requested its handover without success; those
            // that enter later request it themselves.
            let members = state
                .fleet
                .members()
                .iter()
                .map(|member| member.node.clone());
            let others = members.filter(|member| *member != self.node);
            steps.extend(others.map(|to| RegistryStep::Log(ClaimAction::SendHandover { to })));
        }
        self.perform(&mut state, steps);
    }

    /// Records that a member of an earlier epoch is proven to have stopped.
    pub fn source_lost(&self, node: &NodeId) {
        let now = self.now();
        self.lock().log.source_lost(now, node);
    }

    /// Records that the platform's table has answered.
    pub fn store_recovered(&self) {
        self.lock().record_store_status(true);
    }

    /// Handles a message from a peer.
    pub fn handle(self: &Arc<Self>, from: &NodeId, message: ClaimMessage) {
        let mut state = self.lock();
        let steps = state.handle_message(self.now(), from, message);
        self.perform(&mut state, steps);
    }

    /// Advances the timers of claims; called every few milliseconds.
    pub fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.lock();
        let client_actions = state.client.tick(now);
        let log_actions = state.log.tick(now);
        let steps = client_actions.into_iter().map(RegistryStep::Client);
        self.perform(
            &mut state,
            steps.chain(log_actions.into_iter().map(RegistryStep::Log)),
        );
        if state.store_unavailable && now >= state.next_store_probe {
            state.next_store_probe = now + Duration::from_millis(STORE_PROBE_INTERVAL_MS);
            self.probe_store(&state);
        }
    }

    /// Requests the claim of a request from the owner of its request id.
    ///
    /// # Errors
    ///
    /// Refuses if another attempt claimed the request id first and its answer is not retained, or
    /// if the claim could not be made durable in time.
    pub async fn claim(
        self: &Arc<Self>,
        key: ClaimKey,
        fingerprint: BodyFingerprint,
        deadline: Instant,
    ) -> Result<ClaimVerdict, Refusal> {
        let (guard, decision) = self.request_claim(key, fingerprint)?;
        match tokio::time::timeout_at(deadline.into(), decision).await {
            Ok(Ok(ClaimDecision::Run)) => Ok(ClaimVerdict::Run(Arc::new(guard))),
            Ok(Ok(ClaimDecision::Answer(answer))) => Ok(ClaimVerdict::Answer(answer)),
            Ok(Ok(ClaimDecision::Refuse(refusal))) => Err(with_retry_after(refusal)),
            // The guard reports that this attempt did not run; an earlier one may have.
            Ok(Err(_)) | Err(_) => Err(claim_unavailable()),
        }
    }

    fn request_claim(
        self: &Arc<Self>,
        key: ClaimKey,
        fingerprint: BodyFingerprint,
    ) -> Result<(ClaimGuard, oneshot::Receiver<ClaimDecision>), Refusal> {
        let mut state = self.lock();
        let assignment = state.fleet.assign(&key).ok_or_else(claim_unavailable)?;
        let (ticket, actions) = state.client.claim(self.now(), key, fingerprint, assignment);
        let (sender, decision) = oneshot::channel();
        state.waiters.insert(ticket.clone(), sender);
        self.perform(&mut state, actions.into_iter().map(RegistryStep::Client));
        Ok((ClaimGuard::new(Arc::clone(self), ticket), decision))
    }

    /// Returns whether a granted request may still begin to run, by a fresh reading of the clock.
    pub(crate) fn may_run(&self, ticket: &ClaimTicket) -> bool {
        let state = self.lock();
        state.client.may_run(self.now(), ticket)
    }

    /// Reports the result of an attempt; an attempt that was already refused is ignored.
    pub(crate) fn complete(self: &Arc<Self>, ticket: &ClaimTicket, result: ClaimResult) {
        let mut state = self.lock();
        state.waiters.swap_remove(ticket);
        let actions = state.client.complete(self.now(), ticket, result);
        self.perform(&mut state, actions.into_iter().map(RegistryStep::Client));
    }

    /// Returns whether the node has left the fleet and has sent a handover to every member.
    pub fn has_handed_over(&self) -> bool {
        let state = self.lock();
        let mut members = state.fleet.members().iter();
        members
            .all(|member| member.node != self.node && state.handover_sent_to.contains(&member.node))
    }

    /// Returns the number of claims that this gateway holds for the fleet.
    pub fn held_claims(&self) -> usize {
        self.lock().log.len()
    }

    /// Returns the number of this gateway's own requests that may run or are running.
    pub fn granted(&self) -> usize {
        self.lock().client.granted_count()
    }

    /// Moves the registry's clock forward, as a paused process sees it when it continues.
    pub fn advance_clock(&self, pause: Duration) {
        let micros = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
        self.clock_offset.fetch_add(micros, Ordering::SeqCst);
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now() + Duration::from_micros(self.clock_offset.load(Ordering::SeqCst))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state
            .lock()
            .expect("no holder of the claim lock panics")
    }

    /// Performs actions, and those that follow from messages of this node to itself.
    pub(crate) fn perform(
        self: &Arc<Self>,
        state: &mut RegistryState,
        steps: impl IntoIterator<Item = RegistryStep>,
    ) {
        let mut steps: VecDeque<RegistryStep> = steps.into_iter().collect();
        while let Some(step) = steps.pop_front() {
            match step {
                RegistryStep::Client(ClaimClientAction::Decide { ticket, decision }) => {
                    if let Some(waiter) = state.waiters.swap_remove(&ticket) {
                        // The guard of a request that no longer waits reports its end.
                        let _ = waiter.send(decision);
                    }
                }
                RegistryStep::Client(ClaimClientAction::Send { to, message })
                | RegistryStep::Log(ClaimAction::Send { to, message }) => {
                    steps.extend(self.send(state, &to, message));
                }
                RegistryStep::Log(ClaimAction::SendHandover { to }) => {
                    let handover = state.log.handover(self.now(), |key| {
                        state
                            .fleet
                            .assign(key)
                            .is_some_and(|assignment| assignment.owner == to)
                    });
                    steps.extend(self.send(state, &to, limit_handover_size(handover)));
                    state.handover_sent_to.insert(to);
                }
                RegistryStep::Log(action) => steps.extend(self.perform_on_rows(state, action)),
            }
        }
    }

    fn send(
        &self,
        state: &mut RegistryState,
        to: &NodeId,
        message: ClaimMessage,
    ) -> Vec<RegistryStep> {
        if *to == self.node {
            return state.handle_message(self.now(), to, message);
        }
        self.outbox.send(to, PeerTopic::Claims, &message);
        Vec::new()
    }
}

impl RegistryState {
    /// Passes a message to both state machines, each of which ignores messages for the other.
    fn handle_message(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: ClaimMessage,
    ) -> Vec<RegistryStep> {
        let client_actions = self.client.handle(now, message.clone());
        let log_actions = self.log.handle(now, from, message);
        let steps = client_actions.into_iter().map(RegistryStep::Client);
        steps
            .chain(log_actions.into_iter().map(RegistryStep::Log))
            .collect()
    }

    pub(crate) fn record_store_status(&mut self, answered: bool) {
        if self.store_unavailable == answered {
            tracing::info!(answered, "availability of the claim store changed");
        }
        self.store_unavailable = !answered;
        if answered {
            self.log.store_recovered();
        }
    }
}

pub(crate) fn log_steps(actions: Vec<ClaimAction>) -> Vec<RegistryStep> {
    actions.into_iter().map(RegistryStep::Log).collect()
}

/// The refusal of an attempt whose owner did not answer: an earlier attempt may have run.
pub(crate) fn claim_unavailable() -> Refusal {
    with_retry_after(Refusal::unknown(Reason::ClaimUnavailable))
}

fn with_retry_after(refusal: Refusal) -> Refusal {
    match refusal.reason {
        Reason::ClaimUnavailable | Reason::RequestIdBusy => {
            refusal.with_retry_after(Duration::from_millis(RETRY_AFTER_MS))
        }
        _ => refusal,
    }
}
