//! Measures the memory and time that a node needs for a configuration of full size.
//!
//! Prints a table and one JSON line for each figure. Memory is the growth of the process's resident
//! set. Run it with `cargo bench -p damaskloom-lib --bench configuration`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use damaskloom_lib::config::{
    ConfigChange, ConfigDelta, Customer, FleetConfig, KeyGrant, KeyState, Route, RouteAccess,
    Service,
};
use damaskloom_lib::ids::{CustomerId, Revision};
use damaskloom_lib::key::{KeyDigest, RawKey};
use damaskloom_lib::key_table::KeyTable;
use damaskloom_lib::snapshot_transfer::ConfigAssembly;
use damaskloom_lib::units::{BurstSize, RequestRate};
use serde_json::json;

const CUSTOMER_COUNT: u64 = 510_000;
const ROUTE_COUNT: u64 = 66_000;
const SERVICE_COUNT: u64 = 2_700;
const SMALL_CUSTOMER_COUNT: u64 = 5_100;
const LOOKUP_COUNT: u32 = 2_000_000;
const DELTA_COUNT: u64 = 20_000;
const OBJECTS_PER_PART: usize = 4_096;
const PAGE_BYTES: u64 = 4_096;

fn main() {
    measure_full_size();
    for customers in [SMALL_CUSTOMER_COUNT, CUSTOMER_COUNT] {
        measure_deltas(customers);
    }
}

/// Loads the configuration part by part, as from a snapshot.
///
/// The JSON of each part is generated just before it is loaded, so that only one is in memory.
fn measure_full_size() {
    let before = resident_bytes();
    let mut loading = Duration::ZERO;
    let mut json_bytes = 0;
    let mut assembly = ConfigAssembly::default();
    let mut objects = all_objects();
    loop {
        let part: Vec<ConfigChange> = objects.by_ref().take(OBJECTS_PER_PART).collect();
        let is_last = part.len() < OBJECTS_PER_PART;
        let text = serde_json::to_vec(&part).expect("text keys only");
        drop(part);
        json_bytes += text.len();
        let started = Instant::now();
        let changes: Vec<ConfigChange> = serde_json::from_slice(&text).expect("made above");
        assembly.add_part(Revision::default(), &changes, is_last);
        loading += started.elapsed();
        if is_last {
            break;
        }
    }
    let config = assembly.into_config();
    let resident = resident_bytes() - before;
    report(
        "load 510,000 customers and keys, 66,000 routes",
        "ms",
        loading.as_secs_f64() * 1e3,
    );
    report("snapshot as JSON", "MB", json_bytes as f64 / 1e6);
    report("configuration, resident", "MB", resident as f64 / 1e6);
    measure_lookups(&config.keys);
    assert_eq!(config.customers.len() as u64, CUSTOMER_COUNT);
    black_box(config);
}

fn measure_lookups(table: &KeyTable) {
    let digests: Vec<KeyDigest> = (0..10_000).map(|n| digest(n * 51)).collect();
    let started = Instant::now();
    for round in 0..LOOKUP_COUNT {
        let digest = &digests[round as usize % digests.len()];
        black_box(table.lookup(digest));
    }
    let nanos = started.elapsed().as_nanos() as f64 / f64::from(LOOKUP_COUNT);
    report("key lookup, digest known", "ns", nanos);
    let started = Instant::now();
    for round in 0..LOOKUP_COUNT / 10 {
        black_box(RawKey::new(format!("dlk-{round:048x}")).digest());
    }
    let nanos = started.elapsed().as_nanos() as f64 / f64::from(LOOKUP_COUNT / 10);
    report("key digest of 52 bytes", "ns", nanos);
}

fn measure_deltas(customers: u64) {
    let mut assembly = ConfigAssembly::default();
    for n in 0..customers {
        let objects = [
            ConfigChange::PutCustomer(customer(n)),
            ConfigChange::PutKey(grant(n)),
        ];
        assembly.add_part(Revision::default(), &objects, n + 1 == customers);
    }
    let mut config: FleetConfig = assembly.into_config();
    let deltas: Vec<ConfigDelta> = (0..DELTA_COUNT)
        .map(|n| ConfigDelta {
            revision: Revision(n + 1),
            changes: vec![ConfigChange::PutKey(KeyGrant {
                state: KeyState::Withdrawn,
                ..grant(n * 7_919 % customers)
            })],
        })
        .collect();
    let started = Instant::now();
    for delta in &deltas {
        black_box(config.keys.revoked_by_delta(delta));
        config.apply(delta).expect("the deltas are consecutive");
    }
    let nanos = started.elapsed().as_nanos() as f64 / DELTA_COUNT as f64;
    report(
        &format!("apply a withdrawal among {customers} keys"),
        "ns",
        nanos,
    );
}

fn all_objects() -> impl Iterator<Item = ConfigChange> {
    let services = (0..SERVICE_COUNT).map(|n| {
        ConfigChange::PutService(Service {
            id: format!("service-{n}").parse().expect("a valid name"),
            floor: 10,
            detection: Default::default(),
            policy: Default::default(),
            objective_ppm: 999_000,
        })
    });
    let routes = (0..ROUTE_COUNT).map(route);
    let customers = (0..CUSTOMER_COUNT).map(|n| ConfigChange::PutCustomer(customer(n)));
    let keys = (0..CUSTOMER_COUNT).map(|n| ConfigChange::PutKey(grant(n)));
    services.chain(routes).chain(customers).chain(keys)
}

fn customer(n: u64) -> Customer {
    Customer {
        id: customer_id(n),
        rate: RequestRate::from_per_second(10),
        burst: BurstSize(20),
        weight: 1,
    }
}

fn customer_id(n: u64) -> CustomerId {
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
        path_prefix: format!("/service-{}/path/{n}", n % SERVICE_COUNT),
        service: format!("service-{}", n % SERVICE_COUNT)
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

fn report(what: &str, unit: &str, value: f64) {
    println!("{what:<48} {value:>12.1} {unit}");
    println!(
        "{}",
        json!({"bench": "configuration", "figure": what, "unit": unit, "value": value})
    );
}
