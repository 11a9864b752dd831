//! Errors of API calls, with their HTTP status and error code.

use damaskloom_lib::plan::PlanError;
use damaskloom_lib::platform::{PlatformError, RowKey};
use http::StatusCode;
use snafu::Snafu;

use crate::wire::ErrorBody;

/// The error of a failed API call.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ApiError {
    /// The credential is missing or unknown.
    #[snafu(display("a known operator credential is required"))]
    Unauthenticated,
    /// The operator's role does not allow the call.
    #[snafu(display("the operator's role does not allow this"))]
    Forbidden,
    /// The path or object does not exist.
    #[snafu(display("there is no {what}"))]
    NotFound {
        /// The path or object.
        what: String,
    },
    /// The path, query or body cannot be parsed.
    #[snafu(display("the request cannot be understood: {detail}"))]
    BadRequest {
        /// The parser's error or another reason.
        detail: String,
    },
    /// No plan can be made from the intent, or it would change nothing.
    #[snafu(display("{source}"), context(false))]
    InvalidIntent {
        /// The error of the plan.
        source: PlanError,
    },
    /// The platform gave no definite answer to a read or a commit.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The error of the platform's client.
        source: PlatformError,
    },
    /// A confirmation has no known outcome yet; a retry returns it.
    #[snafu(display("the plan is not decided yet; confirm it again to learn its outcome"))]
    Undecided,
    /// A row of the table cannot be parsed.
    #[snafu(display("row {key} is malformed"))]
    BadRow {
        /// The row's key.
        key: RowKey,
    },
}

impl ApiError {
    /// Returns the HTTP status of the response.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
            Self::InvalidIntent { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Platform { .. } | Self::Undecided => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadRow { .. } => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the body of the response.
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
            Self::InvalidIntent {
                source: PlanError::Unchanged,
            } => "unchanged",
            Self::InvalidIntent { .. } => "invalid_intent",
            Self::Platform { .. } => "platform",
            Self::Undecided => "undecided",
            Self::BadRow { .. } => "bad_row",
        }
    }
}
