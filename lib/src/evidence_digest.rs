//! The digests in which nodes send their evidence to the evaluators of a service.

use serde::{Deserialize, Serialize};

use crate::ids::{RouteId, TargetId};
use crate::sequential_test::ScorePair;

/// The evidence on one target and route since the node's previous digest.
///
/// Field names are short on the wire, since entries make up most of the traffic between nodes.
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
    /// The answers with an error.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// The attempts without an answer.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub unanswered: u32,
    /// The slow answers.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub slow: u32,
    /// The requests that the target rejected as the caller's fault.
    #[serde(rename = "j", default, skip_serializing_if = "is_zero")]
    pub rejected: u32,
    /// The requests that the target shed.
    #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
    pub shed: u32,
    /// The failed health probes.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub probes_failed: u32,
    /// The scores of failures for the strong and weak alternatives, in thousandths of a nat.
    #[serde(rename = "fs", default, skip_serializing_if = "is_zero_pair")]
    pub failure_millinats: [i32; 2],
    /// The scores of rejections for the strong and weak alternatives, in thousandths of a nat.
    #[serde(rename = "js", default, skip_serializing_if = "is_zero_pair")]
    pub rejection_millinats: [i32; 2],
    /// The score of slow answers for the strong alternative, in thousandths of a nat.
    ///
    /// There is no weak test: slow answers cluster whenever a queue is long for a moment, and a
    /// test for few slow answers would mistake such a cluster for a slow target.
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

/// The evidence of one node since its previous digest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EvidenceDigest {
    /// The number of the digest; one that isn't above the last number of its node is ignored.
    pub sequence: u64,
    /// The evidence.
    #[serde(default)]
    pub entries: Vec<EvidenceEntry>,
}

/// A message from a node to an evaluator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EvidenceMessage {
    /// The newest evidence of one node.
    Digest(EvidenceDigest),
}

/// The count to which an attempt or a probe adds.
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

/// The evidence on one target and route that has not been sent in a digest yet.
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
