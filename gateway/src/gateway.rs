//! The state that all requests of a gateway share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use damaskloom_lib::config::Target;
use damaskloom_lib::evidence::AttemptOutcome;
use damaskloom_lib::freshness::{FreshnessGuard, FreshnessSettings};
use damaskloom_lib::ids::NodeId;
use damaskloom_lib::outcome::Refusal;
use damaskloom_lib::rendezvous::StableHash;
use damaskloom_lib::retry_budget::RetryBudget;
use damaskloom_lib::time::MonoTime;

use crate::burn_counters::BurnCounters;
use crate::claim_fleet::ClaimMember;
use crate::claim_registry::ClaimRegistry;
use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::crash_registry::CrashRegistry;
use crate::exchange::RequestScope;
use crate::fleet_directory::FleetDirectory;
use crate::fleet_epoch::{FleetAssignment, FleetEpoch};
use crate::fleet_limiter::FleetLimiter;
use crate::forward::{AttemptError, LOAD_HEADER, TargetAnswer};
use crate::health_monitor::HealthMonitor;
use crate::meter_registry::MeterError;
use crate::meters::GatewayMeters;
use crate::peer_outbox::PeerOutbox;
use crate::serving_guard::ServingGuard;
use crate::settings::GatewaySettings;
use crate::slot_registry::SlotRegistry;
use crate::target_set::TargetSet;
use crate::tick_interval::TickInterval;
use crate::waiting_calls::WaitingCalls;

/// Everything that the request path of one gateway reads and writes.
#[derive(Debug)]
pub struct GatewayState {
    /// The validated settings.
    pub settings: GatewaySettings,
    /// This gateway's node id, which identifies this run of the process.
    pub node: NodeId,
    /// The process's clock.
    pub clock: MonoClock,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The assignment in force.
    pub epoch: Arc<FleetEpoch>,
    /// The sender of messages to other gateways.
    pub outbox: Arc<PeerOutbox>,
    /// The rate limits of customers.
    pub rates: FleetLimiter,
    /// The connections to targets.
    pub targets: TargetSet,
    /// The health of targets.
    pub health: Arc<HealthMonitor>,
    /// The slots of targets.
    pub slots: Arc<SlotRegistry>,
    /// The requests that wait for slots.
    pub waiting: WaitingCalls,
    /// The requests that crash targets.
    pub crashes: CrashRegistry,
    /// The interval at which shares and queues are processed.
    pub tick_interval: Arc<TickInterval>,
    /// The limit of retries.
    pub retries: Mutex<RetryBudget>,
    /// The claims of request ids.
    pub claims: Arc<ClaimRegistry>,
    /// The consumption of the services' error budgets.
    pub burn: BurnCounters,
    /// The directory of entry VMs for callers.
    pub directory: FleetDirectory,
    /// The metrics.
    pub meters: GatewayMeters,
    /// Decides whether requests with keys may be served.
    pub guard: ServingGuard,
    served_keyed: AtomicBool,
    leaving: AtomicBool,
}

