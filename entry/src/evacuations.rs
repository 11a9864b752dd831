//! Applies the operators' evacuations of data centres; see
//! [docs/design/evacuation.md](../../docs/design/evacuation.md).

use std::time::Duration;

use damaskloom_lib::evacuation::{EvacuationChange, EvacuationRow};
use damaskloom_lib::ids::{DataCentreId, TargetId};
use damaskloom_lib::table_mirror::MirrorRow;
use damaskloom_platform::store_client::EVACUATION_ROW_PREFIX;

use crate::entry_state::EntryState;

impl EntryState {
    /// Applies the changed rows of the operators' table that ask for evacuations. The value of a row does
    /// not matter.
    pub fn apply_evacuation_rows(&self, changed_rows: &[MirrorRow]) {
        let now = self.clock.now();
        for row in changed_rows {
            let Some(name) = row.key.strip_prefix(EVACUATION_ROW_PREFIX) else {
                continue;
            };
            let data_centre = match name.parse::<DataCentreId>() {
                Ok(data_centre) => data_centre,
                Err(error) => {
                    if row.value.is_some() {
                        tracing::warn!(row = %row.key, %error, "evacuation of no valid data centre ignored");
                    }
                    continue;
                }
            };
            let row = EvacuationRow {
                data_centre,
                exists: row.value.is_some(),
                version: row.version,
            };
            let change = self.evacuations.borrow_mut().apply(now, &row);
            if let Some(change) = change {
                self.apply_evacuation_change(&change);
            }
        }
        self.check_evacuated_names();
    }

    /// Ends the evacuations whose lost rows were not written again, and warns of unknown names.
    pub fn update_evacuations(&self) {
        let now = self.clock.now();
        let ended = self.evacuations.borrow_mut().tick(now);
        for change in &ended {
            self.apply_evacuation_change(change);
        }
        self.check_evacuated_names();
    }

    /// Returns the time until an evacuation ends by itself; none if none does.
    pub fn evacuation_time_left(&self) -> Option<Duration> {
        let next_end = self.evacuations.borrow().next_end()?;
        Some(next_end.since(self.clock.now()))
    }

    /// Returns whether a target gets no requests since its data centre is evacuated.
    pub fn is_evacuated(&self, target: &TargetId) -> bool {
        let evacuations = self.evacuations.borrow();
        if evacuations.is_empty() {
            return false;
        }
        let catalog = self.catalog.borrow();
        let known = catalog.get(target);
        known.is_some_and(|known| evacuations.contains(&known.announcement.data_centre))
    }

    /// Records the metrics of the evacuations.
    pub fn record_evacuation_gauges(&self) {
        let evacuations = self.evacuations.borrow();
        let versions = evacuations
            .iter()
            .map(|(id, evacuation)| (id.as_str(), evacuation.version().version()));
        self.meters.record_evacuations(versions);
    }

    fn apply_evacuation_change(&self, change: &EvacuationChange) {
        match change {
            EvacuationChange::Began {
                data_centre,
                version,
            } => {
                tracing::info!(
                    %data_centre,
                    version = version.version(),
                    era = version.era(),
                    targets = self.count_targets(data_centre),
                    known_ms = self.routing_copy.ended_lag_ms(),
                    "data centre evacuated"
                );
            }
            EvacuationChange::RowLost {
                data_centre,
                version,
                left,
            } => {
                tracing::warn!(
                    %data_centre,
                    version = version.version(),
                    era = version.era(),
                    left_ms = left.as_millis() as u64,
                    "row of an evacuation lost in a restore of the store"
                );
            }
            EvacuationChange::Ended {
                data_centre,
                version,
                duration,
            } => {
                tracing::info!(
                    %data_centre,
                    version = version.version(),
                    era = version.era(),
                    targets = self.count_targets(data_centre),
                    duration_ms = duration.as_millis() as u64,
                    "evacuation ended"
                );
                self.expect_cold_targets(data_centre);
            }
        }
    }

    fn count_targets(&self, data_centre: &DataCentreId) -> usize {
        let catalog = self.catalog.borrow();
        let targets = catalog.iter();
        targets
            .filter(|(_, target)| target.announcement.data_centre == *data_centre)
            .count()
    }

    /// Warns of evacuated names that nothing has. The targets must be known first, since they may be in a
    /// data centre that the settings do not name.
    fn check_evacuated_names(&self) {
        if !self.targets_known.get() {
            return;
        }
        let settings = self.settings();
        let is_known = |id: &DataCentreId| {
            settings.data_centres.contains_key(id) || self.count_targets(id) > 0
        };
        let unknown = self.evacuations.borrow_mut().take_unknown(is_known);
        for (data_centre, version) in unknown {
            tracing::warn!(
                %data_centre,
                version = version.version(),
                "evacuation of an unknown data centre"
            );
        }
    }
}
