//! Which nodes callers are sent to, what nodes know of each other, and the routing's lookups.

use std::net::SocketAddr;
use std::time::Duration;

use damaskloom_lib::config::{Idempotence, RouteAccess};
use damaskloom_lib::entry_members::{
    EntryMembers, EntryPhase, MessageStream, NodeHeartbeat, NodeRegistration,
};
use damaskloom_lib::entry_nodes::{
    EntryNode, EntryRequirements, cpu_demand, rollout_step, select_entries,
};
use damaskloom_lib::ids::{DataCentreId, VmId};
use damaskloom_lib::key::RawKey;
use damaskloom_lib::routing::{
    CustomerRule, Destination, PriorityRank, RouteRule, RoutingDocument, RoutingTable,
    RoutingVersion,
};
use damaskloom_lib::time::MonoTime;
use damaskloom_lib::traffic_meter::TrafficMeter;
use damaskloom_lib::weighted_split::WeightedSplit;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(1_000 + ms)
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("a valid name")
}

fn centre(name: &str) -> DataCentreId {
    name.parse().expect("a valid name")
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{index}:80").parse().expect("an address")
}

fn nodes(count: usize, cpu_millicores: u32) -> Vec<EntryNode> {
    (0..count)
        .map(|index| EntryNode {
            vm: vm(index),
            data_centre: centre(if index % 2 == 0 { "even" } else { "odd" }),
            address: address(index),
            cpu_millicores,
        })
        .collect()
}

const TERMS: EntryRequirements = EntryRequirements {
    min_nodes: 3,
    min_cpu_millicores: 800,
};

#[test]
fn entries_have_the_processor_that_is_asked_for_and_are_near() {
    let small = nodes(40, 100);
    let chosen = select_entries(&small, &centre("odd"), TERMS);
    assert_eq!(chosen.len(), 8);
    assert!(chosen.iter().all(|node| node.data_centre == centre("odd")));
    let large = nodes(40, 500);
    assert_eq!(select_entries(&large, &centre("odd"), TERMS).len(), 3);
    assert!(select_entries(&large, &centre("elsewhere"), TERMS).is_empty());
}

#[test]
fn the_loss_of_a_node_moves_no_other() {
    let all = nodes(40, 200);
    let before = select_entries(&all, &centre("even"), TERMS);
    let lost = before[1].vm.clone();
    let left: Vec<EntryNode> = all.iter().filter(|node| node.vm != lost).cloned().collect();
    let after = select_entries(&left, &centre("even"), TERMS);
    let kept = before.iter().filter(|node| after.contains(node)).count();
    assert_eq!(kept, before.len() - 1);
}

fn note(phase: EntryPhase, linked: bool) -> NodeHeartbeat {
    NodeHeartbeat {
        data_centre: centre("even"),
        caller_address: address(1),
        phase,
        carrying: true,
        cpu_millicores: 200,
        linked,
        routing_version: 1,
        targets_version: 1,
    }
}

#[test]
fn a_silent_or_leaving_node_gets_no_callers() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    assert!(members.accept_message(at(0), &vm(1), 5, (MessageStream::Heartbeats, 1), ip));
    members.record_heartbeat(&vm(1), note(EntryPhase::Serving, true));
    assert_eq!(members.serving(at(1_000)).count(), 1);
    assert_eq!(members.serving(at(4_000)).count(), 0);
    assert!(members.accept_message(at(4_000), &vm(1), 5, (MessageStream::Heartbeats, 2), ip));
    members.record_heartbeat(&vm(1), note(EntryPhase::Leaving, true));
    assert_eq!(members.serving(at(4_100)).count(), 0);
}

#[test]
fn repeated_messages_and_those_of_an_earlier_start_are_dropped() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    assert!(members.accept_message(at(0), &vm(1), 5, (MessageStream::Heartbeats, 7), ip));
    assert!(!members.accept_message(at(10), &vm(1), 5, (MessageStream::Heartbeats, 7), ip));
    assert!(members.accept_message(at(20), &vm(1), 9, (MessageStream::Heartbeats, 1), ip));
    assert!(!members.accept_message(at(30), &vm(1), 5, (MessageStream::Heartbeats, 8), ip));
}

#[test]
fn a_note_that_counts_overtook_is_taken() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    assert!(members.accept_message(at(0), &vm(1), 5, (MessageStream::Counts, 8), ip));
    assert!(members.accept_message(at(1), &vm(1), 5, (MessageStream::Heartbeats, 7), ip));
}

