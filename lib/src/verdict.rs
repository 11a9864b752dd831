//! Verdicts on targets and their explanations.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, TargetId};

/// The state of a target according to an evaluator.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetVerdict {
    /// The target serves as well as its population.
    #[default]
    Healthy,
    /// The target serves worse than its population, as several nodes have seen.
    BadTarget,
    /// Some nodes cannot reach the target while others can.
    BadPath,
    /// Many targets of the service are bad at once, so that ejecting one would not help.
    ServiceBad,
    /// The target sheds requests and is otherwise healthy.
    Overloaded,
}

impl fmt::Display for TargetVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Healthy => "healthy",
            Self::BadTarget => "bad target",
            Self::BadPath => "bad path",
            Self::ServiceBad => "service bad",
            Self::Overloaded => "overloaded",
        })
    }
}

/// The main cause of a suspicion against a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspicionCause {
    /// It answered with errors more often than the population.
    Failures,
    /// It rejected requests as the caller's fault more often than the population.
    Rejections,
    /// It answered more slowly than the population.
    Slowness,
    /// It did not answer.
    Silence,
}

impl fmt::Display for SuspicionCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "failures",
            Self::Rejections => "rejections",
            Self::Slowness => "slow answers",
            Self::Silence => "missing answers",
        })
    }
}

/// The numbers of nodes that use a target, by whether it answers them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ReachCounts {
    /// The nodes that get no answers.
    #[serde(rename = "cut")]
    pub unreachable: u32,
    /// The nodes all of whose attempts are answered.
    pub clean: u32,
    /// The nodes some of whose attempts are answered.
    pub mixed: u32,
    /// The nodes that recently got an error or a slow answer, which shows that their path works.
    #[serde(rename = "accusing", default)]
    pub bad_answers: u32,
}

/// Why a target has its verdict, for `ctl explain target`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetExplanation {
    /// The target.
    pub target: TargetId,
    /// The verdict.
    pub verdict: TargetVerdict,
    /// The main cause of the suspicion, if there is one.
    pub cause: Option<SuspicionCause>,
    /// The highest score, in nats.
    pub score: f32,
    /// The score at which an alarm is raised, in nats.
    pub threshold: f32,
    /// The recent answers that were neither failures nor rejections nor slow.
    #[serde(rename = "good")]
    pub successes: f32,
    /// The recent answers with an error.
    pub failed: f32,
    /// The recent attempts without an answer.
    #[serde(rename = "silent")]
    pub unanswered: f32,
    /// The requests that the target recently rejected as the caller's fault.
    pub rejected: f32,
    /// The recent slow answers.
    pub slow: f32,
    /// The requests that the target recently shed.
    pub shed: f32,
    /// The numbers of nodes by whether the target answers them.
    pub reach: ReachCounts,
    /// The age of the newest evidence in milliseconds, or `None` if there never was any.
    pub evidence_age_ms: Option<u64>,
    /// Whether evidence is ignored because the target is ejected.
    #[serde(rename = "held")]
    pub suspended: bool,
}

impl fmt::Display for TargetExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.target, self.verdict)?;
        if let Some(cause) = self.cause {
            write!(f, ", mostly {cause}")?;
        }
        writeln!(f, "; score {:.1} of {:.1}", self.score, self.threshold)?;
        writeln!(
            f,
            "  recent answers: {:.0} good, {:.0} failed, {:.0} rejected, {:.0} missing, {:.0} slow, \
             {:.0} shed",
            self.successes, self.failed, self.rejected, self.unanswered, self.slow, self.shed
        )?;
        writeln!(
            f,
            "  nodes: {} get answers, {} get none, {} get some",
            self.reach.clean, self.reach.unreachable, self.reach.mixed
        )?;
        match self.evidence_age_ms {
            Some(age) => write!(f, "  newest evidence: {age} ms ago"),
            None => write!(f, "  no evidence: the target keeps its state"),
        }
    }
}

/// Why a target is ejected, for `ctl explain target`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EjectionExplanation {
    /// The node whose unit of ejectable capacity backs the ejection.
    pub holder: NodeId,
    /// Why it was ejected.
    pub cause: SuspicionCause,
    /// How often the target was ejected before in close succession.
    pub flaps: u32,
    /// The time to the first trial request, or to the end of the trial or lease, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the holder sends trial requests.
    pub on_trial: bool,
}

impl fmt::Display for EjectionExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ejected by {} for {}, {} times before; ",
            self.holder, self.cause, self.flaps
        )?;
        if self.on_trial {
            write!(f, "trial requests run for {} ms more", self.remaining_ms)
        } else {
            write!(f, "next change in {} ms", self.remaining_ms)
        }
    }
}
