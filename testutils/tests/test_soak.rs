//! The soak's own parts: plans repeat, proxies do what a fault says, and every broken promise is found.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use damaskloom_testutils::soak_ledger::{
    NodeTrouble, RunRecord, SeenEnd, SentRequest, SoakCustomer, SoakLedger,
};
use damaskloom_testutils::soak_plan::{PathFault, SoakFault, SoakSize, plan};
use damaskloom_testutils::soak_proxy::PathProxy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SIZE: SoakSize = SoakSize {
    nodes: 4,
    targets: 6,
    callers: 1,
    length_ms: 20_000,
};

/// Long enough for a busy machine.
const LONG: Duration = Duration::from_secs(60);
/// How long nothing may come of a cut path.
const SHORT: Duration = Duration::from_millis(200);

const CUSTOMERS: [SoakCustomer; 2] = [
    SoakCustomer {
        name: "hauliers",
        keys: &["key-1"],
        rate_per_s: 0.0,
    },
    SoakCustomer {
        name: "ferries",
        keys: &["key-2"],
        rate_per_s: 1.0,
    },
];

fn kind(fault: SoakFault) -> String {
    let text = format!("{fault:?}");
    text.split('(').next().unwrap_or_default().to_owned()
}

#[test]
fn a_seed_gives_the_same_plan_and_seeds_cover_every_fault() {
    assert_eq!(plan(7, SIZE), plan(7, SIZE));
    assert_ne!(plan(7, SIZE), plan(8, SIZE));
    let all = (0..30).flat_map(|seed| plan(seed, SIZE));
    let kinds: BTreeSet<String> = all.map(|planned| kind(planned.fault)).collect();
    let kinds: Vec<String> = kinds.into_iter().collect();
    insta::assert_snapshot!(kinds.join(" "), @"AllKilled KeyWithdrawn LimitChanged NodeKilled NodePaused NodeReloaded NodeStopped Store StorePath Target TargetPath TargetReplaced");
}

/// A proxy before a server that sends back what it gets.
async fn echo() -> PathProxy {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    PathProxy::start(address)
        .await
        .expect("loopback has a free port")
}

async fn ask(stream: &mut TcpStream, limit: Duration) -> Option<std::io::Result<usize>> {
    let mut answer = [0; 4];
    if let Err(error) = stream.write_all(b"ping").await {
        return Some(Err(error));
    }
    tokio::time::timeout(limit, stream.read(&mut answer))
        .await
        .ok()
}

#[tokio::test]
async fn a_path_passes_delays_and_cuts_as_it_is_told() {
    let proxy = echo().await;
    let connect = async || {
        let stream = TcpStream::connect(proxy.address()).await;
        stream.expect("the proxy accepts")
    };
    let mut stream = connect().await;
    for fault in [PathFault::None, PathFault::Delayed(30)] {
        proxy.set_fault(fault);
        let answer = ask(&mut stream, LONG).await.expect("an answer");
        assert_eq!(answer.expect("no error"), 4, "{fault:?}");
    }
    for fault in [
        PathFault::Silent,
        PathFault::CutToServer,
        PathFault::CutToCaller,
    ] {
        proxy.set_fault(fault);
        let mut cut = connect().await;
        assert!(ask(&mut cut, SHORT).await.is_none(), "{fault:?}");
        proxy.set_fault(PathFault::None);
        assert!(
            ask(&mut cut, SHORT).await.is_none(),
            "cut for good: {fault:?}"
        );
        let answer = ask(&mut connect().await, LONG).await.expect("an answer");
        assert_eq!(answer.expect("no error"), 4);
    }
    proxy.set_fault(PathFault::Reset);
    let ended = ask(&mut stream, LONG).await.expect("the connection ends");
    assert!(matches!(ended, Err(_) | Ok(0)), "{ended:?}");
}

fn sent(customer: Option<usize>, once: bool, end: Option<SeenEnd>) -> SentRequest {
    let now = Instant::now();
    SentRequest {
        customer,
        service: "desk",
        once,
        path: "/book/a".to_owned(),
        node: 0,
        sent_at: now,
        end: end.map(|end| (end, now)),
    }
}

