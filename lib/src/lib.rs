//! The coordination logic of damaskloom, a proxy fleet for targets with gray failures.
//!
//! Every module is sans-IO: a state machine that takes the monotonic time and an event and returns
//! actions. No module opens a socket, reads a clock, spawns a task or uses a global random source, so
//! that each can be embedded and tested in virtual time. The daemons in the sibling crates do the I/O.
//!
//! - Entry nodes: `target_catalog`, `target_balancer`, `balanced_target`, `target_limits`, `target_warmups`, `sender_roster`, `target_notices`, `evacuation`, `service_room`, `admission_policy`, `failure_filter`, `fleet_rate`, `rate_report`, `fleet_partition`,
//!   `routing`, `entry_members`, `entry_nodes`, `table_mirror`, `copy_age`, `store_health`.
//! - Configuration: `config`, `routing_check`, `routing_diff`, `key_table`, `plan`, `confirm`, `distribution`, `freshness`.
//! - Members and shares: `membership`, `directory`, `epoch`, `budget`, `escrow`.
//! - Limits and queues: `rate_limiter`, `slot_pool`, `fair_queue`, `retry_budget`.
//! - Detection and ejection: `evidence`, `detector`, `ejector`, `avoidance_list`, `service_burn`.
//! - Request ids and crashes: `claim_client`, `claim_log`, `crash_guard`.
//! - Shared types: `ids`, `time`, `units`, `outcome`, `platform`.
//!
//! See [docs/architecture.md](../../docs/architecture.md).

pub mod adaptive_policy;
pub mod admission_policy;
pub mod attempt_failure;
pub mod avoidance_list;
pub mod balanced_target;
pub mod baseline_policy;
pub mod budget;
pub mod burn_budget;
pub mod burn_snapshot;
mod byte_text;
pub mod call_budget;
pub mod claim_action;
pub mod claim_client;
mod claim_durability;
mod claim_entry;
pub mod claim_log;
pub mod claim_message;
pub mod claim_takeover;
pub mod config;
pub mod config_reader;
pub mod config_snapshot;
pub mod confirm;
mod confirm_rows;
pub mod copy_age;
pub mod crash_guard;
pub mod crossing_cost;
mod customer_bucket;
pub mod delta_log;
pub mod demand_meter;
pub mod detector;
pub mod directory;
pub mod distribution;
pub mod distribution_message;
pub mod ejection_lease;
pub mod ejection_message;
pub mod ejector;
pub mod entry_members;
pub mod entry_nodes;
pub mod epoch;
mod epoch_entry_tracker;
mod epoch_store;
pub mod epoch_types;
pub mod escrow;
pub mod evacuation;
pub mod evidence;
pub mod evidence_digest;
pub mod failure_filter;
pub mod fair_queue;
mod fair_schedule;
pub mod flap_history;
pub mod fleet_partition;
pub mod fleet_rate;
pub mod freshness;
pub mod generated;
mod gossip_queue;
pub mod head_poll;
mod held_ejection;
pub mod helper_choice;
pub mod ids;
pub mod key;
pub mod key_table;
mod lender_selector;
mod limit_share;
pub mod line_budget;
pub mod loan;
pub mod loss_meter;
mod member_entry;
pub mod membership;
pub mod membership_types;
pub mod message_relay;
pub mod mixer;
pub mod node_bucket;
mod node_slots;
pub mod object_key;
mod object_list;
pub mod outcome;
mod peer_probe;
pub mod pending;
pub mod plan;
pub mod plan_check;
pub mod plan_diff;
pub mod platform;
pub mod population;
mod probe_schedule;
mod proposal_queue;
mod rate_entry;
pub mod rate_limiter;
pub mod rate_report;
pub mod registration;
pub mod rendezvous;
pub mod repeat_budget;
pub mod retry_backoff;
pub mod retry_budget;
pub mod return_delay;
mod route_average;
pub mod route_table;
pub mod route_timing;
pub mod routing;
pub mod routing_check;
pub mod routing_diff;
pub mod row_fetch;
pub mod sender_roster;
pub mod sequential_test;
mod service_baseline;
pub mod service_burn;
pub mod service_health;
mod service_rate;
pub mod service_room;
pub mod share_basis;
pub mod slot_pool;
pub mod snapshot_transfer;
pub mod stop_plan;
pub mod store_health;
pub mod store_rows;
pub mod store_version;
pub mod table_layout;
pub mod table_mirror;
pub mod target_balancer;
pub mod target_catalog;
pub mod target_limits;
pub mod target_load;
pub mod target_notices;
pub mod target_path;
pub mod target_picker;
pub mod target_selection;
pub mod target_statistics;
pub mod target_trial;
pub mod target_warmups;
pub mod time;
pub mod token_bucket;
pub mod traffic_meter;
mod trial_choice;
pub mod units;
pub mod usage;
pub mod verdict;
pub mod version_lag;
pub mod weighted_split;
