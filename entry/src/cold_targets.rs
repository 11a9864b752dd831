//! Notices that targets are cold, by their rows, their answers, their connections and their starts; see
//! [docs/design/cold-targets.md](../../docs/design/cold-targets.md).

use std::time::Duration;

use damaskloom_lib::entry_members::EntryPhase;
use damaskloom_lib::entry_nodes::EntryNode;
use damaskloom_lib::ids::{DataCentreId, TargetId, VmId};
use damaskloom_lib::routing::WarmupRule;
use damaskloom_lib::target_catalog::Announcement;
use damaskloom_lib::target_limits::LimitSender;
use damaskloom_lib::target_notices::TargetStart;
use damaskloom_lib::target_warmups::{ColdSource, ColdTarget};
use damaskloom_lib::time::MonoTime;

use crate::entry_state::EntryState;
use crate::fleet_roles::own_node;

/// The longest warm-up that an answer may name.
const MAX_WARMUP: Duration = Duration::from_secs(3_600);

impl EntryState {
    /// Returns the warm-up of a target's service; none if cold targets are served like others.
    fn warmup_rule(&self, announcement: &Announcement) -> Option<WarmupRule> {
        let routing = self.routing.borrow();
        let services = &routing.as_ref()?.document().services;
        services.get(&announcement.service)?.warmup
    }

    /// Records that a target is cold for `left`, or for the warm-up of its service if that is not known.
    fn begin_warmup(&self, id: &TargetId, left: Option<Duration>, source: ColdSource) {
        let catalog = self.catalog.borrow();
        let Some(known) = catalog.get(id) else {
            return;
        };
        let announcement = &known.announcement;
        let Some(rule) = self.warmup_rule(announcement) else {
            return;
        };
        let now = self.clock.now();
        let left = left.unwrap_or(rule.period);
        let cold = ColdTarget {
            target: id,
            data_centre: &announcement.data_centre,
            rule,
        };
        let mut limits = self.limits.borrow_mut();
        let is_news = limits.warmups.begin(now, cold, left, source);
        drop(limits);
        if is_news {
            let left_ms = left.as_millis() as u64;
            tracing::info!(%id, source = source.label(), left_ms, "target cold");
        }
    }

    /// Applies what a target's row says of its warm-up; `is_start` if the target is new or has restarted.
    pub fn apply_row_warmup(&self, id: &TargetId, is_start: bool) {
        let now = self.clock.now();
        let known = self.catalog.borrow().get(id).cloned();
        let Some(known) = known else { return };
        let age = now.since(known.announced_at);
        let announced = known.announcement.warmup_left;
        let left = announced.saturating_sub(age);
        if !left.is_zero() {
            self.begin_warmup(id, Some(left), ColdSource::Row);
        } else if is_start && self.targets_known.get() {
            self.begin_warmup(id, None, ColdSource::Start);
        } else if announced.is_zero() {
            let mut limits = self.limits.borrow_mut();
            let is_ended = limits.warmups.end_by_row(now, id, known.announced_at);
            drop(limits);
            if is_ended {
                self.log_ended_warmups();
            }
        }
    }

    /// Applies the rows of all targets again, since the services may have got other warm-ups.
    pub fn apply_row_warmups(&self) {
        let ids: Vec<TargetId> = {
            let catalog = self.catalog.borrow();
            catalog.iter().map(|(id, _)| id.clone()).collect()
        };
        for id in ids {
            self.apply_row_warmup(&id, false);
        }
    }

    /// Records what the answer to a request that was sent at `sent_at` says of the warm-up of its target.
    pub fn record_warmup_notice(&self, start: &TargetStart, sent_at: MonoTime, left: Duration) {
        let id = &start.target;
        let known = self
            .catalog
            .borrow()
            .get(id)
            .map(|target| target.announcement.started_at_ms);
        if known != Some(start.started_at_ms) {
            return;
        }
        let now = self.clock.now();
        if left.is_zero() {
            let mut limits = self.limits.borrow_mut();
            let is_ended = limits.warmups.end_by_answer(now, id, sent_at);
            drop(limits);
            if is_ended {
                self.log_ended_warmups();
            }
        } else {
            self.begin_warmup(id, Some(left.min(MAX_WARMUP)), ColdSource::Answer);
        }
    }

