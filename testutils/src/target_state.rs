//! The state of one target stand-in: slots, queue, mode and recorded executions.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::ledger_clock::unix_micros;
use crate::target_mode::{ModeEffects, TargetMode};
use crate::target_settings::TargetSettings;

/// A request that a target started to execute.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ExecutionRecord {
    /// The target's name.
    pub target: String,
    /// The request id, if the request had one.
    pub request_id: Option<String>,
    /// The nonce, if the request had one.
    pub nonce: Option<String>,
    /// The value of the customer header.
    pub customer: Option<String>,
    /// The path without the query.
    pub path: String,
    /// The request target, all header names and values, and all trailers, one a line.
    pub head: String,
    /// The digest of the part of the body that was read.
    pub body_digest: u64,
    /// Whether the target ran the request without reading its body.
    #[serde(default)]
    pub body_unread: bool,
    /// The start of the execution, in Unix microseconds.
    pub started_micros: u64,
    /// Whether the execution finished.
    pub finished: bool,
}

/// A slot of a target, released when dropped.
pub(crate) struct SlotGuard {
    state: Arc<TargetState>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

struct QueueGuard<'a>(&'a AtomicU32);

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The state that a target's connections share.
pub(crate) struct TargetState {
    pub settings: TargetSettings,
    pub crash: Notify,
    slots: Arc<Semaphore>,
    in_flight: AtomicU32,
    queued: AtomicU32,
    draining: AtomicBool,
    mode: Mutex<(TargetMode, Instant)>,
    started: Mutex<Instant>,
    executions: Mutex<Vec<ExecutionRecord>>,
    rng: Mutex<SmallRng>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TargetState {
    pub fn new(settings: TargetSettings) -> Self {
        Self {
            crash: Notify::new(),
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            in_flight: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            mode: Mutex::new((settings.mode.clone(), Instant::now())),
            started: Mutex::new(Instant::now()),
            executions: Mutex::new(Vec::new()),
            rng: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            settings,
        }
    }

    pub fn set_mode(&self, mode: TargetMode) {
        *lock(&self.mode) = (mode, Instant::now());
    }

    pub fn effects(&self, path: &str) -> ModeEffects {
        let mode = lock(&self.mode);
        mode.0.effects(path, mode.1.elapsed())
    }

    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the value of the load header.
    pub fn load_text(&self, effects: &ModeEffects) -> String {
        let queued = self.queued.load(Ordering::Relaxed);
        let load = match effects.load_at_zero {
            true => 0,
            false => self.in_flight() + queued,
        };
        format!("{load}/{}", self.settings.slots)
    }

    /// Restarts the cold phase, after a crash.
    pub fn restart(&self) {
        *lock(&self.started) = Instant::now();
    }

    /// Waits for a slot, at most for `time_limit`; `None` means that the request is shed.
    pub async fn acquire_slot(self: &Arc<Self>, time_limit: Option<Duration>) -> Option<SlotGuard> {
        if self.is_draining() {
            return None;
        }
        let permit = match Arc::clone(&self.slots).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => self.wait_in_queue(time_limit).await?,
        };
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Some(SlotGuard {
            state: Arc::clone(self),
            _permit: permit,
        })
    }

    async fn wait_in_queue(&self, time_limit: Option<Duration>) -> Option<OwnedSemaphorePermit> {
        let waiting = self.queued.fetch_add(1, Ordering::Relaxed);
        let _guard = QueueGuard(&self.queued);
        if waiting >= self.settings.queue {
            return None;
        }
        let acquire = Arc::clone(&self.slots).acquire_owned();
        match time_limit {
            Some(time_limit) => tokio::time::timeout(time_limit, acquire).await.ok()?.ok(),
            None => acquire.await.ok(),
        }
    }

    /// Draws the service time of a request.
    pub fn service_time(&self, effects: &ModeEffects) -> Duration {
        let cold = Duration::from_millis(self.settings.cold_start_ms);
        let cold_factor = match lock(&self.started).elapsed() < cold {
            true => self.settings.cold_factor,
            false => 1.0,
        };
        let time = self.settings.service_time.draw(&mut lock(&self.rng));
        time.mul_f64((effects.slow_factor * cold_factor).max(0.0))
    }

    /// Draws whether a request fails.
    pub fn draw_error(&self, effects: &ModeEffects) -> bool {
        effects.error_share > 0.0 && lock(&self.rng).random::<f64>() < effects.error_share
    }

    /// Records the start of an execution and returns its index in the record.
    pub fn record_start(&self, mut record: ExecutionRecord) -> usize {
        if !self.settings.record {
            return usize::MAX;
        }
        let mut executions = lock(&self.executions);
        record.started_micros = unix_micros();
        executions.push(record);
        executions.len() - 1
    }

    /// Records the end of an execution.
    pub fn record_finish(&self, index: usize) {
        if let Some(record) = lock(&self.executions).get_mut(index) {
            record.finished = true;
        }
    }

    pub fn executions(&self) -> Vec<ExecutionRecord> {
        lock(&self.executions).clone()
    }
}
