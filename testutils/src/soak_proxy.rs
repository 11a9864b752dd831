//! A loopback proxy that delays or resets connections, or discards what they carry.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::soak_plan::PathFault;

/// The most bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToServer,
    ToCaller,
}

/// What a proxy does.
#[derive(Clone, Debug)]
struct ProxyState {
    fault: PathFault,
    /// The sources whose connections are reset.
    cut_sources: Vec<IpAddr>,
    /// The server that connections lead to.
    server: SocketAddr,
}

impl ProxyState {
    fn fault_of(&self, source: IpAddr) -> PathFault {
        match self.cut_sources.contains(&source) {
            true => PathFault::Reset,
            false => self.fault,
        }
    }
}

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct PathProxy {
    address: SocketAddr,
    state: watch::Sender<ProxyState>,
    task: JoinHandle<()>,
}

impl Drop for PathProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PathProxy {
    /// Starts a proxy for a server, on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(ProxyState {
            fault: PathFault::None,
            cut_sources: Vec::new(),
            server,
        });
        let task = tokio::spawn(accept(listener, states));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the address that the proxy listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of open and new connections.
    pub fn set_fault(&self, fault: PathFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Resets the connections of some sources, and no others.
    pub fn cut_sources(&self, sources: &[IpAddr]) {
        let sources = sources.to_vec();
        self.state.send_modify(|state| state.cut_sources = sources);
    }

    /// Leads new connections to another server.
    pub fn set_server(&self, server: SocketAddr) {
        self.state.send_modify(|state| state.server = server);
    }
}

async fn accept(listener: TcpListener, states: watch::Receiver<ProxyState>) {
    while let Ok((caller, source)) = listener.accept().await {
        let states = states.clone();
        tokio::spawn(async move {
            // Broken connections are expected: the proxy breaks them on purpose.
            let _ = relay(caller, source.ip(), states).await;
        });
    }
}

async fn relay(
    mut caller: TcpStream,
    source: IpAddr,
    mut states: watch::Receiver<ProxyState>,
) -> std::io::Result<()> {
    if states.borrow().fault_of(source) == PathFault::Reset {
        return reset(&caller);
    }
    let server = states.borrow().server;
    let mut server = TcpStream::connect(server).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    // Owned halves would end the connection in order when they are dropped.
    let (from_caller, to_caller) = caller.split();
    let (from_server, to_server) = server.split();
    let to_server = copy(from_caller, to_server, Direction::ToServer, states.clone());
    let to_caller = copy(from_server, to_caller, Direction::ToCaller, states.clone());
    tokio::select! {
        ended = async { tokio::try_join!(to_server, to_caller) } => return ended.map(|_| ()),
        _ = states.wait_for(|state| state.fault_of(source) == PathFault::Reset) => {}
    }
    reset(&caller)
}

/// Makes the close of a connection reset it.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    states: watch::Receiver<ProxyState>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let fault = states.borrow().fault;
        let is_discarded = match fault {
            PathFault::Silent => true,
            PathFault::CutToServer => direction == Direction::ToServer,
            PathFault::CutToCaller => direction == Direction::ToCaller,
            PathFault::None | PathFault::Delayed(_) | PathFault::Reset => false,
        };
        if is_discarded {
            // These bytes are lost for good, so the connection never forwards anything again.
            std::future::pending::<()>().await;
        }
        if let PathFault::Delayed(ms) = fault {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