#[test]
fn a_node_whose_clock_jumped_back_between_starts_is_heard_after_a_silence() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    assert!(members.accept_message(at(0), &vm(1), 9_000, (MessageStream::Heartbeats, 50), ip));
    assert!(!members.accept_message(at(500), &vm(1), 7_000, (MessageStream::Heartbeats, 1), ip));
    assert!(members.accept_message(at(2_500), &vm(1), 7_000, (MessageStream::Heartbeats, 2), ip));
}

#[test]
fn a_registered_node_is_reckoned_with_before_it_is_heard() {
    let mut members = EntryMembers::default();
    let registration = NodeRegistration {
        started_at_ms: 5,
        data_centre: centre("even"),
        caller_address: address(1),
        cpu_millicores: 200,
    };
    members.register(at(0), vm(1), registration);
    assert_eq!(members.potential().count(), 1);
    assert_eq!(members.serving(at(0)).count(), 0);
}

#[test]
fn a_node_follows_the_store_itself_once_no_linked_node_is_heard() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    members.accept_message(at(0), &vm(1), 5, (MessageStream::Heartbeats, 1), ip);
    members.record_heartbeat(&vm(1), note(EntryPhase::Serving, true));
    let age = Duration::from_millis(1_400);
    assert!(members.has_recent_linked_node(at(1_000), age));
    assert!(!members.has_recent_linked_node(at(1_500), age));
}

#[test]
fn single_requests_make_no_traffic() {
    let mut meter = TrafficMeter::default();
    for second in 0..10 {
        meter.record(at(second * 1_000));
        assert!(!meter.is_carrying(at(second * 1_000)));
    }
    for step in 0..10 {
        meter.record(at(20_000 + step * 100));
    }
    assert!(meter.is_carrying(at(21_000)));
    assert!(!meter.is_carrying(at(25_000)));
}

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        id: name.parse().expect("a valid name"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        idempotence: Idempotence::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(400),
        priority: PriorityRank(1),
        destinations: Vec::new(),
        max_attempts: 2,
        access: RouteAccess::Keyed,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let document = RoutingDocument {
        version: RoutingVersion(1),
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/"),
        ],
        customers: Some(vec![CustomerRule {
            id: "hauliers".parse().expect("a valid name"),
            keys: vec![RawKey::new("key-1").digest()],
            priority: None,
            rate_per_s: 0.0,
            burst: 0.0,
        }]),
        ..RoutingDocument::default()
    };
    let table = RoutingTable::from(document);
    let find = |host, path| table.route(host, path).map(|route| route.id.to_string());
    assert_eq!(find("a.example", "/x/y/z"), Some("long".to_owned()));
    assert_eq!(find("A.Example:80", "/x/yy"), Some("short".to_owned()));
    assert_eq!(find("a.example", "/x"), None);
    assert_eq!(find("b.example", "/x/"), Some("other".to_owned()));
    assert_eq!(find("c.example", "/x/"), None);
    assert!(table.customer(&RawKey::new("key-1").digest()).is_some());
    assert!(table.customer(&RawKey::new("key-2").digest()).is_none());
}

#[test]
fn a_split_keeps_its_weights_at_every_length() {
    let part = |name: &str, weight| Destination {
        service: name.parse().expect("a valid name"),
        weight,
    };
    let destinations = [part("a", 90), part("b", 10), part("c", 0)];
    let mut split = WeightedSplit::default();
    let mut counts = [0_i32; 3];
    for sent in 1..=1_000 {
        counts[split.next(&destinations)] += 1;
        let expected = f64::from(sent) * 0.1;
        assert!((f64::from(counts[1]) - expected).abs() <= 1.0);
    }
    assert_eq!(counts, [900, 100, 0]);
}

#[test]
fn slots_that_turn_over_fast_need_more_processor() {
    // 300 slots of 0.33 s carry some 900 requests a second of half a millisecond, at half load.
    let slow = cpu_demand(300, Duration::from_secs(1));
    assert!((850.0..950.0).contains(&slow), "{slow}");
    let fast = cpu_demand(300, Duration::from_millis(250));
    assert!((fast / slow - 4.0).abs() < 0.01, "{fast}");
}

#[test]
fn each_step_of_a_change_has_twice_the_nodes_of_the_step_before() {
    let steps: Vec<u32> = (0..15).map(rollout_step).collect();
    assert_eq!(steps, [0, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3, 3, 3, 3, 3]);
}
