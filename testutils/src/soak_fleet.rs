//! The entry processes of a soak: real programs on loopback addresses of their own.

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
/// The port between nodes, and the first of those that each node listens on.
const PEER_PORT: u16 = 7_360;
const CALLER_PORT: u16 = 8_080;

/// Says why a process could not be run.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// A process or its files could not be handled.
    #[snafu(display("cannot {action} {}: {source}", path.display()))]
    Handle {
        /// What was tried.
        action: &'static str,
        /// The program or file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A signal could not be sent.
    #[snafu(display("cannot send {signal}: {source}"))]
    Signal {
        /// The signal.
        signal: Signal,
        /// What the system said.
        source: nix::Error,
    },
}

/// One entry process, started again after each end that the soak caused.
#[derive(Debug)]
pub struct SoakNode {
    /// The path between the node and the store.
    pub store_path: PathProxy,
    number: usize,
    program: PathBuf,
    folder: PathBuf,
    ip: IpAddr,
    stop_grace_s: f64,
    child: Option<Child>,
}

impl SoakNode {
    /// Makes a node; `subnet` tells the addresses of soaks that run side by side apart.
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

    /// Returns where callers connect.
    pub const fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Returns where callers ask for addresses.
    pub const fn directory_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT + 2)
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
            "store": self.store_path.address().to_string(),
            "machine": { "cpu_share": 0.5, "cpu_cores": 1 },
            "bounds": {
                "stop_grace_s": self.stop_grace_s, "max_directory_lifetime_s": 2,
                "repeat_ratio": 0.2, "repeat_slack": 64, "repeat_window_s": 10,
                "rate_window_s": 5, "rate_excess": 0.1, "rate_slack": 20
            }
        })
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("node-{}.jsonc", self.number))
    }

    /// Writes the settings; a later call changes one that makes no difference to the promises.
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

    /// Starts the process; its log lines go to a file of the soak's folder.
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

    /// Says whether a process was started and was not ended by the soak.
    pub const fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Sends the process a signal; does nothing if there is none.
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

    /// Returns how the process ended; none while it runs, or if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell.
    pub fn take_end(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let end = child.try_wait().context(HandleSnafu {
            action: "wait for",
            path: &self.program,
        })?;
        if end.is_some() {
            self.child = None;
        }
        Ok(end)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell.
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
        // Nothing can be done about a process that cannot be killed.
        let _ = self.kill();
    }
}
