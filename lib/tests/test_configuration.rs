//! Plans and confirms: under races, lost answers and outdated reads, each plan has one outcome and
//! no accepted change is lost.

use damaskloom_lib::config::{
    ConfigChange, ConfigDelta, Customer, FleetConfig, KeyGrant, KeyState, Route, RouteAccess,
    Service, Target, TargetState,
};
use damaskloom_lib::confirm::{
    ConfirmAction, ConfirmEvent, ConfirmMachine, ConfirmResult, PlanOutcome, PlanRefusal,
};
use damaskloom_lib::ids::{PlanId, Revision};
use damaskloom_lib::key::RawKey;
use damaskloom_lib::object_key::ObjectKey;
use damaskloom_lib::plan::{Intent, Plan, PlanBuilder, PlanError};
use damaskloom_lib::plan_check::{IntegrityError, PlanWarning};
use damaskloom_lib::platform::{Condition, Mutation, PlatformError, Transaction};
use damaskloom_lib::table_layout::{
    AuditRow, HeadRow, ObjectRow, audit_key, delta_key, head_key, object_row_key, outcome_key,
    plan_key,
};
use damaskloom_lib::units::{BurstSize, ByteSize, RequestRate};
use damaskloom_lib::usage::{UsageKey, UsageMap, UsageRow, apply_usage};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use serde_json::json;

use crate::fake_table::FakeTable;
use crate::seeded_run::seeded_runner;

fn customer(id: u8, rate: u64) -> ConfigChange {
    ConfigChange::PutCustomer(Customer {
        id: format!("c{id}").parse().unwrap(),
        rate: RequestRate::from_per_second(rate),
        burst: BurstSize(1),
        weight: 1,
    })
}

fn key(id: u8, customer: u8, state: KeyState) -> ConfigChange {
    ConfigChange::PutKey(KeyGrant {
        digest: RawKey::new([id]).digest(),
        customer: format!("c{customer}").parse().unwrap(),
        state,
    })
}

fn service(id: u8, floor: u32) -> ConfigChange {
    ConfigChange::PutService(Service {
        id: format!("s{id}").parse().unwrap(),
        floor,
        detection: Default::default(),
        policy: Default::default(),
        objective_ppm: 999_000,
    })
}

fn target(id: u8, service: u8, state: TargetState) -> ConfigChange {
    ConfigChange::PutTarget(Target {
        id: format!("t{id}").parse().unwrap(),
        service: format!("s{service}").parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "dc".parse().unwrap(),
        slots: 2,
        connections: 400,
        state,
    })
}

fn route(id: u8, prefix: u8, service: u8) -> ConfigChange {
    ConfigChange::PutRoute(Route {
        id: format!("r{id}").parse().unwrap(),
        path_prefix: format!("/{prefix}"),
        service: format!("s{service}").parse().unwrap(),
        access: RouteAccess::Keyed,
        idempotence: Default::default(),
        request_id_header: None,
        directory_format: Default::default(),
        deadline_ms: 1,
        max_body: ByteSize(1),
    })
}

fn change() -> impl Strategy<Value = ConfigChange> {
    let removed = |change: ConfigChange| ObjectKey::from(&change).removal();
    let put = (0_u8..5, 0_u8..3, 0_u8..2, any::<bool>()).prop_map(|(kind, id, other, flag)| {
        let target_state = [TargetState::Active, TargetState::Leaving][usize::from(flag)];
        let key_state = [KeyState::Granted, KeyState::Withdrawn][usize::from(flag)];
        match kind {
            0 => customer(id % 2, u64::from(other) + 1),
            1 => key(id, other, key_state),
            2 => service(id % 2, u32::from(other)),
            3 => target(id, other, target_state),
            _ => route(id % 2, other, u8::from(flag)),
        }
    });
    (put, 0_u8..5).prop_map(move |(put, removal)| if removal == 0 { removed(put) } else { put })
}

