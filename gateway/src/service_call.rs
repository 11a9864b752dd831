//! Selects targets, waits for slots and retries until one request is served or refused.

use std::sync::{Arc, LazyLock, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use damaskloom_lib::config::Target;
use damaskloom_lib::crash_guard::RequestFingerprint;
use damaskloom_lib::evidence::{AttemptOutcome, AttemptScope};
use damaskloom_lib::ids::{CustomerId, TargetId};
use damaskloom_lib::outcome::{Execution, Refusal};
use damaskloom_lib::retry_budget::{RetryBudget, RetryDecision};
use http::request::Parts;

use crate::body_stream::RequestBody;
use crate::crash_registry::CrashRegistry;
use crate::exchange::{RequestScope, attempt_refusal};
use crate::forward::{AttemptError, OutgoingHead, TargetAnswer, attempt};
use crate::gateway::{GatewayState, attempt_outcome, reported_load};
use crate::slot_lease::SlotLease;
use crate::waiting_calls::{PickedSlot, SlotRequest};

/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 3;

/// The customer id under which requests without a key are queued and their attempts recorded.
static OPEN_CUSTOMER: LazyLock<CustomerId> =
    LazyLock::new(|| "open".parse().expect("the name is a valid identifier"));

/// A request body, by whether it can be sent more than once.
#[derive(Debug)]
pub enum CallBody {
    /// A body in memory, which can be sent again.
    Buffered(Bytes),
    /// A body that can be sent only once.
    Stream(RequestBody),
}

/// The result of a call.
#[derive(Debug)]
pub enum CallOutcome {
    /// The answer, and the target that gave it.
    Answer(TargetAnswer, Target),
    /// No answer of a target can be returned.
    Refused(Refusal),
}

/// A request that is being sent to a service.
pub struct ServiceCall<'a> {
    /// The node's state.
    pub state: &'a Arc<GatewayState>,
    /// The route and the customer.
    pub scope: &'a RequestScope,
    /// The caller's head without its key.
    pub parts: &'a Parts,
    /// The head that every attempt sends.
    pub head: &'a OutgoingHead,
    /// The time by which the caller must have its answer.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

impl ServiceCall<'_> {
    /// Makes attempts until one succeeds or no retry is allowed.
    pub async fn run(&self, body: CallBody) -> CallOutcome {
        let fingerprint = self.fingerprint(&body);
        if let Some(Err(refusal)) = fingerprint
            .as_ref()
            .map(|fingerprint| self.state.crashes.check(fingerprint))
        {
            return CallOutcome::Refused(refusal);
        }
        self.retries()
            .record_request(&self.scope.route.service, self.customer());
        let mut body = body;
        let mut tried: Vec<TargetId> = Vec::new();
        let mut may_have_run = false;
        loop {
            let picked = match self
                .state
                .waiting
                .acquire_slot(&self.slot_request(&tried))
                .await
            {
                Ok(picked) => picked,
                Err(refusal) => return refused(refusal, may_have_run),
            };
            let target = picked.target.clone();
            let (sent, retry_body) = split_body(body);
            let result = self.attempt_at(picked, sent, fingerprint.as_ref()).await;
            let error = match result {
                Ok(answer) => return CallOutcome::Answer(answer, target),
                Err(error) => error,
            };
            tried.push(target.id);
            may_have_run |= !error.is_not_run();
            body = match retry_body {
                Some(body) if self.may_retry(error, tried.len()) => body,
                _ => return refused(attempt_refusal(error), may_have_run),
            };
        }
    }

    /// Makes one attempt and reports its outcome to the health monitor.
    async fn attempt_at(
        &self,
        picked: PickedSlot,
        body: RequestBody,
        fingerprint: Option<&RequestFingerprint>,
    ) -> Result<TargetAnswer, AttemptError> {
        let (service, target) = (&self.scope.route.service, picked.target);
        let scope = AttemptScope {
            target: target.id.clone(),
            route: self.scope.route.id.clone(),
            customer: self.customer().clone(),
        };
        let attempt_id = self
            .state
            .health
            .start_attempt(service, scope, picked.trial);
        let started = Instant::now();
        let slot = SlotLease::new(self.state, &target, picked.ticket);
        let pool = self.state.targets.pool(&target);
        let result = attempt(&pool, &target, self.head, body, self.deadline, slot).await;
        self.state
            .waiting
            .record_finished(&self.slot_request(&[]), started.elapsed());
        let outcome = attempt_outcome(&result);
        self.state
            .meters
            .attempted(service.as_str(), outcome_label(outcome));
        if let Some(id) = attempt_id {
            let load = reported_load(&result);
            self.state
                .health
                .finish_attempt(service, id, &target.id, outcome, load);
        }
        if let Some(fingerprint) = fingerprint {
            self.record_crash_evidence(fingerprint, &target.id, outcome);
        }
        result
    }

    fn record_crash_evidence(
        &self,
        fingerprint: &RequestFingerprint,
        target: &TargetId,
        outcome: AttemptOutcome,
    ) {
        match outcome {
            AttemptOutcome::Broken => self
                .state
                .crashes
                .record_lost_connection(fingerprint, target),
            AttemptOutcome::ConnectFailed => self.state.crashes.record_failed_connect(target),
            AttemptOutcome::Success => self.state.crashes.record_success(fingerprint),
            AttemptOutcome::Rejected
            | AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Cancelled => {}
        }
    }

    /// Returns whether the request may be retried after this error.
    fn may_retry(&self, error: AttemptError, attempts: usize) -> bool {
        if !(error.is_not_run() || self.idempotent) || Instant::now() >= self.deadline {
            return false;
        }
        match error {
            // Nothing reached the service, so a retry adds no load to it.
            AttemptError::Busy | AttemptError::StaleConnection => true,
            AttemptError::CallerBody | AttemptError::ClaimExpired => false,
            _ if attempts as u32 >= MAX_ATTEMPTS => false,
            _ => {
                let service = &self.scope.route.service;
                let load = self.state.waiting.load(service);
                let decision = self.retries().try_retry(service, self.customer(), load);
                decision == RetryDecision::Allow
            }
        }
    }

    fn fingerprint(&self, body: &CallBody) -> Option<RequestFingerprint> {
        let CallBody::Buffered(bytes) = body else {
            return None;
        };
        let route = &self.scope.route.id;
        Some(CrashRegistry::fingerprint(
            self.customer(),
            route,
            self.parts,
            bytes,
        ))
    }

    fn slot_request<'a>(&'a self, tried: &'a [TargetId]) -> SlotRequest<'a> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        SlotRequest {
            service: &self.scope.route.service,
            route: &self.scope.route.id,
            customer: self.customer(),
            idempotence: self.scope.route.idempotence,
            deadline: self.state.clock.now() + remaining,
            tried,
        }
    }

    fn customer(&self) -> &CustomerId {
        self.scope.customer.as_ref().unwrap_or(&OPEN_CUSTOMER)
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.state
            .retries
            .lock()
            .expect("no holder of the retry lock panics")
    }
}

/// Makes the refusal of a call; `may_have_run` states whether any attempt may have run.
fn refused(mut refusal: Refusal, may_have_run: bool) -> CallOutcome {
    if may_have_run && refusal.execution == Execution::NotRun {
        refusal.execution = Execution::Unknown;
    }
    CallOutcome::Refused(refusal)
}

const fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success => "good",
        AttemptOutcome::Rejected => "rejected",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Shed => "shed",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::ConnectFailed => "connect-failed",
        AttemptOutcome::Broken => "broken",
        AttemptOutcome::Cancelled => "cancelled",
    }
}

fn split_body(body: CallBody) -> (RequestBody, Option<CallBody>) {
    match body {
        CallBody::Buffered(bytes) => (
            RequestBody::buffered(bytes.clone()),
            Some(CallBody::Buffered(bytes)),
        ),
        CallBody::Stream(stream) => (stream, None),
    }
}
