//! The attempts that are made to serve one request: choice of target, waiting, retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_lib::config::Target;
use damaskloom_lib::evidence::{AttemptOutcome, AttemptScope};
use damaskloom_lib::ids::{CustomerId, TargetId};
use damaskloom_lib::outcome::{Reason, Refusal};
use rand::Rng;

use crate::bodies::RequestBody;
use crate::exchange::{RequestScope, attempt_refusal};
use crate::forward::{AttemptError, OutgoingHead, TargetAnswer, attempt};
use crate::gateway::{GatewayState, attempt_outcome, reported_load};

/// The most attempts that are made for one request.
const MAX_ATTEMPTS: u32 = 3;
/// The time after which a waiting request looks for a free slot again without a signal.
const SLOT_RECHECK_MS: u64 = 5;

/// A request body, as far as it can be sent more than once.
#[derive(Debug)]
pub enum CallBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that can be sent once.
    Stream(RequestBody),
}

/// How a call ended.
#[derive(Debug)]
pub enum CallOutcome {
    /// A target answered.
    Answer(TargetAnswer),
    /// No target's answer can be given.
    Refused(Refusal),
}

/// One request on its way to a service.
pub struct ServiceCall<'a> {
    /// The node's state.
    pub state: &'a Arc<GatewayState>,
    /// Who asks for what.
    pub scope: &'a RequestScope,
    /// The head that every attempt sends.
    pub head: &'a OutgoingHead,
    /// When the caller must have its answer.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

impl ServiceCall<'_> {
    /// Makes attempts until one succeeds or none may follow.
    pub async fn run(&self, body: CallBody) -> CallOutcome {
        let service = &self.scope.route.service;
        self.state.retries.note_request(service);
        let mut body = body;
        let mut tried: Vec<TargetId> = Vec::new();
        let mut attempts = 0;
        loop {
            let picked = match self.wait_for_target(&tried).await {
                Ok(picked) => picked,
                Err(refusal) => return CallOutcome::Refused(refusal),
            };
            let (sent, kept) = split_body(body);
            let result = self.attempt_at(&picked, sent).await;
            let error = match result {
                Ok(answer) => return CallOutcome::Answer(answer),
                Err(error) => error,
            };
            attempts += 1;
            body = match kept {
                Some(kept) if self.may_retry(error, attempts) => kept,
                _ => return CallOutcome::Refused(attempt_refusal(error)),
            };
            tried.push(picked.target.id.clone());
        }
    }

    /// Says whether the request may be sent again after this error.
    fn may_retry(&self, error: AttemptError, attempts: u32) -> bool {
        if !(error.is_not_run() || self.idempotent) || Instant::now() >= self.deadline {
            return false;
        }
        match error {
            // Nothing reached the service, so that a retry adds no load to it.
            AttemptError::Busy | AttemptError::StaleConnection => true,
            AttemptError::CallerBody | AttemptError::ClaimExpired => false,
            _ => attempts < MAX_ATTEMPTS && self.state.retries.take(&self.scope.route.service),
        }
    }

    /// Makes one attempt and tells the judgement of targets how it went.
    async fn attempt_at(
        &self,
        picked: &PickedSlot,
        body: RequestBody,
    ) -> Result<TargetAnswer, AttemptError> {
        let (service, target) = (&self.scope.route.service, &picked.target);
        let scope = AttemptScope {
            target: target.id.clone(),
            route: self.scope.route.id.clone(),
            customer: self.scope.customer.clone().unwrap_or_else(open_customer),
        };
        let attempt_id = self.state.health.begin(service, scope, picked.trial);
        let pool = self.state.targets.pool(target);
        let result = attempt(&pool, target, self.head, body, self.deadline).await;
        self.state.targets.released(service).notify_one();
        let outcome = attempt_outcome(&result);
        self.state
            .meters
            .attempted(service.as_str(), outcome_label(outcome));
        if let Some(id) = attempt_id {
            let load = reported_load(&result);
            self.state
                .health
                .finish(service, id, &target.id, outcome, load);
        }
        result
    }

    /// Waits until a target with a free slot can be had.
    async fn wait_for_target(&self, tried: &[TargetId]) -> Result<PickedSlot, Refusal> {
        let service = &self.scope.route.service;
        let released = self.state.targets.released(service);
        loop {
            let signal = released.notified();
            match self.choose_target(tried) {
                Choice::Target(picked) => return Ok(picked),
                Choice::None => return Err(Refusal::not_run(Reason::NoTarget)),
                Choice::AllBusy => {}
            }
            if Instant::now() >= self.deadline {
                return Err(Refusal::not_run(Reason::DeadlineUnmeetable));
            }
            let recheck = Duration::from_millis(SLOT_RECHECK_MS);
            let _ = tokio::time::timeout(recheck, signal).await;
        }
    }

    /// Picks targets until one has a free slot for this node.
    fn choose_target(&self, tried: &[TargetId]) -> Choice {
        let service = &self.scope.route.service;
        let mut excluded = tried.to_vec();
        loop {
            let seed = rand::rng().random();
            let idempotence = self.scope.route.idempotence;
            let picked = self
                .state
                .health
                .pick(service, idempotence, seed, &excluded);
            let Some(picked) = picked else {
                let all_tried = excluded.len() == tried.len();
                return if all_tried {
                    Choice::None
                } else {
                    Choice::AllBusy
                };
            };
            match self.state.config.target(&picked.target) {
                Some(target) if self.state.targets.pool(&target).has_free_slot() => {
                    return Choice::Target(PickedSlot {
                        target,
                        trial: picked.trial,
                    });
                }
                _ => excluded.push(picked.target),
            }
        }
    }
}

/// A target that was picked and has a free slot.
#[derive(Clone, Debug)]
pub struct PickedSlot {
    /// The target.
    pub target: Target,
    /// Whether the request tries an ejected target.
    pub trial: bool,
}

/// The result of a search for a target.
#[derive(Clone, Debug)]
enum Choice {
    /// This target has a free slot.
    Target(PickedSlot),
    /// Targets take work, but none has a free slot for this node.
    AllBusy,
    /// No target takes work.
    None,
}

/// The name under which requests without a key are judged.
fn open_customer() -> CustomerId {
    "open".parse().expect("the name is a valid identifier")
}

const fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Good => "good",
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
        CallBody::Whole(bytes) => (
            RequestBody::whole(bytes.clone()),
            Some(CallBody::Whole(bytes)),
        ),
        CallBody::Stream(stream) => (stream, None),
    }
}
