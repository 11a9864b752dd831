//! Bounds the memory that request bodies take together while they are held for a retry.

use std::cell::Cell;
use std::sync::LazyLock;

/// The memory for bodies that are held, unless it is set: a half of the VM's memory, and no more than
/// this number of bytes.
const MAX_DEFAULT_HELD_BYTES: usize = 128_000_000;
const DEFAULT_MEMORY_SHARE: f64 = 0.5;

/// Returns the memory for bodies that are held if the settings state none, in bytes.
pub fn default_held_body_bytes() -> usize {
    static DEFAULT: LazyLock<usize> = LazyLock::new(|| {
        let memory_info = std::fs::read_to_string("/proc/meminfo");
        let memory_info = memory_info.unwrap_or_else(|error| {
            tracing::warn!(%error, "the VM's memory is not known");
            String::new()
        });
        let share = total_memory_bytes(&memory_info).map_or(MAX_DEFAULT_HELD_BYTES, |total| {
            (total as f64 * DEFAULT_MEMORY_SHARE) as usize
        });
        share.min(MAX_DEFAULT_HELD_BYTES)
    });
    *DEFAULT
}

/// Reads the VM's memory from the text of `/proc/meminfo`.
pub fn total_memory_bytes(memory_info: &str) -> Option<usize> {
    let mut lines = memory_info.lines();
    let total = lines.find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: usize = total.trim().strip_suffix(" kB")?.parse().ok()?;
    kilobytes.checked_mul(1_024)
}

/// The memory of all bodies that are held.
#[derive(Debug, Default)]
pub struct BodyBudget {
    held_bytes: Cell<usize>,
}

impl BodyBudget {
    /// Returns the number of bytes that are held.
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }
}

/// The part of one request's body, which is given back when it is dropped.
#[derive(Debug)]
pub struct BodyReservation<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl<'a> BodyReservation<'a> {
    /// Reserves nothing yet.
    pub const fn new(budget: &'a BodyBudget) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Reserves memory for a number of bytes in all; returns whether all bodies together stay within
    /// `max_bytes`. Otherwise the reservation stays as it was.
    pub fn grow_to(&mut self, bytes: usize, max_bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let held_bytes = self.budget.held_bytes.get().saturating_add(added);
        if held_bytes > max_bytes {
            return false;
        }
        self.budget.held_bytes.set(held_bytes);
        self.bytes += added;
        true
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        let held_bytes = self.budget.held_bytes.get();
        self.budget.held_bytes.set(held_bytes - self.bytes);
    }
}
