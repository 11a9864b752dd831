//! The body of a target's answer that is passed on while it arrives.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::time::Sleep;

use crate::target_pool::ConnectionLease;

/// The reasons why a body ends early; the caller's connection closes, so that the answer does not look
/// complete.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The connection to the target failed.
    #[snafu(transparent)]
    Target {
        /// The library's error.
        source: hyper::Error,
    },
    /// The answer was incomplete at the request's deadline.
    #[snafu(display("the answer was incomplete at the deadline"))]
    DeadlinePassed,
}

/// A target's body that is passed on until the request's deadline.
///
/// The connection to the target closes if the body is dropped before its end.
#[derive(Debug)]
pub struct StreamedBody {
    body: Incoming,
    lease: Option<ConnectionLease>,
    deadline: Pin<Box<Sleep>>,
    request_id: String,
}

impl StreamedBody {
    /// Wraps a body and the connection that it arrives on; `request_id` is for log lines.
    pub fn new(
        body: Incoming,
        lease: ConnectionLease,
        deadline: Instant,
        request_id: impl Into<String>,
    ) -> Self {
        Self {
            request_id: request_id.into(),
            body,
            lease: Some(lease),
            deadline: Box::pin(tokio::time::sleep_until(deadline.into())),
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        // Checked before the body, which may always have bytes ready.
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.lease = None;
            tracing::info!(
                request = self.request_id,
                "answer broken off at the deadline"
            );
            return Poll::Ready(Some(Err(StreamError::DeadlinePassed)));
        }
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(None) = frame
            && let Some(lease) = self.lease.take()
        {
            lease.release(None);
        }
        frame.map(|frame| frame.map(|frame| frame.map_err(StreamError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