/// The result of one call to the platform.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    Served,
    /// The rows in the mask are read as of some commits ago.
    OutdatedRead(usize, u8),
    Unavailable,
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The answer is lost, and the write takes effect some steps later.
    TakesEffectLater,
}

#[derive(Clone, Debug)]
enum Step {
    Plan(Vec<ConfigChange>, usize),
    Start(usize),
    Run(usize, Vec<CallResult>),
    DeliverLate,
}

fn step() -> impl Strategy<Value = Step> {
    let call_result = prop_oneof![
        6 => Just(CallResult::Served),
        2 => (1_usize..5, any::<u8>()).prop_map(|(lag, mask)| CallResult::OutdatedRead(lag, mask)),
        1 => Just(CallResult::Unavailable),
        2 => Just(CallResult::AnswerLost),
        1 => Just(CallResult::TakesEffectLater),
    ];
    prop_oneof![
        2 => (vec(change(), 1..4), 0_usize..2).prop_map(|(changes, lag)| Step::Plan(changes, lag)),
        2 => any::<usize>().prop_map(Step::Start),
        6 => (any::<usize>(), vec(call_result, 1..5)).prop_map(|(machine, results)| Step::Run(machine, results)),
        1 => Just(Step::DeliverLate),
    ]
}

struct Confirm {
    plan: PlanId,
    machine: ConfirmMachine,
    action: ConfirmAction,
}

#[derive(Default)]
struct World {
    table: FakeTable,
    plans: Vec<Plan>,
    confirms: Vec<Confirm>,
    late: Vec<Transaction>,
    results: Vec<(PlanId, PlanOutcome)>,
}

impl World {
    /// Makes and stores a plan, reading as of `lag` commits ago.
    fn plan(&mut self, changes: Vec<ConfigChange>, lag: usize) -> Result<Plan, PlanError> {
        let note = String::new();
        let mut builder = PlanBuilder::new(Intent { changes, note })?;
        loop {
            let missing = builder.missing_rows()?;
            if missing.is_empty() {
                break;
            }
            builder.supply(self.table.read(missing, lag, u8::MAX));
        }
        let id: PlanId = format!("p{}", self.plans.len()).parse().unwrap();
        let plan = builder.build(id.clone(), "ada".parse().unwrap(), 1)?;
        self.table.commit(&Transaction {
            conditions: vec![Condition::Absent(plan_key(&id))],
            mutations: vec![Mutation::Put(plan_key(&id), json!(plan))],
        });
        self.plans.push(plan.clone());
        Ok(plan)
    }

    fn start(&mut self, plan: &PlanId) {
        let operator = "ben".parse().unwrap();
        let machine = ConfirmMachine::new(plan.clone(), operator, 2, 3);
        self.confirms.push(Confirm {
            plan: plan.clone(),
            action: machine.start(),
            machine,
        });
    }

    fn run(&mut self, index: usize, call_result: CallResult) {
        let confirm = &mut self.confirms[index];
        let unavailable = || PlatformError::Unavailable {
            detail: String::new(),
        };
        let lost = || PlatformError::AnswerLost {
            detail: String::new(),
        };
        let event = match (confirm.action.clone(), call_result) {
            (ConfirmAction::Read(_), CallResult::Unavailable | CallResult::AnswerLost) => {
                ConfirmEvent::ReadFailed
            }
            (ConfirmAction::Read(keys), CallResult::OutdatedRead(lag, mask)) => {
                ConfirmEvent::Rows(self.table.read(keys, lag, mask))
            }
            (ConfirmAction::Read(keys), _) => ConfirmEvent::Rows(self.table.read(keys, 0, 0)),
            (ConfirmAction::Commit(_), CallResult::Unavailable) => {
                ConfirmEvent::Commit(Err(unavailable()))
            }
            (ConfirmAction::Commit(transaction), CallResult::TakesEffectLater) => {
                self.late.push(transaction);
                ConfirmEvent::Commit(Err(lost()))
            }
            (ConfirmAction::Commit(transaction), call_result) => {
                let outcome = self.table.commit(&transaction);
                let is_lost = matches!(call_result, CallResult::AnswerLost);
                ConfirmEvent::Commit(if is_lost { Err(lost()) } else { Ok(outcome) })
            }
            (ConfirmAction::Wait(_), _) => ConfirmEvent::WaitOver,
            (ConfirmAction::Finish(_), _) => return,
        };
        confirm.action = confirm.machine.handle(event);
        if let ConfirmAction::Finish(ConfirmResult::Decided(outcome)) = &confirm.action {
            self.results.push((confirm.plan.clone(), outcome.clone()));
        }
    }

