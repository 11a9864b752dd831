//! Sends the decision modules' messages to peers, if the node has a peer link.

use std::sync::OnceLock;

use bytes::Bytes;
use damaskloom_lib::ids::NodeId;
use serde::Serialize;

use crate::peer_codec::PeerTopic;
use crate::peer_link::PeerHandle;

/// The way out for messages to peers; a node without a platform has none and drops them.
#[derive(Debug, Default)]
pub struct PeerOutbox {
    handle: OnceLock<PeerHandle>,
}

impl PeerOutbox {
    /// Opens the outbox, once.
    pub fn open(&self, handle: PeerHandle) {
        // A second link would be a second node under the same name; the first one stays.
        let _ = self.handle.set(handle);
    }

    /// Returns the link, if there is one.
    pub fn handle(&self) -> Option<&PeerHandle> {
        self.handle.get()
    }

    /// Sends a message; a lost one is what every protocol above allows for.
    pub fn send(&self, to: &NodeId, topic: PeerTopic, message: &impl Serialize) {
        if let Some(handle) = self.handle.get() {
            let body = serde_json::to_vec(message).expect("peer messages are always valid JSON");
            let _counted_by_the_link = handle.send(to, topic, Bytes::from(body));
        }
    }
}