fn run(id: &str) -> RunRecord {
    RunRecord {
        id: id.to_owned(),
        at: Instant::now(),
        target: "t-1".to_owned(),
        service: "desk",
        customer: Some("hauliers".to_owned()),
        has_key: false,
        path: "/book/a".to_owned(),
        is_own_body: true,
    }
}

fn answer(status: u16) -> Option<SeenEnd> {
    Some(SeenEnd::Answer {
        status,
        has_receipt: true,
        is_own_body: true,
    })
}

/// Returns the broken promises of a ledger.
fn broken(requests: Vec<SentRequest>, runs: Vec<RunRecord>) -> Vec<&'static str> {
    let ledger = Arc::new(SoakLedger::default());
    for request in requests {
        ledger.note_sent("a", request);
    }
    for run in runs {
        ledger.note_run(run);
    }
    let breaches = ledger.breaches(&CUSTOMERS);
    breaches.into_iter().map(|breach| breach.promise).collect()
}

#[test]
fn what_keeps_the_promises_is_no_breach() {
    assert!(broken(vec![sent(Some(0), true, answer(200))], vec![run("a")]).is_empty());
    assert!(broken(vec![sent(Some(0), true, answer(503))], vec![]).is_empty());
    assert!(
        broken(
            vec![sent(Some(0), false, answer(200))],
            vec![run("a"), run("a")]
        )
        .is_empty()
    );
    // A lookup may have run before it was refused; it can be asked again.
    assert!(broken(vec![sent(Some(0), false, answer(503))], vec![run("a")]).is_empty());
}

#[test]
fn every_broken_promise_is_found() {
    let booking = |end| vec![sent(Some(0), true, end)];
    let changed = |change: fn(&mut RunRecord)| {
        let mut run = run("a");
        change(&mut run);
        vec![run]
    };
    let other_answer = Some(SeenEnd::Answer {
        status: 200,
        has_receipt: true,
        is_own_body: false,
    });
    let cases = [
        broken(booking(answer(200)), vec![run("a"), run("a")]),
        broken(booking(answer(503)), vec![run("a")]),
        broken(booking(answer(200)), vec![]),
        broken(booking(other_answer), vec![run("a")]),
        broken(booking(Some(SeenEnd::Broken)), vec![run("a")]),
        broken(vec![], vec![run("a")]),
        broken(booking(None), changed(|run| run.path.push('x'))),
        broken(booking(None), changed(|run| run.is_own_body = false)),
        broken(booking(None), changed(|run| run.service = "berth")),
        broken(booking(None), changed(|run| run.has_key = true)),
        broken(booking(None), changed(|run| run.customer = None)),
        broken(vec![sent(None, true, None)], vec![run("a")]),
    ];
    let found: Vec<String> = cases.iter().map(|promises| promises.join(", ")).collect();
    insta::assert_snapshot!(found.join("\n"), @r#"
    a booking runs at most once
    a refusal that says "not run" is true
    a success was run
    a success is the target's whole answer to this request
    a node that is left alone, or stopped as planned, answers what it read
    only what a caller sent is run
    requests reach targets unchanged
    requests reach targets unchanged
    a request runs at the service of its route
    no target sees a caller's key
    a request runs for the customer that holds its key
    a key that nobody had lets nothing run
    "#);
}

#[test]
fn what_a_fault_of_the_node_broke_is_excused() {
    let ledger = SoakLedger::default();
    let now = Instant::now();
    ledger.note_sent("a", sent(Some(0), true, Some(SeenEnd::Broken)));
    ledger.note_run(run("a"));
    ledger.note_trouble(NodeTrouble {
        node: 0,
        from: now,
        to: now + LONG,
    });
    assert!(ledger.breaches(&CUSTOMERS).is_empty());
}

#[test]
fn a_customer_over_its_rate_is_found() {
    let ledger = SoakLedger::default();
    // One a second with a burst of one, and what the platform bears: 26 in five seconds.
    for number in 0..30 {
        let id = number.to_string();
        ledger.note_sent(&id, sent(Some(1), true, answer(200)));
        let mut run = run(&id);
        run.customer = Some("ferries".to_owned());
        ledger.note_run(run);
    }
    let breaches = ledger.breaches(&CUSTOMERS);
    assert_eq!(breaches.len(), 1, "{breaches:?}");
    assert_eq!(breaches[0].seen, "ferries: 30 in a window, 27 allowed");
}
