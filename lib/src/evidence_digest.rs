//! The digests in which nodes send their evidence to the judges of a service.

use serde::{Deserialize, Serialize};

use crate::ids::{RouteId, TargetId};
use crate::sequential_test::ScorePair;

/// The evidence on one target and route since the digest before.
///
/// Field names are short on the wire, where entries are most of what nodes send each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EvidenceEntry {
    /// The target.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// The route.
    #[serde(rename = "r")]
    pub route: RouteId,
    /// The answers that were neither failures nor rejections nor slow.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub successes: u32,
    /// The failures that the target answered with.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// The attempts without an answer.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub unanswered: u32,
    /// The slow answers.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub slow: u32,
    /// The requests that the target blamed on the caller.
    #[serde(rename = "j", default, skip_serializing_if = "is_zero")]
    pub rejected: u32,
    /// The requests that the target shed.
    #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
    pub shed: u32,
    /// The failed health probes.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub probes_failed: u32,
    /// The scores of failures, in thousandths of a nat: strong, weak.
    #[serde(rename = "fs", default, skip_serializing_if = "is_zero_pair")]
    pub failure_millinats: [i32; 2],
    /// The scores of rejections, in thousandths of a nat: strong, weak.
    #[serde(rename = "js", default, skip_serializing_if = "is_zero_pair")]
    pub rejection_millinats: [i32; 2],
    /// The score of slow answers against the strong departure, in thousandths of a nat.
    ///
    /// There is no weak test: slow answers come in clumps, whenever a queue is long for a moment,
    /// and a test that is tuned to few of them would take the clumps for a slow target.
    #[serde(rename = "ls", default, skip_serializing_if = "is_zero_score")]
    pub slowness_millinats: i32,
}

const fn is_zero(count: &u32) -> bool {
    *count == 0
}

const fn is_zero_score(score: &i32) -> bool {
    *score == 0
}

fn is_zero_pair(pair: &[i32; 2]) -> bool {
    *pair == [0, 0]
}

/// The evidence of one node since its digest before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EvidenceDigest {
    /// Numbers the digests of one node; a digest with a number already seen is not counted again.
    pub sequence: u64,
    /// The evidence.
    #[serde(default)]
    pub entries: Vec<EvidenceEntry>,
}

/// What nodes tell a service's judges.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EvidenceMessage {
    /// The newest evidence of one node.
    Digest(EvidenceDigest),
}

/// How an attempt is counted.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CountClass {
    Success,
    Failed,
    Unanswered,
    Slow,
    Rejected,
    Shed,
    ProbeFailed,
}

/// The evidence on one target and route that no digest has carried yet.
#[derive(Debug, Default)]
pub(crate) struct EntryDraft {
    successes: u32,
    failed: u32,
    unanswered: u32,
    slow: u32,
    rejected: u32,
    shed: u32,
    probes_failed: u32,
    pub(crate) failure: ScorePair,
    pub(crate) rejection: ScorePair,
    pub(crate) slowness: f32,
}

impl EntryDraft {
    pub(crate) const fn count(&mut self, class: CountClass) {
        let count = match class {
            CountClass::Success => &mut self.successes,
            CountClass::Failed => &mut self.failed,
            CountClass::Unanswered => &mut self.unanswered,
            CountClass::Slow => &mut self.slow,
            CountClass::Rejected => &mut self.rejected,
            CountClass::Shed => &mut self.shed,
            CountClass::ProbeFailed => &mut self.probes_failed,
        };
        *count += 1;
    }

    pub(crate) fn into_entry(self, target: TargetId, route: RouteId) -> EvidenceEntry {
        EvidenceEntry {
            target,
            route,
            successes: self.successes,
            failed: self.failed,
            unanswered: self.unanswered,
            slow: self.slow,
            rejected: self.rejected,
            shed: self.shed,
            probes_failed: self.probes_failed,
            failure_millinats: to_millinats(self.failure),
            rejection_millinats: to_millinats(self.rejection),
            slowness_millinats: (self.slowness * 1_000.0) as i32,
        }
    }
}

fn to_millinats(scores: ScorePair) -> [i32; 2] {
    [scores.strong, scores.weak].map(|nats| (nats * 1_000.0) as i32)
}
