//! Detects and refuses requests that crash their targets.
//!
//! A request is suspected when its target's connection is lost while the request runs and the target
//! is unreachable right after, although others of its service are reachable. The node that lost the
//! connection checks this at once, since other requests may not come for long. Two different targets that
//! crash this way, with no successful answer in between, block the request's fingerprint on every node for
//! a while. The fingerprint includes the
//! customer, and the number of suspects is bounded per customer, so that no customer can block or
//! displace another's requests. See
//! [docs/design/crashing-requests.md](../../docs/design/crashing-requests.md).

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{CustomerId, NodeId, RouteId, TargetId};
use crate::mixer::hash_bytes;
use crate::time::MonoTime;

/// The time after a lost connection in which an unreachable target confirms the crash.
pub const CONFIRMATION_WINDOW_MS: u64 = 2_000;
/// The time after a crash in which missing answers of the target are not counted against it.
pub const EXEMPTION_MS: u64 = 10_000;
/// The time for which a fingerprint is refused.
pub const BLOCK_MS: u64 = 600_000;
/// The number of different targets that a request must crash to be refused.
pub const CRASHES_TO_BLOCK: usize = 2;
/// The maximum number of suspected fingerprints of one customer.
pub const MAX_SUSPECTS_PER_CUSTOMER: usize = 32;
/// The maximum number of suspected fingerprints in total.
pub const MAX_SUSPECTS: usize = 4_096;

/// The delay before a target that accepted a connection right after it lost one is checked again, in
/// milliseconds: it may close its listener later than its connections.
const SECOND_CHECK_DELAY_MS: u64 = 250;
/// The maximum number of checks of a target for one lost connection.
const MAX_CHECKS: u8 = 2;
/// The time for which a suspicion is kept after its last crash.
const SUSPICION_RETENTION_MS: u64 = 600_000;
/// The maximum number of lost connections that wait for a confirmation.
const MAX_LOST_ATTEMPTS: usize = 256;
/// The shortest time for which a success is kept, unless there are more than
/// [`MAX_RECENT_SUCCESSES`].
const SUCCESS_RETENTION_MS: u64 = 30_000;
const MAX_RECENT_SUCCESSES: usize = 4_096;

/// The first half of the SHA-256 digest of a request's method, path and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RequestDigest([u8; 16]);

impl RequestDigest {
    /// Digests a request; `body_digest` is any digest of its body.
    pub fn of(method: &[u8], path: &[u8], body_digest: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method, path, body_digest] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize()[..16]);
        Self(digest)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Identifies a request across its attempts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestFingerprint {
    /// The customer of the request.
    pub customer: CustomerId,
    /// The route of the request.
    pub route: RouteId,
    /// The digest of the request.
    pub digest: RequestDigest,
}

impl RequestFingerprint {
    fn short_hash(&self) -> u64 {
        hash_bytes(&self.digest.0, hash_bytes(self.customer.as_bytes(), 0))
    }
}

/// A message between nodes about crashing requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashMessage {
    /// The request crashed the target.
    TookDown {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The target.
        target: TargetId,
    },
    /// The request got a successful answer, so it did not cause the crashes.
    Cleared {
        /// The request.
        fingerprint: RequestFingerprint,
    },
}

/// An action that the caller of a [`CrashGuard`] must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashAction {
    /// Send the message to a peer.
    Send {
        /// The peer.
        to: NodeId,
        /// The message.
        message: CrashMessage,
    },
    /// Don't count missing answers against the target for the period.
    Exempt {
        /// The target.
        target: TargetId,
        /// The period.
        period: Duration,
    },
    /// Connect to the target after a delay, and report the result to [`CrashGuard::record_check`].
    Check {
        /// The target.
        target: TargetId,
        /// The delay.
        delay: Duration,
    },
    /// The request is refused from now on.
    Blocked(RequestFingerprint),
}

