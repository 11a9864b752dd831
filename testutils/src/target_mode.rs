//! The ways in which the target stand-in fails while it looks alive.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the target behaves, settable while it runs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetMode {
    /// Serves as its settings say.
    #[default]
    Healthy,
    /// Answers this share of requests, from 0 to 1, with status 500 after the usual service time.
    ErrorShare(f64),
    /// Multiplies every service time.
    Slow(f64),
    /// Multiplies the service time of the paths that start with a prefix.
    SlowPath {
        /// The start of the affected paths.
        prefix: String,
        /// The factor on the service time.
        factor: f64,
    },
    /// Accepts connections and requests and never reads or answers them.
    Hang,
    /// Runs requests and answers all with this status, while probes pass.
    WrongStatus(u16),
    /// Is healthy and in the given mode by turns, each for the period, starting healthy.
    Flapping {
        /// The length of one turn, in milliseconds.
        period_ms: u64,
        /// The mode of every second turn.
        bad: Box<TargetMode>,
    },
    /// Reports no load, whatever it runs.
    LoadStuckAtZero,
    /// Answers at once with status 500, without taking a slot.
    FailFast,
    /// Closes the connection in the middle of each answer's body.
    CloseMidBody,
    /// Answers before it has read the request's body.
    AnswerEarly,
    /// Dies when a request's path or body holds the marker, and restarts.
    CrashOn(String),
    /// Sends every answer twice on its connection.
    DuplicateAnswers,
    /// Runs requests in the usual time and holds each answer back, in milliseconds.
    LateAnswers(u64),
    /// Runs requests and loses every answer, as when cut in one direction.
    AnswersLost,
    /// Answers probes with this status, whatever the target's true state.
    HealthStatus(u16),
    /// Is in all of the modes at once.
    All(Vec<TargetMode>),
}

/// What the modes that are in force do to one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModeEffects {
    pub error_share: f64,
    pub slow_factor: f64,
    pub status: Option<u16>,
    pub health_status: Option<u16>,
    pub hold_answer: Duration,
    pub crash_marker: Option<String>,
    pub hang: bool,
    pub load_at_zero: bool,
    pub fail_fast: bool,
    pub close_mid_body: bool,
    pub answer_early: bool,
    pub duplicate: bool,
    pub answers_lost: bool,
}

impl Default for ModeEffects {
    fn default() -> Self {
        Self {
            error_share: 0.0,
            slow_factor: 1.0,
            status: None,
            health_status: None,
            hold_answer: Duration::ZERO,
            crash_marker: None,
            hang: false,
            load_at_zero: false,
            fail_fast: false,
            close_mid_body: false,
            answer_early: false,
            duplicate: false,
            answers_lost: false,
        }
    }
}

impl TargetMode {
    /// Returns what the mode does to a request for `path`, `age` after the mode was set.
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
                let turn = age.as_millis() / u128::from((*period_ms).max(1));
                if turn % 2 == 1 {
                    bad.add_effects(path, age, effects);
                }
            }
            Self::LoadStuckAtZero => effects.load_at_zero = true,
            Self::FailFast => effects.fail_fast = true,
            Self::CloseMidBody => effects.close_mid_body = true,
            Self::AnswerEarly => effects.answer_early = true,
            Self::CrashOn(marker) => effects.crash_marker = Some(marker.clone()),
            Self::DuplicateAnswers => effects.duplicate = true,
            Self::LateAnswers(ms) => effects.hold_answer = Duration::from_millis(*ms),
            Self::AnswersLost => effects.answers_lost = true,
            Self::HealthStatus(status) => effects.health_status = Some(*status),
            Self::All(modes) => modes
                .iter()
                .for_each(|mode| mode.add_effects(path, age, effects)),
        }
    }
}
