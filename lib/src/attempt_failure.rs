//! The ways in which an attempt of a request fails, and what each of them proves.
//!
//! Retries, the repeat budget, limits, rates and the evidence about targets all go by this one table.
//! See [docs/design/attempts.md](../../docs/design/attempts.md).

/// The ways in which an attempt fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// This node has as many connections to the target as it may open.
    NoConnection,
    /// The target did not accept a connection in time.
    Unreachable,
    /// A reused connection had closed before anything was sent.
    Stale,
    /// The target stopped accepting requests of this node before anything was sent.
    Withdrawn,
    /// Another target listens at the address.
    WrongTarget,
    /// The target refused the request because it has no free capacity.
    Full,
    /// The connection or the answer ended early.
    Broken,
    /// The answer is not the target's unmodified answer to this request.
    InvalidAnswer,
    /// No answer arrived before the deadline.
    TimedOut,
    /// The target answered that it failed.
    ServerError,
}

/// What a failure shows about the path from this node to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathEvidence {
    /// Nothing: nothing was sent.
    None,
    /// The path is sound, since an answer came over it.
    Answered,
    /// The target or the path failed.
    FailedOnTheWay,
}

impl AttemptFailure {
    /// All failures.
    pub const ALL: [Self; 10] = [
        Self::NoConnection,
        Self::Unreachable,
        Self::Stale,
        Self::Withdrawn,
        Self::WrongTarget,
        Self::Full,
        Self::Broken,
        Self::InvalidAnswer,
        Self::TimedOut,
        Self::ServerError,
    ];

    /// Returns whether the request may have reached a target, the expected one or another. Such an
    /// attempt counts against the route's attempts, and the next one draws on the repeat budget.
    pub const fn is_arrival(self) -> bool {
        match self {
            Self::NoConnection | Self::Unreachable | Self::Stale | Self::Withdrawn => false,
            Self::WrongTarget
            | Self::Full
            | Self::Broken
            | Self::InvalidAnswer
            | Self::TimedOut
            | Self::ServerError => true,
        }
    }

    /// Returns whether a target may have run the request.
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::NoConnection
            | Self::Unreachable
            | Self::Stale
            | Self::Withdrawn
            | Self::WrongTarget
            | Self::Full => false,
            Self::Broken | Self::InvalidAnswer | Self::TimedOut | Self::ServerError => true,
        }
    }

    /// Returns what the failure shows about the path.
    pub const fn path_evidence(self) -> PathEvidence {
        match self {
            Self::NoConnection | Self::Stale | Self::Withdrawn => PathEvidence::None,
            Self::WrongTarget | Self::Full | Self::InvalidAnswer | Self::ServerError => {
                PathEvidence::Answered
            }
            Self::Unreachable | Self::Broken | Self::TimedOut => PathEvidence::FailedOnTheWay,
        }
    }

    /// Returns the name of the failure in log lines and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoConnection => "no-connection",
            Self::Unreachable => "unreachable",
            Self::Stale => "stale-connection",
            Self::Withdrawn => "withdrawn",
            Self::WrongTarget => "wrong-target",
            Self::Full => "target-full",
            Self::Broken => "broken",
            Self::InvalidAnswer => "spoilt",
            Self::TimedOut => "timed-out",
            Self::ServerError => "server-error",
        }
    }
}
