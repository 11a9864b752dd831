//! The settings of an entry process: JSON with comments.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use crate::body_budget::default_held_body_bytes;
use crate::table_copy::TableKind;
use damaskloom_gateway::settings::{BadFieldSnafu, SettingsError, parse_document, read_document};
use damaskloom_lib::entry_nodes::node_capacity;
use damaskloom_lib::fleet_rate::RateTolerance;
use damaskloom_lib::ids::{DataCentreId, VmId};
use damaskloom_lib::repeat_budget::{RepeatOrder, RepeatTerms};
use damaskloom_lib::target_warmups::WarmupBound;
use indexmap::IndexMap;
use serde::Deserialize;
use snafu::ensure;

/// The VM's capacity.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct MachineSize {
    /// The fraction of a core that the process may use.
    pub cpu_share: f64,
    /// The speed of the core, relative to a typical one.
    pub cpu_cores: f64,
    /// The bandwidth of the VM's link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// The memory for request bodies that are held until the request is over, in megabytes; derived from
    /// the VM's memory if there is none.
    #[serde(default)]
    pub held_bodies_mb: Option<f64>,
}

/// The bandwidth of a VM's link if the settings do not state it, in megabits per second.
const fn default_link_mbps() -> f64 {
    1_000.0
}

impl MachineSize {
    /// Returns the CPU capacity, in thousandths of a core.
    pub fn cpu_millicores(&self) -> u32 {
        (self.cpu_share * self.cpu_cores * 1_000.0) as u32
    }

    /// Returns how many bytes of request bodies may be held.
    pub fn max_held_body_bytes(&self) -> usize {
        match self.held_bodies_mb {
            Some(held_mb) => (held_mb * 1_000_000.0) as usize,
            None => default_held_body_bytes(),
        }
    }

    /// Returns the capacity for requests, in thousandths of a core.
    pub fn capacity_millicores(&self) -> u32 {
        node_capacity(self.cpu_millicores(), self.link_mbps)
    }
}

/// The limits that the fleet must keep.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct FleetBounds {
    /// The time between SIGTERM and SIGKILL, in seconds.
    pub stop_grace_s: f64,
    /// The maximum time for which callers may cache a directory answer, in seconds.
    pub max_directory_lifetime_s: f64,
    /// The time within which a configuration must be in force on every node, in seconds.
    pub routing_apply_s: f64,
    /// The number of retries allowed per request, over the whole fleet.
    pub repeat_ratio: f64,
    /// The number of further retries allowed in a window, over the whole fleet.
    pub repeat_slack: f64,
    /// The window of the retry budget, in seconds.
    pub repeat_window_s: f64,
    /// The window over which customers' rates are counted, in seconds.
    pub rate_window_s: f64,
    /// The fraction of a customer's limit by which it may be exceeded in a window.
    pub rate_excess: f64,
    /// The number of further requests of a customer that are tolerated in a window.
    pub rate_slack: f64,
    /// The interval at which targets renew their announcements in the store, in seconds.
    #[serde(default = "default_announcement_interval_s")]
    pub announcement_interval_s: f64,
    /// The time for which a target serves after it has left, in seconds; that for applying a configuration
    /// if there is none.
    #[serde(default)]
    pub target_drain_s: Option<f64>,
    /// The share of a service's targets that get requests while the service loses some, from 0 to 1.
    #[serde(default = "default_min_target_share")]
    pub min_target_share: f64,
    /// The factor by which the rate of a cold target may be exceeded in any one second.
    #[serde(default = "default_warmup_excess")]
    pub warmup_excess: f64,
    /// The number of further requests that a cold target stands in any one second.
    #[serde(default = "default_warmup_slack")]
    pub warmup_slack: f64,
}

/// The factor by which the rate of a cold target may be exceeded unless it is set: a conservative one, since
/// targets crash above what they stand.
const fn default_warmup_excess() -> f64 {
    1.0
}

/// The number of further requests that a cold target stands unless it is set.
const fn default_warmup_slack() -> f64 {
    4.0
}

/// The share of a service's targets that get requests while the service loses some, unless it is set.
const fn default_min_target_share() -> f64 {
    1.0
}

