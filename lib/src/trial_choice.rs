//! Chooses the target that a request tries, to learn its state or to keep the floor of a service that loses
//! requests. See [docs/design/ejection.md](../../docs/design/ejection.md).

use std::time::Duration;

use crate::target_balancer::TargetBalancer;
use crate::target_selection::SelectionRequest;
use crate::target_trial::{DueTrial, is_left_alone, may_be_due};
use crate::time::MonoTime;

/// One request in this many may try a target that is due, so that most requests stay near their node. A request
/// that keeps the floor is exempt.
const TRIAL_STRIDE: u64 = 2;

impl TargetBalancer {
    /// Returns the target that the request tries, if one is due for it: the one that is least likely failing,
    /// first of those that this node has to try to keep the floor.
    pub(crate) fn trial_target(
        &self,
        now: MonoTime,
        request: &SelectionRequest<'_>,
    ) -> Option<DueTrial<'_>> {
        // A retry should succeed, so it tries no target.
        if !request.tried.is_empty() {
            return None;
        }
        // A node that knows too little of the others judges by itself, as does one whose peers report no losses.
        let view = self.trial_order.view(now);
        let floor_view = view.filter(|_| self.loss.is_losing(now));
        let is_losing_alone = floor_view.is_none() && self.loss.is_losing_here(now);
        let may_probe = request.seed.is_multiple_of(TRIAL_STRIDE);
        if floor_view.is_none() && !may_probe {
            return None;
        }
        let (mut left_alone, mut unrequested) = (0, 0);
        let (mut due, mut owed) = (Vec::new(), Vec::new());
        for (id, target) in &self.targets {
            let idle_time = now.since(target.last_used_at);
            let floor_idle =
                floor_view.map_or(Duration::ZERO, |view| view.idle_time(target.requested_at));
            if !may_be_due(idle_time.max(floor_idle))
                || !request.notices.rest_left(now, id).is_zero()
                || request.evacuations.contains(&target.data_centre)
            {
                continue;
            }
            left_alone += usize::from(is_left_alone(idle_time));
            unrequested += usize::from(is_left_alone(floor_idle));
            let may_be_tried = now >= target.avoided_until
                && target.load(now) < f64::from(target.slots)
                && request.limits.permission(now, id).is_unhindered();
            if !may_be_tried {
                continue;
            }
            let probability = target.filter.probability(now);
            let overdue = floor_idle.saturating_sub(target.trial_backoff());
            if floor_view.is_some_and(|view| view.is_turn(overdue, &target.predecessors)) {
                owed.push((id, probability));
            }
            let state = target.idle_state(now);
            let is_near = target.data_centre == self.own_data_centre;
            let is_due = may_probe
                && (is_near || request.crossing.allows_trials())
                && idle_time >= state.delay(target.trial_rank(), request.idempotence);
            if is_due {
                due.push((id, state, probability));
            }
        }
        let count = self.served_count(request.evacuations);
        if self.floor.is_undercut(unrequested, count)
            && let Some((id, _)) = owed.into_iter().min_by(|(_, a), (_, b)| a.total_cmp(b))
        {
            let keeps_floor = true;
            return Some(DueTrial { id, keeps_floor });
        }
        let is_undercut = is_losing_alone && self.floor.is_undercut(left_alone, count);
        let keeps_floor = false;
        due.into_iter()
            .filter(|(_, state, _)| is_undercut || state.is_tried_above_floor(request.idempotence))
            .min_by(|(_, _, a), (_, _, b)| a.total_cmp(b))
            .map(|(id, _, _)| DueTrial { id, keeps_floor })
    }
}