/// The result of connecting to a target that has lost a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckResult {
    /// The target accepts no connection, but others of its service do, unless there are none.
    Down,
    /// The target accepts connections.
    Up,
    /// No target of the service accepts connections, so that the path to them may have failed.
    Unknown,
}

#[derive(Debug)]
struct LostAttempt {
    fingerprint: RequestFingerprint,
    target: TargetId,
    lost_at: MonoTime,
    /// The checks since then in which the target accepted a connection.
    checks: u8,
}

#[derive(Debug)]
struct CrashSuspect {
    /// The targets that crashed, up to [`CRASHES_TO_BLOCK`].
    targets: Vec<TargetId>,
    updated_at: MonoTime,
    blocked_until: Option<MonoTime>,
}

/// Hashes of recently successful requests, in two generations; when the newer one is full or old, it
/// replaces the older one.
#[derive(Debug, Default)]
struct RecentSuccesses {
    newer: IndexSet<u64>,
    older: IndexSet<u64>,
    rotated_at: MonoTime,
}

impl RecentSuccesses {
    fn insert(&mut self, now: MonoTime, fingerprint: &RequestFingerprint) {
        let old = now.since(self.rotated_at) >= Duration::from_millis(SUCCESS_RETENTION_MS);
        if old || self.newer.len() >= MAX_RECENT_SUCCESSES {
            self.older = std::mem::take(&mut self.newer);
            self.rotated_at = now;
        }
        self.newer.insert(fingerprint.short_hash());
    }

    fn contains(&self, fingerprint: &RequestFingerprint) -> bool {
        let hash = fingerprint.short_hash();
        self.newer.contains(&hash) || self.older.contains(&hash)
    }
}

/// The suspected and blocked requests that one node knows.
#[derive(Debug, Default)]
pub struct CrashGuard {
    peers: Vec<NodeId>,
    lost_attempts: VecDeque<LostAttempt>,
    /// The targets that are being checked, with the times at which the checks are due.
    checks: IndexMap<TargetId, MonoTime>,
    suspects: IndexMap<RequestFingerprint, CrashSuspect>,
    successes: RecentSuccesses,
}

