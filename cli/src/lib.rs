//! The command line tools: operators' control, the burn report, the benchmarks and the demo.

pub mod bench_control;
pub mod bench_fleet;
pub mod bench_latency;
pub mod ctl_args;
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
