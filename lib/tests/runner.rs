//! All tests of the crate, one module for each subject.

mod claim_fleet;
mod epoch_fleet;
mod escrow_network;
mod fake_network;
mod fake_table;
mod limit_fleet;
mod row_fleet;
mod scenario_claims;
mod scenario_configuration;
mod scenario_crash;
mod scenario_ejection;
mod scenario_freshness;
mod scenario_limits;
mod scenario_words;
mod seeded_run;
mod share_fleet;
#[allow(dead_code)]
mod slot_fleet;
#[allow(dead_code)]
#[path = "../benches/support/mod.rs"]
mod support;
mod test_attempt_failure;
mod test_claims;
mod test_configuration;
mod test_crash_guard;
mod test_detection;
mod test_directory;
mod test_distribution;
mod test_ejection;
mod test_entry_nodes;
mod test_epochs;
mod test_fair_queue;
mod test_fleet_rates;
mod test_freshness;
mod test_helper_choice;
mod test_keys;
mod test_line_budget;
mod test_loans;
mod test_membership;
mod test_picker;
mod test_rate_limits;
mod test_repeat_budget;
mod test_return_delay;
mod test_route_timing;
mod test_row_fetches;
mod test_scenarios;
mod test_service_burn;
mod test_shares;
mod test_slots;
mod test_stop_plan;
mod test_target_balancer;
mod test_target_catalog;
mod test_target_limits;
mod test_target_notices;
mod test_target_path;
mod test_target_trial;
