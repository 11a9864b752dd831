//! The pools of HTTP/1.1 connections from this node to targets, and to nodes that requests are handed
//! on to.

use std::cell::{Cell, RefCell};
use std::fmt::Debug;
use std::hash::Hash;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use damaskloom_gateway::body_stream::RequestBody;
use damaskloom_lib::attempt_failure::AttemptFailure;
use damaskloom_lib::ids::{TargetId, VmId};
use futures::future::LocalBoxFuture;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

/// The timeout for connecting to a target: well above the round-trip time between data centres, so
/// that a distant target is not taken for an unreachable one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`) before the path
/// counts as broken and the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);
/// The time in which a new connection may be reset for the target to count as unreachable.
const EARLY_RESET_TIMEOUT: Duration = Duration::from_millis(20);
/// The idle time before the first keep-alive probe and between probes; the socket option takes
/// whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// The idle timeout of a connection if the target announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle connections are closed this much earlier than the target closes them: a request that
/// crosses the target's close may have run, so that it could not be retried.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// The maximum size of the head of a target's answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The reasons why no connection was available; nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectError {
    /// The node has as many connections to the target as it may open.
    LimitReached,
    /// The target did not accept a connection in time.
    Unreachable,
}

/// The network between this node and the targets; tests replace it by one that fails.
pub trait TargetNetwork: Debug {
    /// Opens a connection.
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, std::io::Result<TcpStream>>;
}

/// The network of the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemNetwork {
    /// The address that connections come from; the system chooses it if there is none.
    pub source: Option<IpAddr>,
}

impl TargetNetwork for SystemNetwork {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, std::io::Result<TcpStream>> {
        let Some(source) = self.source else {
            return Box::pin(TcpStream::connect(address));
        };
        Box::pin(async move {
            let socket = match source {
                IpAddr::V4(_) => TcpSocket::new_v4(),
                IpAddr::V6(_) => TcpSocket::new_v6(),
            }?;
            socket.bind(SocketAddr::new(source, 0))?;
            socket.connect(address).await
        })
    }
}

impl From<ConnectError> for AttemptFailure {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::LimitReached => Self::NoConnection,
            ConnectError::Unreachable => Self::Unreachable,
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<RequestBody>,
    until: Instant,
}

/// The connections to one target.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    network: Rc<dyn TargetNetwork>,
    idle: RefCell<Vec<IdleConnection>>,
    open: Cell<u32>,
}

impl TargetPool {
    /// Returns an idle connection, or opens one if fewer than `limit` are open.
    ///
    /// # Errors
    ///
    /// Fails if `limit` connections are open, or if the target accepts none in time.
    pub async fn acquire(
        self: &Rc<Self>,
        limit: u32,
        timeout: Duration,
    ) -> Result<ConnectionLease, ConnectError> {
        while let Some(mut sender) = self.pop_idle() {
            let guard = OpenGuard {
                pool: Rc::clone(self),
                counted: true,
            };
            if sender.ready().await.is_ok() {
                return Ok(ConnectionLease {
                    sender,
                    guard,
                    fresh: false,
                });
            }
        }
        if self.open.get() >= limit.max(1) {
            return Err(ConnectError::LimitReached);
        }
        self.open.set(self.open.get() + 1);
        let guard = OpenGuard {
            pool: Rc::clone(self),
            counted: true,
        };
        let sender = self.connect(timeout).await;
        let sender = sender.ok_or(ConnectError::Unreachable)?;
        Ok(ConnectionLease {
            sender,
            guard,
            fresh: true,
        })
    }

    async fn connect(&self, timeout: Duration) -> Option<SendRequest<RequestBody>> {
        let timeout = timeout.min(CONNECT_TIMEOUT);
        let stream = tokio::time::timeout(timeout, self.network.connect(self.address)).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive).ok()?;
        socket
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
            .ok()?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        tokio::task::spawn_local(connection);
        Some(sender)
    }

    fn pop_idle(&self) -> Option<SendRequest<RequestBody>> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(entry) = idle.pop() {
            if entry.until > now && !entry.sender.is_closed() {
                return Some(entry.sender);
            }
            self.open.set(self.open.get().saturating_sub(1));
        }
        None
    }

    fn clear_idle(&self) {
        let closed = self.idle.borrow_mut().drain(..).count();
        let closed = u32::try_from(closed).unwrap_or(0);
        self.open.set(self.open.get().saturating_sub(closed));
    }

    fn close_idle(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|entry| entry.until > now && !entry.sender.is_closed());
        let closed = u32::try_from(before - idle.len()).unwrap_or(0);
        self.open.set(self.open.get().saturating_sub(closed));
    }
}

