//! The coordination parts of damaskloom, a proxy fleet for targets with gray failures.
//!
//! Every decision module is sans-IO: it is a state machine that takes the monotonic time and an
//! event and returns actions. No module here opens a socket, reads a clock, starts a task or draws
//! from a global random source, so that each part can be embedded and tested on virtual time. The
//! daemons in the sibling crates are thin shells around these modules. See
//! [docs/architecture.md](../../docs/architecture.md).

pub mod budget;
pub mod claim_log;
pub mod config;
pub mod crash_guard;
pub mod detector;
pub mod directory;
pub mod distribution;
pub mod ejector;
mod entry_tally;
pub mod epoch;
mod epoch_store;
pub mod epoch_types;
pub mod escrow;
pub mod evidence;
pub mod fair_queue;
pub mod freshness;
pub mod generated;
pub mod ids;
pub mod key;
pub mod key_table;
mod member_entry;
pub mod membership;
pub mod membership_types;
mod news_queue;
pub mod outcome;
mod peer_probe;
pub mod plan;
pub mod platform;
mod probe_schedule;
pub mod rate_limiter;
pub mod registration;
pub mod rendezvous;
pub mod retry_budget;
pub mod service_burn;
pub mod share_basis;
pub mod slot_pool;
pub mod target_picker;
pub mod time;
pub mod units;
