//! The request and answer bodies that the gateway forwards.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use damaskloom_lib::units::ByteSize;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::target_pool::ConnectionLease;

/// Bodies up to this size, in bytes, are buffered before they are forwarded.
pub const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;
/// The maximum number of frames of an answer that are read ahead of a slow caller.
const READ_AHEAD_FRAMES: usize = 16;
/// The time after which an answer is aborted if its caller reads nothing of it.
const SLOW_CALLER_TIMEOUT_MS: u64 = 10_000;

/// The reason why a body ended before it was complete.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The sender ended the body early.
    #[snafu(display("the body was truncated"))]
    Truncated,
    /// The body is larger than the route allows.
    #[snafu(display("the body is larger than {limit}"))]
    TooLarge {
        /// The route's limit.
        limit: ByteSize,
    },
    /// No frame arrived in time.
    #[snafu(display("the body stalled"))]
    Stalled,
}

/// Removes the only frame of a buffered body.
fn buffered_frame(bytes: &mut Option<Bytes>) -> Option<Result<Frame<Bytes>, BodyError>> {
    bytes.take().map(|bytes| Ok(Frame::data(bytes)))
}

fn buffered_size(bytes: Option<&Bytes>) -> SizeHint {
    SizeHint::with_exact(bytes.map_or(0, |bytes| bytes.len() as u64))
}

/// A request body that is sent to a target.
#[derive(Debug)]
pub enum RequestBody {
    /// A body in memory; `None` once its frame was sent, or if it is empty.
    Buffered(Option<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream {
        /// What has arrived already; `None` once it was sent, or if it is empty.
        start: Option<Bytes>,
        /// The rest of the caller's body.
        body: Incoming,
        /// The number of bytes that may still arrive.
        remaining: u64,
        /// The route's limit.
        limit: ByteSize,
    },
}

impl RequestBody {
    /// Makes a body from bytes in memory.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// Forwards a caller's body as it arrives, up to the route's limit.
    pub fn stream(body: Incoming, limit: ByteSize) -> Self {
        Self::stream_from(Bytes::new(), body, limit)
    }

    /// Forwards a caller's body of which `start` has arrived, up to the route's limit.
    pub fn stream_from(start: Bytes, body: Incoming, limit: ByteSize) -> Self {
        Self::Stream {
            start: (!start.is_empty()).then_some(start),
            body,
            remaining: limit.0,
            limit,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(buffered_frame(bytes)),
            Self::Stream {
                start,
                body,
                remaining,
                limit,
            } => loop {
                let frame = match start.take() {
                    Some(start) => Frame::data(start),
                    None => match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                        None => return Poll::Ready(None),
                        Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Truncated))),
                        Some(Ok(frame)) => frame,
                    },
                };
                // Trailers are dropped, since a key in them must not reach a target.
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let Some(rest) = remaining.checked_sub(data.len() as u64) else {
                    return Poll::Ready(Some(Err(BodyError::TooLarge { limit: *limit })));
                };
                *remaining = rest;
                return Poll::Ready(Some(Ok(Frame::data(data))));
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream { start, body, .. } => start.is_none() && body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => buffered_size(bytes.as_ref()),
            Self::Stream { start, body, .. } => {
                let start_bytes = start.as_ref().map_or(0, |start| start.len() as u64);
                let rest = body.size_hint();
                let mut size = SizeHint::new();
                size.set_lower(rest.lower() + start_bytes);
                if let Some(upper) = rest.upper() {
                    size.set_upper(upper + start_bytes);
                }
                size
            }
        }
    }
}

/// An answer body that is sent to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// A body in memory; `None` once its frame was sent, or if it is empty.
    Buffered(Option<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream(AnswerStream),
}

impl AnswerBody {
    /// Makes a body from bytes in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(buffered_frame(bytes)),
            Self::Stream(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => buffered_size(bytes.as_ref()),
            Self::Stream(stream) => stream.size_hint,
        }
    }
}

/// An answer that is read from the target ahead of its caller, up to a limit.
///
/// Reading ahead releases the target's slot as soon as the target has finished, so that a slow
/// caller occupies memory of the gateway instead of a slot.
#[derive(Debug)]
pub struct AnswerStream {
    frames: mpsc::Receiver<Result<Bytes, BodyError>>,
    size_hint: SizeHint,
    complete: bool,
}

impl AnswerStream {
    /// Starts to read an answer; `lease` is returned to its pool when the answer is complete.
    pub fn start(body: Incoming, lease: ConnectionLease) -> Self {
        let (sender, frames) = mpsc::channel(READ_AHEAD_FRAMES);
        let size_hint = body.size_hint();
        tokio::spawn(async move {
            if read_ahead(body, sender).await {
                lease.return_to_pool();
            }
        });
        Self {
            frames,
            size_hint,
            complete: false,
        }
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.complete {
            return Poll::Ready(None);
        }
        match ready!(self.frames.poll_recv(cx)) {
            Some(Ok(data)) if data.is_empty() => {
                self.complete = true;
                Poll::Ready(None)
            }
            Some(Ok(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            // The reading task ended without the end marker, so the answer must not look complete.
            None => Poll::Ready(Some(Err(BodyError::Truncated))),
        }
    }
}

/// Copies an answer into the channel, then an empty frame as the end marker; returns whether the
/// answer was complete.
async fn read_ahead(mut body: Incoming, frames: mpsc::Sender<Result<Bytes, BodyError>>) -> bool {
    let stall = Duration::from_millis(SLOW_CALLER_TIMEOUT_MS);
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if !data.is_empty() => Ok(data),
                _ => continue,
            },
            Some(Err(_)) => Err(BodyError::Truncated),
            None => Ok(Bytes::new()),
        };
        let end = frame.as_ref().map_or(true, Bytes::is_empty);
        let complete = end && frame.is_ok();
        let sent = tokio::time::timeout(stall, frames.send(frame)).await;
        if end || !matches!(sent, Ok(Ok(()))) {
            return complete;
        }
    }
}

/// Receives a complete body of up to `limit` bytes.
///
/// # Errors
///
/// Fails if the body is larger or truncated, or if a frame takes longer than `stall`.
pub async fn collect_body(
    mut body: Incoming,
    limit: ByteSize,
    stall: Duration,
) -> Result<Bytes, BodyError> {
    let mut frames: Vec<Bytes> = Vec::new();
    let mut length = 0;
    loop {
        let frame = tokio::time::timeout(stall, body.frame()).await;
        let frame = match frame.map_err(|_| BodyError::Stalled)? {
            Some(frame) => frame.map_err(|_| BodyError::Truncated)?,
            None => break,
        };
        if let Ok(data) = frame.into_data() {
            length += data.len() as u64;
            snafu::ensure!(length <= limit.0, TooLargeSnafu { limit });
            frames.push(data);
        }
    }
    Ok(match frames.len() {
        0 => Bytes::new(),
        1 => frames.remove(0),
        _ => frames.concat().into(),
    })
}
