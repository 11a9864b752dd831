//! The entry process, which forwards callers' requests to targets. One runs on each VM of a
//! platform that keeps the routing, the targets and the registrations of nodes in its store.
//!
//! The modules here handle sockets, clocks and tasks; the decisions are made by the state machines
//! of `damaskloom-lib`. See
//! [docs/design/platform-adapter.md](../../docs/design/platform-adapter.md).
//!
//! - `process` starts and stops an entry process, `command` and `settings` read its settings, and
//!   `entry_state` holds the state that its tasks share.
//! - `caller_listener`, `admission`, `request_path`, `delivery`, `attempt_guards`, `attempt_record`, `target_call`,
//!   `target_pool`, `streamed_body`, `body_collector`, `body_budget` and `caller_answer` are the request path, from the
//!   caller's connection to the answer.
//! - `path_watch` notices when this node reaches no target, and `hand_on` passes requests to nodes that
//!   do.
//! - `store_watch` follows the store; `fleet_rows` registers the node and keeps the fleet's own rows;
//!   `target_changes` applies its changes of targets, `target_evidence` what attempts show about them;
//!   `fleet_roles` determines which nodes follow the store and which nodes callers are directed to.
//! - `target_notices` applies what targets say of themselves in their answers, `limit_sharing` what answers and
//!   other nodes say about their limits.
//! - `evacuations` applies the operators' evacuations of data centres.
//! - `peer_socket` sends heartbeats, counts and updates to other nodes through `peer_sender`, which uses
//!   relays; `peer_receipt` receives them; `peer_wire` has their format. `peer_rows` fetches rows of
//!   the store from them into a `table_copy`.
//! - `entry_meters`, `log_lines` and `wall_clock` provide metrics, rate-limited log lines and the
//!   wall clock.

pub mod admission;
pub mod attempt_guards;
pub mod attempt_record;
pub mod body_budget;
pub mod body_collector;
pub mod caller_answer;
pub mod caller_listener;
pub mod cold_targets;
pub mod command;
pub mod crash_check;
pub mod delivery;
pub mod entry_meters;
pub mod entry_state;
pub mod evacuations;
pub mod fleet_roles;
pub mod fleet_rows;
pub mod grace_check;
pub mod hand_on;
pub mod limit_sharing;
pub mod log_lines;
pub mod path_watch;
pub mod peer_receipt;
pub mod peer_rows;
pub mod peer_sender;
pub mod peer_socket;
pub mod peer_wire;
pub mod process;
pub mod rank_admission;
pub mod request_deadline;
pub mod request_path;
pub mod settings;
pub mod store_watch;
pub mod streamed_body;
pub mod table_copy;
pub mod target_call;
pub mod target_changes;
pub mod target_evidence;
pub mod target_notices;
pub mod target_pool;
pub mod wall_clock;
