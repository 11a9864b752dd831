//! Asks other nodes whether the store was away, before this one keeps targets whose announcements disappear.
//!
//! Calls of one node also fail if only its own path to the store does. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

use std::rc::Rc;
use std::time::Duration;

use damaskloom_lib::ids::VmId;
use damaskloom_lib::store_health::StoreReading;
use damaskloom_lib::target_catalog::REANNOUNCE_GRACE_MS;
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::entry_state::EntryState;
use crate::peer_rows::{PeerReading, ask_reading};

/// The time in which a node answers what it reads of the store: several times a usual fetch.
const READING_TIMEOUT: Duration = Duration::from_millis(200);
/// The delay before nodes that did not answer are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum number of nodes that are asked: one for each data centre that may be lost, and one more.
const MAX_ASKED_NODES: usize = 4;

/// What the nodes that were asked say.
#[derive(Clone, Copy, Debug)]
enum CheckOutcome {
    /// One of them reads the store in this node's era.
    Read(StoreReading),
    /// None of them can say anything, now or later.
    Unknown,
    /// Some did not answer, or cannot say yet.
    Unanswered,
}

/// Checks each grace period that this node's own calls have opened, until the task is cancelled.
pub async fn run_grace_checks(state: Rc<EntryState>) {
    loop {
        state.grace_doubted.notified().await;
        while state
            .catalog
            .borrow()
            .is_grace_unconfirmed(state.clock.now())
        {
            if check_grace(&state).await {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        state.remove_expired_targets();
    }
}

/// Asks other nodes once; returns whether they have settled how long the grace period is.
async fn check_grace(state: &EntryState) -> bool {
    let readers = readers_to_ask(state);
    let asked = readers.len();
    let outcome = ask_readers(state, readers).await;
    let now = state.clock.now();
    let mut catalog = state.catalog.borrow_mut();
    match outcome {
        CheckOutcome::Read(reading) => {
            catalog.apply_reading(now, Duration::from_millis(reading.answering_ms));
        }
        CheckOutcome::Unknown => catalog.confirm_grace(),
        CheckOutcome::Unanswered => {}
    }
    tracing::info!(
        asked,
        outcome = ?outcome,
        left_ms = catalog.grace_remaining(now).as_millis() as u64,
        "grace period of targets checked"
    );
    !matches!(outcome, CheckOutcome::Unanswered)
}

/// Returns the nodes that may have read the store for longer than a grace period, as far as they said.
fn readers_to_ask(state: &EntryState) -> Vec<VmId> {
    let since = state.clock.now() - Duration::from_millis(REANNOUNCE_GRACE_MS);
    let members = state.members.borrow();
    let readers = members.readers_since(since);
    readers.take(MAX_ASKED_NODES).cloned().collect()
}

async fn ask_readers(state: &EntryState, readers: Vec<VmId>) -> CheckOutcome {
    let own_era = state.targets_copy.mirror.borrow().version().era();
    let Some(secret) = state.secret.borrow().clone() else {
        return CheckOutcome::Unanswered;
    };
    let ask = async |vm: VmId| {
        let address = state.peer_address(&vm)?;
        let reading = ask_reading(&secret, address, READING_TIMEOUT).await;
        Some((vm, reading))
    };
    let mut answers: FuturesUnordered<_> = readers.into_iter().map(ask).collect();
    let mut outcome = CheckOutcome::Unknown;
    while let Some(answer) = answers.next().await {
        let Some((vm, reading)) = answer else {
            continue;
        };
        match reading {
            Some(PeerReading::Answering(reading)) if reading.era >= own_era => {
                return CheckOutcome::Read(reading);
            }
            // One that has not noticed the restore yet shows that it is recent.
            Some(PeerReading::Answering(_) | PeerReading::Unsupported) => {}
            Some(PeerReading::NotAnswering) => outcome = CheckOutcome::Unanswered,
            None if state.is_responsive(&vm) => outcome = CheckOutcome::Unanswered,
            None => {}
        }
    }
    outcome
}
