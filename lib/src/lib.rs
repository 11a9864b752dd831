//! The coordination parts of damaskloom, a proxy fleet for targets with gray failures.
//!
//! Every decision module is sans-IO: it is a state machine that takes the monotonic time and an
//! event and returns actions. No module here opens a socket, reads a clock, starts a task or draws
//! from a global random source, so that each part can be embedded and tested on virtual time. The
//! daemons in the sibling crates are thin shells around these modules. See
//! [docs/architecture.md](../../docs/architecture.md).

pub mod adaptive_policy;
pub mod baseline_policy;
pub mod budget;
pub mod claim_log;
pub mod config;
pub mod crash_guard;
pub mod detector;
pub mod directory;
pub mod distribution;
pub mod ejection_lease;
pub mod ejection_message;
pub mod ejector;
pub mod epoch;
pub mod escrow;
pub mod evidence;
pub mod evidence_digest;
pub mod fair_queue;
pub mod flap_history;
pub mod freshness;
mod held_ejection;
pub mod ids;
pub mod key;
pub mod key_table;
pub mod membership;
pub mod mixer;
pub mod outcome;
pub mod path_guard;
pub mod pending;
pub mod plan;
pub mod platform;
pub mod population;
mod proposal_queue;
pub mod rate_limiter;
pub mod rendezvous;
pub mod retry_budget;
pub mod sequential_test;
pub mod service_burn;
pub mod service_health;
pub mod slot_pool;
pub mod target_chart;
pub mod target_load;
pub mod target_picker;
pub mod time;
pub mod units;
pub mod verdict;
mod yardstick;
