//! What targets say of themselves in their answers.

use std::time::Duration;

use crate::target_limits::LimitNotice;

/// What the head of an answer says about the target that made it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// What it says about the target's limit.
    pub limit: LimitNotice,
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// How long the target wants no requests of this node; none if it does not say so.
    pub rest: Option<Duration>,
}
