//! The coordination parts of damaskloom, a proxy fleet for targets with gray failures.
//!
//! Every decision module is sans-IO: it is a state machine that takes the monotonic time and an
//! event and returns actions. No module here opens a socket, reads a clock, starts a task or draws
//! from a global random source, so that each part can be embedded and tested on virtual time. The
//! daemons in the sibling crates are thin shells around these modules. See
//! [docs/architecture.md](../../docs/architecture.md).

pub mod bucket_hand;
pub mod budget;
pub mod claim_log;
pub mod config;
pub mod crash_guard;
pub mod demand_meter;
pub mod detector;
pub mod directory;
pub mod distribution;
pub mod ejector;
pub mod epoch;
pub mod escrow;
pub mod evidence;
pub mod fair_queue;
mod fair_schedule;
pub mod freshness;
pub mod ids;
pub mod key;
pub mod key_table;
mod lender_board;
pub mod loan;
pub mod membership;
pub mod outcome;
pub mod plan;
pub mod platform;
mod rate_entry;
pub mod rate_limiter;
pub mod rendezvous;
pub mod retry_budget;
pub mod service_burn;
mod service_rate;
mod slot_hand;
pub mod slot_pool;
pub mod target_picker;
pub mod time;
pub mod token_bucket;
pub mod units;
