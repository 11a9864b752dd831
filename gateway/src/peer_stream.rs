//! Counts what the peer link sends, receives and loses.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};

macro_rules! link_counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// A snapshot of the peer link's counters; each only increases.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct PeerCounters {
            $($(#[$doc])* pub $name: u64,)*
        }

        #[derive(Debug, Default)]
        pub(crate) struct LinkCounters {
            $(pub(crate) $name: AtomicU64,)*
        }

        impl LinkCounters {
            pub(crate) fn snapshot(&self) -> PeerCounters {
                PeerCounters {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }
    };
}

link_counters! {
    /// Bytes written to connections, without the headers of TCP and IP.
    bytes_out,
    /// Bytes read from connections, without the headers of TCP and IP.
    bytes_in,
    /// Envelopes passed to connections.
    envelopes_out,
    /// Envelopes accepted from connections.
    envelopes_in,
    /// Messages whose envelope the peer received.
    messages_out,
    /// Messages passed to this process.
    messages_in,
    /// Messages dropped because a queue to a peer was full or an address was missing.
    dropped_out,
    /// Messages dropped because a queue of this process was full.
    dropped_in,
    /// Messages whose envelope the peer did not confirm; it may have received them.
    unconfirmed,
    /// Messages for another incarnation than the connected one.
    misaddressed,
    /// Messages of topics that this version does not know.
    skipped,
    /// Connections that were dialled and authenticated.
    connects,
    /// Connections that could not be dialled, or whose peer was not the expected one.
    connect_failures,
    /// Connections that were refused: too many at once, not authenticated in time, or a wrong
    /// proof.
    refused,
}

pub(crate) fn count(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

/// A stream that counts its bytes.
#[derive(Debug)]
pub(crate) struct CountedStream<S> {
    inner: S,
    counters: Arc<LinkCounters>,
}

impl<S> CountedStream<S> {
    pub(crate) const fn new(inner: S, counters: Arc<LinkCounters>) -> Self {
        Self { inner, counters }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if let Poll::Ready(Ok(read)) = polled {
            count(&self.counters.bytes_in, read as u64);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buffer);
        if let Poll::Ready(Ok(written)) = polled {
            count(&self.counters.bytes_out, written as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