#[derive(Debug)]
struct OpenGuard {
    pool: Rc<TargetPool>,
    counted: bool,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if self.counted {
            self.pool.open.set(self.pool.open.get().saturating_sub(1));
        }
    }
}

/// A connection that is in use by one exchange.
///
/// Dropping the lease closes the connection, so that a late answer cannot reach another request;
/// only [`ConnectionLease::release`] after a complete answer lets it be reused.
#[derive(Debug)]
pub struct ConnectionLease {
    sender: SendRequest<RequestBody>,
    guard: OpenGuard,
    fresh: bool,
}

impl ConnectionLease {
    /// Returns the request sender of the connection.
    pub fn sender(&mut self) -> &mut SendRequest<RequestBody> {
        &mut self.sender
    }

    /// Returns whether the connection was opened for this exchange.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Returns the connection to its pool; `announced` is the idle timeout that the target
    /// announced.
    pub fn release(mut self, announced: Option<Duration>) {
        let keep_for = announced.map_or(DEFAULT_IDLE_TIMEOUT, |idle| {
            idle.saturating_sub(IDLE_MARGIN)
        });
        if self.sender.is_closed() || keep_for.is_zero() {
            return;
        }
        self.guard.counted = false;
        let entry = IdleConnection {
            sender: self.sender,
            until: Instant::now() + keep_for,
        };
        self.guard.pool.idle.borrow_mut().push(entry);
    }
}

/// The connection pools of all servers of a kind, by their ids.
#[derive(Debug)]
pub struct ConnectionPools<K> {
    network: Rc<dyn TargetNetwork>,
    pools: RefCell<IndexMap<K, Rc<TargetPool>>>,
}

/// The connection pools of all targets.
pub type TargetPools = ConnectionPools<TargetId>;
/// The connection pools of the nodes that requests are handed on to.
pub type HelperPools = ConnectionPools<VmId>;

impl<K: Clone + Eq + Hash> ConnectionPools<K> {
    /// Creates pools that connect over a network.
    pub fn new(network: Rc<dyn TargetNetwork>) -> Self {
        Self {
            network,
            pools: RefCell::default(),
        }
    }

    /// Returns the pool of a server; a changed address starts a new pool.
    pub fn pool(&self, id: &K, address: SocketAddr) -> Rc<TargetPool> {
        let mut pools = self.pools.borrow_mut();
        match pools.get(id) {
            Some(pool) if pool.address == address => Rc::clone(pool),
            _ => {
                let pool = Rc::new(TargetPool {
                    address,
                    network: Rc::clone(&self.network),
                    idle: RefCell::default(),
                    open: Cell::new(0),
                });
                pools.insert(id.clone(), Rc::clone(&pool));
                pool
            }
        }
    }

    /// Closes the idle connections of a target that gets no more requests.
    pub fn remove(&self, id: &K) {
        self.pools.borrow_mut().swap_remove(id);
    }

    /// Returns whether a target accepts a connection, even if it resets it then, as one with too many does;
    /// the connection is closed again.
    pub async fn accepts_connection(&self, address: SocketAddr) -> bool {
        let connect = self.network.connect(address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(_)) => true,
            Ok(Err(error)) => error.kind() == ErrorKind::ConnectionReset,
            Err(_) => false,
        }
    }

    /// Returns whether a target accepts a connection and does not reset it at once, as something on a
    /// broken path may; the connection is closed again.
    pub async fn try_connect(&self, address: SocketAddr) -> bool {
        let connect = self.network.connect(address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let Ok(Ok(mut stream)) = connected else {
            return false;
        };
        // Targets write nothing before a request.
        let ended = tokio::time::timeout(EARLY_RESET_TIMEOUT, stream.read_u8()).await;
        ended.is_err()
    }

    /// Closes all idle connections to a server.
    pub fn clear_idle(&self, id: &K) {
        if let Some(pool) = self.pools.borrow().get(id) {
            pool.clear_idle();
        }
    }

    /// Closes connections that were idle for longer than their timeout.
    pub fn close_idle(&self) {
        self.pools
            .borrow()
            .values()
            .for_each(|pool| pool.close_idle());
    }
}
