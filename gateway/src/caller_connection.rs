//! What is remembered of one connection of a caller.

use std::sync::Mutex;

use damaskloom_lib::key::KeyDigest;

use crate::config_view::{ConfigView, KeyStanding};

/// The keys that were used on one connection, so that it can be closed when one is withdrawn.
#[derive(Debug, Default)]
pub struct CallerConnection {
    keys: Mutex<Vec<KeyDigest>>,
}

impl CallerConnection {
    /// Remembers that a request with this key came in.
    pub fn note_key(&self, digest: KeyDigest) {
        let mut keys = self.keys.lock().expect("no holder of the key list panics");
        if !keys.contains(&digest) {
            keys.push(digest);
        }
    }

    /// Says whether a key that was used on the connection works no more.
    pub fn has_withdrawn_key(&self, config: &ConfigView) -> bool {
        let keys = self.keys.lock().expect("no holder of the key list panics");
        keys.iter()
            .any(|digest| config.key_standing(digest) == KeyStanding::Withdrawn)
    }
}
