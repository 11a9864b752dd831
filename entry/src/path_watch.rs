//! Tries the path to the targets while it is in doubt or cut; see
//! [docs/design/cut-off-nodes.md](../../docs/design/cut-off-nodes.md).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damaskloom_lib::ids::TargetId;
use damaskloom_lib::target_path::PathState;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom;

use crate::entry_state::EntryState;

/// The number of targets that are tried when the path is in doubt.
const TARGETS_IN_DOUBT: usize = 6;
/// The number of targets that are tried at each interval while the path is cut.
const TARGETS_IN_CUT: usize = 2;
/// The interval between tries while the path is cut.
const TRY_INTERVAL: Duration = Duration::from_millis(250);

impl EntryState {
    /// Returns whether this node reaches no target.
    pub fn is_cut_off(&self) -> bool {
        self.target_path.borrow().state() == PathState::Cut
    }

    /// Records that an attempt at a target failed on the way to it.
    pub fn record_path_failure(&self, target: &TargetId) {
        if self.target_path.borrow_mut().record_failure(target) {
            tracing::info!(id = %target, "path to the targets in doubt");
            self.path_doubted.notify_one();
        }
    }

    fn record_path_try(&self, tried: usize, has_connected: bool) {
        let mut path = self.target_path.borrow_mut();
        if !path.record_try(has_connected) {
            return;
        }
        let state = path.state();
        drop(path);
        if state == PathState::Cut {
            tracing::warn!(tried, "cut off from all targets; requests are handed on");
            // Connections from before the cut may have lost bytes.
            self.target_pools.clear_idle();
        } else {
            tracing::info!(tried, "path to the targets is sound");
        }
        self.heartbeat_due.notify_one();
    }
}

/// Tries the path to the targets whenever it is in doubt, until the task is cancelled.
pub async fn run_path_tries(state: Rc<EntryState>) {
    loop {
        state.path_doubted.notified().await;
        loop {
            let max_targets = match state.target_path.borrow().state() {
                PathState::Sound => break,
                PathState::Doubtful => TARGETS_IN_DOUBT,
                PathState::Cut => TARGETS_IN_CUT,
            };
            let targets = draw_targets(&state, max_targets);
            let has_connected = connects_to_any(&state, &targets).await;
            state.record_path_try(targets.len(), has_connected);
            if state.is_cut_off() {
                tokio::time::sleep(TRY_INTERVAL).await;
            }
        }
    }
}

fn draw_targets(state: &EntryState, count: usize) -> Vec<SocketAddr> {
    let catalog = state.catalog.borrow();
    let usable = catalog.iter().filter(|(_, target)| target.is_usable());
    let addresses = usable.map(|(_, target)| target.announcement.address);
    addresses.choose_multiple(&mut rand::rng(), count)
}

/// Returns whether any of the targets accepts a connection; without targets there is nothing to be
/// cut off from.
async fn connects_to_any(state: &EntryState, targets: &[SocketAddr]) -> bool {
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
