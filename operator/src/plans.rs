//! Makes, reads, lists and confirms plans.

use std::time::{SystemTime, UNIX_EPOCH};

use damaskloom_lib::confirm::{ConfirmMachine, ConfirmResult, PlanOutcome};
use damaskloom_lib::ids::{OperatorId, PlanId};
use damaskloom_lib::plan::{Intent, Plan, PlanBuilder, RowMap, parse_row};
use damaskloom_lib::platform::{RowKey, TableStore};
use damaskloom_lib::table_layout::{PLAN_PREFIX, outcome_key, plan_key};
use rand::Rng;
use snafu::OptionExt;

use crate::api_error::{ApiError, BadRowSnafu, NotFoundSnafu, UndecidedSnafu};
use crate::auth::insert_new_row;
use crate::driver::{fill_builder, read_rows, run_confirm};
use crate::wire::{ConfirmResponse, PlanList, PlanView};

/// The largest number of plans that one listing returns.
const PLAN_PAGE_SIZE: usize = 50;

/// The latest time that a plan's identifier can represent, in milliseconds since 1970.
const MAX_PLAN_UNIX_MS: u64 = (1 << 44) - 1;

/// Returns the wall-clock time in milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns an identifier that sorts before those of older plans, so that a scan lists the newest
/// first.
fn new_plan_id(unix_ms: u64) -> PlanId {
    let countdown = MAX_PLAN_UNIX_MS - unix_ms.min(MAX_PLAN_UNIX_MS);
    let random: u32 = rand::rng().random();
    format!("{countdown:011x}-{random:08x}")
        .parse()
        .expect("hexadecimal digits and a hyphen are a valid identifier")
}

/// Makes a plan from an intent and stores it.
pub(crate) async fn make_plan(
    store: &impl TableStore,
    operator: &OperatorId,
    intent: Intent,
) -> Result<PlanView, ApiError> {
    let mut builder = PlanBuilder::new(intent)?;
    fill_builder(store, &mut builder).await?;
    let now = unix_ms();
    let plan = builder.build(new_plan_id(now), operator.clone(), now)?;
    let value = serde_json::to_value(&plan).expect("plans have text keys only");
    insert_new_row(store, plan_key(&plan.id), value).await?;
    Ok(PlanView::new(&plan, None))
}

/// Confirms a plan, or returns its outcome if it has one already.
pub(crate) async fn confirm_plan(
    store: &impl TableStore,
    operator: &OperatorId,
    id: PlanId,
) -> Result<ConfirmResponse, ApiError> {
    let seed = rand::rng().random();
    let machine = ConfirmMachine::new(id.clone(), operator.clone(), unix_ms(), seed);
    match run_confirm(store, machine).await {
        ConfirmResult::Decided(outcome) => Ok(ConfirmResponse { outcome }),
        ConfirmResult::UnknownPlan => unknown_plan(&id),
        ConfirmResult::Undecided => UndecidedSnafu.fail(),
        ConfirmResult::BadRow(key) => BadRowSnafu { key }.fail(),
    }
}

fn unknown_plan<T>(id: &PlanId) -> Result<T, ApiError> {
    let what = format!("plan {id}");
    NotFoundSnafu { what }.fail()
}

/// Reads a plan and its outcome.
pub(crate) async fn read_plan(store: &impl TableStore, id: &PlanId) -> Result<PlanView, ApiError> {
    let rows = read_rows(store, vec![plan_key(id), outcome_key(id)]).await?;
    let plan: Option<Plan> = parse_row(&rows, &plan_key(id))?;
    let what = format!("plan {id}");
    let plan = plan.context(NotFoundSnafu { what })?;
    let outcome: Option<PlanOutcome> = parse_row(&rows, &outcome_key(id))?;
    Ok(PlanView::new(&plan, outcome))
}

/// Lists the newest plans.
pub(crate) async fn list_plans(store: &impl TableStore) -> Result<PlanList, ApiError> {
    let rows = store.scan(PLAN_PREFIX, None, PLAN_PAGE_SIZE).await?;
    let rows: RowMap = rows
        .into_iter()
        .map(|row| (row.key.clone(), Some(row)))
        .collect();
    let ids: Vec<PlanId> = rows.keys().filter_map(parse_plan_key).collect();
    let outcomes = read_rows(store, ids.iter().map(outcome_key).collect()).await?;
    let mut plans = Vec::new();
    for id in ids {
        let plan: Option<Plan> = parse_row(&rows, &plan_key(&id))?;
        let outcome = parse_row(&outcomes, &outcome_key(&id))?;
        plans.extend(plan.map(|plan| PlanView::new(&plan, outcome)));
    }
    Ok(PlanList { plans })
}

fn parse_plan_key(key: &RowKey) -> Option<PlanId> {
    key.0.strip_prefix(PLAN_PREFIX)?.parse().ok()
}
