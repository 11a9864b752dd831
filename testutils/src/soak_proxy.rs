//! A loopback proxy that delays, resets, cuts and silences connections.

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

/// The bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// Which way bytes go.
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
    /// Starts a proxy before a server, on a free port of loopback.
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

    /// Returns where callers connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how connections are treated, open and new ones.
    pub fn set_fault(&self, fault: PathFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, faults: watch::Receiver<PathFault>) {
    while let Ok((caller, _)) = listener.accept().await {
        let faults = faults.clone();
        tokio::spawn(async move {
            // A connection that breaks is what the proxy is for.
            let _ = pass(caller, server, faults).await;
        });
    }
}

async fn pass(
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
    // Closing with this set resets the connection, as a reset path does.
    let socket = Socket::from(caller.as_fd().try_clone_to_owned()?);
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let forth = copy(from_caller, to_server, Direction::ToServer, faults.clone());
    let back = copy(from_server, to_caller, Direction::ToCaller, faults.clone());
    tokio::select! {
        ended = async { tokio::try_join!(forth, back) } => ended.map(|_| ()),
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
        let is_lost = match fault {
            PathFault::Silent => true,
            PathFault::CutToServer => direction == Direction::ToServer,
            PathFault::CutToCaller => direction == Direction::ToCaller,
            PathFault::None | PathFault::Delayed(_) | PathFault::Reset => false,
        };
        if is_lost {
            // What was sent into a cut is gone for good, so that the connection never works again.
            std::future::pending::<()>().await;
        }
        if let PathFault::Delayed(ms) = fault {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
