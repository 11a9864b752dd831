//! Tries the path to the targets while it is in doubt or cut; see
//! [docs/design/cut-off-nodes.md](../../docs/design/cut-off-nodes.md).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damaskloom_lib::entry_members::{EntryPhase, NodeHeartbeat};
use damaskloom_lib::ids::{ServiceId, TargetId, VmId};
use damaskloom_lib::target_path::PathState;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;

use crate::entry_state::EntryState;

/// The number of targets of a service that are tried when the path is in doubt.
const TARGETS_IN_DOUBT: usize = 6;
/// The number of services that are tried because another node is cut off.
const SERVICES_IN_DOUBT: usize = 3;
/// The number of targets of a service that are tried at each interval while the path is cut.
const TARGETS_IN_CUT: usize = 2;
/// The interval between tries while a path is cut.
const TRY_INTERVAL: Duration = Duration::from_millis(400);

impl EntryState {
    /// Returns whether this node reaches no target of any service.
    pub fn is_cut_off(&self) -> bool {
        self.target_paths.borrow().are_all_cut()
    }

    /// Returns whether this node reaches no target of a service.
    pub fn is_cut_off_from(&self, service: &ServiceId) -> bool {
        self.target_paths.borrow().state(service) == PathState::Cut
    }

    /// Returns whether failures on the way to targets of a service are evidence against these.
    pub fn is_path_evidence(&self, service: &ServiceId) -> bool {
        self.target_paths.borrow().state(service) == PathState::Sound
    }

    /// Records that a target of a service answered.
    pub fn record_path_answer(&self, service: &ServiceId) {
        let mut paths = self.target_paths.borrow_mut();
        paths.path_mut(service).record_answer();
    }

    /// Records that an attempt at a target of a service failed on the way to it.
    pub fn record_path_failure(&self, service: &ServiceId, target: &TargetId) {
        // Operators evacuate data centres that fail; that says nothing of the path to the others.
        if self.is_evacuated(target) {
            return;
        }
        let mut paths = self.target_paths.borrow_mut();
        if paths.path_mut(service).record_failure(target) {
            tracing::info!(%service, id = %target, "path to the targets in doubt");
            self.path_doubted.notify_one();
        }
    }

    /// Puts the paths of this node in doubt if another node of its data centre is newly cut off: this
    /// node may be the next that callers are directed to, and does not notice a cut without requests.
    pub fn doubt_paths_like(&self, peer: &VmId, heartbeat: &NodeHeartbeat) {
        let is_local = heartbeat.data_centre == self.settings().data_centre;
        if heartbeat.phase != EntryPhase::CutOff || !is_local {
            return;
        }
        let members = self.members.borrow();
        let known = members.iter().find(|(vm, _)| *vm == peer);
        let before = known.and_then(|(_, node)| node.heartbeat.as_ref());
        if before.is_some_and(|before| before.phase == EntryPhase::CutOff) {
            return;
        }
        drop(members);
        let balancers = self.balancers.borrow();
        let services = balancers
            .keys()
            .choose_multiple(&mut rand::rng(), SERVICES_IN_DOUBT);
        let mut paths = self.target_paths.borrow_mut();
        for service in services {
            paths.path_mut(service).doubt();
        }
        self.path_doubted.notify_one();
    }

    fn record_path_try(&self, service: &ServiceId, tried: usize, has_connected: bool) {
        let mut paths = self.target_paths.borrow_mut();
        if !paths.path_mut(service).record_try(has_connected) {
            return;
        }
        if paths.state(service) == PathState::Cut {
            paths.doubt_all();
            tracing::warn!(%service, tried, "cut off from all targets; requests are handed on");
            // Connections from before the cut may have lost bytes.
            self.close_idle_connections(service);
        } else {
            tracing::info!(%service, tried, "path to the targets is sound");
        }
        drop(paths);
        self.heartbeat_due.notify_one();
    }

    fn close_idle_connections(&self, service: &ServiceId) {
        let catalog = self.catalog.borrow();
        let targets = catalog.iter();
        targets
            .filter(|(_, target)| target.announcement.service == *service)
            .for_each(|(id, _)| self.target_pools.clear_idle(id));
    }
}

/// Tries the paths that are not sound, until the task is cancelled.
pub async fn run_path_tries(state: Rc<EntryState>) {
    loop {
        state.path_doubted.notified().await;
        loop {
            let unsound = state.target_paths.borrow().unsound();
            if unsound.is_empty() {
                break;
            }
            let tries = unsound
                .iter()
                .map(|(service, path)| try_path(&state, service, *path));
            join_all(tries).await;
            let unsound = state.target_paths.borrow().unsound();
            if unsound.iter().all(|(_, path)| *path == PathState::Cut) {
                tokio::time::sleep(TRY_INTERVAL).await;
            }
        }
    }
}

async fn try_path(state: &EntryState, service: &ServiceId, path: PathState) {
    let max_targets = match path {
        PathState::Cut => TARGETS_IN_CUT,
        PathState::Sound | PathState::Doubtful => TARGETS_IN_DOUBT,
    };
    let targets = draw_targets(state, service, None, max_targets);
    let has_connected = connects_to_any(state, &targets).await;
    state.record_path_try(service, targets.len(), has_connected);
}

/// Returns the addresses of some usable targets of a service other than `excluded`, drawn at random.
pub(crate) fn draw_targets(
    state: &EntryState,
    service: &ServiceId,
    excluded: Option<&TargetId>,
    count: usize,
) -> Vec<SocketAddr> {
    let catalog = state.catalog.borrow();
    let evacuations = state.evacuations.borrow();
    let usable = catalog.iter().filter(|(id, target)| {
        let announcement = &target.announcement;
        target.is_usable()
            && excluded != Some(*id)
            && announcement.service == *service
            && !evacuations.contains(&announcement.data_centre)
    });
    let addresses = usable.map(|(_, target)| target.announcement.address);
    addresses.choose_multiple(&mut rand::rng(), count)
}

/// Returns whether any of the targets accepts a connection; without targets there is nothing to be
/// cut off from.
pub(crate) async fn connects_to_any(state: &EntryState, targets: &[SocketAddr]) -> bool {
    let mut connects: FuturesUnordered<_> = targets
        .iter()
        .map(|address| state.target_pools.try_connect(*address))
        .collect();
    while let Some(has_connected) = connects.next().await {
        if has_connected {
            return true;
        }
    }
    targets.is_empty()
}
