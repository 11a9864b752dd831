//! The gray failures of the target stand-in: it fails requests while it seems alive.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The behaviour of the target, which can change while it runs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetMode {
    /// Serves as its settings define.
    #[default]
    Healthy,
    /// Answers this share of requests, from 0 to 1, with status 500 after the normal service time.
    ErrorShare(f64),
    /// Multiplies every service time by this factor.
    Slow(f64),
    /// Multiplies the service time of the paths that start with a prefix.
    SlowPath {
        /// The prefix of the affected paths.
        prefix: String,
        /// The factor on the service time.
        factor: f64,
    },
    /// Accepts connections and requests and never reads or answers them.
    Hang,
    /// Runs requests and answers all with this status, while probes succeed.
    WrongStatus(u16),
    /// Alternates between healthy and the given mode after each period, starting healthy.
    Flapping {
        /// The period, in milliseconds.
        period_ms: u64,
        /// The mode in every second period.
        bad: Box<TargetMode>,
    },
    /// Reports no load, even while requests run.
    LoadStuckAtZero,
    /// Answers immediately with status 500, without acquiring a slot.
    FailFast,
    /// Closes the connection in the middle of each answer's body.
    CloseMidBody,
    /// Answers without reading the request's body.
    AnswerEarly,
    /// Crashes when a request's path or body contains the marker, and restarts.
    CrashOn(String),
    /// Sends every answer twice on its connection.
    DuplicateAnswers,
    /// Runs requests in the normal time and delays each answer, in milliseconds.
    LateAnswers(u64),
    /// Runs requests and drops every answer, like a network partition in one direction.
    AnswersLost,
    /// Answers probes with this status, regardless of the target's state.
    HealthStatus(u16),
    /// Combines all of these modes.
    All(Vec<TargetMode>),
}

/// The effects of the active modes on one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModeEffects {
    pub error_share: f64,
    pub slow_factor: f64,
    pub status: Option<u16>,
    pub health_status: Option<u16>,
    pub answer_delay: Duration,
    pub crash_marker: Option<String>,
    pub hang: bool,
    pub load_at_zero: bool,
    pub fail_fast: bool,
    pub close_mid_body: bool,
    pub answer_early: bool,
    pub duplicate_answers: bool,
    pub drop_answers: bool,
}

impl Default for ModeEffects {
    fn default() -> Self {
        Self {
            error_share: 0.0,
            slow_factor: 1.0,
            status: None,
            health_status: None,
            answer_delay: Duration::ZERO,
            crash_marker: None,
            hang: false,
            load_at_zero: false,
            fail_fast: false,
            close_mid_body: false,
            answer_early: false,
            duplicate_answers: false,
            drop_answers: false,
        }
    }
}

impl TargetMode {
    /// Returns the effects of the mode on a request for `path`, `age` after the mode was set.
    pub(crate) fn effects(&self, path: &str, age: Duration) -> ModeEffects {
        let mut effects = ModeEffects::default();
        self.add_effects(path, age, &mut effects);
        effects
    }

    fn add_effects(&self, path: &str, age: Duration, effects: &mut ModeEffects) {
        match self {
            Self::Healthy => {}
            Self::ErrorShare(share) => effects.error_share = *share,
            Self::Slow(factor) => effects.slow_factor *= factor,
            Self::SlowPath { prefix, factor } => {
                if path.starts_with(prefix) {
                    effects.slow_factor *= factor;
                }
            }
            Self::Hang => effects.hang = true,
            Self::WrongStatus(status) => effects.status = Some(*status),
            Self::Flapping { period_ms, bad } => {
                let period_index = age.as_millis() / u128::from((*period_ms).max(1));
                if period_index % 2 == 1 {
                    bad.add_effects(path, age, effects);
                }
            }
            Self::LoadStuckAtZero => effects.load_at_zero = true,
            Self::FailFast => effects.fail_fast = true,
            Self::CloseMidBody => effects.close_mid_body = true,
            Self::AnswerEarly => effects.answer_early = true,
            Self::CrashOn(marker) => effects.crash_marker = Some(marker.clone()),
            Self::DuplicateAnswers => effects.duplicate_answers = true,
            Self::LateAnswers(ms) => effects.answer_delay = Duration::from_millis(*ms),
            Self::AnswersLost => effects.drop_answers = true,
            Self::HealthStatus(status) => effects.health_status = Some(*status),
            Self::All(modes) => modes
                .iter()
                .for_each(|mode| mode.add_effects(path, age, effects)),
        }
    }
}
