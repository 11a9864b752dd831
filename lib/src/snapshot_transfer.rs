//! Transfers a whole configuration in bounded parts while it changes.
//!
//! The sender keeps no state and no copy for a transfer: each part is read from the configuration
//! as it is at that time. Parts run from the last object of a kind to the first. The removal of an
//! object moves the last one into its place, which is either among the objects still to be sent or
//! among those already sent, so that no unchanged object is missed. The deltas between the lowest
//! and the highest revision of the parts then correct the objects that changed meanwhile. See
//! [docs/design/distribution.md](../../docs/design/distribution.md).

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::config::{ApplyError, ConfigChange, ConfigDelta, FleetConfig};
use crate::ids::Revision;
use crate::key_table::KeyTable;

/// A kind of objects; the kinds are transferred in this order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotSection {
    /// The services.
    #[default]
    Services,
    /// The targets.
    Targets,
    /// The routes.
    Routes,
    /// The customers.
    Customers,
    /// The keys.
    Keys,
}

impl SnapshotSection {
    const fn next(self) -> Option<Self> {
        match self {
            Self::Services => Some(Self::Targets),
            Self::Targets => Some(Self::Routes),
            Self::Routes => Some(Self::Customers),
            Self::Customers => Some(Self::Keys),
            Self::Keys => None,
        }
    }
}

/// Where a part starts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct SnapshotCursor {
    /// The kind of objects.
    pub section: SnapshotSection,
    /// The number of objects of the kind that are still to be sent.
    pub remaining: usize,
}

impl SnapshotCursor {
    /// The start of a transfer.
    pub const START: Self = Self::section_start(SnapshotSection::Services);

    const fn section_start(section: SnapshotSection) -> Self {
        Self {
            section,
            remaining: usize::MAX,
        }
    }
}

/// A part of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPart {
    /// The revision that the part was read at.
    pub revision: Revision,
    /// The objects, each as the change that writes it.
    pub changes: Vec<ConfigChange>,
    /// Where the next part starts; none after the last part.
    pub next: Option<SnapshotCursor>,
}

/// Reads the part of a configuration that starts at `cursor` and ends with the object that reaches
/// `part_bytes` of JSON; the part holds at least one object if there is one.
pub fn read_part(config: &FleetConfig, cursor: SnapshotCursor, part_bytes: usize) -> ConfigPart {
    let mut builder = PartBuilder {
        changes: Vec::new(),
        remaining_bytes: part_bytes.max(1),
    };
    let mut next = Some(cursor);
    while let Some(at) = next
        && builder.remaining_bytes > 0
    {
        let remaining = match at.section {
            SnapshotSection::Services => {
                builder.add_objects(&config.services, at, ConfigChange::PutService)
            }
            SnapshotSection::Targets => {
                builder.add_objects(&config.targets, at, ConfigChange::PutTarget)
            }
            SnapshotSection::Routes => {
                builder.add_objects(&config.routes, at, ConfigChange::PutRoute)
            }
            SnapshotSection::Customers => {
                builder.add_objects(&config.customers, at, ConfigChange::PutCustomer)
            }
            SnapshotSection::Keys => builder.add_keys(&config.keys, at),
        };
        next = match remaining {
            0 => at.section.next().map(SnapshotCursor::section_start),
            remaining => Some(SnapshotCursor { remaining, ..at }),
        };
    }
    ConfigPart {
        revision: config.revision,
        changes: builder.changes,
        next,
    }
}

/// Collects the changes of a part up to its size.
#[derive(Debug)]
struct PartBuilder {
    changes: Vec<ConfigChange>,
    remaining_bytes: usize,
}

impl PartBuilder {
    /// Adds objects from the cursor downwards until the part is full; returns how many remain.
    fn add_objects<K, V: Clone>(
        &mut self,
        objects: &IndexMap<K, V>,
        cursor: SnapshotCursor,
        to_change: impl Fn(V) -> ConfigChange,
    ) -> usize {
        self.fill(cursor.remaining.min(objects.len()), |index| {
            let (_, object) = objects.get_index(index)?;
            Some(to_change(object.clone()))
        })
    }

    fn add_keys(&mut self, keys: &KeyTable, cursor: SnapshotCursor) -> usize {
        self.fill(cursor.remaining.min(keys.len()), |index| {
            keys.grant_at(index).map(ConfigChange::PutKey)
        })
    }

    fn fill(
        &mut self,
        mut remaining: usize,
        change_at: impl Fn(usize) -> Option<ConfigChange>,
    ) -> usize {
        while remaining > 0 && self.remaining_bytes > 0 {
            remaining -= 1;
            if let Some(change) = change_at(remaining) {
                let bytes = serde_json::to_vec(&change).map_or(0, |json| json.len());
                self.remaining_bytes = self.remaining_bytes.saturating_sub(bytes);
                self.changes.push(change);
            }
        }
        remaining
    }
}

/// Builds a configuration from parts that were read at different revisions.
#[derive(Clone, Debug, Default)]
pub struct ConfigAssembly {
    config: FleetConfig,
    oldest: Option<Revision>,
    newest: Revision,
    is_whole: bool,
}

impl ConfigAssembly {
    /// Adds the next part.
    pub fn add_part(&mut self, revision: Revision, changes: &[ConfigChange], is_last: bool) {
        self.config.put_objects(changes);
        self.oldest = Some(self.oldest.map_or(revision, |oldest| oldest.min(revision)));
        self.newest = self.newest.max(revision);
        self.is_whole = is_last;
        if let Some(oldest) = self.oldest.filter(|_| is_last) {
            self.config.revision = oldest;
        }
    }

    /// Returns the revision after which deltas are missing; none while parts are missing and once
    /// the configuration is consistent.
    pub fn missing_after(&self) -> Option<Revision> {
        (self.is_whole && self.config.revision < self.newest).then_some(self.config.revision)
    }

    /// Applies a delta after the last part; skips old ones.
    ///
    /// # Errors
    ///
    /// Fails if the delta leaves a gap.
    pub fn apply(&mut self, delta: &ConfigDelta) -> Result<(), ApplyError> {
        if delta.revision <= self.config.revision {
            return Ok(());
        }
        self.config.apply(delta)
    }

    /// Returns whether the configuration equals that of a single revision.
    pub const fn is_consistent(&self) -> bool {
        self.is_whole && self.config.revision.0 >= self.newest.0
    }

    /// Returns the configuration; it is consistent only if [`Self::is_consistent`] returns true.
    pub fn into_config(self) -> FleetConfig {
        self.config
    }
}