    /// Confirms a plan without faults and returns its outcome.
    fn outcome(&mut self, plan: &PlanId) -> PlanOutcome {
        self.start(plan);
        let index = self.confirms.len() - 1;
        while !matches!(self.confirms[index].action, ConfirmAction::Finish(_)) {
            self.run(index, CallResult::Served);
        }
        match &self.confirms[index].action {
            ConfirmAction::Finish(ConfirmResult::Decided(outcome)) => outcome.clone(),
            action => panic!("a confirm without faults ended in {action:?}"),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            // An intent that leads to no plan changes nothing.
            Step::Plan(changes, lag) => drop(self.plan(changes, lag)),
            Step::Start(number) if !self.plans.is_empty() => {
                let plan = self.plans[number % self.plans.len()].id.clone();
                self.start(&plan);
            }
            Step::Run(number, call_results) if !self.confirms.is_empty() => {
                let index = number % self.confirms.len();
                call_results
                    .into_iter()
                    .for_each(|call_result| self.run(index, call_result));
            }
            Step::DeliverLate if !self.late.is_empty() => {
                let transaction = self.late.remove(0);
                self.table.commit(&transaction);
            }
            _ => {}
        }
    }

    fn finish(&mut self) -> Result<Vec<(Plan, PlanOutcome)>, TestCaseError> {
        for index in 0..self.confirms.len() {
            while !matches!(self.confirms[index].action, ConfirmAction::Finish(_)) {
                self.run(index, CallResult::Served);
            }
        }
        let mut outcomes = Vec::new();
        for plan in self.plans.clone() {
            outcomes.push((plan.clone(), self.outcome(&plan.id)));
        }
        // Transactions that arrive after all plans are decided must change nothing.
        for transaction in std::mem::take(&mut self.late) {
            self.table.commit(&transaction);
        }
        for (plan, outcome) in &self.results {
            let row: Option<PlanOutcome> = self.table.row(outcome_key(plan));
            prop_assert_eq!(row.as_ref(), Some(outcome), "two outcomes of {}", plan);
        }
        Ok(outcomes)
    }

    /// Replays the accepted plans and compares each with what it was made from.
    fn check_replay(&self, outcomes: &[(Plan, PlanOutcome)]) -> Result<(), TestCaseError> {
        let head = self.table.row::<HeadRow>(head_key()).unwrap_or_default();
        let mut accepted: Vec<(Revision, &Plan)> = outcomes
            .iter()
            .filter_map(|(plan, outcome)| match outcome {
                PlanOutcome::Accepted(stamp) => Some((stamp.revision, plan)),
                PlanOutcome::Refused(_) => None,
            })
            .collect();
        accepted.sort_by_key(|(revision, _)| *revision);
        prop_assert_eq!(accepted.len() as u64, head.revision.0);
        let mut config = FleetConfig::default();
        let mut usages = UsageMap::new();
        for (revision, plan) in accepted {
            for entry in &plan.entries {
                let held = held_object(&config, &entry.object);
                prop_assert_eq!(
                    &held,
                    &entry.before,
                    "an update of {} is lost",
                    entry.object
                );
                apply_usage(&mut usages, entry.before.as_ref(), &entry.after);
            }
            let delta: Option<ConfigDelta> = self.table.row(delta_key(revision));
            prop_assert!(
                config
                    .apply(&delta.expect("each revision has a delta"))
                    .is_ok()
            );
            let audit: Option<AuditRow> = self.table.row(audit_key(revision));
            prop_assert_eq!(audit.map(|audit| audit.stamp.plan), Some(plan.id.clone()));
        }
        self.check_rows(&config, &usages)
    }

