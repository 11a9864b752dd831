//! Tests the selection of entry nodes, the tracking of other nodes, and the routing lookups.

use std::net::SocketAddr;
use std::time::Duration;

use damaskloom_lib::config::{Idempotence, RouteAccess};
use damaskloom_lib::entry_members::{
    EntryMembers, EntryPhase, HeartbeatScope, MessageStream, NodeHeartbeat, NodeRegistration,
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
use indexmap::IndexSet;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(1_000 + ms)
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("a valid name")
}

fn data_centre(name: &str) -> DataCentreId {
    name.parse().expect("a valid name")
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{index}:80").parse().expect("an address")
}

fn nodes(count: usize, capacity_millicores: u32) -> Vec<EntryNode> {
    (0..count)
        .map(|index| EntryNode {
            vm: vm(index),
            data_centre: data_centre(if index % 2 == 0 { "even" } else { "odd" }),
            address: address(index),
            capacity_millicores,
        })
        .collect()
}

const REQUIREMENTS: EntryRequirements = EntryRequirements {
    preferred_nodes: 3,
    min_nodes: 2,
    min_capacity_millicores: 800,
};

/// Guards against too few nodes for the traffic of a data centre, and against nodes of another one.
#[test]
fn entries_have_the_required_cpu_capacity_and_are_local() {
    let small = nodes(40, 100);
    let selected = select_entries(&small, &data_centre("odd"), REQUIREMENTS);
    assert_eq!(selected.len(), 8);
    assert!(
        selected
            .iter()
            .all(|node| node.data_centre == data_centre("odd"))
    );
    let large = nodes(40, 500);
    assert_eq!(
        select_entries(&large, &data_centre("odd"), REQUIREMENTS).len(),
        3
    );
    assert!(select_entries(&large, &data_centre("elsewhere"), REQUIREMENTS).is_empty());
}

/// Guards against small nodes that are overloaded although the entry nodes together have the required
/// capacity: callers select evenly among them, whatever their size.
#[test]
fn each_entry_can_carry_an_even_share_of_the_traffic() {
    for (large, small) in [(0, 40), (2, 28), (4, 60), (30, 3)] {
        let mut all = nodes((large + small) * 2, 100);
        for node in &mut all[..large * 2] {
            node.capacity_millicores = 500;
        }
        let selected = select_entries(&all, &data_centre("odd"), REQUIREMENTS);
        let share = REQUIREMENTS.min_capacity_millicores as usize / selected.len();
        let overloaded: Vec<_> = selected
            .iter()
            .filter(|node| (node.capacity_millicores as usize) < share)
            .collect();
        assert!(
            overloaded.is_empty(),
            "{large} large, {small} small: {overloaded:?}"
        );
    }
}

/// Guards against traffic that moves from few large nodes to many small ones, and back, since the
/// number of targets changes a little.
#[test]
fn a_little_more_traffic_does_not_spread_over_many_nodes() {
    let mut all = nodes(60, 100);
    for node in &mut all[..4] {
        node.capacity_millicores = 500;
    }
    let count = |min_capacity_millicores| {
        let requirements = EntryRequirements {
            min_capacity_millicores,
            ..REQUIREMENTS
        };
        select_entries(&all, &data_centre("odd"), requirements).len()
    };
    assert_eq!([900, 1_000, 1_100, 1_400].map(count), [2; 4]);
    assert_eq!(count(1_600), 16);
}

/// Guards against a data centre without entry nodes, or with a single one, since its nodes are too
/// small or too few for its traffic.
#[test]
fn small_data_centres_use_what_they_have() {
    for count in 0..5 {
        let mut all = nodes(count * 2, 10);
        if let Some(first) = all.first_mut() {
            first.capacity_millicores = 15;
        }
        let selected = select_entries(&all, &data_centre("even"), REQUIREMENTS);
        assert_eq!(selected.len(), count);
    }
}

/// Guards against callers that all move to other nodes when one node is lost.
#[test]
fn the_loss_of_a_node_changes_no_other_selection() {
    let all = nodes(40, 200);
    let before = select_entries(&all, &data_centre("even"), REQUIREMENTS);
    let removed = before[1].vm.clone();
    let remaining: Vec<EntryNode> = all
        .iter()
        .filter(|node| node.vm != removed)
        .cloned()
        .collect();
    let after = select_entries(&remaining, &data_centre("even"), REQUIREMENTS);
    let kept = before.iter().filter(|node| after.contains(node)).count();
    assert_eq!(kept, before.len() - 1);
}