/// The interval at which targets renew their announcements unless it is set, in seconds: a short one,
/// since targets are lost if an outage counts for too little.
const fn default_announcement_interval_s() -> f64 {
    1.0
}

/// What the operators pay for, as far as decisions depend on it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct RequestCosts {
    /// The cost of 1,000 bytes between data centres, as a fraction of a typical request's value.
    pub crossing_per_kb: f64,
}

impl Default for RequestCosts {
    fn default() -> Self {
        Self {
            crossing_per_kb: 0.012,
        }
    }
}

/// The fraction of the time for applying a configuration after which a node without it refuses
/// requests; the rest is for the announcement to arrive.
const MAX_ROUTING_LAG_RATIO: f64 = 0.8;
/// The fraction of [`FleetBounds::target_drain`] for which a node sends unsafe requests as before while announced
/// rows of targets are missing; the rest is for the announcement and for requests on their way.
const MAX_TARGETS_LAG_RATIO: f64 = 0.5;
/// The fraction of the time in which a change must take effect for which a node waits for announced rows before it
/// reads the store itself: peers of two ranks were asked by then.
const PEER_DELIVERY_RATIO: f64 = 0.25;

impl FleetBounds {
    /// Returns for how long a node may use its routing once it knows of a newer one.
    pub fn max_routing_lag(&self) -> Duration {
        Duration::from_secs_f64(self.routing_apply_s * MAX_ROUTING_LAG_RATIO)
    }

    /// Returns the time for which a target serves after it has left.
    pub fn target_drain(&self) -> Duration {
        Duration::from_secs_f64(self.target_drain_s.unwrap_or(self.routing_apply_s))
    }

    /// Returns for how long a node may use its targets for unsafe requests once it knows of missing rows.
    pub fn max_targets_lag(&self) -> Duration {
        self.target_drain().mul_f64(MAX_TARGETS_LAG_RATIO)
    }

    /// Returns the time in which a change of a table must take effect.
    pub fn apply_time(&self, kind: TableKind) -> Duration {
        match kind {
            TableKind::Routing => Duration::from_secs_f64(self.routing_apply_s),
            TableKind::Targets => self.target_drain(),
        }
    }

    /// Returns for how long a node waits for announced rows of a table before it reads the store itself.
    pub fn peer_delivery_time(&self, kind: TableKind) -> Duration {
        self.apply_time(kind).mul_f64(PEER_DELIVERY_RATIO)
    }

    /// Returns the interval at which targets renew their announcements in the store.
    pub fn announcement_interval(&self) -> Duration {
        Duration::from_secs_f64(self.announcement_interval_s)
    }

    /// Returns the tolerated excess over a customer's limit.
    pub fn rate_tolerance(&self) -> RateTolerance {
        RateTolerance {
            window: Duration::from_secs_f64(self.rate_window_s),
            excess: self.rate_excess,
            slack: self.rate_slack,
        }
    }

    /// Returns what cold targets stand.
    pub const fn warmup_bound(&self) -> WarmupBound {
        WarmupBound {
            excess: self.warmup_excess,
            slack: self.warmup_slack,
        }
    }

    /// Returns the limits of the retry budget.
    pub fn repeat_terms(&self, order: RepeatOrder) -> RepeatTerms {
        RepeatTerms {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_secs_f64(self.repeat_window_s),
            order,
        }
    }
}

/// Who is served when a service has too little room.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct AdmissionRules {
    /// Whether less urgent requests, and those that would be late, are refused before they are sent, and repeats go to
    /// requests of more value.
    #[serde(default)]
    pub by_rank: bool,
}

impl AdmissionRules {
    /// Returns which requests get the repeats of a service.
    pub const fn repeat_order(&self) -> RepeatOrder {
        if self.by_rank {
            RepeatOrder::ByValue
        } else {
            RepeatOrder::FirstCome
        }
    }
}

