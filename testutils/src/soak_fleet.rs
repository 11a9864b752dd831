//! The entry processes of a soak: real programs, each on an own loopback address.

use std::fs::{File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};

use crate::soak_proxy::PathProxy;

/// The data centres that the nodes are spread over.
const DATA_CENTRES: [&str; 2] = ["near", "away"];
/// The port for messages between nodes.
const PEER_PORT: u16 = 7_360;
/// The first of the other ports that each node listens on.
const CALLER_PORT: u16 = 8_080;

/// An error while running an entry process.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// An operation on a process or its files failed.
    #[snafu(display("cannot {action} {}: {source}", path.display()))]
    Handle {
        /// The operation.
        action: &'static str,
        /// The program or file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A signal could not be sent.
    #[snafu(display("cannot send {signal}: {source}"))]
    Signal {
        /// The signal.
        signal: Signal,
        /// The error of the operating system.
        source: nix::Error,
    },
}

/// The programs of a soak's entry processes.
#[derive(Clone, Debug)]
pub struct SoakPrograms {
    /// The build under test.
    pub current: PathBuf,
    /// An earlier build, which every other node runs until it is started again; none if all nodes run the
    /// current one.
    pub previous: Option<PathBuf>,
}

impl SoakPrograms {
    /// Returns the program of a node's first start.
    pub(crate) fn first_of(&self, node: usize) -> &PathBuf {
        let previous = self.previous.as_ref().filter(|_| node % 2 == 1);
        previous.unwrap_or(&self.current)
    }
}

/// An entry process, restarted after each exit that the soak caused.
#[derive(Debug)]
pub struct SoakNode {
    /// The proxy between the node and the store.
    pub store_path: PathProxy,
    number: usize,
    program: PathBuf,
    folder: PathBuf,
    ip: IpAddr,
    stop_grace_s: f64,
    child: Option<Child>,
}

impl SoakNode {
    /// Makes a node; `subnet` separates the addresses of soaks that run at the same time.
    pub fn new(
        program: &Path,
        folder: &Path,
        subnet: u8,
        number: usize,
        store_path: PathProxy,
    ) -> Self {
        let last = u8::try_from(number + 1).expect("a soak has some dozens of nodes");
        Self {
            store_path,
            number,
            program: program.to_owned(),
            folder: folder.to_owned(),
            ip: IpAddr::V4(Ipv4Addr::new(127, 78, subnet, last)),
            stop_grace_s: 6.0,
            child: None,
        }
    }

    /// Sets the program of the next start.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.to_owned();
    }

    /// Returns the address that callers connect to.
    pub const fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Returns the address of the directory.
    pub const fn directory_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT + 2)
    }

    /// Returns the node's address, from which its connections to targets come.
    pub const fn ip(&self) -> IpAddr {
        self.ip
    }

    fn settings(&self) -> Value {
        let listen = |offset: u16| format!("{}:{}", self.ip, CALLER_PORT + offset);
        json!({
            "vm": format!("vm-{}", self.number),
            "data_centre": DATA_CENTRES[self.number % DATA_CENTRES.len()],
            "data_centres": { "near": "region", "away": "region" },
            "ip": self.ip.to_string(),
            "caller_listen": listen(0), "ready_listen": listen(1), "directory_listen": listen(2),
            "peer_port": PEER_PORT, "metrics_port": CALLER_PORT + 3,
            "target_source": self.ip.to_string(),
            "store": self.store_path.address().to_string(),
            "machine": { "cpu_share": 0.5, "cpu_cores": 1 },
            "bounds": {
                "stop_grace_s": self.stop_grace_s, "max_directory_lifetime_s": 2, "routing_apply_s": 2,
                "repeat_ratio": 0.2, "repeat_slack": 64, "repeat_window_s": 10,
                "rate_window_s": 5, "rate_excess": 0.1, "rate_slack": 20
            }
        })
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("node-{}.jsonc", self.number))
    }

    /// Writes the settings file; each call changes the stop grace period, which affects no promise.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_settings(&mut self) -> Result<(), ProcessError> {
        self.stop_grace_s += 0.5;
        let path = self.settings_path();
        let text = format!("// node {}\n{:#}\n", self.number, self.settings());
        std::fs::write(&path, text).context(HandleSnafu {
            action: "write",
            path,
        })
    }

    /// Starts the process; its output is appended to a log file in the soak's folder.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn start(&mut self) -> Result<(), ProcessError> {
        let path = self.folder.join(format!("node-{}.log", self.number));
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .context(HandleSnafu {
                action: "open",
                path,
            })?;
        let errors = log.try_clone().context(HandleSnafu {
            action: "open again",
            path: &self.folder,
        })?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .context(HandleSnafu {
                action: "start",
                path: &self.program,
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns whether a process was started whose exit has not been seen yet.
    pub const fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal to the process; does nothing if no process runs.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let id = i32::try_from(child.id()).expect("process ids fit");
        kill(Pid::from_raw(id), signal).context(SignalSnafu { signal })
    }

    /// Returns the exit status; none while the process runs, or if there is no process.
    ///
    /// # Errors
    ///
    /// Fails if the status of the process cannot be read.
    pub fn take_exit_status(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait().context(HandleSnafu {
            action: "wait for",
            path: &self.program,
        })?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be killed or waited for.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        let killed = child.kill().and_then(|()| child.wait());
        killed.map(|_| ()).context(HandleSnafu {
            action: "kill",
            path: &self.program,
        })
    }
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        // An error can't be reported from here.
        let _ = self.kill();
    }
}
