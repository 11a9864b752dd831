//! Asks the admission policy of a service before a request is sent, and reports what it decides.

use std::time::Duration;

use damaskloom_lib::admission_policy::{
    AdmissionDecision, AdmissionPolicy, RankedRequest, RefusingChange, ServiceRanks,
};
use damaskloom_lib::ids::ServiceId;
use damaskloom_lib::repeat_budget::RepeatValue;
use damaskloom_lib::routing::RouteRule;
use damaskloom_lib::service_room::WaitSample;
use damaskloom_lib::target_selection::{CostSpread, TargetSelection};
use rand::Rng;

use crate::admission::AdmittedRequest;
use crate::attempt_record::ExpectedWait;
use crate::entry_state::EntryState;

impl EntryState {
    /// Decides whether a request that was not sent yet is sent to the selected target. Returns the expected
    /// wait if it is refused.
    pub fn refuse_for_room(
        &self,
        service: &ServiceId,
        admitted: &AdmittedRequest,
        selection: &TargetSelection,
        typical: Duration,
    ) -> Option<Duration> {
        let routing = self.routing.borrow();
        let ranks = routing.as_ref()?.ranks(service)?;
        // A trial goes to a target with free slots, whatever the wait at the others.
        if !self.admits_by_rank() || !ranks.is_graded() || selection.is_trial {
            return None;
        }
        let now = self.clock.now();
        let time_left = admitted.deadline.time_left(&self.clock);
        let request = RankedRequest {
            rank: admitted.priority,
            customer: admitted.customer.as_ref(),
            route: &admitted.route.id,
            objective: admitted.route.latency_objective,
            time_left: time_left.saturating_sub(selection.permit_wait),
            queueing: selection.queueing(typical),
            pool: selection.pool,
            drawn: rand::rng().random(),
        };
        let (decision, change, wait) = self.with_admission(service, |policy| {
            let decision = policy.decide(now, ranks, &request);
            (decision, policy.take_change(), policy.room().pool_wait())
        });
        self.meters.record_service_wait(service.as_str(), wait);
        if let Some(change) = change {
            log_change(service, change, &request, decision);
        }
        let rank = admitted.priority;
        match decision {
            AdmissionDecision::Admit => None,
            AdmissionDecision::RefuseByDeadline(wait) => {
                self.meters.record_room_refusal("deadline", rank);
                Some(wait)
            }
            AdmissionDecision::RefuseByRank(wait) => {
                self.meters.record_room_refusal("rank", rank);
                Some(wait)
            }
        }
    }

    /// Returns whether the settings ask for admission by rank.
    pub fn admits_by_rank(&self) -> bool {
        self.settings().admission.by_rank
    }

    /// Returns whether requests of a service are admitted by rank, and differ in it.
    pub fn has_several_ranks(&self, service: &ServiceId) -> bool {
        if !self.admits_by_rank() {
            return false;
        }
        let routing = self.routing.borrow();
        let ranks = routing.as_ref().and_then(|table| table.ranks(service));
        ranks.is_some_and(ServiceRanks::is_graded)
    }

    /// Returns what a repeat of a request is worth.
    pub fn repeat_value(&self, service: &ServiceId, admitted: &AdmittedRequest) -> RepeatValue {
        let routing = self.routing.borrow();
        let ranks = routing.as_ref().and_then(|table| table.ranks(service));
        ranks.map_or(RepeatValue::Equal, |ranks| {
            ranks.repeat_value(admitted.priority, admitted.route.idempotence)
        })
    }

    /// Returns how the requests of a service are spread over targets of similar cost. With room, the best target
    /// is the nearest one that is sound, and spreading would cost bytes between data centres.
    pub fn cost_spread(&self, service: &ServiceId) -> CostSpread {
        let is_short = self.with_admission(service, |policy| policy.room().is_short());
        if is_short && self.has_several_ranks(service) {
            CostSpread::Wide
        } else {
            CostSpread::None
        }
    }

    /// Returns the wait that is expected of a request at the selected target.
    pub fn expected_wait(
        &self,
        service: &ServiceId,
        route: &RouteRule,
        selection: &TargetSelection,
    ) -> ExpectedWait {
        let typical = self.with_balancer(service, |balancer| balancer.timings().typical());
        let queueing = selection.queueing(typical.unwrap_or(route.latency_objective));
        let predicted = self.with_admission(service, |policy| {
            policy
                .room()
                .queueing_wait(queueing, route.latency_objective)
        });
        ExpectedWait {
            predicted,
            pool: selection.pool,
        }
    }

    /// Records what an attempt shows about the wait at a service.
    pub fn record_wait(&self, service: &ServiceId, sample: &WaitSample<'_>) {
        let now = self.clock.now();
        self.with_admission(service, |policy| policy.record(now, sample));
    }

    fn with_admission<R>(
        &self,
        service: &ServiceId,
        step: impl FnOnce(&mut AdmissionPolicy) -> R,
    ) -> R {
        let now = self.clock.now();
        let mut policies = self.admission_policies.borrow_mut();
        if !policies.contains_key(service) {
            policies.insert(service.clone(), AdmissionPolicy::new(now));
        }
        step(&mut policies[service])
    }
}

fn log_change(
    service: &ServiceId,
    change: RefusingChange,
    request: &RankedRequest<'_>,
    decision: AdmissionDecision,
) {
    match (change, decision) {
        (RefusingChange::Began, AdmissionDecision::RefuseByRank(wait)) => tracing::warn!(
            %service,
            rank = request.rank.0,
            wait_ms = wait.as_millis() as u64,
            queueing = request.queueing,
            left_ms = request.time_left.as_millis() as u64,
            "refusing requests by rank"
        ),
        (RefusingChange::Ceased { lasted, refused }, _) => tracing::info!(
            %service,
            refused,
            lasted_ms = lasted.as_millis() as u64,
            "no more requests refused by rank"
        ),
        (RefusingChange::Began, _) => {}
    }
}
