//! The state of one connection of a caller.

use std::net::IpAddr;
use std::sync::Mutex;

use damaskloom_lib::key::KeyDigest;
use damaskloom_lib::key_table::KeyStatus;

use crate::config_view::ConfigView;
use crate::head_inspector::{FramingLog, UninspectedRequest};

/// A caller's connection, with the keys used on it, so that it can be closed when one is withdrawn.
#[derive(Debug)]
pub struct CallerConnection {
    keys: Mutex<Vec<KeyDigest>>,
    framings: FramingLog,
    peer: IpAddr,
}

/// The decision that follows from the framing of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FramingVerdict {
    /// The request is served.
    Clear,
    /// The request is served and is the last one of its connection.
    LastRequest,
    /// The request is refused, and its connection is closed.
    Ambiguous,
}

impl CallerConnection {
    /// Makes the state of a connection whose inspected request framings are in `framings`.
    pub fn new(framings: FramingLog, peer: IpAddr) -> Self {
        Self {
            keys: Mutex::default(),
            framings,
            peer,
        }
    }

    /// Returns the caller's address.
    pub fn peer(&self) -> IpAddr {
        self.peer
    }

    /// Checks the framing of the request that was just read; called once for each request.
    pub fn check_framing(&self) -> FramingVerdict {
        match self.framings.next() {
            Err(UninspectedRequest) => FramingVerdict::Ambiguous,
            Ok(Some(framing)) if framing.is_ambiguous() => FramingVerdict::Ambiguous,
            Ok(Some(framing)) if framing.ends_connection() => FramingVerdict::LastRequest,
            Ok(_) => FramingVerdict::Clear,
        }
    }

    /// Records a valid key, so that its withdrawal closes the connection.
    ///
    /// Invalid keys are not recorded, since a caller could exhaust the memory with them.
    pub fn record_key(&self, digest: KeyDigest) {
        let mut keys = self.keys.lock().expect("no holder of the key list panics");
        if !keys.contains(&digest) {
            keys.push(digest);
        }
    }

    /// Returns whether a key that was used on the connection is no longer valid.
    ///
    /// This includes keys that were removed, and keys of removed customers.
    pub fn has_withdrawn_key(&self, config: &ConfigView) -> bool {
        let keys = self.keys.lock().expect("no holder of the key list panics");
        keys.iter()
            .any(|digest| !matches!(config.key_status(digest), KeyStatus::Granted(_)))
    }
}
