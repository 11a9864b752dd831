//! Applies what attempts of this node and of its peers show about targets.

use damaskloom_lib::balanced_target::{SignalOutcome, SuspicionChange};
use damaskloom_lib::failure_filter::FailureSignal;
use damaskloom_lib::ids::{ServiceId, TargetId, VmId};
use damaskloom_lib::loss_meter::{RequestOutcome, ServiceCode, ServiceLoss};
use damaskloom_lib::target_balancer::TargetCode;
use damaskloom_lib::target_selection::TargetSelection;
use damaskloom_lib::target_trial::TrialNode;

use crate::entry_state::EntryState;

impl EntryState {
    /// Applies the signal of an attempt to a target, and queues it for other nodes if they should
    /// know.
    pub fn apply_signal(&self, service: &ServiceId, target: &TargetId, signal: FailureSignal) {
        let now = self.clock.now();
        let outcome = self.with_balancer(service, |balancer| {
            balancer.record_signal(now, target, signal)
        });
        let outcome = outcome.flatten();
        if let Some(outcome) = &outcome {
            log_suspicion_change(target, signal, outcome, None);
        }
        if outcome.is_some_and(|outcome| outcome.should_share) {
            self.pending_signals
                .borrow_mut()
                .push((target.clone(), signal));
            self.updates_due.notify_one();
        } else if signal == FailureSignal::Good {
            self.pending_successes
                .borrow_mut()
                .insert(TargetCode::from(target));
        }
    }

    /// Applies a peer's signal about a target.
    pub fn apply_peer_signal(&self, peer: &VmId, target: &TargetId, signal: FailureSignal) {
        let now = self.clock.now();
        // Nodes without traffic make no decisions by the state of targets, so they do not log it.
        let is_carrying = self.is_carrying();
        for balancer in self.balancers.borrow_mut().values_mut() {
            let outcome = balancer.record_peer_signal(now, target, signal);
            if let Some(outcome) = outcome.filter(|_| is_carrying) {
                log_suspicion_change(target, signal, &outcome, Some(peer));
            }
        }
    }

    /// Records whether a request of a service was served.
    pub fn record_request_outcome(&self, service: &ServiceId, outcome: RequestOutcome) {
        let now = self.clock.now();
        self.with_balancer(service, |balancer| balancer.record_request(now, outcome));
    }

    /// Returns what other nodes are told of lost requests, and logs services that begin or cease to lose requests
    /// over the fleet.
    pub fn take_losses(&self) -> Vec<ServiceLoss> {
        let now = self.clock.now();
        let mut losses = Vec::new();
        for (service, balancer) in self.balancers.borrow_mut().iter_mut() {
            let loss = balancer.loss_mut();
            losses.extend(loss.take_report(now, ServiceCode::from(service)));
            let lost_share = loss.lost_share(now);
            match loss.take_change(now) {
                Some(true) => tracing::info!(%service, lost_share, "service loses requests"),
                Some(false) => tracing::info!(%service, lost_share, "service loses few requests"),
                None => {}
            }
        }
        losses
    }

    /// Applies what a peer says of the requests that it loses.
    pub fn apply_peer_losses(&self, peer: &VmId, losses: &[ServiceLoss]) {
        let now = self.clock.now();
        for (service, balancer) in self.balancers.borrow_mut().iter_mut() {
            let code = ServiceCode::from(service);
            for report in losses.iter().filter(|report| report.service == code) {
                balancer.loss_mut().record_report(now, peer, *report);
            }
        }
    }

    /// Records the selection of a target that the request is to try.
    pub fn record_trial(&self, service: &ServiceId, selection: &TargetSelection) {
        let now = self.clock.now();
        if selection.is_trial {
            self.with_balancer(service, |balancer| {
                balancer.record_trial(now, &selection.target);
            });
            self.meters.record_trial(selection.keeps_floor);
        }
    }

    /// Returns the number of services that lost requests when it was last looked at.
    pub fn losing_services(&self) -> usize {
        let balancers = self.balancers.borrow();
        let losing = balancers
            .values()
            .filter(|balancer| balancer.loss().was_losing());
        losing.count()
    }

    /// Tells the balancers which other nodes carry traffic, among which this one is ranked to try unused
    /// targets.
    pub fn update_trial_nodes(&self) {
        let now = self.clock.now();
        let members = self.members.borrow();
        let mut others: Vec<(&VmId, TrialNode)> = members
            .carrying(now)
            .filter_map(|(vm, node)| {
                let centre = node.heartbeat.as_ref()?.data_centre.clone();
                Some((vm, TrialNode::new(vm, centre)))
            })
            .collect();
        others.sort_unstable_by_key(|(vm, _)| *vm);
        let others: Vec<TrialNode> = others.into_iter().map(|(_, node)| node).collect();
        for balancer in self.balancers.borrow_mut().values_mut() {
            balancer.set_trial_nodes(&others);
        }
    }

    /// Finds attempts whose answers have become late, and applies a signal about the target of
    /// each.
    pub fn detect_late_answers(&self) {
        let now = self.clock.now();
        let mut late: Vec<(ServiceId, TargetId)> = Vec::new();
        for (service, balancer) in self.balancers.borrow_mut().iter_mut() {
            let targets = balancer.collect_late(now).into_iter();
            late.extend(targets.map(|id| (service.clone(), id)));
        }
        for (service, target) in late {
            self.record_path_failure(&service, &target);
            if !self.is_path_evidence(&service) {
                continue;
            }
            self.apply_signal(&service, &target, FailureSignal::Late);
        }
    }
}

/// Logs that a target became suspected or trusted; `from` is the peer that sent the signal, or none
/// for one of this node.
fn log_suspicion_change(
    target: &TargetId,
    signal: FailureSignal,
    outcome: &SignalOutcome,
    from: Option<&VmId>,
) {
    let from = from.map_or("here", |vm| vm.as_str());
    let (before, after) = (outcome.before, outcome.after);
    match outcome.change {
        Some(SuspicionChange::Suspected) => {
            tracing::info!(id = %target, sign = ?signal, from, before, after, "target suspected");
        }
        Some(SuspicionChange::Trusted) => {
            tracing::info!(id = %target, sign = ?signal, from, before, after, "target trusted again");
        }
        None => {}
    }
}
