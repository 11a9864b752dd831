//! An HTTP client for the operator API and the gateways' admin listeners.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskloom_operator::wire::ErrorBody;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, Snafu};

use crate::ctl_command::ExitStatus;

/// The time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The error of a failed call.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// There was no answer, or only a part of one.
    #[snafu(display("{address} does not answer: {detail}"))]
    NoAnswer {
        /// The address that was called.
        address: SocketAddr,
        /// The error of the HTTP client.
        detail: String,
    },
    /// The API refused the call.
    #[snafu(display("{} ({})", body.message, body.code))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The error body.
        body: ErrorBody,
    },
    /// The answer is not the expected document.
    #[snafu(display("the answer with status {status} cannot be parsed"))]
    InvalidAnswer {
        /// The HTTP status.
        status: StatusCode,
    },
}

impl CallError {
    /// Returns the exit code for scripts.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            // Scripts apply the same intent repeatedly; an intent that changes nothing is a success.
            Self::Refused { body, .. } if body.code == "unchanged" => ExitStatus::Done,
            Self::NoAnswer { .. } | Self::InvalidAnswer { .. } => ExitStatus::Failed,
            Self::Refused { status, .. } => match status.as_u16() {
                400 | 422 => ExitStatus::Usage,
                401 | 403 | 404 => ExitStatus::NotAllowed,
                503 => ExitStatus::Pending,
                _ => ExitStatus::Failed,
            },
        }
    }

    /// Returns whether the outcome of the call is unknown, so that a retry is useful.
    pub const fn is_undecided(&self) -> bool {
        match self {
            Self::NoAnswer { .. } => true,
            Self::Refused { status, .. } => status.as_u16() == 503,
            Self::InvalidAnswer { .. } => false,
        }
    }
}

/// A client of one HTTP listener.
#[derive(Clone, Debug)]
pub struct CtlClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    credential: Option<String>,
}

impl CtlClient {
    /// Creates a client that sends the credential, if there is one, with each call.
    pub fn new(address: SocketAddr, credential: Option<String>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
            address,
            credential,
        }
    }

    /// Fetches a document with GET.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or the call is refused.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts a document and returns the document in the answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or the call is refused.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        let body = serde_json::to_vec(body).expect("requests have text keys only");
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CallError> {
        let exchange = tokio::time::timeout(CALL_TIMEOUT, self.exchange(method, path, body));
        let answer = exchange.await.ok();
        let detail = "the call timed out";
        let (status, body) = answer.context(NoAnswerSnafu {
            address: self.address,
            detail,
        })??;
        // The outcome of a refused plan is a result too; it has the status 409.
        if status.is_success() || status == StatusCode::CONFLICT {
            let result = serde_json::from_slice(&body).ok();
            return result.context(InvalidAnswerSnafu { status });
        }
        let refusal = serde_json::from_slice(&body).unwrap_or_else(|_| ErrorBody {
            code: status.as_str().to_owned(),
            message: String::from_utf8_lossy(&body).into_owned(),
        });
        RefusedSnafu {
            status,
            body: refusal,
        }
        .fail()
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(credential) = &self.credential {
            request = request.header(header::AUTHORIZATION, format!("Bearer {credential}"));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| self.no_answer(&error))?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| self.no_answer(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = body.await.map_err(|error| self.no_answer(error.as_ref()))?;
        Ok((status, body.to_bytes()))
    }

    fn no_answer(&self, error: &dyn std::error::Error) -> CallError {
        CallError::NoAnswer {
            address: self.address,
            detail: error.to_string(),
        }
    }
}
