//! The data centres whose targets get no requests, since an operator evacuates them.
//!
//! An evacuation is a row of the operators' table, in force from the arrival of the row until its
//! removal. A row that is missing since the store was restored from an older copy was not removed by
//! anybody, so its evacuation is kept for a while, in which the operator can write the row again. See
//! [docs/design/evacuation.md](../../docs/design/evacuation.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::DataCentreId;
use crate::store_version::StoreVersion;
use crate::time::MonoTime;

/// How long an evacuation stays in force whose row a restored store has lost, in milliseconds: the time that
/// operators have to write the row again.
const LOST_ROW_MS: u64 = 10_000;

/// A row of the operators' table that asks for the evacuation of a data centre, or its tombstone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationRow {
    /// The data centre that the row names.
    pub data_centre: DataCentreId,
    /// Whether the row exists.
    pub exists: bool,
    /// The version at which it was written or removed.
    pub version: StoreVersion,
}

/// What a row or the time has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// The data centre is evacuated from now on.
    Began {
        /// The data centre.
        data_centre: DataCentreId,
        /// The version of its row.
        version: StoreVersion,
    },
    /// The row is missing in the restored store; the evacuation ends soon unless it is written again.
    RowLost {
        /// The data centre.
        data_centre: DataCentreId,
        /// The version of the lost row.
        version: StoreVersion,
        /// How long the evacuation stays in force.
        left: Duration,
    },
    /// The targets of the data centre get requests again.
    Ended {
        /// The data centre.
        data_centre: DataCentreId,
        /// The version of its last row.
        version: StoreVersion,
        /// How long it was evacuated.
        duration: Duration,
    },
}

/// An evacuation that is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Evacuation {
    since: MonoTime,
    version: StoreVersion,
    /// When the evacuation ends although nobody removed its row; none while the row exists.
    ends_at: Option<MonoTime>,
    is_name_checked: bool,
}

impl Evacuation {
    /// Returns the version of the row.
    pub const fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the time since which the data centre is evacuated.
    pub const fn since(&self) -> MonoTime {
        self.since
    }
}

/// The data centres that are evacuated, as one node knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    evacuated: IndexMap<DataCentreId, Evacuation>,
}

impl Evacuations {
    /// Returns whether the targets of a data centre get no requests.
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        // Most fleets evacuate nothing most of the time; the check runs for each target and request.
        !self.evacuated.is_empty() && self.evacuated.contains_key(data_centre)
    }

    /// Returns whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty()
    }

    /// Returns the number of evacuated data centres.
    pub fn len(&self) -> usize {
        self.evacuated.len()
    }

    /// Returns the evacuated data centres.
    pub fn iter(&self) -> impl Iterator<Item = (&DataCentreId, &Evacuation)> {
        self.evacuated.iter()
    }

    /// Applies a row that has changed; returns the effect, if there is one.
    pub fn apply(&mut self, now: MonoTime, row: &EvacuationRow) -> Option<EvacuationChange> {
        let data_centre = row.data_centre.clone();
        let Some(known) = self.evacuated.get_mut(&data_centre) else {
            return row.exists.then(|| self.begin(now, row));
        };
        if row.version <= known.version {
            return None;
        }
        if row.exists {
            known.version = row.version;
            known.ends_at = None;
            return None;
        }
        if !row.version.is_era_start() {
            return self.end(now, &data_centre);
        }
        if known.ends_at.is_some() {
            return None;
        }
        let left = Duration::from_millis(LOST_ROW_MS);
        known.ends_at = Some(now + left);
        Some(EvacuationChange::RowLost {
            data_centre,
            version: known.version,
            left,
        })
    }

    fn begin(&mut self, now: MonoTime, row: &EvacuationRow) -> EvacuationChange {
        let evacuation = Evacuation {
            since: now,
            version: row.version,
            ends_at: None,
            is_name_checked: false,
        };
        self.evacuated.insert(row.data_centre.clone(), evacuation);
        EvacuationChange::Began {
            data_centre: row.data_centre.clone(),
            version: row.version,
        }
    }

    fn end(&mut self, now: MonoTime, data_centre: &DataCentreId) -> Option<EvacuationChange> {
        let ended = self.evacuated.shift_remove(data_centre)?;
        Some(EvacuationChange::Ended {
            data_centre: data_centre.clone(),
            version: ended.version,
            duration: now.since(ended.since),
        })
    }

    /// Ends the evacuations whose lost rows were not written again in time.
    pub fn tick(&mut self, now: MonoTime) -> Vec<EvacuationChange> {
        let is_over = |end: &Evacuation| end.ends_at.is_some_and(|ends_at| now >= ends_at);
        let over = self.evacuated.iter().filter(|(_, known)| is_over(known));
        let over: Vec<DataCentreId> = over.map(|(id, _)| id.clone()).collect();
        over.iter().filter_map(|id| self.end(now, id)).collect()
    }

    /// Returns when the next evacuation ends by itself; none if none does.
    pub fn next_end(&self) -> Option<MonoTime> {
        self.evacuated
            .values()
            .filter_map(|known| known.ends_at)
            .min()
    }

    /// Returns the evacuated data centres that are not known, each at most once for an evacuation.
    pub fn take_unknown(
        &mut self,
        is_known: impl Fn(&DataCentreId) -> bool,
    ) -> Vec<(DataCentreId, StoreVersion)> {
        let mut unknown = Vec::new();
        for (id, evacuation) in &mut self.evacuated {
            let was_checked = std::mem::replace(&mut evacuation.is_name_checked, true);
            if !was_checked && !is_known(id) {
                unknown.push((id.clone(), evacuation.version));
            }
        }
        unknown
    }
}
