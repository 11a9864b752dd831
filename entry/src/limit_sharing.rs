//! Applies what answers and peers say about targets' limits; see
//! [docs/design/target-limits.md](../../docs/design/target-limits.md).

use damaskloom_lib::entry_nodes::EntryNode;
use damaskloom_lib::ids::{DataCentreId, TargetId, VmId};
use damaskloom_lib::target_limits::{LimitNotice, LimitSender, LimitStatement};
use damaskloom_lib::time::MonoTime;

use crate::entry_state::EntryState;
use crate::fleet_roles::own_node;

impl EntryState {
    /// Records what an attempt shows about its target's limit.
    pub fn record_limit_notice(&self, target: &TargetId, sent_at: MonoTime, notice: LimitNotice) {
        let now = self.clock.now();
        let Some(centre) = self.centre_of(target) else {
            return;
        };
        let mut limits = self.limits.borrow_mut();
        let changed = limits.record_answer(now, (target, &centre), sent_at, notice);
        drop(limits);
        if changed {
            tracing::info!(id = %target, limit = ?notice, from = "here", "target limit changed");
            self.update_limit_senders();
            self.updates_due.notify_one();
        }
    }

    /// Applies what a peer says about limits.
    pub fn apply_limit_statements(&self, peer: &VmId, statements: &[LimitStatement]) {
        let now = self.clock.now();
        for statement in statements {
            let target = &statement.target;
            // A target whose announcement has not arrived yet gets no requests either.
            let Some(centre) = self.centre_of(target) else {
                continue;
            };
            let mut limits = self.limits.borrow_mut();
            if limits.record_statement(now, &centre, statement) {
                let limit = statement.rate_milli;
                tracing::info!(id = %target, limit_milli = limit, from = %peer, "target limit changed");
            }
        }
        self.update_limit_senders();
    }

    pub(crate) fn centre_of(&self, target: &TargetId) -> Option<DataCentreId> {
        let catalog = self.catalog.borrow();
        let known = catalog.get(target)?;
        Some(known.announcement.data_centre.clone())
    }

    /// Sets the nodes that share in limits: those of the directory's nodes that carry traffic; if none
    /// does, all of the directory's nodes. Single requests at other nodes would take whole shares.
    pub fn update_limit_senders(&self) {
        if self.limits.borrow().is_empty() {
            return;
        }
        let now = self.clock.now();
        let settings = self.settings();
        let mut entries = self.all_entries();
        let members = self.members.borrow();
        let is_carrying = |node: &EntryNode| {
            let is_peer = members.carrying(now).any(|(vm, _)| *vm == node.vm);
            is_peer || (node.vm == settings.vm && self.is_carrying())
        };
        if entries.iter().any(is_carrying) {
            entries.retain(is_carrying);
        }
        drop(members);
        if entries.is_empty() {
            entries.push(own_node(&settings));
        }
        let senders = entries.into_iter().map(|node| LimitSender {
            vm: node.vm,
            data_centre: node.data_centre,
        });
        self.limits.borrow_mut().set_senders(now, senders.collect());
    }

    /// Updates the nodes that share in limits, forgets limits that nobody repeats, and logs the
    /// requests that were sent to limited targets since the last call.
    pub fn update_limits(&self) {
        self.update_limit_senders();
        let mut limits = self.limits.borrow_mut();
        for id in limits.tick(self.clock.now()) {
            tracing::info!(%id, "target limit forgotten: no node repeats it");
        }
        let sent = limits.drain_sent();
        if !sent.is_empty() {
            let targets = sent
                .iter()
                .map(|(id, rate, sent)| format!("{id}={sent} of {rate}"));
            let targets = targets.collect::<Vec<_>>().join(", ");
            tracing::info!(targets, "requests to limited targets");
        }
    }
}
