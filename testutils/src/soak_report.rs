//! The outcome of a soak, and the errors that keep one from running.

use std::path::PathBuf;

use snafu::Snafu;

use crate::platform_server::ServerError;
use crate::soak_fleet::ProcessError;
use crate::soak_ledger::CutCounts;
use crate::soak_plan::PlannedFault;
use crate::soak_records::SoakBreach;

/// An error that keeps a soak from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// An operation on a process failed.
    #[snafu(transparent)]
    Process {
        /// The error.
        source: ProcessError,
    },
    /// The store's stand-in could not start.
    #[snafu(transparent)]
    Store {
        /// The error.
        source: ServerError,
    },
    /// A stand-in could not listen.
    #[snafu(display("cannot listen on loopback: {source}"))]
    Listen {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The folder of the soak cannot be created.
    #[snafu(display("cannot make {}: {source}", folder.display()))]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// The result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The faults that were planned.
    pub plan: Vec<PlannedFault>,
    /// The numbers of requests sent, of those answered with success, and of executions.
    pub counts: (usize, usize, usize),
    /// The promises that were broken.
    pub breaches: Vec<SoakBreach>,
    /// What callers got during each cut that was checked.
    pub cuts: Vec<CutCounts>,
    /// The number of answers in which targets said that they leave or want rest.
    pub said: usize,
}
