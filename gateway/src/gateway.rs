//! The state that all requests of a gateway share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use damaskloom_lib::evidence::AttemptOutcome;
use damaskloom_lib::ids::NodeId;
use damaskloom_lib::outcome::Refusal;
use http::Response;

use crate::bodies::AnswerBody;
use crate::claim_desk::ClaimDesk;
use crate::claim_fleet::ClaimMember;
use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::exchange::RequestScope;
use crate::fleet_directory::FleetDirectory;
use crate::fleet_epoch::{FleetAssignment, FleetEpoch};
use crate::forward::{AttemptError, LOAD_HEADER, TargetAnswer};
use crate::health_board::HealthBoard;
use crate::meters::{GatewayMeters, MeterError};
use crate::peer_outbox::PeerOutbox;
use crate::rate_gate::RateGate;
use crate::retry_gate::RetryGate;
use crate::settings::GatewaySettings;
use crate::target_set::TargetSet;

/// Everything that the request path of one gateway reads and writes.
#[derive(Debug)]
pub struct GatewayState {
    /// The checked settings.
    pub settings: GatewaySettings,
    /// This start of this gateway.
    pub node: NodeId,
    /// The process's clock.
    pub clock: MonoClock,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The assignment in force.
    pub epoch: Arc<FleetEpoch>,
    /// The way to other gateways.
    pub outbox: Arc<PeerOutbox>,
    /// The customers' limits.
    pub rates: RateGate,
    /// The connections to targets.
    pub targets: TargetSet,
    /// The judgement of targets.
    pub health: HealthBoard,
    /// The bound on retries.
    pub retries: RetryGate,
    /// The claims of request ids.
    pub claims: Arc<ClaimDesk>,
    /// Where callers are sent.
    pub directory: FleetDirectory,
    /// The metrics.
    pub meters: GatewayMeters,
    fresh: AtomicBool,
}

impl GatewayState {
    /// Makes the state of a gateway that has served nothing yet.
    ///
    /// A gateway without a platform is a fleet of its own and holds all budgets.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub fn new(settings: GatewaySettings, node: NodeId) -> Result<Arc<Self>, MeterError> {
        let clock = MonoClock::start();
        let config = Arc::new(ConfigView::default());
        let epoch = Arc::new(FleetEpoch::default());
        let outbox = Arc::new(PeerOutbox::default());
        let alone = settings.platform.is_none();
        if let Some(own) = settings.config.as_ref().filter(|_| alone) {
            config.replace(own.clone());
            epoch.enter(FleetAssignment {
                members: vec![node.clone()],
                ..FleetAssignment::default()
            });
        }
        let shared = || {
            (
                clock,
                Arc::clone(&config),
                Arc::clone(&epoch),
                Arc::clone(&outbox),
            )
        };
        let claims = ClaimDesk::new(&node, clock, Arc::clone(&outbox));
        if alone {
            claims.serve_alone(ClaimMember {
                node: node.clone(),
                data_centre: settings.data_centre.clone(),
            });
        }
        let rates = {
            let (clock, config, epoch, outbox) = shared();
            RateGate::new(&node, clock, config, epoch, outbox)
        };
        let health = {
            let (clock, config, epoch, outbox) = shared();
            HealthBoard::new(&node, &settings.data_centre, clock, config, epoch, outbox)
        };
        Ok(Arc::new(Self {
            clock,
            config,
            epoch,
            outbox,
            rates,
            targets: TargetSet::default(),
            health,
            retries: RetryGate::default(),
            claims,
            directory: FleetDirectory::new(settings.directory_lifetime_ms),
            meters: GatewayMeters::new()?,
            fresh: AtomicBool::new(alone),
            node,
            settings,
        }))
    }

    /// Says whether the node knows the configuration well enough for requests with keys.
    pub fn may_serve_keyed(&self) -> bool {
        self.fresh.load(Ordering::Relaxed)
    }

    /// Sets whether the node may serve requests with keys.
    pub fn set_fresh(&self, fresh: bool) {
        if self.fresh.swap(fresh, Ordering::Relaxed) != fresh {
            tracing::info!(vm = %self.settings.vm, fresh, "freshness changed");
        }
    }

    /// Takes over the configuration and the assignment in force.
    pub fn refresh(&self) {
        self.rates.refresh();
        self.health.refresh();
        self.directory.set_customers(&self.config.customers());
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

/// Says what the end of an attempt means for the judgement of its target.
pub fn attempt_outcome(result: &Result<TargetAnswer, AttemptError>) -> AttemptOutcome {
    match result {
        Ok(answer) => match answer.status() {
            500.. => AttemptOutcome::Failed,
            400..=499 => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Good,
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

/// Reads the load that a target reports as `in-flight/slots`, in requests.
pub fn reported_load(result: &Result<TargetAnswer, AttemptError>) -> Option<f32> {
    let header = result.as_ref().ok()?.headers().get(LOAD_HEADER)?;
    header.to_str().ok()?.split('/').next()?.trim().parse().ok()
}