fn heartbeat(phase: EntryPhase, linked: bool) -> NodeHeartbeat {
    NodeHeartbeat {
        data_centre: data_centre("even"),
        caller_address: address(1),
        phase,
        carrying: true,
        capacity_millicores: 200,
        linked,
        routing_version: 1.into(),
        targets_version: 1.into(),
    }
}

/// Guards against callers that are sent to a node which has crashed or is about to stop.
#[test]
fn an_unresponsive_or_leaving_node_gets_no_callers() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    assert!(members.accept_message(at(0), &vm(1), 5, (MessageStream::Heartbeats, 1), ip));
    members.record_heartbeat(&vm(1), heartbeat(EntryPhase::Serving, true));
    assert_eq!(members.serving(at(1_000)).count(), 1);
    assert_eq!(members.serving(at(4_000)).count(), 0);
    assert!(members.accept_message(at(4_000), &vm(1), 5, (MessageStream::Heartbeats, 2), ip));
    members.record_heartbeat(&vm(1), heartbeat(EntryPhase::Leaving, true));
    assert_eq!(members.serving(at(4_100)).count(), 0);
}

/// Guards against a node that seems to have failed, since it sends no more heartbeats to other data
/// centres once it carries no traffic.
#[test]
fn all_nodes_hear_that_a_node_concerns_them_no_more() {
    let mut scope = HeartbeatScope::default();
    let heartbeats = [false, true, true, false, false, true, false];
    let to_all = heartbeats.map(|concerns_all| scope.includes_all(concerns_all));
    assert_eq!(to_all, [false, true, true, true, false, true, true]);
}

/// Guards against counts that are added twice, and against late messages of a process that has been
/// replaced.
#[test]
fn duplicates_and_messages_of_an_earlier_start_are_dropped() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    assert!(members.accept_message(at(0), &vm(1), 5, (MessageStream::Heartbeats, 7), ip));
    assert!(!members.accept_message(at(10), &vm(1), 5, (MessageStream::Heartbeats, 7), ip));
    assert!(members.accept_message(at(20), &vm(1), 9, (MessageStream::Heartbeats, 1), ip));
    assert!(!members.accept_message(at(30), &vm(1), 5, (MessageStream::Heartbeats, 8), ip));
}

/// Guards against a live node that seems unresponsive because its messages arrive in another order.
#[test]
fn a_heartbeat_that_counts_overtook_is_accepted() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    assert!(members.accept_message(at(0), &vm(1), 5, (MessageStream::Counts, 8), ip));
    assert!(members.accept_message(at(1), &vm(1), 5, (MessageStream::Heartbeats, 7), ip));
}

/// Guards against a restarted node that is ignored for good, since its start seems earlier than the
/// one before.
#[test]
fn a_node_whose_clock_jumped_back_between_starts_is_accepted_after_a_timeout() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    assert!(members.accept_message(at(0), &vm(1), 9_000, (MessageStream::Heartbeats, 50), ip));
    assert!(!members.accept_message(at(500), &vm(1), 7_000, (MessageStream::Heartbeats, 1), ip));
    assert!(members.accept_message(at(2_500), &vm(1), 7_000, (MessageStream::Heartbeats, 2), ip));
}

/// Guards against a node that is left out of the selection until its first heartbeat arrives.
#[test]
fn a_registered_node_is_potential_before_its_first_heartbeat() {
    let mut members = EntryMembers::default();
    let registration = NodeRegistration {
        started_at_ms: 5,
        data_centre: data_centre("even"),
        caller_address: address(1),
        capacity_millicores: 200,
    };
    members.register(at(0), vm(1), registration);
    assert_eq!(members.potential().count(), 1);
    assert_eq!(members.serving(at(0)).count(), 0);
}

/// Guards against a break in which a node did not read the store, for instance in an outage, and that is
/// forgotten once the node reads it again.
#[test]
fn a_node_has_read_the_store_since_its_last_break_only() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    let mut is_linked_since = |sequence: u64, linked: bool, since: u64| {
        let now = at(sequence * 1_000);
        let stream = (MessageStream::Heartbeats, sequence);
        members.accept_message(now, &vm(1), 5, stream, ip);
        members.record_heartbeat(&vm(1), heartbeat(EntryPhase::Serving, linked));
        members.has_node_linked_since(now, at(since))
    };
    assert!(!is_linked_since(1, true, 999));
    assert!(is_linked_since(2, true, 1_000));
    assert!(!is_linked_since(3, false, 1_000));
    assert!(!is_linked_since(4, true, 1_000));
    assert!(is_linked_since(5, true, 4_000));
    assert!(!members.has_node_linked_since(at(8_000), at(4_000)));
}

