//! Settings of the link between gateways.

use std::net::SocketAddr;

use capnp::message::ReaderOptions;
use damaskloom_lib::ids::NodeId;
use damaskloom_lib::units::ByteSize;

use crate::peer_auth::SharedSecret;
use crate::peer_codec::PROTOCOL_VERSION;

const DEFAULT_MAX_FRAME: ByteSize = ByteSize(1 << 20);
const DEFAULT_QUEUE_MESSAGES: usize = 4_096;
const DEFAULT_MAX_CONNECTIONS: usize = 4_096;
const DEFAULT_BATCH_WINDOW_MS: u64 = 20;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
const WORD_BYTES: u64 = 8;
const MAX_NESTING: i32 = 16;

/// Settings of the peer link.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// This node.
    pub node: NodeId,
    /// The address that peers connect to; port zero selects a free port.
    pub listen: SocketAddr,
    /// The secret that all gateways of the fleet share.
    pub secret: SharedSecret,
    /// The protocol version that this node speaks.
    pub protocol_version: u16,
    /// The largest frame that is read, which also limits the message bytes that are sent in one.
    pub max_frame: ByteSize,
    /// The largest number of queued messages, for each peer and for this process.
    pub queue_messages: usize,
    /// The largest number of connections that are accepted at once.
    pub max_connections: usize,
    /// The time for which messages of batched topics wait for others, in milliseconds.
    pub batch_window_ms: u64,
    /// The time for which a connection without messages is kept, in milliseconds.
    pub idle_timeout_ms: u64,
    /// The seed of the random faults of the fault hook.
    pub fault_seed: u64,
}

impl PeerSettings {
    /// Makes the default settings of a node.
    pub const fn new(node: NodeId, listen: SocketAddr, secret: SharedSecret) -> Self {
        Self {
            node,
            listen,
            secret,
            protocol_version: PROTOCOL_VERSION,
            max_frame: DEFAULT_MAX_FRAME,
            queue_messages: DEFAULT_QUEUE_MESSAGES,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            batch_window_ms: DEFAULT_BATCH_WINDOW_MS,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            fault_seed: 0,
        }
    }

    /// Returns the limits for reading frames.
    pub(crate) fn reader_options(&self) -> ReaderOptions {
        let words = usize::try_from(self.max_frame.0 / WORD_BYTES).unwrap_or(usize::MAX);
        ReaderOptions {
            traversal_limit_in_words: Some(words),
            nesting_limit: MAX_NESTING,
        }
    }
}
