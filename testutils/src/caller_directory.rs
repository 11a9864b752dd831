//! The directory answers that a device keeps, in both forms.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;

/// The lifetime of an answer that names none, as of the plain form, in milliseconds.
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

/// The entries that a device was told, and its place in them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryList {
    entries: Vec<SocketAddr>,
    place: usize,
    expires: Instant,
}

impl EntryList {
    /// Makes a list that lives for `lifetime` from `now` on.
    pub fn new(entries: Vec<SocketAddr>, now: Instant, lifetime: Duration) -> Self {
        Self {
            entries,
            place: 0,
            expires: now + lifetime,
        }
    }

    /// Reads a directory answer: a JSON document, or one address a line.
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

    /// Returns the entry to use, or `None` if the list has expired or is used up.
    pub fn current(&self, now: Instant) -> Option<SocketAddr> {
        match now < self.expires {
            true => self.entries.get(self.place).copied(),
            false => None,
        }
    }

    /// Returns whether the list stands for a directory that could not be reached a moment ago.
    pub fn is_failure(&self, now: Instant) -> bool {
        self.entries.is_empty() && now < self.expires
    }

    /// Goes on to the next entry after `failed`, unless another request already did.
    pub fn follow(&mut self, failed: SocketAddr) {
        if self.entries.get(self.place) == Some(&failed) {
            self.place += 1;
        }
    }
}
