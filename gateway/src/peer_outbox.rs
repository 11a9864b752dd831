//! Sends the messages of the state machines to peers, if the node has a peer link.

use std::sync::OnceLock;

use bytes::Bytes;
use damaskloom_lib::ids::NodeId;
use serde::Serialize;

use crate::peer_codec::PeerTopic;
use crate::peer_link::PeerHandle;

/// Sends messages to peers; a node without a platform has no peer link and drops them.
#[derive(Debug, Default)]
pub struct PeerOutbox {
    handle: OnceLock<PeerHandle>,
}

impl PeerOutbox {
    /// Sets the peer link; only the first one is used.
    pub fn open(&self, handle: PeerHandle) {
        // A second link would act as a second node of the same name, so the first one stays.
        let _ = self.handle.set(handle);
    }

    /// Returns the link, if there is one.
    pub fn handle(&self) -> Option<&PeerHandle> {
        self.handle.get()
    }

    /// Sends a message, which may be lost; all protocols that use the outbox tolerate that.
    pub fn send(&self, to: &NodeId, topic: PeerTopic, message: &impl Serialize) {
        if let Some(handle) = self.handle.get() {
            let body = serde_json::to_vec(message).expect("peer messages are always valid JSON");
            let _counted_by_the_link = handle.send(to, topic, Bytes::from(body));
        }
    }
}
