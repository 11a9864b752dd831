//! The judgement of targets, one part for each service that this node serves.

use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use damaskloom_lib::budget::{BudgetId, BudgetTerms, SplitMode};
use damaskloom_lib::config::{Idempotence, Service, Target};
use damaskloom_lib::evidence::{AttemptOutcome, AttemptScope, choose_evaluators};
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

/// A message about the targets of one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceMessage {
    /// The service.
    pub service: ServiceId,
    /// The message of the service's part.
    pub message: HealthMessage,
}

#[derive(Debug)]
struct HealthPart {
    health: ServiceHealth,
    /// Units of ejectable capacity that the part has.
    given: u32,
    /// Units of ejectable capacity that this node holds and the part does not need.
    spare: u32,
    /// Units that the part must give up, since the node's share became smaller.
    owed: u32,
}

/// Picks and judges targets for all services.
#[derive(Debug)]
pub struct HealthBoard {
    node: NodeId,
    data_centre: DataCentreId,
    clock: MonoClock,
    config: Arc<ConfigView>,
    epoch: Arc<FleetEpoch>,
    outbox: Arc<PeerOutbox>,
    parts: RwLock<IndexMap<ServiceId, Arc<Mutex<HealthPart>>>>,
}

impl HealthBoard {
    /// Makes a board without services; each is added when it is first used.
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
            parts: RwLock::default(),
        }
    }

    /// Picks a target of a service; none if no target may get work.
    pub fn pick(
        &self,
        service: &ServiceId,
        idempotence: Idempotence,
        seed: u64,
        excluded: &[TargetId],
    ) -> Option<PickedTarget> {
        let part = self.part(service)?;
        let mut part = part.lock().expect("no holder of a health part panics");
        part.health.pick(
            self.clock.now(),
            &PickRequest {
                idempotence,
                seed,
                excluded,
            },
        )
    }

    /// Notes that an attempt starts.
    pub fn begin(
        &self,
        service: &ServiceId,
        scope: AttemptScope,
        trial: bool,
    ) -> Option<AttemptId> {
        let part = self.part(service)?;
        let mut part = part.lock().expect("no holder of a health part panics");
        Some(part.health.begin(self.clock.now(), scope, trial))
    }

    /// Notes how an attempt ended, and the load that the target reported.
    pub fn finish(
        &self,
        service: &ServiceId,
        id: AttemptId,
        target: &TargetId,
        outcome: AttemptOutcome,
        load: Option<f32>,
    ) {
        let Some(part) = self.part(service) else {
            return;
        };
        let mut part = part.lock().expect("no holder of a health part panics");
        let now = self.clock.now();
        if let Some(load) = load {
            part.health.set_reported_load(now, target, load);
        }
        let actions = part.health.finish(now, id, target, outcome);
        self.perform(service, &mut part, actions);
    }

    /// Takes a peer's message.
    pub fn handle(&self, from: &NodeId, message: ServiceMessage) {
        let Some(part) = self.part(&message.service) else {
            return;
        };
        let mut part = part.lock().expect("no holder of a health part panics");
        let actions = part.health.handle(self.clock.now(), from, message.message);
        self.perform(&message.service, &mut part, actions);
    }

    /// Advances all services; called every 50 ms.
    pub fn tick(&self) {
        for (service, part) in self.all_parts() {
            let mut part = part.lock().expect("no holder of a health part panics");
            let actions = part.health.tick(self.clock.now());
            self.perform(&service, &mut part, actions);
        }
    }

    /// Takes over the configuration and the assignment in force.
    pub fn refresh(&self) {
        for (id, part) in self.all_parts() {
            match self.config.service(&id) {
                Some(service) => {
                    let mut part = part.lock().expect("no holder of a health part panics");
                    self.refresh_part(&service, &mut part);
                }
                None => {
                    let mut parts = self.parts.write().expect("no holder of the board panics");
                    parts.swap_remove(&id);
                }
            }
        }
    }

    /// Says whether no part has more units than this node's newest share.
    pub fn conforms(&self) -> bool {
        self.all_parts()
            .into_iter()
            .all(|(_, part)| part.lock().expect("no holder of a health part panics").owed == 0)
    }

    /// Says whether a target gets work from this node.
    pub fn standing(&self, service: &ServiceId, target: &TargetId) -> TargetStanding {
        let Some(part) = self.part(service) else {
            return TargetStanding::Serving;
        };
        let part = part.lock().expect("no holder of a health part panics");
        part.health.standing(self.clock.now(), target)
    }

    /// Explains the state of a target, if this node judges it.
    pub fn explain(&self, service: &ServiceId, target: &TargetId) -> Option<TargetExplanation> {
        let part = self.part(service)?;
        let part = part.lock().expect("no holder of a health part panics");
        part.health.explain(self.clock.now(), target)
    }

    /// Disregards missing answers of a target for a while, since a request crashed it.
    pub fn excuse(&self, service: &ServiceId, target: &TargetId, period: Duration) {
        if let Some(part) = self.part(service) {
            let mut part = part.lock().expect("no holder of a health part panics");
            part.health.exempt(self.clock.now(), target, period);
        }
    }

    fn all_parts(&self) -> Vec<(ServiceId, Arc<Mutex<HealthPart>>)> {
        let parts = self.parts.read().expect("no holder of the board panics");
        parts
            .iter()
            .map(|(id, part)| (id.clone(), Arc::clone(part)))
            .collect()
    }

    fn part(&self, id: &ServiceId) -> Option<Arc<Mutex<HealthPart>>> {
        if let Some(part) = self
            .parts
            .read()
            .expect("no holder of the board panics")
            .get(id)
        {
            return Some(Arc::clone(part));
        }
        let service = self.config.service(id)?;
        let health = ServiceHealth::new(self.node.clone(), &service, self.data_centre.clone());
        let mut part = HealthPart {
            health,
            given: 0,
            spare: 0,
            owed: 0,
        };
        self.refresh_part(&service, &mut part);
        let mut parts = self.parts.write().expect("no holder of the board panics");
        let entry = parts
            .entry(id.clone())
            .or_insert_with(|| Arc::new(Mutex::new(part)));
        Some(Arc::clone(entry))
    }

    fn refresh_part(&self, service: &Service, part: &mut HealthPart) {
        let targets = self.config.targets_of(&service.id);
        let targets: Vec<&Target> = targets.iter().collect();
        let now = self.clock.now();
        part.health.set_targets(now, &targets);
        let members = self.epoch.members();
        part.health.set_peers(&members);
        let share = self.unit_share(service, u32::try_from(targets.len()).unwrap_or(u32::MAX));
        let actions = part.set_share(now, share);
        self.perform(&service.id, part, actions);
    }

    /// Returns the targets that this node may eject, out of those above the floor.
    ///
    /// The judges hold the units, since they decide; what they hold adds up to the capacity above
    /// the floor, whatever the nodes believe of each other.
    fn unit_share(&self, service: &Service, targets: u32) -> u32 {
        let ejectable = targets.saturating_sub(service.floor);
        let terms = BudgetTerms::from_units(self.config.revision(), ejectable);
        let budget = BudgetId::EjectableCapacity(service.id.clone());
        let mut view = self.epoch.view(&budget, terms).epoch;
        view.holders = choose_evaluators(&service.id, self.epoch.members());
        view.unsettled = self
            .epoch
            .unsettled_members()
            .into_iter()
            .map(|members| choose_evaluators(&service.id, members))
            .collect();
        let share = view.share_of(&self.node, &terms, SplitMode::Owners);
        u32::try_from(share.capacity.whole_units()).unwrap_or(u32::MAX)
    }

    fn perform(&self, service: &ServiceId, part: &mut HealthPart, actions: Vec<HealthAction>) {
        for action in actions {
            match action {
                HealthAction::Send { to, message } => {
                    let message = ServiceMessage {
                        service: service.clone(),
                        message,
                    };
                    self.outbox.send(&to, PeerTopic::Evidence, &message);
                }
                HealthAction::ClaimUnits(count) => part.claim(count),
                HealthAction::ReleaseUnits(count) => part.release(count),
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

impl HealthPart {
    /// Changes the units that this node holds; the part gives up units as they become free.
    fn set_share(&mut self, now: damaskloom_lib::time::MonoTime, share: u32) -> Vec<HealthAction> {
        let held = (self.given + self.spare).saturating_sub(self.owed);
        if share >= held {
            let more = share - held;
            let forgiven = more.min(self.owed);
            self.owed -= forgiven;
            self.spare += more - forgiven;
            return Vec::new();
        }
        let less = held - share;
        let from_spare = less.min(self.spare);
        self.spare -= from_spare;
        let from_part = less - from_spare;
        self.owed += from_part;
        if from_part == 0 {
            Vec::new()
        } else {
            self.health.withdraw_units(now, from_part)
        }
    }

    fn claim(&mut self, count: u32) {
        let granted = count.min(self.spare);
        self.spare -= granted;
        self.given += granted;
        if granted > 0 {
            self.health.add_units(granted);
        }
    }

    fn release(&mut self, count: u32) {
        self.given = self.given.saturating_sub(count);
        let owed = count.min(self.owed);
        self.owed -= owed;
        self.spare += count - owed;
    }
}
