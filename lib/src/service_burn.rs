//! Counts the requests behind error-budget burn: totals and failures per service, customer and
//! cause.
//!
//! Memory is fixed per series and the number of series is limited, so that the cost does not depend
//! on the traffic. See
//! [docs/design/service-level-burn.md](../../docs/design/service-level-burn.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::burn_snapshot::{
    BurnCause, BurnCount, BurnSnapshot, BurnWindow, CauseBurn, CustomerBurn, ServiceBurn,
    WINDOW_COUNT, WindowCounts,
};
use crate::ids::{CustomerId, ServiceId};
use crate::time::MonoTime;

/// The number of buckets in each window; a window is accurate to one bucket.
pub const BUCKETS_PER_WINDOW: usize = 30;

const OTHER_CAUSE: &str = "other";

/// Limits on the number of series of a recorder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BurnLimits {
    /// The number of services; requests of others are not counted.
    pub services: usize,
    /// The number of customers counted separately per service; others are counted together.
    pub customers: usize,
    /// The number of causes counted separately per service; others are counted together.
    pub causes: usize,
    /// The total number of series, from which on nothing new is counted separately.
    pub series: usize,
}

impl Default for BurnLimits {
    fn default() -> Self {
        Self {
            services: 256,
            customers: 512,
            causes: 64,
            series: 20_000,
        }
    }
}

/// One request that counts towards a service's objective.
///
/// A request that was refused as the caller's fault, or for exceeding the customer's rate, does not
/// count.
#[derive(Clone, Debug)]
pub struct BurnEvent<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The service's objective in the configuration, in parts per million of successful answers.
    pub objective_ppm: u32,
    /// The customer, unless the route is open.
    pub customer: Option<&'a CustomerId>,
    /// Why the request failed, or `None` for a successful answer.
    pub failure: Option<BurnCause>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    total: u32,
    bad: u32,
}

/// Ring buffer of the buckets of one window.
#[derive(Clone, Debug)]
struct WindowRing {
    buckets: [Bucket; BUCKETS_PER_WINDOW],
    newest: u64,
}

impl WindowRing {
    const fn new() -> Self {
        Self {
            buckets: [Bucket { total: 0, bad: 0 }; BUCKETS_PER_WINDOW],
            newest: 0,
        }
    }

    /// Clears the buckets after the newest one up to `bucket`.
    fn advance(&mut self, bucket: u64) {
        let skipped = bucket.saturating_sub(self.newest);
        for step in 1..=skipped.min(BUCKETS_PER_WINDOW as u64) {
            self.buckets[ring_index(self.newest + step)] = Bucket::default();
        }
        if skipped > BUCKETS_PER_WINDOW as u64 {
            self.buckets = [Bucket::default(); BUCKETS_PER_WINDOW];
        }
        self.newest = self.newest.max(bucket);
    }

    fn add(&mut self, bucket: u64, bad: bool) {
        self.advance(bucket);
        let current = &mut self.buckets[ring_index(self.newest)];
        current.total = current.total.saturating_add(1);
        current.bad = current.bad.saturating_add(u32::from(bad));
    }

    /// Returns the buckets up to `bucket`, from the oldest to the newest.
    fn history(&self, bucket: u64) -> Vec<BurnCount> {
        let mut ring = self.clone();
        ring.advance(bucket);
        let first = ring.newest + 1;
        let buckets =
            (0..BUCKETS_PER_WINDOW as u64).map(|step| ring.buckets[ring_index(first + step)]);
        let counts = buckets.map(|bucket| BurnCount {
            total: u64::from(bucket.total),
            bad: u64::from(bucket.bad),
        });
        counts.collect()
    }
}

fn ring_index(bucket: u64) -> usize {
    (bucket % BUCKETS_PER_WINDOW as u64) as usize
}

fn bucket_at(now: MonoTime, window: BurnWindow) -> u64 {
    let length = window.length() / BUCKETS_PER_WINDOW as u32;
    now.as_micros() / length.as_micros() as u64
}

#[derive(Clone, Debug)]
struct BurnSeries {
    rings: [WindowRing; WINDOW_COUNT],
}

impl BurnSeries {
    const fn new() -> Self {
        Self {
            rings: [const { WindowRing::new() }; WINDOW_COUNT],
        }
    }

    fn add(&mut self, now: MonoTime, bad: bool) {
        for (ring, window) in self.rings.iter_mut().zip(BurnWindow::ALL) {
            ring.add(bucket_at(now, window), bad);
        }
    }

    fn history(&self, now: MonoTime) -> [Vec<BurnCount>; WINDOW_COUNT] {
        std::array::from_fn(|index| {
            self.rings[index].history(bucket_at(now, BurnWindow::ALL[index]))
        })
    }

