//! The operators' HTTP API: plans changes from an intent and puts confirmed plans into force.
//!
//! The process is stateless: plans, outcomes and the audit trail are rows of the platform's table,
//! so that any number of processes can run on any VM and all of them give the same answers.
//! See [docs/design/configuration.md](../../docs/design/configuration.md).

pub mod api;
pub mod api_error;
mod auth;
mod driver;
mod keys;
mod plans;
pub mod server;
pub mod settings;
mod snapshot;
mod status;
pub mod wire;
