//! A network between a node and the targets that can be cut.

use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use damaskloom_entry::target_pool::TargetNetwork;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What a cut does to open and new connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NetworkCut {
    /// There is no cut.
    None,
    /// Open connections are reset, new ones are refused.
    Reset,
    /// Open connections are reset, the opening of new ones is not answered.
    Silent,
    /// Open connections live on, new ones are refused.
    RefusesNew,
}

/// A network that can be cut. Connections lead over a relay in the test.
#[derive(Debug)]
pub struct CutNetwork {
    cut: Cell<NetworkCut>,
    /// Targets that refuse connections.
    refusing: RefCell<Vec<SocketAddr>>,
    relays: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl CutNetwork {
    /// Makes a network without a cut.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            cut: Cell::new(NetworkCut::None),
            refusing: RefCell::default(),
            relays: Rc::default(),
        })
    }

    /// Refuses new connections to some targets; there must be no open ones.
    pub fn refuse(&self, targets: impl IntoIterator<Item = SocketAddr>) {
        self.refusing.borrow_mut().extend(targets);
    }

    /// Starts or ends a cut.
    pub fn set(&self, cut: NetworkCut) {
        self.cut.set(cut);
        if matches!(cut, NetworkCut::Reset | NetworkCut::Silent) {
            for relay in self.relays.borrow_mut().drain(..) {
                relay.abort();
            }
        }
    }
}

impl TargetNetwork for CutNetwork {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'static, std::io::Result<TcpStream>> {
        let relays = Rc::clone(&self.relays);
        let cut = match self.refusing.borrow().contains(&address) {
            true => NetworkCut::RefusesNew,
            false => self.cut.get(),
        };
        match cut {
            NetworkCut::None => async move {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
                let relay_address = listener.local_addr()?;
                let relay = tokio::task::spawn_local(async move {
                    let target = TcpStream::connect(address).await;
                    let near = listener.accept().await;
                    if let (Ok(mut target), Ok((mut near, _))) = (target, near) {
                        // An error means that one end has closed its connection.
                        let _ = copy_bidirectional(&mut near, &mut target).await;
                    }
                });
                relays.borrow_mut().push(relay);
                TcpStream::connect(relay_address).await
            }
            .boxed_local(),
            NetworkCut::Reset | NetworkCut::RefusesNew => {
                async { Err(Error::from(ErrorKind::ConnectionRefused)) }.boxed_local()
            }
            NetworkCut::Silent => std::future::pending().boxed_local(),
        }
    }
}
