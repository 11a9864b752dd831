//! Counts requests by whether they consume the error budgets of services, for `GET /v1/burn`.

use std::sync::Mutex;

use damaskloom_lib::burn_snapshot::{BurnCause, BurnSnapshot};
use damaskloom_lib::config::{Service, Target};
use damaskloom_lib::ids::{CustomerId, NodeId};
use damaskloom_lib::outcome::{Reason, Refusal};
use damaskloom_lib::service_burn::{BurnEvent, BurnLimits, BurnRecorder};
use damaskloom_lib::time::MonoTime;

/// The error budget that requests on this node consumed.
#[derive(Debug)]
pub struct BurnCounters {
    recorder: Mutex<BurnRecorder>,
}

impl BurnCounters {
    /// Makes empty counters.
    pub fn new(now: MonoTime) -> Self {
        Self {
            recorder: Mutex::new(BurnRecorder::new(now, BurnLimits::default())),
        }
    }

    /// Counts a request that succeeded, or that failed through its caller's fault.
    pub fn record_success(&self, now: MonoTime, service: &Service, customer: Option<&CustomerId>) {
        self.record(now, service, customer, None);
    }

    /// Counts a request that a target answered with a server error.
    pub fn record_failure(
        &self,
        now: MonoTime,
        service: &Service,
        customer: Option<&CustomerId>,
        target: &Target,
        status: u16,
    ) {
        let cause = BurnCause {
            target: Some(target.id.clone()),
            data_centre: Some(target.data_centre.clone()),
            reason: format!("status-{status}"),
        };
        self.record(now, service, customer, Some(cause));
    }

    /// Counts a refused request, as a failure unless its caller was at fault.
    pub fn record_refusal(
        &self,
        now: MonoTime,
        service: &Service,
        customer: Option<&CustomerId>,
        refusal: &Refusal,
    ) {
        let cause = counts_as_failure(refusal.reason).then(|| BurnCause {
            target: None,
            data_centre: None,
            reason: refusal.reason.to_string(),
        });
        self.record(now, service, customer, cause);
    }

    /// Returns the counts of this node.
    pub fn snapshot(&self, now: MonoTime, node: &NodeId) -> BurnSnapshot {
        let recorder = self
            .recorder
            .lock()
            .expect("no holder of the recorder panics");
        recorder.snapshot(now, node.vm.to_string())
    }

    fn record(
        &self,
        now: MonoTime,
        service: &Service,
        customer: Option<&CustomerId>,
        failure: Option<BurnCause>,
    ) {
        let event = BurnEvent {
            service: &service.id,
            objective_ppm: service.objective_ppm,
            customer,
            failure,
        };
        self.recorder
            .lock()
            .expect("no holder of the recorder panics")
            .record(now, event);
    }
}

/// Returns whether a refusal counts against the service level.
const fn counts_as_failure(reason: Reason) -> bool {
    match reason {
        Reason::BadRequest
        | Reason::KeyMissing
        | Reason::KeyAmbiguous
        | Reason::KeyUnknown
        | Reason::KeyWithdrawn
        | Reason::RouteUnknown
        | Reason::TooLarge
        | Reason::RateExceeded
        | Reason::CrashSuspected
        | Reason::RequestIdSpent
        | Reason::RequestIdBusy
        | Reason::RequestIdReused => false,
        Reason::QueueFull
        | Reason::DeadlineUnmeetable
        | Reason::NoTarget
        | Reason::TargetShed
        | Reason::NodeStale
        | Reason::NodeLeaving
        | Reason::TargetUnreachable
        | Reason::TargetBroken
        | Reason::TargetTimeout
        | Reason::ClaimUnavailable => true,
    }
}
