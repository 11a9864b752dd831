//! The command line tools: operators' control, the burn report, the benchmarks and the demo.
//!
//! - The `ctl_*` modules are `damaskloom-ctl`: its commands and their parser, its HTTP client and
//!   its text output.
//! - The `report_*` modules are `damaskloom-report`: `report_input` collects burn snapshots,
//!   `report_model` computes the error budgets, and `report_text`, `report_html` and `report_plot`
//!   write the report.
//! - The `bench_*` modules are `damaskloom-bench`: added latency, whole deployments under load and
//!   the cost of control.
//! - `demo` is `damaskloom-demo`, which causes failures in a small fleet under load.
//! - `deployment`, `local_fleet` and `local_platform` run a deployment on loopback for the demo and
//!   the benchmarks.

pub mod bench_control;
pub mod bench_fleet;
pub mod bench_latency;
pub mod ctl_args;
pub mod ctl_check;
pub mod ctl_client;
pub mod ctl_command;
pub mod ctl_output;
pub mod ctl_run;
pub mod ctl_table;
pub mod demo;
pub mod deployment;
pub mod local_fleet;
pub mod local_platform;
pub mod report_html;
pub mod report_input;
pub mod report_model;
pub mod report_plot;
pub mod report_text;
