//! The state that all requests of a gateway share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use damaskloom_lib::config::Target;
use damaskloom_lib::ids::ServiceId;
use damaskloom_lib::outcome::Refusal;
use http::Response;
use rand::Rng;

use crate::admission::AdmissionGate;
use crate::bodies::AnswerBody;
use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::exchange::RequestScope;
use crate::fleet_directory::FleetDirectory;
use crate::forward::{AttemptError, TargetAnswer};
use crate::meters::{GatewayMeters, MeterError};
use crate::retry_gate::RetryGate;
use crate::service_call::Choice;
use crate::settings::GatewaySettings;
use crate::target_health::TargetHealth;
use crate::target_set::{TargetSet, takes_work};

/// Everything that the request path of one gateway reads and writes.
#[derive(Debug)]
pub struct GatewayState {
    /// The checked settings.
    pub settings: GatewaySettings,
    /// The process's clock.
    pub clock: MonoClock,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The customers' limits.
    pub admission: AdmissionGate,
    /// The connections to targets.
    pub targets: TargetSet,
    /// The state of targets.
    pub health: TargetHealth,
    /// The bound on retries.
    pub retries: RetryGate,
    /// Where callers are sent.
    pub directory: FleetDirectory,
    /// The metrics.
    pub meters: GatewayMeters,
    fresh: AtomicBool,
}

impl GatewayState {
    /// Makes the state of a gateway that has served nothing yet.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub fn new(settings: GatewaySettings) -> Result<Arc<Self>, MeterError> {
        let clock = MonoClock::start();
        let config = Arc::new(ConfigView::default());
        if let Some(own) = &settings.config {
            config.replace(own.clone());
        }
        Ok(Arc::new(Self {
            clock,
            admission: AdmissionGate::new(clock, Arc::clone(&config)),
            config,
            targets: TargetSet::default(),
            health: TargetHealth::default(),
            retries: RetryGate::default(),
            directory: FleetDirectory::new(settings.directory_lifetime_ms),
            meters: GatewayMeters::new()?,
            fresh: AtomicBool::new(true),
            settings,
        }))
    }

    /// Says whether the node knows the configuration well enough for requests with keys.
    pub fn may_serve_keyed(&self) -> bool {
        self.fresh.load(Ordering::Relaxed)
    }

    /// Chooses a target with a free slot.
    pub fn choose_target(
        &self,
        service: &ServiceId,
        targets: &[Target],
        tried: &[Arc<Target>],
    ) -> Choice {
        let now = self.clock.now();
        let _ = service;
        let usable: Vec<&Target> = targets
            .iter()
            .filter(|target| takes_work(target) && !self.health.is_ejected(now, &target.id))
            .collect();
        if usable.is_empty() {
            return Choice::None;
        }
        let free: Vec<(&Target, u32)> = usable
            .iter()
            .filter(|target| !tried.iter().any(|tried| tried.id == target.id))
            .map(|target| (*target, self.targets.pool(target)))
            .filter(|(_, pool)| pool.has_free_slot())
            .map(|(target, pool)| (target, pool.in_flight()))
            .collect();
        if free.is_empty() {
            return if usable.len() <= tried.len() {
                Choice::None
            } else {
                Choice::AllBusy
            };
        }
        let mut random = rand::rng();
        let first = &free[random.random_range(0..free.len())];
        let second = &free[random.random_range(0..free.len())];
        let (target, _) = if second.1 < first.1 { second } else { first };
        Choice::Target((*target).clone())
    }

    /// Notes how an attempt at a target ended.
    pub fn note_attempt(
        &self,
        scope: &RequestScope,
        target: &Target,
        result: &Result<TargetAnswer, AttemptError>,
        _duration: Duration,
    ) {
        let (label, good) = match result {
            Ok(answer) if answer.status() >= 500 => ("error", false),
            Ok(_) => ("answered", true),
            Err(AttemptError::Busy) => ("busy", true),
            Err(AttemptError::StaleConnection) => ("stale-connection", true),
            Err(AttemptError::Shed) => ("shed", true),
            Err(AttemptError::CallerBody) => ("caller-body", true),
            Err(AttemptError::Unreachable) => ("unreachable", false),
            Err(AttemptError::Broken) => ("broken", false),
            Err(AttemptError::Timeout) => ("timeout", false),
        };
        self.meters.attempted(scope.route.service.as_str(), label);
        let targets = self.config.targets_of(&target.service);
        let floor = self
            .config
            .service(&target.service)
            .map_or(0, |service| service.floor);
        self.health
            .note(self.clock.now(), target, good, &targets, floor);
    }

    /// Counts how a request ended.
    pub fn record_result(
        &self,
        scope: &RequestScope,
        result: &Result<Response<AnswerBody>, Refusal>,
        arrival: Instant,
    ) {
        match result {
            Ok(response) => self.meters.answered(
                scope.route.service.as_str(),
                response.status().as_u16(),
                arrival.elapsed(),
            ),
            Err(refusal) => self.meters.refused(refusal),
        }
    }
}
