//! Computes the error budget of a service and its burn rates.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::burn_snapshot::{BurnCount, BurnWindow, WINDOW_COUNT, WindowCounts};

const PPM: f64 = 1e6;
/// The burn rate at which the whole budget is spent in twelve hours.
const FAST_BURN: f64 = 6.0;
/// The burn rate at which the budget lasts exactly its period.
const SLOW_BURN: f64 = 1.0;

/// How urgent a service's burn is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnState {
    /// The budget lasts its period.
    #[serde(rename = "calm")]
    Steady,
    /// Over one and six hours it burns too fast to last its period.
    Slow,
    /// Over five minutes and one hour it burns so fast that it is spent in half a day.
    Fast,
    /// Nothing is left of the budget.
    Spent,
}

impl fmt::Display for BurnState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Steady => "calm",
            Self::Slow => "slow burn",
            Self::Fast => "fast burn",
            Self::Spent => "budget spent",
        })
    }
}

/// The state of an error budget over its period of three days.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ErrorBudget {
    /// The burn rate in each window; at a rate of 1 the budget lasts exactly its period.
    pub burn_rates: [f64; WINDOW_COUNT],
    /// The remaining fraction of the budget, from 1 down; negative when overdrawn.
    #[serde(rename = "left")]
    pub remaining: f64,
    /// The time until the budget is spent at the rate of the last hour, in milliseconds, or `None`
    /// if it lasts its period.
    pub exhausted_in_ms: Option<u64>,
    /// How urgent the burn is.
    pub state: BurnState,
}

impl ErrorBudget {
    /// Computes the budget for an objective in parts per million of successful answers.
    pub fn new(windows: &WindowCounts, objective_ppm: u32) -> Self {
        let allowed = ((PPM - f64::from(objective_ppm)) / PPM).max(0.0);
        let burn_rates = windows.map(|count| burn_rate(count, allowed));
        let [five_minutes, one_hour, six_hours, three_days] = burn_rates;
        let remaining = 1.0 - three_days;
        let state = if remaining <= 0.0 {
            BurnState::Spent
        } else if five_minutes >= FAST_BURN && one_hour >= FAST_BURN {
            BurnState::Fast
        } else if one_hour >= SLOW_BURN && six_hours >= SLOW_BURN {
            BurnState::Slow
        } else {
            BurnState::Steady
        };
        Self {
            burn_rates,
            remaining,
            exhausted_in_ms: time_to_exhaustion_ms(remaining, one_hour),
            state,
        }
    }

    /// Returns the time until the budget is spent at the rate of the last hour.
    pub fn exhausted_in(&self) -> Option<Duration> {
        self.exhausted_in_ms.map(Duration::from_millis)
    }
}

/// Returns the ratio of the failure rate to the allowed rate; an objective of 100% allows none.
fn burn_rate(count: BurnCount, allowed: f64) -> f64 {
    match (count.bad, allowed > 0.0) {
        (0, _) => 0.0,
        (_, false) => f64::MAX,
        (bad, true) => bad as f64 / count.total.max(1) as f64 / allowed,
    }
}

fn time_to_exhaustion_ms(remaining: f64, rate: f64) -> Option<u64> {
    let period = BurnWindow::ThreeDays.length();
    if remaining <= 0.0 {
        return Some(0);
    }
    let time = period.as_secs_f64() * remaining / rate;
    (rate > SLOW_BURN && time < period.as_secs_f64()).then_some((time * 1e3) as u64)
}