impl GatewayState {
    /// Makes the state of a newly started gateway.
    ///
    /// A gateway without a platform is the only member of its fleet and holds all budgets.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub fn new(
        settings: GatewaySettings,
        node: NodeId,
        clock: MonoClock,
    ) -> Result<Arc<Self>, MeterError> {
        let config = Arc::new(ConfigView::default());
        let epoch = Arc::new(FleetEpoch::default());
        let outbox = Arc::new(PeerOutbox::default());
        let standalone = settings.platform.is_none();
        if let Some(own) = settings.config.as_ref().filter(|_| standalone) {
            config.replace(own.clone());
            epoch.set_assignment(FleetAssignment {
                members: vec![node.clone()],
                ..FleetAssignment::default()
            });
        }
        let guard = if standalone {
            ServingGuard::standalone()
        } else {
            let seed = StableHash::of(node.to_string()).0;
            let settings = FreshnessSettings::default();
            ServingGuard::member(FreshnessGuard::new(settings, node.clone(), seed))
        };
        let tick_interval = Arc::new(TickInterval::default());
        let shared = || {
            (
                clock,
                Arc::clone(&config),
                Arc::clone(&epoch),
                Arc::clone(&outbox),
            )
        };
        let claims = ClaimRegistry::new(&node, clock, Arc::clone(&outbox));
        if standalone {
            claims.set_standalone(ClaimMember {
                node: node.clone(),
                data_centre: settings.data_centre.clone(),
            });
        }
        let rates = {
            let (clock, config, epoch, outbox) = shared();
            FleetLimiter::new(
                &node,
                clock,
                config,
                epoch,
                outbox,
                Arc::clone(&tick_interval),
            )
        };
        let health = {
            let (clock, config, epoch, outbox) = shared();
            let data_centre = &settings.data_centre;
            Arc::new(HealthMonitor::new(
                &node,
                data_centre,
                clock,
                config,
                epoch,
                outbox,
            ))
        };
        let slots = {
            let (clock, config, epoch, outbox) = shared();
            Arc::new(SlotRegistry::new(&node, clock, config, epoch, outbox))
        };
        let (monitor, registry) = (Arc::clone(&health), Arc::clone(&slots));
        let waiting = WaitingCalls::new(
            clock,
            Arc::clone(&config),
            monitor,
            registry,
            Arc::clone(&tick_interval),
        );
        let crashes = {
            let (clock, config, _, outbox) = shared();
            CrashRegistry::new(clock, config, Arc::clone(&health), outbox)
        };
        Ok(Arc::new(Self {
            clock,
            config,
            epoch,
            outbox,
            rates,
            targets: TargetSet::default(),
            health,
            slots,
            waiting,
            crashes,
            tick_interval,
            retries: Mutex::default(),
            claims,
            burn: BurnCounters::new(clock.now()),
            directory: FleetDirectory::new(settings.directory_lifetime_ms),
            meters: GatewayMeters::new()?,
            guard,
            served_keyed: AtomicBool::new(standalone),
            leaving: AtomicBool::new(false),
            node,
            settings,
        }))
    }

    /// Returns whether the node may serve requests with keys now.
    pub fn may_serve_keyed(&self) -> bool {
        self.guard.allows_work(self.clock.now())
    }

    /// Records whether requests with keys are served now; returns the new value if it changed.
    pub fn record_freshness(&self, now: MonoTime) -> Option<bool> {
        let allowed = self.guard.allows_work(now);
        let changed = self.served_keyed.swap(allowed, Ordering::Relaxed) != allowed;
        if changed {
            tracing::info!(vm = %self.settings.vm, allowed, "serving of keyed requests changed");
        }
        changed.then_some(allowed)
    }

    /// Records that a planned stop has begun.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether all shares conform to the newest assignment, so that it may be acknowledged.
    pub fn conforms(&self) -> bool {
        self.rates.conforms() && self.slots.conforms() && self.health.conforms()
    }

    /// Applies the configuration and the assignment in force.
    pub fn refresh(&self) {
        self.rates.refresh();
        self.slots.refresh();
        self.health.refresh();
        let others = self
            .epoch
            .members()
            .into_iter()
            .filter(|member| *member != self.node);
        self.crashes.set_peers(others);
        let unsettled = self.epoch.unsettled_members();
        let node_count = unsettled
            .iter()
            .map(Vec::len)
            .chain([self.epoch.members().len()])
            .max();
        self.targets.set_node_count(node_count.unwrap_or(1), |id| {
            self.config.target(id).map(|target| target.connections)
        });
        self.directory.set_customers(&self.config.customers());
    }

    /// Counts a request that a target answered.
    pub fn record_answer(
        &self,
        scope: &RequestScope,
        target: &Target,
        status: u16,
        arrival: Instant,
    ) {
        let service = &scope.route.service;
        self.meters
            .answered(service.as_str(), status, arrival.elapsed());
        let Some(service) = self.config.service(service) else {
            return;
        };
        let (now, customer) = (self.clock.now(), scope.customer.as_ref());
        if status >= 500 {
            self.burn
                .record_failure(now, &service, customer, target, status);
        } else {
            self.burn.record_success(now, &service, customer);
        }
    }

    /// Counts a request that was refused.
    pub fn record_refusal(&self, scope: &RequestScope, refusal: &Refusal) {
        self.meters.refused(refusal);
        if let Some(service) = self.config.service(&scope.route.service) {
            self.burn
                .record_refusal(self.clock.now(), &service, scope.customer.as_ref(), refusal);
        }
    }
}

/// Returns the outcome of an attempt, by which its target is evaluated.
pub fn attempt_outcome(result: &Result<TargetAnswer, AttemptError>) -> AttemptOutcome {
    match result {
        Ok(answer) => match answer.status() {
            500.. => AttemptOutcome::Failed,
            400..=499 => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Success,
        },
        Err(AttemptError::Shed) => AttemptOutcome::Shed,
        Err(AttemptError::Unreachable) => AttemptOutcome::ConnectFailed,
        Err(AttemptError::Broken) => AttemptOutcome::Broken,
        Err(AttemptError::Timeout) => AttemptOutcome::TimedOut,
        Err(
            AttemptError::Busy
            | AttemptError::ClaimExpired
            | AttemptError::StaleConnection
            | AttemptError::CallerBody,
        ) => AttemptOutcome::Cancelled,
    }
}

/// Returns the load that a target reports as `in-flight/slots`: its requests in flight.
pub fn reported_load(result: &Result<TargetAnswer, AttemptError>) -> Option<f32> {
    let header = result.as_ref().ok()?.headers().get(LOAD_HEADER)?;
    header.to_str().ok()?.split('/').next()?.trim().parse().ok()
}
