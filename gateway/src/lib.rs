//! The gateway: the proxy process between callers and targets that runs on each entry VM.
//!
//! The modules here handle sockets, clocks and tasks; the state machines of `damaskloom-lib` make
//! the decisions. See [docs/architecture.md](../../docs/architecture.md).
//!
//! - `process` starts and stops a gateway, `settings` and `command` read its settings, and
//!   [`gateway`] holds the state that requests share.
//! - [`caller_server`], [`exchange`], [`service_call`] and [`forward`] are the request path, with
//!   the limits of [`fleet_limiter`], [`waiting_calls`] and [`slot_registry`].
//! - [`claimed_call`] and the `claim_*` modules run non-idempotent requests at most once.
//! - [`health_monitor`] and [`crash_registry`] monitor targets; [`burn_counters`] and `meters`
//!   count requests.
//! - The `peer_*` modules exchange messages with other gateways; `control_plane` and the `fleet_*`
//!   modules follow the fleet's members, epochs and configuration.

pub mod admin_server;
pub mod answer_check;
pub mod body_stream;
pub mod burn_counters;
pub mod caller_connection;
pub mod caller_server;
pub mod claim_fleet;
pub mod claim_guard;
pub mod claim_registry;
mod claim_rows;
pub mod claim_store;
pub mod claimed_call;
pub mod clock;
pub mod command;
pub mod config_view;
pub mod control_loop;
pub mod control_plane;
pub mod crash_registry;
pub mod directory_answer;
pub mod exchange;
pub mod fleet_directory;
pub mod fleet_epoch;
pub mod fleet_limiter;
pub mod fleet_registration;
pub mod forward;
pub mod gateway;
pub mod head_inspector;
pub mod health_monitor;
pub mod hop_headers;
pub mod key_removal;
pub mod meter_registry;
pub mod meters;
pub mod peer_auth;
pub mod peer_codec;
mod peer_connection;
mod peer_dialer;
pub mod peer_faults;
pub mod peer_link;
mod peer_listener;
pub mod peer_outbox;
mod peer_settings;
mod peer_stream;
pub mod percent;
pub mod platform_reads;
pub mod process;
pub mod refusal_answer;
pub mod request_check;
pub mod service_call;
pub mod serving_guard;
pub mod settings;
pub mod slot_lease;
pub mod slot_registry;
pub mod target_pool;
pub mod target_set;
pub mod tick_interval;
pub mod waiting_calls;
