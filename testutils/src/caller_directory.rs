//! The directory answers that a device caches, in JSON or plain text.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;

/// The lifetime of an answer that contains none, such as in plain text, in milliseconds.
const DEFAULT_LIFETIME_MS: u64 = 5_000;

#[derive(Deserialize)]
struct JsonEntry {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct JsonAnswer {
    entries: Vec<JsonEntry>,
    lifetime_ms: u64,
}

/// The entries of a directory answer, and which of them the device uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryList {
    entries: Vec<SocketAddr>,
    index: usize,
    expires: Instant,
}

impl EntryList {
    /// Creates a list that expires `lifetime` after `now`.
    pub fn new(entries: Vec<SocketAddr>, now: Instant, lifetime: Duration) -> Self {
        Self {
            entries,
            index: 0,
            expires: now + lifetime,
        }
    }

    /// Parses a directory answer: a JSON document, or one address a line.
    pub fn parse(body: &[u8], now: Instant) -> Option<Self> {
        if let Ok(answer) = serde_json::from_slice::<JsonAnswer>(body) {
            let entries = answer.entries.iter().map(|entry| entry.address).collect();
            let lifetime = Duration::from_millis(answer.lifetime_ms);
            return Some(Self::new(entries, now, lifetime));
        }
        let text = std::str::from_utf8(body).ok()?;
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let entries: Result<Vec<SocketAddr>, _> = lines.map(|line| line.trim().parse()).collect();
        let lifetime = Duration::from_millis(DEFAULT_LIFETIME_MS);
        let entries = entries.ok().filter(|entries| !entries.is_empty())?;
        Some(Self::new(entries, now, lifetime))
    }

    /// Returns the entry to use, or `None` if the list has expired or all entries were skipped.
    pub fn current(&self, now: Instant) -> Option<SocketAddr> {
        match now < self.expires {
            true => self.entries.get(self.index).copied(),
            false => None,
        }
    }

    /// Returns whether the list is the unexpired record of a failed directory query.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        self.entries.is_empty() && now < self.expires
    }

    /// Goes on to the entry after `failed`, unless another request already did.
    pub fn skip_entry(&mut self, failed: SocketAddr) {
        if self.entries.get(self.index) == Some(&failed) {
            self.index += 1;
        }
    }
}
