//! The attempts that are made to serve one request: choice of target, waiting, retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskloom_lib::config::Target;
use damaskloom_lib::outcome::{Reason, Refusal};

use crate::bodies::RequestBody;
use crate::exchange::{RequestScope, attempt_refusal};
use crate::forward::{AttemptError, OutgoingHead, TargetAnswer, attempt};
use crate::gateway::GatewayState;

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
        let mut tried: Vec<Arc<Target>> = Vec::new();
        let mut attempts = 0;
        loop {
            let target = match self.wait_for_target(&tried).await {
                Ok(target) => Arc::new(target),
                Err(refusal) => return CallOutcome::Refused(refusal),
            };
            let (sent, kept) = split_body(body);
            let started = Instant::now();
            let pool = self.state.targets.pool(&target);
            let result = attempt(&pool, &target, self.head, sent, self.deadline).await;
            self.state.targets.released(service).notify_one();
            self.state
                .note_attempt(self.scope, &target, &result, started.elapsed());
            let error = match result {
                Ok(answer) => return CallOutcome::Answer(answer),
                Err(error) => error,
            };
            attempts += 1;
            body = match kept {
                Some(kept) if self.may_retry(error, attempts) => kept,
                _ => return CallOutcome::Refused(attempt_refusal(error)),
            };
            tried.push(target);
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
            AttemptError::CallerBody => false,
            _ => attempts < MAX_ATTEMPTS && self.state.retries.take(&self.scope.route.service),
        }
    }

    /// Waits until a target with a free slot can be had.
    async fn wait_for_target(&self, tried: &[Arc<Target>]) -> Result<Target, Refusal> {
        let service = &self.scope.route.service;
        let released = self.state.targets.released(service);
        loop {
            let signal = released.notified();
            let targets = self.state.config.targets_of(service);
            match self.state.choose_target(service, &targets, tried) {
                Choice::Target(target) => return Ok(target),
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
}

/// The result of a search for a target.
#[derive(Clone, Debug)]
pub enum Choice {
    /// This target has a free slot.
    Target(Target),
    /// Targets take work, but none has a free slot for this node.
    AllBusy,
    /// No target takes work.
    None,
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
