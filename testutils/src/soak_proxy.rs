//! A loopback proxy that delays or resets connections, or discards what they carry.

use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::Socket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
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

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct PathProxy {
    address: SocketAddr,
    fault: watch::Sender<PathFault>,
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
        let (fault, faults) = watch::channel(PathFault::None);
        let task = tokio::spawn(accept(listener, server, faults));
        Ok(Self {
            address,
            fault,
            task,
        })
    }

    /// Returns the address that the proxy listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of open and new connections.
    pub fn set_fault(&self, fault: PathFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, faults: watch::Receiver<PathFault>) {
    while let Ok((caller, _)) = listener.accept().await {
        let faults = faults.clone();
        tokio::spawn(async move {
            // Broken connections are expected: the proxy breaks them on purpose.
            let _ = relay(caller, server, faults).await;
        });
    }
}

async fn relay(
    caller: TcpStream,
    server: SocketAddr,
    mut faults: watch::Receiver<PathFault>,
) -> std::io::Result<()> {
    if *faults.borrow() == PathFault::Reset {
        return reset(&caller);
    }
    let server = TcpStream::connect(server).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    // A linger time of zero makes the close reset the connection.
    let socket = Socket::from(caller.as_fd().try_clone_to_owned()?);
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let to_server = copy(from_caller, to_server, Direction::ToServer, faults.clone());
    let to_caller = copy(from_server, to_caller, Direction::ToCaller, faults.clone());
    tokio::select! {
        ended = async { tokio::try_join!(to_server, to_caller) } => ended.map(|_| ()),
        _ = faults.wait_for(|fault| *fault == PathFault::Reset) => {
            socket.set_linger(Some(Duration::ZERO))
        }
    }
}

fn reset(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    faults: watch::Receiver<PathFault>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let fault = *faults.borrow();
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
