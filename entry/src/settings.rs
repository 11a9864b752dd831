//! The settings of an entry process: JSON with comments.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use damaskloom_gateway::settings::{BadFieldSnafu, SettingsError, parse_document, read_document};
use damaskloom_lib::fleet_rate::RateTolerance;
use damaskloom_lib::ids::{DataCentreId, VmId};
use damaskloom_lib::repeat_budget::RepeatTerms;
use indexmap::IndexMap;
use serde::Deserialize;
use snafu::ensure;

/// What the VM has.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct MachineSize {
    /// The part of a core that the process may use.
    pub cpu_share: f64,
    /// The speed of the core, relative to a usual one.
    pub cpu_cores: f64,
}

impl MachineSize {
    /// Returns the processor in thousandths of a core.
    pub fn cpu_millicores(&self) -> u32 {
        (self.cpu_share * self.cpu_cores * 1_000.0) as u32
    }
}

/// The bounds that the fleet keeps.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct FleetBounds {
    /// The time between SIGTERM and SIGKILL, in seconds.
    pub stop_grace_s: f64,
    /// The longest time for which callers keep a directory answer, in seconds.
    pub max_directory_lifetime_s: f64,
    /// The repeats that each request pays for, over the whole fleet.
    pub repeat_ratio: f64,
    /// The repeats beside that in a window, over the whole fleet.
    pub repeat_slack: f64,
    /// The window of the budget of repeats, in seconds.
    pub repeat_window_s: f64,
    /// The window over which customers' rates are counted, in seconds.
    pub rate_window_s: f64,
    /// The part of a customer's limit that may come beyond it in a window.
    pub rate_excess: f64,
    /// The requests of a customer that may come beyond that in a window.
    pub rate_slack: f64,
}

impl FleetBounds {
    /// Returns what the platform bears beyond a customer's limit.
    pub fn rate_tolerance(&self) -> RateTolerance {
        RateTolerance {
            window: Duration::from_secs_f64(self.rate_window_s),
            excess: self.rate_excess,
            slack: self.rate_slack,
        }
    }

    /// Returns the bound on repeats.
    pub fn repeat_terms(&self) -> RepeatTerms {
        RepeatTerms {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_secs_f64(self.repeat_window_s),
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
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub ready_listen: SocketAddr,
    /// Where callers ask for addresses.
    pub directory_listen: SocketAddr,
    /// The port for other nodes, the same on all VMs, over TCP and UDP.
    pub peer_port: u16,
    /// The port of the metrics.
    pub metrics_port: u16,
    /// The platform's store.
    pub store: SocketAddr,
    /// Whether the whole fleet starts for the first time, so that nobody has registered yet.
    #[serde(default)]
    pub first_start: bool,
    /// What the VM has.
    pub machine: MachineSize,
    /// The bounds that the fleet keeps.
    pub bounds: FleetBounds,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The error names the file and, where it can, the line, the field and what was expected.
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
            self.bounds.stop_grace_s >= 1.0,
            bad("bounds.stop_grace_s", "at least 1 second")
        );
        ensure!(
            self.bounds.max_directory_lifetime_s > 0.0,
            bad("bounds.max_directory_lifetime_s", "a positive number")
        );
        let windows = [self.bounds.repeat_window_s, self.bounds.rate_window_s];
        let figures = [
            self.bounds.repeat_ratio,
            self.bounds.repeat_slack,
            self.bounds.rate_excess,
            self.bounds.rate_slack,
        ];
        ensure!(
            windows.iter().all(|window| *window > 0.0)
                && figures.iter().all(|figure| *figure >= 0.0),
            bad("bounds", "positive windows and no negative figure")
        );
        Ok(())
    }
}
