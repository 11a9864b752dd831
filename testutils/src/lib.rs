//! Stand-ins for the platform and the targets, the load tool and the call ledger.
//!
//! They allow every property to be checked on one machine, without the operators' systems. Each
//! stand-in is also a small binary. See
//! [docs/operators/load-tool.md](../../docs/operators/load-tool.md).
//!
//! - `platform_server` is the platform's stand-in, with `platform_table`, `platform_wire` and the
//!   injected faults of `platform_faults`.
//! - `target_server` and the other `target_*` modules are the target stand-in, with gray failures.
//! - The `load_*` modules are the load tool: its plan, open-loop runner and report.
//! - `caller_device` and `caller_directory` imitate a caller's device with old firmware.
//! - The `ledger_*` modules record attempts and executions and check the promises after a run.
//! - The `soak_*` modules run real entry processes under random faults and check the promises.
//! - `settings_file` reads the settings files of the stand-ins.

pub mod caller_device;
pub mod caller_directory;
pub mod ledger_breach;
pub mod ledger_check;
pub mod ledger_clock;
pub mod ledger_rate;
pub mod ledger_record;
mod ledger_request;
pub mod load_plan;
pub mod load_report;
pub mod load_runner;
pub mod platform_faults;
pub mod platform_server;
pub mod platform_table;
mod platform_wire;
pub mod settings_file;
pub mod soak_caller;
pub mod soak_fleet;
pub mod soak_ledger;
pub mod soak_notices;
pub mod soak_plan;
pub mod soak_proxy;
pub mod soak_records;
pub mod soak_report;
pub mod soak_run;
pub mod soak_target;
pub mod target_answer;
pub mod target_mode;
pub mod target_server;
pub mod target_settings;
pub mod target_state;
mod target_stream;