    fn check_rows(&self, config: &FleetConfig, usages: &UsageMap) -> Result<(), TestCaseError> {
        for row in self.table.rows("object/") {
            let row: ObjectRow = serde_json::from_value(row.value).unwrap();
            let object = ObjectKey::from(&row.change);
            let held = held_object(config, &object).unwrap_or_else(|| object.removal());
            prop_assert_eq!(held, row.change);
        }
        for (key, usage) in usages {
            let row: UsageRow = self.table.row(key.row_key()).unwrap_or_default();
            let sets = |row: &UsageRow| (row.granted_keys.clone(), row.withdrawn_keys.clone());
            prop_assert_eq!(sets(&row), sets(usage));
            prop_assert_eq!(row.active_targets, usage.active_targets);
            prop_assert!(row.exists || !row.has_dependants() || matches!(key, UsageKey::Prefix(_)));
            prop_assert!(row.routes <= 1 || !matches!(key, UsageKey::Prefix(_)));
        }
        Ok(())
    }
}

fn held_object(config: &FleetConfig, object: &ObjectKey) -> Option<ConfigChange> {
    match object {
        ObjectKey::Customer(id) => config
            .customers
            .get(id)
            .cloned()
            .map(ConfigChange::PutCustomer),
        ObjectKey::Key(digest) => {
            let mut grants = config.keys.iter();
            let grant = grants.find(|grant| grant.digest == *digest);
            grant.map(ConfigChange::PutKey)
        }
        ObjectKey::Route(id) => config.routes.get(id).cloned().map(ConfigChange::PutRoute),
        ObjectKey::Service(id) => config
            .services
            .get(id)
            .cloned()
            .map(ConfigChange::PutService),
        ObjectKey::Target(id) => config.targets.get(id).cloned().map(ConfigChange::PutTarget),
    }
}

