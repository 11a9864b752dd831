//! Runs a load plan as an open loop: slow answers never delay later requests.
//!
//! One thread follows the schedule and spawns each request on the runtime when it is due. Latencies
//! are measured from the due time, so that they include delays in the tool itself.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::caller_device::{CallerDevice, DeviceRequest, DeviceSettings, connect};
use crate::ledger_check::{CallLedger, CustomerTerms};
use crate::ledger_clock::unix_micros;
use crate::ledger_rate::RateAllowance;
use crate::ledger_record::{CallOutcome, CallRecord};
use crate::load_plan::{CustomerLoad, LoadPlan, RequestKind};
use crate::load_report::LoadReport;
use crate::target_answer::body_digest;
use crate::target_state::ExecutionRecord;

/// The last part of a wait, in microseconds, which spins because sleeping is less precise.
const SPIN_TIME_MICROS: u64 = 150;
/// The step in which the rate of a customer that sends nothing now is checked again, in
/// milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 10;

/// The request schedule of one customer.
struct CustomerSource {
    load: CustomerLoad,
    devices: Vec<Arc<CallerDevice>>,
    due: Duration,
    sent: u64,
    rng: SmallRng,
}

impl CustomerSource {
    fn new(plan: &LoadPlan, load: &CustomerLoad, index: u64) -> Self {
        let settings = DeviceSettings {
            customer: load.id.clone(),
            key: load.key.clone(),
            key_placement: load.key_placement.clone(),
            bootstrap: plan.bootstrap.clone(),
            directory: plan.directory,
            timeout: Duration::from_millis(plan.timeout_ms),
            resends: plan.resends,
        };
        let mut rng = SmallRng::seed_from_u64(plan.seed ^ (index << 32));
        let devices = (0..load.devices.max(1)).map(|_| {
            let mut settings = settings.clone();
            let offset = rng.random_range(0..settings.bootstrap.len().max(1));
            settings
                .bootstrap
                .rotate_left(offset.min(plan.bootstrap.len()));
            Arc::new(CallerDevice::new(settings))
        });
        let devices = devices.collect();
        let mut source = Self {
            load: load.clone(),
            devices,
            due: Duration::ZERO,
            sent: 0,
            rng,
        };
        source.advance();
        source
    }

    /// Sets the time at which the next request is due.
    fn advance(&mut self) {
        let step = Duration::from_millis(IDLE_CHECK_INTERVAL_MS);
        while self.load.rate_at(self.due) <= 0.0 && self.load.rate > 0.0 {
            self.due += step;
        }
        let rate = self.load.rate_at(self.due);
        let gap = match (self.load.even, rate > 0.0) {
            (_, false) => f64::from(u32::MAX),
            (true, true) => 1.0 / rate,
            (false, true) => -self.rng.random_range(f64::EPSILON..1.0).ln() / rate,
        };
        self.due += Duration::from_secs_f64(gap.min(f64::from(u32::MAX)));
    }

    fn pick_kind(&mut self) -> RequestKind {
        let total: u32 = self.load.mix.iter().map(|kind| kind.weight).sum();
        let mut pick = self.rng.random_range(0..total.max(1));
        for kind in &self.load.mix {
            if pick < kind.weight {
                return kind.clone();
            }
            pick -= kind.weight;
        }
        RequestKind::default()
    }

    fn next_request(
        &mut self,
        run_id: &str,
        start_micros: u64,
    ) -> (Arc<CallerDevice>, DeviceRequest) {
        let kind = self.pick_kind();
        let nonce = format!("{run_id}-{}-{}", self.load.id, self.sent);
        let mut body = nonce.clone().into_bytes();
        body.resize(kind.body_bytes, b'#');
        let device = self.sent as usize % self.devices.len();
        let request = DeviceRequest {
            kind,
            nonce,
            body: Bytes::from(body),
            intended_micros: start_micros + self.due.as_micros() as u64,
        };
        self.sent += 1;
        self.advance();
        (Arc::clone(&self.devices[device]), request)
    }
}

/// Runs load plans.
pub struct LoadRunner;

impl LoadRunner {
    /// Runs a plan to its end and returns the report, without the ledger's checks.
    ///
    /// Needs a multi-threaded runtime, since the schedule occupies a thread.
    pub async fn run(plan: &LoadPlan) -> LoadReport {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let plan = plan.clone();
        let runtime = Handle::current();
        let schedule = tokio::task::spawn_blocking(move || run_schedule(&plan, &runtime, &sender));
        let mut requests = Vec::new();
        while let Some(attempts) = receiver.recv().await {
            requests.push(attempts);
        }
        schedule.await.expect("the schedule does not panic");
        LoadReport::from_calls(requests)
    }

