//! Tests the guards that hold for one attempt.

use std::rc::Rc;
use std::time::Duration;

use damaskloom_entry::attempt_guards::RunningGuard;
use damaskloom_entry::entry_state::EntryState;
use damaskloom_entry::settings::EntrySettings;
use damaskloom_entry::target_pool::SystemNetwork;
use damaskloom_lib::ids::{DataCentreId, ServiceId, TargetId, VmId};
use damaskloom_lib::target_balancer::TargetBalancer;

use crate::fixture::{PEER_PORT, node_settings};

/// Returns the name of the node under test.
fn own_vm() -> VmId {
    "vm-1".parse().expect("a valid name")
}

/// Guards against attempts that seem to take no time since their target began to leave meanwhile: the typical
/// running time of the service falls, and answers of the others count as late.
#[test]
fn an_attempt_takes_its_time_also_if_its_target_is_removed() {
    const RUNNING: Duration = Duration::from_millis(5);
    const LATE_AFTER: Duration = Duration::from_secs(60);
    let store = "127.0.0.1:1".parse().expect("an address");
    let settings = node_settings(store, PEER_PORT).to_string();
    let settings = EntrySettings::parse(settings, "test").expect("valid settings");
    let network = Rc::new(SystemNetwork::default());
    let state = EntryState::new(settings, network).expect("metrics can be set up");
    let service: ServiceId = "desk".parse().expect("a valid name");
    let target: TargetId = "i-0".parse().expect("a valid name");
    let centre: DataCentreId = "near".parse().expect("a valid name");
    let mut balancer = TargetBalancer::new(&own_vm(), centre.clone());
    let now = state.clock.now();
    balancer.insert(now, target.clone(), centre, 4, Duration::ZERO);
    state
        .balancers
        .borrow_mut()
        .insert(service.clone(), balancer);
    let guard = RunningGuard::begin(&state, &service, &target, LATE_AFTER);
    std::thread::sleep(RUNNING);
    state.with_balancer(&service, |balancer| balancer.remove(&target));
    let (taken, was_late) = guard.end();
    assert!(taken >= RUNNING && !was_late, "{taken:?}");
}
