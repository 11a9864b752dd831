//! The gateway: the process that stands between callers and targets on each entry VM.
//!
//! The modules here meet sockets, clocks and tasks; what they do is decided by the state machines
//! of `damaskloom-lib`. See [docs/architecture.md](../../docs/architecture.md).

pub mod admin_server;
pub mod bodies;
pub mod burn_board;
pub mod caller_connection;
pub mod caller_server;
pub mod claim_desk;
pub mod claim_fleet;
pub mod claim_guard;
mod claim_rows;
pub mod claim_store;
pub mod claimed_call;
pub mod clock;
pub mod command;
pub mod config_view;
pub mod control_loop;
pub mod control_plane;
pub mod crash_desk;
pub mod directory_answer;
pub mod exchange;
pub mod fleet_directory;
pub mod fleet_epoch;
pub mod fleet_registration;
pub mod forward;
pub mod gateway;
pub mod head_inspector;
pub mod health_board;
pub mod hop_headers;
pub mod key_removal;
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
pub mod rate_gate;
pub mod refusal_answer;
pub mod request_check;
pub mod service_call;
pub mod serving_guard;
pub mod settings;
pub mod slot_desk;
pub mod slot_lease;
pub mod target_pool;
pub mod target_set;
pub mod tick_pace;
pub mod waiting_calls;
