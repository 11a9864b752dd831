//! Chooses the nodes that a request is handed on to by a node that reaches no target of its service.
//!
//! A node may be cut off from one service and serve the others, so that the directory names it. It says
//! so when it is asked, and is left out for some time. See
//! [docs/design/cut-off-nodes.md](../../docs/design/cut-off-nodes.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{ServiceId, VmId};
use crate::time::MonoTime;

/// The maximum number of helpers that are asked for a request.
const MAX_HELPERS: usize = 4;
/// How long a helper that reaches no target of a service is not asked again, in milliseconds: several
/// times as long as a node takes to find its path sound again.
const CUT_OFF_MS: u64 = 2_000;

/// The helpers that were found cut off from a service, and when.
#[derive(Debug, Default)]
pub struct HelperChoice {
    cut_off: IndexMap<(VmId, ServiceId), MonoTime>,
}

impl HelperChoice {
    /// Records that a helper reaches no target of a service.
    pub fn record_cut_off(&mut self, now: MonoTime, helper: VmId, service: ServiceId) {
        self.cut_off.retain(|_, at| is_recent(now, *at));
        self.cut_off.insert((helper, service), now);
    }

    /// Returns the helpers to ask for a request, best first: those of `ranked` that are not known to be
    /// cut off from its service.
    pub fn choose(
        &self,
        now: MonoTime,
        service: &ServiceId,
        ranked: impl IntoIterator<Item = VmId>,
    ) -> Vec<VmId> {
        let is_cut_off = |helper: &VmId| {
            let found = self.cut_off.get(&(helper.clone(), service.clone()));
            found.is_some_and(|at| is_recent(now, *at))
        };
        let usable = ranked.into_iter().filter(|helper| !is_cut_off(helper));
        usable.take(MAX_HELPERS).collect()
    }
}

fn is_recent(now: MonoTime, at: MonoTime) -> bool {
    now.since(at) < Duration::from_millis(CUT_OFF_MS)
}
