//! Why a call to the API fails, and the status that says so.

use damaskloom_lib::plan::PlanError;
use damaskloom_lib::platform::{PlatformError, RowKey};
use http::StatusCode;
use snafu::Snafu;

use crate::wire::ErrorBody;

/// Says why a call fails.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ApiError {
    /// The credential is missing or unknown.
    #[snafu(display("a known operator credential is required"))]
    Unauthenticated,
    /// The operator's role does not allow the call.
    #[snafu(display("the operator's role does not allow this"))]
    Forbidden,
    /// There is no such path or object.
    #[snafu(display("there is no {what}"))]
    NotFound {
        /// What was looked for.
        what: String,
    },
    /// The body or the query cannot be understood.
    #[snafu(display("the request cannot be understood: {detail}"))]
    BadRequest {
        /// What is wrong.
        detail: String,
    },
    /// The intent makes no plan.
    #[snafu(display("{source}"), context(false))]
    NoPlan {
        /// Why.
        source: PlanError,
    },
    /// The platform gave no definite answer.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Why.
        source: PlatformError,
    },
    /// A confirm was not decided in time; asking again finds the outcome.
    #[snafu(display("the plan is not decided yet; confirm it again to learn its outcome"))]
    Undecided,
    /// A row of the table cannot be understood.
    #[snafu(display("row {key} is malformed"))]
    BadRow {
        /// The row's key.
        key: RowKey,
    },
}

impl ApiError {
    /// Returns the HTTP status.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
            Self::NoPlan { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Platform { .. } | Self::Undecided => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadRow { .. } => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the body.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            code: self.code().to_owned(),
            message: self.to_string(),
        }
    }

    const fn code(&self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::NotFound { .. } => "not_found",
            Self::BadRequest { .. } => "bad_request",
            Self::NoPlan {
                source: PlanError::Unchanged,
            } => "unchanged",
            Self::NoPlan { .. } => "invalid_intent",
            Self::Platform { .. } => "platform",
            Self::Undecided => "undecided",
            Self::BadRow { .. } => "bad_row",
        }
    }
}
