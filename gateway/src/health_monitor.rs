//! Monitors the health of targets, with separate state for each service that this node serves.

use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use damaskloom_lib::budget::{BudgetId, BudgetTerms, SplitMode};
use damaskloom_lib::config::{Idempotence, Service, Target};
use damaskloom_lib::evidence::{AttemptOutcome, AttemptScope, select_evaluators};
use damaskloom_lib::ids::{DataCentreId, NodeId, ServiceId, TargetId};
use damaskloom_lib::pending::AttemptId;
use damaskloom_lib::service_health::{
    HealthAction, HealthMessage, PickRequest, PickedTarget, ServiceHealth,
};
use damaskloom_lib::target_picker::TargetStanding;
use damaskloom_lib::verdict::TargetExplanation;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock::MonoClock;
use crate::config_view::ConfigView;
use crate::fleet_epoch::FleetEpoch;
use crate::peer_codec::PeerTopic;
use crate::peer_outbox::PeerOutbox;

/// A message between nodes about the targets of one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceMessage {
    /// The service.
    pub service: ServiceId,
    /// The message for the service's monitor.
    pub message: HealthMessage,
}

#[derive(Debug)]
struct ServiceMonitor {
    health: ServiceHealth,
    /// The units of ejectable capacity that `health` holds.
    allotted: u32,
    /// The units of ejectable capacity that this node holds and `health` does not need.
    spare: u32,
    /// The units that `health` must release, since the node's share became smaller.
    owed: u32,
}

/// Picks targets and ejects failing ones, for all services.
#[derive(Debug)]
pub struct HealthMonitor {
    node: NodeId,
    data_centre: DataCentreId,
    clock: MonoClock,
    config: Arc<ConfigView>,
    epoch: Arc<FleetEpoch>,
    outbox: Arc<PeerOutbox>,
    monitors: RwLock<IndexMap<ServiceId, Arc<Mutex<ServiceMonitor>>>>,
}

impl HealthMonitor {
    /// Makes a monitor without services; each is added at its first use.
    pub fn new(
        node: &NodeId,
        data_centre: &DataCentreId,
        clock: MonoClock,
        config: Arc<ConfigView>,
        epoch: Arc<FleetEpoch>,
        outbox: Arc<PeerOutbox>,
    ) -> Self {
        Self {
            node: node.clone(),
            data_centre: data_centre.clone(),
            clock,
            config,
            epoch,
            outbox,
            monitors: RwLock::default(),
        }
    }

    /// Picks a target of a service; `None` if no target may receive requests.
    pub fn pick(
        &self,
        service: &ServiceId,
        idempotence: Idempotence,
        seed: u64,
        excluded: &[TargetId],
    ) -> Option<PickedTarget> {
        let monitor = self.monitor(service)?;
        let mut monitor = monitor.lock().expect("no holder of a monitor panics");
        monitor.health.pick(
            self.clock.now(),
            &PickRequest {
                idempotence,
                seed,
                excluded,
            },
        )
    }

    /// Records the start of an attempt.
    pub fn start_attempt(
        &self,
        service: &ServiceId,
        scope: AttemptScope,
        trial: bool,
    ) -> Option<AttemptId> {
        let monitor = self.monitor(service)?;
        let mut monitor = monitor.lock().expect("no holder of a monitor panics");
        Some(monitor.health.begin(self.clock.now(), scope, trial))
    }

    /// Records the outcome of an attempt, and the load that the target reported.
    pub fn finish_attempt(
        &self,
        service: &ServiceId,
        id: AttemptId,
        target: &TargetId,
        outcome: AttemptOutcome,
        load: Option<f32>,
    ) {
        let Some(monitor) = self.monitor(service) else {
            return;
        };
        let mut monitor = monitor.lock().expect("no holder of a monitor panics");
        let now = self.clock.now();
        if let Some(load) = load {
            monitor.health.set_reported_load(now, target, load);
        }
        let actions = monitor.health.finish(now, id, target, outcome);
        self.perform(service, &mut monitor, actions);
    }

    /// Handles a message from a peer.
    pub fn handle(&self, from: &NodeId, message: ServiceMessage) {
        let Some(monitor) = self.monitor(&message.service) else {
            return;
        };
        let mut monitor = monitor.lock().expect("no holder of a monitor panics");
        let actions = monitor
            .health
            .handle(self.clock.now(), from, message.message);
        self.perform(&message.service, &mut monitor, actions);
    }

    /// Advances the state of all services; called every 50 ms.
    pub fn tick(&self) {
        for (service, monitor) in self.all_monitors() {
            let mut monitor = monitor.lock().expect("no holder of a monitor panics");
            let actions = monitor.health.tick(self.clock.now());
            self.perform(&service, &mut monitor, actions);
        }
    }

    /// Applies the configuration and the assignment in force.
    pub fn refresh(&self) {
        for (id, monitor) in self.all_monitors() {
            match self.config.service(&id) {
                Some(service) => {
                    let mut monitor = monitor.lock().expect("no holder of a monitor panics");
                    self.refresh_monitor(&service, &mut monitor);
                }
                None => {
                    let mut monitors = self.monitors.write().expect("no holder of the map panics");
                    monitors.swap_remove(&id);
                }
            }
        }
    }

    /// Returns whether no service holds more units than this node's newest share.
    pub fn conforms(&self) -> bool {
        self.all_monitors()
            .into_iter()
            .all(|(_, monitor)| monitor.lock().expect("no holder of a monitor panics").owed == 0)
    }

    /// Returns the standing of a target: whether it receives requests from this node.
    pub fn standing(&self, service: &ServiceId, target: &TargetId) -> TargetStanding {
        let Some(monitor) = self.monitor(service) else {
            return TargetStanding::Serving;
        };
        let monitor = monitor.lock().expect("no holder of a monitor panics");
        monitor.health.standing(self.clock.now(), target)
    }

