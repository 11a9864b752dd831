//! Stand-ins for the platform and the targets, the load tool and the call ledger.
//!
//! They allow every property to be checked on one machine, without the operators' systems. Each
//! stand-in is also a small binary. See [docs/operators/load-tool.md](../../docs/operators/load-tool.md).

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
pub mod soak_plan;
pub mod soak_proxy;
pub mod soak_run;
pub mod soak_target;
pub mod target_answer;
pub mod target_mode;
pub mod target_server;
pub mod target_settings;
pub mod target_state;
mod target_stream;
