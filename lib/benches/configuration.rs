//! Measures the memory and time that a configuration of full size costs one node.
//!
//! Prints a table and one JSON line per figure. Memory is the growth of the process's resident
//! set. Run it with `cargo bench -p damaskloom-lib --bench configuration`.

use std::hint::black_box;
use std::time::Instant;

use damaskloom_lib::config::{
    ConfigChange, ConfigDelta, Customer, FleetConfig, KeyGrant, KeyState, Route, RouteAccess,
    Service,
};
use damaskloom_lib::key::{KeyDigest, RawKey};
use damaskloom_lib::key_table::KeyTable;
use damaskloom_lib::snapshot_transfer::{ConfigAssembly, SnapshotCursor, read_part};
use damaskloom_lib::units::{BurstSize, RequestRate};
use serde_json::json;

const CUSTOMERS: u64 = 510_000;
const ROUTES: u64 = 66_000;
const SERVICES: u64 = 2_700;
const SMALL_CUSTOMERS: u64 = 5_100;
const LOOKUPS: u32 = 2_000_000;
const DELTAS: u64 = 20_000;
const PAGE_BYTES: u64 = 4_096;

fn main() {
    measure_full_size();
    for customers in [SMALL_CUSTOMERS, CUSTOMERS] {
        measure_deltas(customers);
    }
}

fn measure_full_size() {
    let parts = snapshot_parts();
    let before = resident_bytes();
    let started = Instant::now();
    let mut assembly = ConfigAssembly::default();
    let last = parts.len() - 1;
    let json_bytes: usize = parts.iter().map(Vec::len).sum();
    for (index, part) in parts.iter().enumerate() {
        let changes: Vec<ConfigChange> = serde_json::from_slice(part).expect("made above");
        assembly.add_part(Default::default(), &changes, index == last);
    }
    let config = assembly.into_config();
    report(
        "load 510,000 customers, keys, 66,000 routes",
        "ms",
        millis(started),
    );
    report("snapshot as JSON", "MB", megabytes(json_bytes as u64));
    report(
        "configuration, resident",
        "MB",
        megabytes(resident_bytes() - before),
    );

    let before = resident_bytes();
    let table = KeyTable::default();
    let started = Instant::now();
    table.replace(config.keys.values());
    report("build key table", "ms", millis(started));
    report(
        "key table, resident",
        "MB",
        megabytes(resident_bytes().saturating_sub(before)),
    );
    measure_lookups(&table);
    assert_eq!(config.customers.len() as u64, CUSTOMERS);
    black_box(config);
}

fn measure_lookups(table: &KeyTable) {
    let digests: Vec<KeyDigest> = (0..10_000).map(|n| digest(n * 51)).collect();
    let started = Instant::now();
    for round in 0..LOOKUPS {
        let digest = &digests[round as usize % digests.len()];
        black_box(table.lookup(digest));
    }
    let nanos = started.elapsed().as_nanos() as f64 / f64::from(LOOKUPS);
    report("key lookup, digest known", "ns", nanos);
    let started = Instant::now();
    for round in 0..LOOKUPS / 10 {
        black_box(RawKey::new(format!("dlk-{round:048x}")).digest());
    }
    let nanos = started.elapsed().as_nanos() as f64 / f64::from(LOOKUPS / 10);
    report("key digest of 52 bytes", "ns", nanos);
}

fn measure_deltas(customers: u64) {
    let mut assembly = ConfigAssembly::default();
    let objects: Vec<ConfigChange> = (0..customers).flat_map(customer_and_key).collect();
    assembly.add_part(Default::default(), &objects, true);
    drop(objects);
    let mut config: FleetConfig = assembly.into_config();
    let table = KeyTable::default();
    table.replace(config.keys.values());
    let deltas: Vec<ConfigDelta> = (0..DELTAS)
        .map(|n| ConfigDelta {
            revision: damaskloom_lib::ids::Revision(n + 1),
            changes: vec![ConfigChange::PutKey(KeyGrant {
                state: KeyState::Withdrawn,
                ..grant(n * 7_919 % customers)
            })],
        })
        .collect();
    let started = Instant::now();
    for delta in &deltas {
        config.apply(delta).expect("the deltas are consecutive");
        black_box(table.apply(delta));
    }
    let nanos = started.elapsed().as_nanos() as f64 / DELTAS as f64;
    report(
        &format!("apply a withdrawal among {customers} keys"),
        "ns",
        nanos,
    );
}

/// Writes the snapshot as the parts that a node would load, so that only one is parsed at a time.
fn snapshot_parts() -> Vec<Vec<u8>> {
    let services = (0..SERVICES).map(|n| {
        ConfigChange::PutService(Service {
            id: format!("service-{n}").parse().expect("a valid name"),
            floor: 10,
            detection: Default::default(),
            policy: Default::default(),
            objective_ppm: 999_000,
        })
    });
    let objects: Vec<ConfigChange> = services
        .chain((0..ROUTES).map(route))
        .chain((0..CUSTOMERS).flat_map(customer_and_key))
        .collect();
    let mut assembly = ConfigAssembly::default();
    assembly.add_part(Default::default(), &objects, true);
    let config = assembly.into_config();
    let mut parts = Vec::new();
    let mut next = Some(SnapshotCursor::START);
    while let Some(cursor) = next {
        let part = read_part(&config, cursor, 64 << 10);
        parts.push(serde_json::to_vec(&part.changes).expect("text keys only"));
        next = part.next;
    }
    parts
}

fn customer_and_key(n: u64) -> [ConfigChange; 2] {
    let customer = Customer {
        id: customer_id(n),
        rate: RequestRate::from_per_second(10),
        burst: BurstSize(20),
        weight: 1,
    };
    [
        ConfigChange::PutCustomer(customer),
        ConfigChange::PutKey(grant(n)),
    ]
}

fn customer_id(n: u64) -> damaskloom_lib::ids::CustomerId {
    format!("customer-{n:06}").parse().expect("a valid name")
}

fn grant(n: u64) -> KeyGrant {
    KeyGrant {
        digest: digest(n),
        customer: customer_id(n),
        state: KeyState::Granted,
    }
}

fn digest(n: u64) -> KeyDigest {
    RawKey::new(format!("dlk-{n:048x}")).digest()
}

fn route(n: u64) -> ConfigChange {
    ConfigChange::PutRoute(Route {
        id: format!("route-{n}").parse().expect("a valid name"),
        path_prefix: format!("/service-{}/path/{n}", n % SERVICES),
        service: format!("service-{}", n % SERVICES)
            .parse()
            .expect("a valid name"),
        access: RouteAccess::Keyed,
        idempotence: Default::default(),
        request_id_header: None,
        directory_format: Default::default(),
        deadline_ms: 10_000,
        max_body: damaskloom_lib::units::ByteSize(1 << 20),
    })
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

fn millis(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e3
}

fn report(what: &str, unit: &str, value: f64) {
    println!("{what:<48} {value:>12.1} {unit}");
    println!(
        "{}",
        json!({"bench": "configuration", "figure": what, "unit": unit, "value": value})
    );
}