/// Guards against reliance on a node whose last message is too old to prove that it reads the
/// store.
#[test]
fn a_linked_node_counts_as_recent_for_the_given_time_only() {
    let mut members = EntryMembers::default();
    let ip = address(1).ip();
    members.accept_message(at(0), &vm(1), 5, (MessageStream::Heartbeats, 1), ip);
    members.record_heartbeat(&vm(1), heartbeat(EntryPhase::Serving, true));
    let age = Duration::from_millis(1_400);
    assert!(members.has_recent_linked_node(at(1_000), age));
    assert!(!members.has_recent_linked_node(at(1_500), age));
}

/// Guards against a node that counts as carrying traffic because of a stray request.
#[test]
fn single_requests_do_not_count_as_carrying_traffic() {
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

/// Guards against requests that take the route of a shorter prefix, of another host or of a prefix
/// that ends within a path segment.
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

/// Guards against a small destination that gets its part in bursts, or a destination of weight zero
/// that gets any.
#[test]
fn a_split_keeps_its_weights_after_every_request() {
    let destination = |name: &str, weight| Destination {
        service: name.parse().expect("a valid name"),
        weight,
    };
    let destinations = [
        destination("a", 90),
        destination("b", 10),
        destination("c", 0),
    ];
    let mut split = WeightedSplit::default();
    let mut counts = [0_i32; 3];
    for sent in 1..=1_000 {
        counts[split.next(&destinations)] += 1;
        let expected = f64::from(sent) * 0.1;
        assert!((f64::from(counts[1]) - expected).abs() <= 1.0);
    }
    assert_eq!(counts, [900, 100, 0]);
}

/// Guards against too few nodes for a service whose slots run many short requests.
#[test]
fn short_requests_need_more_cpu_capacity() {
    // 300 slots of 0.33 s run 900 requests a second of half a millisecond each, at half of the capacity.
    let slow = cpu_demand(300, Duration::from_secs(1));
    assert!((850.0..950.0).contains(&slow), "{slow}");
    let fast = cpu_demand(300, Duration::from_millis(250));
    assert!((fast / slow - 4.0).abs() < 0.01, "{fast}");
}

/// Guards against many nodes that fetch a change from one peer at once.
#[test]
fn each_rollout_step_has_twice_the_nodes_of_the_step_before() {
    let steps: Vec<u32> = (0..15).map(rollout_step).collect();
    assert_eq!(steps, [0, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3, 3, 3, 3, 3]);
}

/// Guards against nodes that count as partitioned since they have left, or since they send nothing to other
/// data centres, and against a partition that is not noticed.
#[test]
fn only_nodes_that_were_heard_regularly_are_silent() {
    let mut members = EntryMembers::default();
    let away = |carrying| NodeHeartbeat {
        data_centre: data_centre("away"),
        carrying,
        ..heartbeat(EntryPhase::Serving, false)
    };
    let idle = NodeHeartbeat {
        carrying: false,
        ..heartbeat(EntryPhase::Serving, false)
    };
    let heartbeats = [
        heartbeat(EntryPhase::Serving, false),
        heartbeat(EntryPhase::Leaving, false),
        idle,
        away(true),
        away(false),
    ];
    for (index, heartbeat) in heartbeats.into_iter().enumerate() {
        let ip = address(1).ip();
        let sequence = (MessageStream::Heartbeats, 1);
        assert!(members.accept_message(at(0), &vm(index), 5, sequence, ip));
        members.record_heartbeat(&vm(index), heartbeat);
    }
    let own = data_centre("even");
    let split = members.update_partition(at(1_000), &own);
    assert!(split.is_whole() && split.heard_part == 1.0, "{split:?}");
    // Those that carried traffic are silent; the idle one may have sent less.
    let split = members.update_partition(at(1_500), &own);
    assert_eq!(split.silent, IndexSet::from([vm(0), vm(3)]));
    // This node and the idle one of its data centre are heard. Of the other data centre nobody is.
    assert_eq!(split.heard_part, 2.0 / 5.0);
    let silent = IndexSet::from([vm(0), vm(2), vm(3)]);
    assert_eq!(members.update_partition(at(3_000), &own).silent, silent);
    // A partition may last longer than a node is remembered that sends nothing.
    members.tick(at(31_000));
    assert_eq!(members.iter().count(), 0);
    assert_eq!(members.update_partition(at(31_000), &own).silent, silent);
    let sequence = (MessageStream::Heartbeats, 2);
    assert!(members.accept_message(at(40_000), &vm(3), 5, sequence, address(1).ip()));
    let silent = IndexSet::from([vm(0), vm(2)]);
    assert_eq!(members.update_partition(at(40_000), &own).silent, silent);
    members.tick(at(640_000));
    assert!(members.update_partition(at(640_000), &own).is_whole());
}