/// Guards against lost updates and against plans with two outcomes, when confirms race, reads are
/// outdated and answers of writes are lost or late.
#[test]
fn racing_confirms_have_one_outcome_each_and_lose_no_update() {
    let mut runner = seeded_runner(60);
    let result = runner.run(&vec(step(), 6..24), |steps| {
        let mut world = World::default();
        world
            .plan(vec![service(0, 0), service(1, 0), customer(0, 1)], 0)
            .unwrap();
        steps.into_iter().for_each(|step| world.apply(step));
        let outcomes = world.finish()?;
        world.check_replay(&outcomes)
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against a plan that overwrites a change which its operator has not seen. A plan for
/// another object must not be refused.
#[test]
fn a_stale_plan_is_refused_with_the_change_that_came_first() {
    let mut world = World::default();
    let first = world.plan(vec![customer(0, 1)], 0).unwrap().id;
    let second = world.plan(vec![customer(0, 2)], 0).unwrap().id;
    let other = world.plan(vec![customer(1, 1)], 0).unwrap().id;
    assert!(matches!(world.outcome(&first), PlanOutcome::Accepted(_)));
    let PlanOutcome::Refused(PlanRefusal::Stale(stale)) = world.outcome(&second) else {
        panic!("a plan for a changed object is stale");
    };
    let stamp = stale[0].changed_by.clone().expect("the change is named");
    assert_eq!((stamp.plan, stamp.revision), (first, Revision(1)));
    // A plan for another object is not stale although the head has advanced.
    assert!(matches!(world.outcome(&other), PlanOutcome::Accepted(_)));
}

/// Guards against two plans that are harmless alone but bring a service below its floor together.
#[test]
fn two_drains_below_the_floor_are_not_both_accepted_without_a_warning() {
    let mut world = World::default();
    let mut setup = vec![service(0, 2)];
    setup.extend((0..3).map(|id| target(id, 0, TargetState::Active)));
    let setup = world.plan(setup, 0).unwrap().id;
    world.outcome(&setup);
    let drain = |id| vec![target(id, 0, TargetState::Leaving)];
    let plans = [0, 1].map(|id| world.plan(drain(id), 0).unwrap());
    let is_floor = |warning: &PlanWarning| matches!(warning, PlanWarning::FloorUnreachable { .. });
    assert!(!plans.iter().any(|plan| plan.warnings.iter().any(is_floor)));
    assert!(matches!(
        world.outcome(&plans[0].id),
        PlanOutcome::Accepted(_)
    ));
    match world.outcome(&plans[1].id) {
        PlanOutcome::Refused(PlanRefusal::NewWarnings(new)) => assert!(new.iter().any(is_floor)),
        outcome => panic!("the second drain ended in {outcome:?}"),
    }
    assert!(
        world
            .plan(drain(1), 0)
            .unwrap()
            .warnings
            .iter()
            .any(is_floor)
    );
}

/// Guards against a lost count: the confirm reads the current head, but a target count from before
/// another change.
#[test]
fn outdated_counts_are_read_again() {
    let mut world = World::default();
    let setup = world.plan(vec![service(0, 1)], 0).unwrap().id;
    world.outcome(&setup);
    let add = |id| vec![target(id, 0, TargetState::Active)];
    let [first, second] = [0, 1].map(|id| world.plan(add(id), 0).unwrap().id);
    world.outcome(&first);
    world.start(&second);
    let index = world.confirms.len() - 1;
    world.run(index, CallResult::Served);
    // The read of the head is current, that of the service's target count is outdated.
    world.run(index, CallResult::OutdatedRead(1, 0b1111_1100));
    world.run(index, CallResult::Served);
    assert!(matches!(world.outcome(&second), PlanOutcome::Accepted(_)));
    let usage = UsageKey::Service("s0".parse().unwrap());
    let usage: UsageRow = world.table.row(usage.row_key()).unwrap();
    assert_eq!((usage.targets, usage.active_targets), (2, 2));
}

/// Guards against keys that outlive their customer and would work again for a later customer of the
/// same name.
#[test]
fn removing_a_customer_removes_its_keys() {
    let mut world = World::default();
    let setup = vec![customer(0, 1), key(0, 0, KeyState::Granted)];
    let setup = world.plan(setup, 0).unwrap().id;
    world.outcome(&setup);
    let removal = ObjectKey::from(&customer(0, 1)).removal();
    let plan = world.plan(vec![removal], 0).unwrap();
    assert_eq!(plan.entries.len(), 2);
    assert!(matches!(
        plan.warnings[..],
        [PlanWarning::KeysStop { keys: 1, .. }]
    ));
    // A key that is granted meanwhile must not outlive the customer.
    let late = world
        .plan(vec![key(1, 0, KeyState::Granted)], 0)
        .unwrap()
        .id;
    assert!(matches!(world.outcome(&plan.id), PlanOutcome::Accepted(_)));
    let refused = world.outcome(&late);
    assert!(matches!(
        refused,
        PlanOutcome::Refused(PlanRefusal::Inconsistent(
            IntegrityError::ParentMissing { .. }
        ))
    ));
    assert_eq!(
        world
            .plan(vec![target(0, 7, TargetState::Active)], 0)
            .map(|plan| plan.id),
        Err(PlanError::Inconsistent {
            source: IntegrityError::ParentMissing {
                parent: UsageKey::Service("s7".parse().unwrap())
            }
        })
    );
    let row: Option<ObjectRow> = world
        .table
        .row(object_row_key(&ObjectKey::from(&customer(0, 1))));
    assert!(row.is_some(), "the row of the removal is kept");
}
