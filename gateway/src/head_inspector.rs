//! Inspects the framing of HTTP/1 requests before hyper resolves its ambiguities.
//!
//! hyper accepts a request with both a length and a transfer coding, and one that repeats its
//! length, and reports neither. Such a request may be an attempt to smuggle another one past a
//! proxy in front, so it must be refused. The inspector counts these fields in the bytes that hyper
//! reads. It skips bodies with a length; after any other body it stops, and the connection is
//! closed after that request.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The number of bytes of a header line that are inspected; framing lines are shorter.
const MAX_LINE_BYTES: usize = 64;
/// The first line of an HTTP/2 connection, whose framing has no such ambiguity.
const HTTP2_PREFACE_LINE: &[u8] = b"PRI * HTTP/2.0";

/// The fields by which a request declares the framing of its body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeadFraming {
    lengths: u32,
    codings: u32,
    length: Option<u64>,
}

impl HeadFraming {
    /// Returns whether two implementations could disagree on where the request ends.
    pub fn is_ambiguous(&self) -> bool {
        self.lengths > 1
            || self.codings > 1
            || (self.lengths > 0 && self.codings > 0)
            || (self.lengths == 1 && self.length.is_none())
    }

    /// Returns whether the connection must end with this request, since the next one is not
    /// inspected.
    pub fn ends_connection(&self) -> bool {
        self.codings > 0 || self.is_ambiguous()
    }
}

#[derive(Debug)]
enum InspectorMode {
    Head,
    Body { remaining: u64 },
    Stopped,
    Http2,
}

#[derive(Debug)]
struct Inspector {
    mode: InspectorMode,
    line: Vec<u8>,
    head_started: bool,
    framing: HeadFraming,
    ready: VecDeque<HeadFraming>,
}

impl Inspector {
    fn inspect(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.mode {
                InspectorMode::Stopped | InspectorMode::Http2 => return,
                InspectorMode::Body { remaining } => {
                    let skipped = usize::try_from(*remaining)
                        .unwrap_or(usize::MAX)
                        .min(bytes.len());
                    *remaining -= skipped as u64;
                    bytes = &bytes[skipped..];
                    if *remaining == 0 {
                        self.mode = InspectorMode::Head;
                    }
                }
                InspectorMode::Head => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let (line, rest) = match end {
                        Some(end) => (&bytes[..end], &bytes[end + 1..]),
                        None => (bytes, &[][..]),
                    };
                    let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
                    self.line.extend_from_slice(&line[..line.len().min(room)]);
                    bytes = rest;
                    if end.is_some() {
                        self.end_line();
                    }
                }
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.trim_ascii_end();
        if line.is_empty() {
            if self.head_started {
                self.end_head();
            }
        } else if !self.head_started {
            self.head_started = true;
            if line == HTTP2_PREFACE_LINE {
                self.mode = InspectorMode::Http2;
            }
        } else {
            self.record_field(line);
        }
    }

    fn record_field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.framing.lengths += 1;
            let value = line[colon + 1..].trim_ascii();
            let digits = value.iter().all(u8::is_ascii_digit);
            self.framing.length = std::str::from_utf8(value)
                .ok()
                .filter(|_| digits)
                .and_then(|v| v.parse().ok());
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.framing.codings += 1;
        }
    }

    fn end_head(&mut self) {
        let framing = std::mem::take(&mut self.framing);
        self.head_started = false;
        self.ready.push_back(framing);
        self.mode = match framing.length {
            _ if framing.ends_connection() => InspectorMode::Stopped,
            Some(remaining) if remaining > 0 => InspectorMode::Body { remaining },
            _ => InspectorMode::Head,
        };
    }
}

/// The framings of a connection's requests, in the order of the requests.
#[derive(Clone, Debug)]
pub struct FramingLog(Arc<Mutex<Inspector>>);

impl FramingLog {
    /// Removes and returns the framing of the next request; `None` on HTTP/2.
    ///
    /// # Errors
    ///
    /// Fails if the request was not inspected; it must not be served.
    pub fn next(&self) -> Result<Option<HeadFraming>, UninspectedRequest> {
        let mut inspector = self
            .0
            .lock()
            .expect("no holder of the inspector lock panics");
        match (inspector.ready.pop_front(), &inspector.mode) {
            (Some(framing), _) => Ok(Some(framing)),
            (None, InspectorMode::Http2) => Ok(None),
            (None, _) => Err(UninspectedRequest),
        }
    }
}

/// The error for a request from a part of the stream that was not inspected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UninspectedRequest;

/// A caller's stream that inspects requests as they are read.
#[derive(Debug)]
pub struct InspectedStream<S> {
    stream: S,
    log: FramingLog,
}

impl<S> InspectedStream<S> {
    /// Wraps a stream from its first byte on.
    pub fn new(stream: S) -> Self {
        let inspector = Inspector {
            mode: InspectorMode::Head,
            line: Vec::new(),
            head_started: false,
            framing: HeadFraming::default(),
            ready: VecDeque::new(),
        };
        Self {
            stream,
            log: FramingLog(Arc::new(Mutex::new(inspector))),
        }
    }

    /// Returns the log of the inspected framings.
    pub fn log(&self) -> FramingLog {
        self.log.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for InspectedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let mut inspector = self
            .log
            .0
            .lock()
            .expect("no holder of the inspector lock panics");
        inspector.inspect(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for InspectedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