/// The checked settings of an entry process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct EntrySettings {
    /// The VM's name.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentreId,
    /// All data centres, each with its region.
    pub data_centres: IndexMap<DataCentreId, String>,
    /// The VM's address.
    pub ip: IpAddr,
    /// The address for callers.
    pub caller_listen: SocketAddr,
    /// The address for the platform's readiness checks.
    pub ready_listen: SocketAddr,
    /// The address of the directory, from which callers learn where to connect.
    pub directory_listen: SocketAddr,
    /// The port for other nodes, the same on all VMs, over TCP and UDP.
    pub peer_port: u16,
    /// The port of the metrics.
    pub metrics_port: u16,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address that connections to targets come from, on a VM with several; the system chooses it
    /// if there is none. Read at the start only.
    #[serde(default)]
    pub target_source: Option<IpAddr>,
    /// Whether the whole fleet starts for the first time, so that no node has registered yet.
    #[serde(default)]
    pub first_start: bool,
    /// The VM's capacity.
    pub machine: MachineSize,
    /// The limits that the fleet must keep.
    pub bounds: FleetBounds,
    /// What the operators pay for.
    #[serde(default)]
    pub costs: RequestCosts,
    /// Who is served when a service has too little room.
    #[serde(default)]
    pub admission: AdmissionRules,
}

impl EntrySettings {
    /// Returns the limits of the retry budget.
    pub fn repeat_terms(&self) -> RepeatTerms {
        self.bounds.repeat_terms(self.admission.repeat_order())
    }
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The error names the file and, where known, the line, the field and what was expected.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        Self::parse(read_document(path)?, path)
    }

    /// Checks the text of a settings file; `path` is used in errors only.
    ///
    /// # Errors
    ///
    /// See [`EntrySettings::load`].
    pub fn parse(text: impl Into<String>, path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let settings: Self = parse_document(text, path)?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let bad = |field, expected| BadFieldSnafu {
            path,
            field,
            expected,
        };
        ensure!(
            self.data_centres.contains_key(&self.data_centre),
            bad("data_centres", "the node's own data centre among them")
        );
        ensure!(
            self.machine.cpu_millicores() > 0,
            bad("machine", "a positive `cpu_share` and `cpu_cores`")
        );
        ensure!(
            self.machine.link_mbps > 0.0,
            bad("machine.link_mbps", "a positive number")
        );
        ensure!(
            self.machine.held_bodies_mb.unwrap_or(0.0) >= 0.0,
            bad("machine.held_bodies_mb", "no negative number")
        );
        ensure!(
            self.bounds.stop_grace_s >= 1.0,
            bad("bounds.stop_grace_s", "at least 1 second")
        );
        ensure!(
            self.bounds.max_directory_lifetime_s > 0.0,
            bad("bounds.max_directory_lifetime_s", "a positive number")
        );
        ensure!(
            self.bounds.routing_apply_s > 0.0,
            bad("bounds.routing_apply_s", "a positive number")
        );
        ensure!(
            self.bounds.announcement_interval_s > 0.0,
            bad("bounds.announcement_interval_s", "a positive number")
        );
        ensure!(
            self.bounds.target_drain_s.is_none_or(|drain| drain > 0.0),
            bad("bounds.target_drain_s", "a positive number")
        );
        ensure!(
            (0.0..=1.0).contains(&self.bounds.min_target_share),
            bad("bounds.min_target_share", "a number from 0 to 1")
        );
        ensure!(
            self.bounds.warmup_excess > 0.0,
            bad("bounds.warmup_excess", "a positive number")
        );
        ensure!(
            self.bounds.warmup_slack >= 1.0,
            bad("bounds.warmup_slack", "at least 1 request")
        );
        ensure!(
            self.costs.crossing_per_kb >= 0.0,
            bad("costs.crossing_per_kb", "no negative number")
        );
        let windows = [self.bounds.repeat_window_s, self.bounds.rate_window_s];
        let amounts = [
            self.bounds.repeat_ratio,
            self.bounds.repeat_slack,
            self.bounds.rate_excess,
            self.bounds.rate_slack,
        ];
        ensure!(
            windows.iter().all(|window| *window > 0.0)
                && amounts.iter().all(|amount| *amount >= 0.0),
            bad("bounds", "positive windows and no negative figure")
        );
        Ok(())
    }
}
