//! The coordination parts of damaskloom, a proxy fleet for targets with gray failures.
//!
//! Every decision module is sans-IO: it is a state machine that takes the monotonic time and an
//! event and returns actions. No module here opens a socket, reads a clock, starts a task or draws
//! from a global random source, so that each part can be embedded and tested on virtual time. The
//! daemons in the sibling crates are thin shells around these modules. See
//! [docs/architecture.md](../../docs/architecture.md).

pub mod adaptive_policy;
pub mod baseline_policy;
pub mod bucket_hand;
pub mod budget;
pub mod burn_budget;
pub mod burn_snapshot;
mod byte_text;
pub mod claim_action;
pub mod claim_client;
mod claim_durability;
mod claim_entry;
pub mod claim_log;
pub mod claim_message;
pub mod claim_takeover;
pub mod config;
pub mod confirm;
mod confirm_rows;
pub mod crash_guard;
pub mod delta_log;
pub mod demand_meter;
pub mod detector;
pub mod directory;
pub mod distribution;
pub mod distribution_message;
pub mod ejection_lease;
pub mod ejector;
mod entry_tally;
pub mod epoch;
pub mod epoch_types;
pub mod escrow;
pub mod evidence;
pub mod fair_queue;
mod fair_schedule;
pub mod flap_history;
pub mod freshness;
pub mod generated;
pub mod head_poll;
pub mod ids;
pub mod key;
pub mod key_table;
pub mod loan;
mod member_entry;
pub mod membership;
pub mod membership_types;
pub mod mixer;
mod news_queue;
pub mod object_key;
mod object_list;
pub mod outcome;
pub mod path_guard;
mod peer_probe;
pub mod pending;
pub mod plan;
pub mod plan_check;
pub mod plan_diff;
pub mod platform;
pub mod platform_wire;
pub mod population;
mod rate_entry;
pub mod rate_limiter;
pub mod registration;
pub mod rendezvous;
pub mod retry_budget;
pub mod route_table;
pub mod sequential_test;
pub mod service_burn;
pub mod service_health;
mod service_rate;
pub mod share_basis;
mod slot_hand;
pub mod slot_pool;
pub mod snapshot_transfer;
pub mod table_layout;
pub mod target_chart;
pub mod target_load;
pub mod target_picker;
pub mod time;
pub mod token_bucket;
pub mod units;
pub mod usage;
pub mod verdict;
