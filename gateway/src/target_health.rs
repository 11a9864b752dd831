//! Which targets this node gives work to, by what it has seen of them.

use std::sync::Mutex;

use damaskloom_lib::config::Target;
use damaskloom_lib::ids::TargetId;
use damaskloom_lib::time::MonoTime;
use indexmap::IndexMap;
use std::time::Duration;

/// The errors in a row after which a target is ejected.
const EJECTING_ERRORS: u32 = 5;
/// The time for which a target stays ejected.
const EJECTION_MS: u64 = 5_000;

#[derive(Debug, Default)]
struct TargetRecord {
    errors_in_row: u32,
    ejected_until: Option<MonoTime>,
}

/// Ejects targets after errors in a row, while the service's floor allows it.
#[derive(Debug, Default)]
pub struct TargetHealth {
    records: Mutex<IndexMap<TargetId, TargetRecord>>,
}

impl TargetHealth {
    /// Notes how an attempt at a target ended.
    pub fn note(&self, now: MonoTime, target: &Target, good: bool, others: &[Target], floor: u32) {
        let mut records = self
            .records
            .lock()
            .expect("no holder of the health lock panics");
        let ejected = others
            .iter()
            .filter(|other| is_ejected(&records, now, &other.id))
            .count();
        let spare = others.len().saturating_sub(ejected + floor as usize);
        let record = records.entry(target.id.clone()).or_default();
        record.errors_in_row = if good { 0 } else { record.errors_in_row + 1 };
        let already = record.ejected_until.is_some_and(|until| now < until);
        if record.errors_in_row >= EJECTING_ERRORS && !already && spare > 0 {
            record.ejected_until = Some(now + Duration::from_millis(EJECTION_MS));
            record.errors_in_row = 0;
            tracing::info!(target_id = %target.id, service = %target.service, "target ejected");
        }
    }

    /// Says whether the target is ejected.
    pub fn is_ejected(&self, now: MonoTime, target: &TargetId) -> bool {
        let records = self
            .records
            .lock()
            .expect("no holder of the health lock panics");
        is_ejected(&records, now, target)
    }
}

fn is_ejected(
    records: &IndexMap<TargetId, TargetRecord>,
    now: MonoTime,
    target: &TargetId,
) -> bool {
    records
        .get(target)
        .and_then(|record| record.ejected_until)
        .is_some_and(|until| now < until)
}
