//! A target that writes given bytes on each connection.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use damaskloom_testutils::platform_server::PlatformServer;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the target does after it has written the bytes for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ThenDoes {
    /// Waits for the next request.
    KeepsOpen,
    /// Closes the connection.
    Closes,
}

/// A target whose answers are given by a function of the number of the request.
#[derive(Debug)]
pub struct ScriptedTarget {
    address: SocketAddr,
    /// The number of connections that it accepted.
    pub connections: Cell<u32>,
    /// The number of requests that reached it.
    pub requests: Cell<u32>,
}

impl ScriptedTarget {
    /// Starts a target in the current local task set; `answer` gets the number of the request, from 0.
    pub async fn start(answer: impl Fn(u32) -> (Vec<u8>, ThenDoes) + 'static) -> Rc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("loopback has a free port");
        let target = Rc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            connections: Cell::new(0),
            requests: Cell::new(0),
        });
        let shared = Rc::clone(&target);
        let answer = Rc::new(answer);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.set(shared.connections.get() + 1);
                let (target, answer) = (Rc::clone(&shared), Rc::clone(&answer));
                tokio::task::spawn_local(async move { target.serve(stream, &*answer).await });
            }
        });
        target
    }

    async fn serve(&self, mut stream: TcpStream, answer: &impl Fn(u32) -> (Vec<u8>, ThenDoes)) {
        let mut head = Vec::new();
        // Requests of these tests have no body.
        while let Ok(byte) = stream.read_u8().await {
            head.push(byte);
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            head.clear();
            let number = self.requests.get();
            self.requests.set(number + 1);
            let (bytes, then) = answer(number);
            if stream.write_all(&bytes).await.is_err() || then == ThenDoes::Closes {
                return;
            }
        }
    }

    /// Writes the target's row into the store, for the given time.
    pub fn announce(&self, store: &PlatformServer, sequence: u64) {
        let row = json!({
            "service": "desk", "address": self.address.to_string(), "zone": "near",
            "version": "v1", "concurrency": 4, "state": "ready", "warmup_left_s": 0,
            "sequence": sequence, "born": 1
        });
        store.put("servers", "i-0", row.to_string());
    }
}
