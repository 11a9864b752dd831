//! The entry process, which forwards callers' requests to targets. One runs on each VM of a
//! platform that keeps the routing, the targets and the registrations of nodes in its store.
//!
//! The modules here handle sockets, clocks and tasks; the decisions are made by the state machines
//! of `damaskloom-lib`. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).

pub mod admission;
pub mod caller_answer;
pub mod caller_listener;
pub mod command;
pub mod entry_meters;
pub mod entry_state;
pub mod fleet_roles;
pub mod log_lines;
pub mod peer_rows;
pub mod peer_socket;
pub mod peer_wire;
pub mod process;
pub mod request_path;
pub mod settings;
pub mod store_watch;
pub mod target_call;
pub mod target_pool;
pub mod wall_clock;