    fn windows(&self, now: MonoTime) -> WindowCounts {
        self.history(now).map(|buckets| {
            buckets
                .into_iter()
                .fold(BurnCount::default(), |mut sum, bucket| {
                    sum.add(bucket);
                    sum
                })
        })
    }
}

#[derive(Clone, Debug)]
struct ServiceSeries {
    objective_ppm: u32,
    all: BurnSeries,
    customers: IndexMap<Option<CustomerId>, BurnSeries>,
    causes: IndexMap<BurnCause, BurnSeries>,
}

/// Counts the requests of one node, or of one shard of it.
#[derive(Clone, Debug)]
pub struct BurnRecorder {
    started: MonoTime,
    limits: BurnLimits,
    services: IndexMap<ServiceId, ServiceSeries>,
    series: usize,
}

impl BurnRecorder {
    /// Creates an empty recorder.
    pub fn new(now: MonoTime, limits: BurnLimits) -> Self {
        Self {
            started: now,
            limits,
            services: IndexMap::new(),
            series: 0,
        }
    }

    /// Counts one request.
    pub fn record(&mut self, now: MonoTime, event: BurnEvent<'_>) {
        let is_full = self.series >= self.limits.series;
        if !self.services.contains_key(event.service) {
            if is_full || self.services.len() >= self.limits.services {
                return;
            }
            let series = ServiceSeries::new(event.objective_ppm);
            self.series += series.len();
            self.services.insert(event.service.clone(), series);
        }
        let series = self.services.get_mut(event.service);
        let series = series.expect("the series was inserted above");
        series.objective_ppm = event.objective_ppm;
        let (customers, causes) = match is_full {
            true => (0, 0),
            false => (self.limits.customers, self.limits.causes),
        };
        let before = series.len();
        series.count(now, event.customer, event.failure.is_some(), customers);
        if let Some(cause) = event.failure {
            series.count_cause(now, cause, causes);
        }
        self.series += series.len() - before;
    }

    /// Returns the counts, labelled with the name of the node.
    pub fn snapshot(&self, now: MonoTime, node: impl Into<String>) -> BurnSnapshot {
        let services = self.services.iter();
        let services = services.map(|(service, series)| series.snapshot(now, service));
        BurnSnapshot {
            nodes: vec![node.into()],
            covered_ms: now.since(self.started).as_millis() as u64,
            services: services.collect(),
        }
    }

    /// Removes services without requests in any window.
    pub fn expire(&mut self, now: MonoTime) {
        self.services.retain(|_, series| {
            let counts = series.all.windows(now);
            counts.iter().any(|count| count.total > 0)
        });
        self.series = self.services.values().map(ServiceSeries::len).sum();
    }
}

impl ServiceSeries {
    fn new(objective_ppm: u32) -> Self {
        Self {
            objective_ppm,
            all: BurnSeries::new(),
            customers: IndexMap::new(),
            causes: IndexMap::new(),
        }
    }

    fn len(&self) -> usize {
        1 + self.customers.len() + self.causes.len()
    }

    fn count(&mut self, now: MonoTime, customer: Option<&CustomerId>, bad: bool, limit: usize) {
        self.all.add(now, bad);
        let customer = customer.cloned();
        let customer = match self.customers.contains_key(&customer) {
            true => customer,
            false => customer.filter(|_| self.customers.len() < limit),
        };
        let series = self.customers.entry(customer);
        series.or_insert_with(BurnSeries::new).add(now, bad);
    }

    fn count_cause(&mut self, now: MonoTime, cause: BurnCause, limit: usize) {
        let is_counted = self.causes.contains_key(&cause) || self.causes.len() < limit;
        let cause = match is_counted {
            true => cause,
            false => BurnCause {
                target: None,
                data_centre: None,
                reason: OTHER_CAUSE.to_owned(),
            },
        };
        let series = self.causes.entry(cause);
        series.or_insert_with(BurnSeries::new).add(now, true);
    }

    fn snapshot(&self, now: MonoTime, service: &ServiceId) -> ServiceBurn {
        let customers = self.customers.iter();
        let customers = customers.map(|(customer, series)| CustomerBurn {
            customer: customer.clone(),
            windows: series.windows(now),
        });
        let causes = self.causes.iter();
        let causes = causes.map(|(cause, series)| CauseBurn {
            cause: cause.clone(),
            windows: series.windows(now),
        });
        ServiceBurn {
            service: service.clone(),
            objective_ppm: self.objective_ppm,
            windows: self.all.windows(now),
            history: self.all.history(now),
            customers: customers.collect(),
            causes: causes.collect(),
        }
    }
}

/// Returns the length of a bucket of a window.
pub fn bucket_length(window: BurnWindow) -> Duration {
    window.length() / BUCKETS_PER_WINDOW as u32
}
