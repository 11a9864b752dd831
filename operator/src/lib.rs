//! The operators' HTTP API: plans changes from an intent and puts confirmed plans into force.
//!
//! The process is stateless: plans, outcomes and the audit trail are rows of the platform's table,
//! so that any number of processes can run on any VM and all of them give the same answers.
//! See [docs/design/configuration.md](../../docs/design/configuration.md).
//!
//! - `server` is the HTTP listener and `settings` reads its settings.
//! - `api` dispatches calls; `auth` authenticates operators and checks their roles.
//! - `wire` holds the JSON bodies of requests and responses, `api_error` the errors of calls.
//! - `plans` makes, reads, lists and confirms plans; `keys` plans changes of a single object.
//! - `driver` runs the library's plan builder and confirmation state machine against the table, and
//!   `snapshot` writes snapshots of the configuration.
//! - `status` collects the roll-out status of revisions from the gateways.

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