    /// Records that a target accepted no connection, or broke one at connect.
    pub fn record_refused_connect(&self, id: &TargetId) {
        let now = self.clock.now();
        self.limits.borrow_mut().warmups.record_refusal(now, id);
    }

    /// Takes the permit for a request whose first byte is sent next on an open connection; returns whether
    /// there is one. A target that has refused connections before is cold.
    pub fn take_send_permit(&self, id: &TargetId) -> bool {
        let has_refused = self.limits.borrow_mut().warmups.record_accepted(id);
        if has_refused {
            self.begin_warmup(id, None, ColdSource::Reconnect);
        }
        let now = self.clock.now();
        self.limits.borrow_mut().warmups.take_send_permit(now, id)
    }

    /// Assumes that the targets of a data centre are cold: they have had no requests while it was evacuated.
    pub fn expect_cold_targets(&self, data_centre: &DataCentreId) {
        let ids: Vec<TargetId> = {
            let catalog = self.catalog.borrow();
            let targets = catalog.iter();
            let cold =
                targets.filter(|(_, target)| target.announcement.data_centre == *data_centre);
            cold.map(|(id, _)| id.clone()).collect()
        };
        for id in ids {
            self.begin_warmup(&id, None, ColdSource::Evacuation);
        }
    }

    /// Sets the nodes that may send to cold targets: those that carry traffic; if none does, all of the
    /// directory's nodes, so that single requests are served.
    pub fn update_warmup_senders(&self) {
        let now = self.clock.now();
        let settings = self.settings();
        let members = self.members.borrow();
        let mut heard: Vec<LimitSender> = members
            .carrying(now)
            .filter_map(|(vm, node)| {
                let heartbeat = node.heartbeat.as_ref()?;
                (heartbeat.phase != EntryPhase::Leaving).then(|| LimitSender {
                    vm: vm.clone(),
                    data_centre: heartbeat.data_centre.clone(),
                })
            })
            .collect();
        let own = own_node(&settings);
        if self.is_carrying() {
            heard.push(sender(&own));
        }
        if heard.is_empty() {
            heard.extend(self.all_entries().iter().map(sender));
        }
        if heard.is_empty() {
            heard.push(sender(&own));
        }
        let has_ended = |vm: &VmId, is_carrying: bool| {
            !is_carrying && !heard.iter().any(|sender| sender.vm == *vm)
        };
        let mut ended: Vec<VmId> = members
            .iter()
            .filter_map(|(vm, node)| {
                let heartbeat = node.heartbeat.as_ref()?;
                let is_sending = heartbeat.carrying && heartbeat.phase != EntryPhase::Leaving;
                has_ended(vm, is_sending).then(|| vm.clone())
            })
            .collect();
        if has_ended(&settings.vm, self.is_carrying()) {
            ended.push(settings.vm.clone());
        }
        drop(members);
        let mut limits = self.limits.borrow_mut();
        limits.warmups.set_senders(now, heard, &ended);
    }

    /// Updates who may send to cold targets, and logs warm-ups that have ended.
    pub fn update_warmups(&self) {
        self.update_warmup_senders();
        let catalog = self.catalog.borrow();
        let mut limits = self.limits.borrow_mut();
        limits
            .warmups
            .retain_refusing(|id| catalog.get(id).is_some());
        drop((limits, catalog));
        self.log_ended_warmups();
    }

    fn log_ended_warmups(&self) {
        let now = self.clock.now();
        for id in self.limits.borrow_mut().warmups.drain_ended(now) {
            tracing::info!(%id, "target warm");
        }
    }
}

fn sender(node: &EntryNode) -> LimitSender {
    LimitSender {
        vm: node.vm.clone(),
        data_centre: node.data_centre.clone(),
    }
}