    /// Runs a plan, fetches the executions of its targets, and checks the ledger.
    ///
    /// # Errors
    ///
    /// Fails if a target's executions cannot be fetched, since the ledger's checks need them.
    pub async fn run_and_check(plan: &LoadPlan) -> io::Result<LoadReport> {
        let mut report = Self::run(plan).await;
        let mut executions = Vec::new();
        for target in &plan.targets {
            executions.extend(fetch_executions(*target).await?);
        }
        report.check(plan, executions);
        Ok(report)
    }
}

impl LoadReport {
    /// Merges the targets' executions into the ledger, checks it and stores the result.
    pub fn check(&mut self, plan: &LoadPlan, executions: Vec<ExecutionRecord>) {
        self.check_with_terms(plan, plan_terms(plan), executions);
    }

    /// Does the same as [`LoadReport::check`], for customers whose terms changed during the run.
    pub fn check_with_terms(
        &mut self,
        plan: &LoadPlan,
        terms: BTreeMap<String, CustomerTerms>,
        executions: Vec<ExecutionRecord>,
    ) {
        let ledger = CallLedger {
            calls: std::mem::take(&mut self.calls),
            executions,
            terms,
            bounds: plan.bounds.clone(),
        };
        self.verdict = Some(ledger.check());
        self.calls = ledger.calls;
    }
}

/// Returns the terms of the customers of a plan.
pub fn plan_terms(plan: &LoadPlan) -> BTreeMap<String, CustomerTerms> {
    let terms = plan.customers.iter().map(|customer| {
        let allowance = customer.allowed_rate.map(|rate| RateAllowance {
            rate,
            burst: customer.allowed_burst,
        });
        let terms = CustomerTerms {
            key: customer.key.clone(),
            allowance,
            withdrawn_micros: None,
        };
        (customer.id.clone(), terms)
    });
    terms.collect()
}

fn run_schedule(
    plan: &LoadPlan,
    runtime: &Handle,
    sender: &mpsc::UnboundedSender<Vec<CallRecord>>,
) {
    let loads = plan.customers.iter().zip(0..);
    let mut sources: Vec<CustomerSource> = loads
        .map(|(load, index)| CustomerSource::new(plan, load, index))
        .collect();
    let (start, start_micros) = (Instant::now(), unix_micros());
    let run_id = format!("{:x}", start_micros ^ plan.seed);
    let end = Duration::from_millis(plan.duration_ms);
    let in_flight = Arc::new(AtomicUsize::new(0));
    while let Some(source) = sources.iter_mut().min_by_key(|source| source.due) {
        if source.due >= end {
            break;
        }
        wait_until(start + source.due);
        let (device, request) = source.next_request(&run_id, start_micros);
        let sender = sender.clone();
        if in_flight.fetch_add(1, Ordering::Relaxed) >= plan.max_in_flight {
            in_flight.fetch_sub(1, Ordering::Relaxed);
            // The receiver outlives the schedule.
            let _sent = sender.send(vec![dropped_call(&source.load.id, &request)]);
            continue;
        }
        let in_flight = Arc::clone(&in_flight);
        runtime.spawn(async move {
            let attempts = device.call(&request).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            // The receiver outlives every call.
            let _sent = sender.send(attempts);
        });
    }
}

fn wait_until(due: Instant) {
    let spin = Duration::from_micros(SPIN_TIME_MICROS);
    loop {
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        match remaining > spin {
            true => std::thread::sleep(remaining - spin),
            false => std::hint::spin_loop(),
        }
    }
}

fn dropped_call(customer: &str, request: &DeviceRequest) -> CallRecord {
    CallRecord {
        nonce: request.nonce.clone(),
        customer: customer.to_owned(),
        path: request.kind.path.clone(),
        idempotent: request.kind.idempotent,
        has_request_id: request.kind.request_id_header.is_some(),
        attempt: 0,
        entry: None,
        intended_micros: request.intended_micros,
        sent_micros: request.intended_micros,
        ended_micros: unix_micros(),
        body_digest: body_digest(&request.body),
        outcome: CallOutcome::Dropped,
    }
}

/// Fetches the recorded executions of a target from its control address.
///
/// # Errors
///
/// Fails if the target does not answer or its answer is malformed.
pub async fn fetch_executions(target: SocketAddr) -> io::Result<Vec<ExecutionRecord>> {
    let connection = connect(target).await;
    let mut connection = connection.ok_or(io::ErrorKind::ConnectionRefused)?;
    let message = Request::builder()
        .uri("/control/executions")
        .header("host", target.to_string())
        .body(Full::<Bytes>::default())
        .map_err(io::Error::other)?;
    let answer = connection.send_request(message).await;
    let answer = answer.map_err(io::Error::other)?;
    let body = answer.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