impl CrashGuard {
    /// Creates a guard without any suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the other nodes, to which crashes are reported.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = NodeId>) {
        self.peers = peers.into_iter().collect();
    }

    /// Returns whether there are no suspects, so that callers can skip [`CrashGuard::check`].
    pub fn is_idle(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the time for which the request is refused, or `None` if it may run.
    pub fn check(&self, now: MonoTime, fingerprint: &RequestFingerprint) -> Option<Duration> {
        let until = self.suspects.get(fingerprint)?.blocked_until?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the number of different requests that are refused.
    pub fn blocked_count(&self, now: MonoTime) -> usize {
        let is_blocked =
            |suspect: &&CrashSuspect| suspect.blocked_until.is_some_and(|until| now < until);
        self.suspects.values().filter(is_blocked).count()
    }

    /// Records that a target's connection was lost while it ran the request; the target is to be checked.
    pub fn record_lost_connection(
        &mut self,
        now: MonoTime,
        fingerprint: &RequestFingerprint,
        target: &TargetId,
    ) -> Vec<CrashAction> {
        self.drop_old_attempts(now);
        // A request that has just succeeded is unlikely to crash a target.
        if self.successes.contains(fingerprint) {
            return Vec::new();
        }
        if self.lost_attempts.len() >= MAX_LOST_ATTEMPTS {
            self.lost_attempts.pop_front();
        }
        self.lost_attempts.push_back(LostAttempt {
            fingerprint: fingerprint.clone(),
            target: target.clone(),
            lost_at: now,
            checks: 0,
        });
        self.start_check(now, target, Duration::ZERO)
    }

    /// Records that an attempt could not connect to the target, which is then checked if it has just lost a
    /// connection: the path to it may have failed as well.
    pub fn record_failed_connect(&mut self, now: MonoTime, target: &TargetId) -> Vec<CrashAction> {
        self.drop_old_attempts(now);
        let is_awaited = |attempt: &LostAttempt| attempt.target == *target;
        if !self.lost_attempts.iter().any(is_awaited) {
            return Vec::new();
        }
        self.start_check(now, target, Duration::ZERO)
    }

    /// Records the result of a check that was started at `started_at`.
    pub fn record_check(
        &mut self,
        now: MonoTime,
        target: &TargetId,
        started_at: MonoTime,
        result: CheckResult,
    ) -> Vec<CrashAction> {
        self.checks.swap_remove(target);
        match result {
            CheckResult::Down => self.record_unreachable(now, target),
            CheckResult::Unknown => {
                self.lost_attempts
                    .retain(|attempt| attempt.target != *target);
                Vec::new()
            }
            CheckResult::Up => {
                self.drop_old_attempts(now);
                let attempts = self.lost_attempts.iter_mut();
                let mut is_due = false;
                for attempt in attempts.filter(|attempt| attempt.target == *target) {
                    if attempt.lost_at <= started_at {
                        attempt.checks += 1;
                    }
                    is_due |= attempt.checks < MAX_CHECKS;
                }
                let delay = Duration::from_millis(SECOND_CHECK_DELAY_MS);
                let due = is_due.then(|| self.start_check(now, target, delay));
                due.unwrap_or_default()
            }
        }
    }

    /// Starts a check of a target unless there is one already.
    fn start_check(
        &mut self,
        now: MonoTime,
        target: &TargetId,
        delay: Duration,
    ) -> Vec<CrashAction> {
        if self.checks.contains_key(target) {
            return Vec::new();
        }
        self.checks.insert(target.clone(), now + delay);
        vec![CrashAction::Check {
            target: target.clone(),
            delay,
        }]
    }

    /// Records that no connection to the target can be made, which confirms its recent crashes.
    ///
    /// Peers are told of the earlier targets as well, since they may have started since then or missed a
    /// message.
    pub fn record_unreachable(&mut self, now: MonoTime, target: &TargetId) -> Vec<CrashAction> {
        self.drop_old_attempts(now);
        let (confirmed, kept) = std::mem::take(&mut self.lost_attempts)
            .into_iter()
            .partition::<VecDeque<_>, _>(|attempt| attempt.target == *target);
        self.lost_attempts = kept;
        let mut actions = Vec::new();
        for attempt in confirmed {
            let fingerprint = attempt.fingerprint;
            self.record_crash(now, fingerprint.clone(), target, &mut actions);
            for message in self.crash_messages(&fingerprint, target) {
                actions.extend(self.send_all(&message));
            }
        }
        actions
    }

    /// Returns the messages about a crash of `newest` and the earlier ones of the same request.
    fn crash_messages(
        &self,
        fingerprint: &RequestFingerprint,
        newest: &TargetId,
    ) -> Vec<CrashMessage> {
        let suspect = self.suspects.get(fingerprint);
        let targets = suspect.into_iter().flat_map(|suspect| &suspect.targets);
        let earlier = targets.filter(|target| *target != newest);
        let message = |target: &TargetId| CrashMessage::TookDown {
            fingerprint: fingerprint.clone(),
            target: target.clone(),
        };
        [newest].into_iter().chain(earlier).map(message).collect()
    }

    /// Records that the request got a successful answer, which clears it.
    pub fn record_success(
        &mut self,
        now: MonoTime,
        fingerprint: &RequestFingerprint,
    ) -> Vec<CrashAction> {
        self.successes.insert(now, fingerprint);
        self.lost_attempts
            .retain(|attempt| attempt.fingerprint != *fingerprint);
        if self.suspects.swap_remove(fingerprint).is_none() {
            return Vec::new();
        }
        self.send_all(&CrashMessage::Cleared {
            fingerprint: fingerprint.clone(),
        })
    }

    /// Handles a message of a peer.
    pub fn handle_message(&mut self, now: MonoTime, message: CrashMessage) -> Vec<CrashAction> {
        let mut actions = Vec::new();
        match message {
            CrashMessage::TookDown {
                fingerprint,
                target,
            } => self.record_crash(now, fingerprint, &target, &mut actions),
            CrashMessage::Cleared { fingerprint } => {
                self.suspects.swap_remove(&fingerprint);
            }
        }
        actions
    }

    /// Drops old lost attempts and suspects.
    pub fn tick(&mut self, now: MonoTime) {
        self.drop_old_attempts(now);
        self.suspects.retain(|_, suspect| {
            let is_recent =
                now.since(suspect.updated_at) < Duration::from_millis(SUSPICION_RETENTION_MS);
            is_recent || suspect.blocked_until.is_some_and(|until| now < until)
        });
    }

    fn record_crash(
        &mut self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        target: &TargetId,
        actions: &mut Vec<CrashAction>,
    ) {
        // Peers repeat the crashes that led to a block.
        let is_repeated = self.suspects.get(&fingerprint).is_some_and(|suspect| {
            suspect.blocked_until.is_some() && suspect.targets.contains(target)
        });
        if !is_repeated {
            actions.push(CrashAction::Exempt {
                target: target.clone(),
                period: Duration::from_millis(EXEMPTION_MS),
            });
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(&fingerprint.customer);
        }
        let suspect = self
            .suspects
            .entry(fingerprint.clone())
            .or_insert(CrashSuspect {
                targets: Vec::new(),
                updated_at: now,
                blocked_until: None,
            });
        suspect.updated_at = now;
        match suspect.blocked_until {
            Some(until) if now < until => return,
            Some(_) => {
                suspect.blocked_until = None;
                suspect.targets.clear();
            }
            None => {}
        }
        if !suspect.targets.contains(target) {
            suspect.targets.push(target.clone());
        }
        if suspect.targets.len() >= CRASHES_TO_BLOCK {
            suspect.blocked_until = Some(now + Duration::from_millis(BLOCK_MS));
            actions.push(CrashAction::Blocked(fingerprint));
        }
    }

    /// Makes room for another suspect of the customer, by dropping that customer's own suspects first.
    fn make_room(&mut self, customer: &CustomerId) {
        let own = self
            .suspects
            .keys()
            .filter(|fingerprint| fingerprint.customer == *customer)
            .count();
        if own >= MAX_SUSPECTS_PER_CUSTOMER {
            self.drop_oldest(|fingerprint| fingerprint.customer == *customer);
        } else if self.suspects.len() >= MAX_SUSPECTS {
            self.drop_oldest(|_| true);
        }
    }

    fn drop_oldest(&mut self, is_candidate: impl Fn(&RequestFingerprint) -> bool) {
        let oldest = self
            .suspects
            .iter()
            .filter(|(fingerprint, _)| is_candidate(fingerprint))
            .min_by_key(|(_, suspect)| (suspect.blocked_until.is_some(), suspect.updated_at))
            .map(|(fingerprint, _)| fingerprint.clone());
        if let Some(fingerprint) = oldest {
            self.suspects.swap_remove(&fingerprint);
        }
    }

    fn drop_old_attempts(&mut self, now: MonoTime) {
        let window = Duration::from_millis(CONFIRMATION_WINDOW_MS);
        self.lost_attempts
            .retain(|attempt| now.since(attempt.lost_at) <= window);
        // A check without a result was cancelled.
        self.checks.retain(|_, due_at| now.since(*due_at) <= window);
    }

    fn send_all(&self, message: &CrashMessage) -> Vec<CrashAction> {
        self.peers
            .iter()
            .map(|to| CrashAction::Send {
                to: to.clone(),
                message: message.clone(),
            })
            .collect()
    }
}
