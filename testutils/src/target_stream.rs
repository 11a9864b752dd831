//! A connection that can send every answer twice.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether the answers of a connection are sent twice.
pub(crate) type DuplicateFlag = Arc<AtomicBool>;

/// A TCP stream that, on a flush, sends again what was written since the last one while its flag
/// was set.
pub(crate) struct TargetStream {
    stream: TcpStream,
    duplicate: DuplicateFlag,
    copy: Vec<u8>,
}

impl TargetStream {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            duplicate: DuplicateFlag::default(),
            copy: Vec::new(),
        }
    }

    pub fn duplicate_flag(&self) -> DuplicateFlag {
        Arc::clone(&self.duplicate)
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        if self.duplicate.load(Ordering::Relaxed) {
            self.copy.extend_from_slice(&bytes[..written]);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.copy.is_empty() {
            let this = &mut *self;
            let written = ready!(Pin::new(&mut this.stream).poll_write(context, &this.copy))?;
            self.copy.drain(..written);
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