    /// Explains the state of a target, if this node evaluates it.
    pub fn explain(&self, service: &ServiceId, target: &TargetId) -> Option<TargetExplanation> {
        let monitor = self.monitor(service)?;
        let monitor = monitor.lock().expect("no holder of a monitor panics");
        monitor.health.explain(self.clock.now(), target)
    }

    /// Ignores missing answers of a target for `period`, since a request crashed it.
    pub fn exempt(&self, service: &ServiceId, target: &TargetId, period: Duration) {
        if let Some(monitor) = self.monitor(service) {
            let mut monitor = monitor.lock().expect("no holder of a monitor panics");
            monitor.health.exempt(self.clock.now(), target, period);
        }
    }

    fn all_monitors(&self) -> Vec<(ServiceId, Arc<Mutex<ServiceMonitor>>)> {
        let monitors = self.monitors.read().expect("no holder of the map panics");
        monitors
            .iter()
            .map(|(id, monitor)| (id.clone(), Arc::clone(monitor)))
            .collect()
    }

    fn monitor(&self, id: &ServiceId) -> Option<Arc<Mutex<ServiceMonitor>>> {
        if let Some(monitor) = self
            .monitors
            .read()
            .expect("no holder of the map panics")
            .get(id)
        {
            return Some(Arc::clone(monitor));
        }
        let service = self.config.service(id)?;
        let health = ServiceHealth::new(self.node.clone(), &service, self.data_centre.clone());
        let mut monitor = ServiceMonitor {
            health,
            allotted: 0,
            spare: 0,
            owed: 0,
        };
        self.refresh_monitor(&service, &mut monitor);
        let mut monitors = self.monitors.write().expect("no holder of the map panics");
        let entry = monitors
            .entry(id.clone())
            .or_insert_with(|| Arc::new(Mutex::new(monitor)));
        Some(Arc::clone(entry))
    }

    fn refresh_monitor(&self, service: &Service, monitor: &mut ServiceMonitor) {
        let targets = self.config.targets_of(&service.id);
        let targets: Vec<&Target> = targets.iter().collect();
        let now = self.clock.now();
        monitor.health.set_targets(now, &targets);
        let members = self.epoch.members();
        monitor.health.set_peers(&members);
        let share = self.unit_share(service, u32::try_from(targets.len()).unwrap_or(u32::MAX));
        let actions = monitor.set_share(now, share);
        self.perform(&service.id, monitor, actions);
    }

    /// Returns the number of targets that this node may eject, of those above the floor.
    ///
    /// The evaluators hold the units, since they decide. Their shares add up to the capacity above
    /// the floor, whatever the nodes know of each other.
    fn unit_share(&self, service: &Service, targets: u32) -> u32 {
        let ejectable = targets.saturating_sub(service.floor);
        let terms = BudgetTerms::from_units(self.config.revision(), ejectable);
        let budget = BudgetId::EjectableCapacity(service.id.clone());
        let mut view = self.epoch.view(&budget, terms).epoch;
        view.holders = select_evaluators(&service.id, self.epoch.members());
        view.unsettled = self
            .epoch
            .unsettled_members()
            .into_iter()
            .map(|members| select_evaluators(&service.id, members))
            .collect();
        let share = view.share_of(&self.node, &terms, SplitMode::Owners);
        u32::try_from(share.capacity.whole_units()).unwrap_or(u32::MAX)
    }

    fn perform(
        &self,
        service: &ServiceId,
        monitor: &mut ServiceMonitor,
        actions: Vec<HealthAction>,
    ) {
        for action in actions {
            match action {
                HealthAction::Send { to, message } => {
                    let message = ServiceMessage {
                        service: service.clone(),
                        message,
                    };
                    self.outbox.send(&to, PeerTopic::Evidence, &message);
                }
                HealthAction::ClaimUnits(count) => monitor.claim_units(count),
                HealthAction::ReleaseUnits(count) => monitor.release_units(count),
                HealthAction::VerdictChanged { target, from, to } => {
                    tracing::info!(%service, target_id = %target, ?from, ?to, "verdict changed");
                }
                HealthAction::Ejected { target, cause } => {
                    tracing::info!(%service, target_id = %target, ?cause, "target ejected");
                }
                HealthAction::Lifted(target) => {
                    tracing::info!(%service, target_id = %target, "ejection ended");
                }
            }
        }
    }
}

impl ServiceMonitor {
    /// Changes the units that this node holds; units in use are released when they become free.
    fn set_share(&mut self, now: damaskloom_lib::time::MonoTime, share: u32) -> Vec<HealthAction> {
        let held = (self.allotted + self.spare).saturating_sub(self.owed);
        if share >= held {
            let more = share - held;
            let kept = more.min(self.owed);
            self.owed -= kept;
            self.spare += more - kept;
            return Vec::new();
        }
        let less = held - share;
        let from_spare = less.min(self.spare);
        self.spare -= from_spare;
        let from_health = less - from_spare;
        self.owed += from_health;
        if from_health == 0 {
            Vec::new()
        } else {
            self.health.withdraw_units(now, from_health)
        }
    }

    fn claim_units(&mut self, count: u32) {
        let granted = count.min(self.spare);
        self.spare -= granted;
        self.allotted += granted;
        if granted > 0 {
            self.health.add_units(granted);
        }
    }

    fn release_units(&mut self, count: u32) {
        self.allotted = self.allotted.saturating_sub(count);
        let owed = count.min(self.owed);
        self.owed -= owed;
        self.spare += count - owed;
    }
}
