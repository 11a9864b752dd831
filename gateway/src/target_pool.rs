//! The persistent connections to one target, and the slots of it that this node occupies.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;

use crate::body_stream::RequestBody;
use crate::slot_lease::SlotLease;

/// The time limit for establishing a connection to a target.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The time after which an idle connection is closed, less than common idle timeouts of servers.
const IDLE_TIMEOUT_MS: u64 = 4_000;
/// The largest head of a target's answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The reason why no connection is available; nothing was sent to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum AcquireError {
    /// This node's share of the target's connections is used up.
    #[snafu(display("this node's share of the target's connections is used up"))]
    LimitReached,
    /// The target did not accept a connection.
    #[snafu(display("the target did not accept a connection"))]
    Unreachable,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<RequestBody>,
    since: Instant,
}

/// The connections of this node to one target.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    connection_limit: AtomicU32,
    in_flight: AtomicU32,
    open: AtomicU32,
    idle: Mutex<Vec<IdleConnection>>,
}

impl TargetPool {
    /// Makes an empty pool; `connection_limit` is this node's share of the target's connections.
    pub fn new(address: SocketAddr, connection_limit: u32) -> Self {
        Self {
            address,
            connection_limit: AtomicU32::new(connection_limit),
            in_flight: AtomicU32::new(0),
            open: AtomicU32::new(0),
            idle: Mutex::default(),
        }
    }

    /// Changes this node's share of the connections; excess connections stay open until they end.
    pub fn set_connection_limit(&self, connection_limit: u32) {
        self.connection_limit
            .store(connection_limit, Ordering::Relaxed);
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that this node has in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Acquires a connection for an exchange that has a slot.
    ///
    /// # Errors
    ///
    /// Fails if this node's share of the connections is used up, or if the target does not accept a
    /// connection in time.
    pub async fn acquire(
        self: &Arc<Self>,
        slot: SlotLease,
    ) -> Result<ConnectionLease, AcquireError> {
        let slot = ExchangeGuard::new(self, slot);
        while let Some((mut sender, connection)) = self.pop_idle() {
            // The previous answer is complete, so the connection is ready once its task has run.
            if sender.ready().await.is_ok() {
                return Ok(ConnectionLease {
                    sender,
                    connection,
                    slot,
                    reused: true,
                });
            }
        }
        let connection = ConnectionGuard::acquire(self).ok_or(AcquireError::LimitReached)?;
        let sender = self.connect().await.ok_or(AcquireError::Unreachable)?;
        Ok(ConnectionLease {
            sender,
            connection,
            slot,
            reused: false,
        })
    }

    async fn connect(&self) -> Option<SendRequest<RequestBody>> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(timeout, TcpStream::connect(self.address)).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    /// Removes the most recently used connection from the idle list, with the guard that counts it.
    fn pop_idle(self: &Arc<Self>) -> Option<(SendRequest<RequestBody>, ConnectionGuard)> {
        self.close_idle();
        let entry = self
            .idle
            .lock()
            .expect("no holder of the pool lock panics")
            .pop()?;
        Some((
            entry.sender,
            ConnectionGuard {
                pool: Some(Arc::clone(self)),
            },
        ))
    }

    /// Closes idle connections that have reached the idle timeout.
    pub fn close_idle(&self) {
        let limit = Duration::from_millis(IDLE_TIMEOUT_MS);
        let mut idle = self.idle.lock().expect("no holder of the pool lock panics");
        let before = idle.len();
        idle.retain(|entry| !entry.sender.is_closed() && entry.since.elapsed() < limit);
        let closed = u32::try_from(before - idle.len()).unwrap_or(0);
        self.open.fetch_sub(closed, Ordering::Relaxed);
    }
}

/// Increments a counter unless it has reached its limit; returns whether it was incremented.
fn try_increment(counter: &AtomicU32, limit: &AtomicU32) -> bool {
    let limit = limit.load(Ordering::Relaxed);
    counter
        .try_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
            (count < limit).then_some(count + 1)
        })
        .is_ok()
}

/// Counts an exchange as in flight and occupies its slot.
#[derive(Debug)]
struct ExchangeGuard {
    pool: Arc<TargetPool>,
    _slot: SlotLease,
}

impl ExchangeGuard {
    fn new(pool: &Arc<TargetPool>, slot: SlotLease) -> Self {
        pool.in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            pool: Arc::clone(pool),
            _slot: slot,
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.pool.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct ConnectionGuard {
    pool: Option<Arc<TargetPool>>,
}

impl ConnectionGuard {
    fn acquire(pool: &Arc<TargetPool>) -> Option<Self> {
        try_increment(&pool.open, &pool.connection_limit).then(|| Self {
            pool: Some(Arc::clone(pool)),
        })
    }

    /// Consumes the guard without changing the count, for a connection that goes to the idle list.
    fn into_pool(mut self) -> Arc<TargetPool> {
        self.pool
            .take()
            .expect("a guard holds its pool until it is consumed")
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(pool) = &self.pool {
            pool.open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A connection and a slot in use by one exchange.
///
/// Dropping the lease closes the connection, so that a late answer cannot reach another caller.
/// Only [`ConnectionLease::return_to_pool`], after a complete answer, lets the connection be used
/// again.
#[derive(Debug)]
pub struct ConnectionLease {
    sender: SendRequest<RequestBody>,
    connection: ConnectionGuard,
    slot: ExchangeGuard,
    reused: bool,
}

impl ConnectionLease {
    /// Returns the sending half of the connection.
    pub fn sender(&mut self) -> &mut SendRequest<RequestBody> {
        &mut self.sender
    }

    /// Returns whether an earlier exchange used the connection.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to its pool after a complete answer.
    pub fn return_to_pool(self) {
        let Self {
            sender,
            connection,
            slot,
            ..
        } = self;
        if sender.is_closed() {
            return;
        }
        let pool = connection.into_pool();
        let entry = IdleConnection {
            sender,
            since: Instant::now(),
        };
        pool.idle
            .lock()
            .expect("no holder of the pool lock panics")
            .push(entry);
        drop(slot);
    }
}
