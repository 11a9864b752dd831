//! Measures the time and memory for each claim, and the size of a handover.

use std::time::{Duration, Instant};

use damaskloom_lib::claim_action::{ClaimLimits, RowWrite};
use damaskloom_lib::claim_log::ClaimLog;
use damaskloom_lib::claim_message::{
    BodyFingerprint, ClaimKey, ClaimMessage, ClaimResult, ClaimTicket, RequestId, RetainedAnswer,
};
use damaskloom_lib::ids::{Epoch, Incarnation, NodeId};
use damaskloom_lib::time::MonoTime;

const CLAIM_COUNTS: [u64; 3] = [1_000, 10_000, 100_000];
const ANSWER_BYTES: usize = 200;

fn main() {
    println!(
        "{:>8} {:>10} {:>12} {:>14}",
        "claims", "ns/claim", "bytes/claim", "handover bytes"
    );
    for claims in CLAIM_COUNTS {
        let before = resident_bytes();
        let start = Instant::now();
        let log = fill(claims);
        let nanos = start.elapsed().as_nanos() as u64 / claims;
        let bytes = resident_bytes().saturating_sub(before) / claims;
        let message = log.handover(MonoTime::from_millis(1_000), |_| true);
        let json = serde_json::to_vec(&message).expect("messages serialise");
        let handover = json.len() as u64 / claims;
        println!("{claims:>8} {nanos:>10} {bytes:>12} {handover:>14}");
        println!(
            "{{\"bench\":\"claims\",\"claims\":{claims},\"ns_per_claim\":{nanos},\
             \"bytes_per_claim\":{bytes},\"handover_bytes_per_claim\":{handover}}}"
        );
        std::mem::forget(log);
    }
}

/// Claims, grants and completes requests, as on the owner of their claims with the store available.
fn fill(claims: u64) -> ClaimLog {
    let limits = ClaimLimits {
        max_retained_bytes: 1 << 30,
        ..ClaimLimits::default()
    };
    let now = MonoTime::from_millis(1_000);
    let (owner, gateway) = (node("home"), node("gateway"));
    let mut log = ClaimLog::new(owner, limits);
    log.enter_epoch(now, Epoch(1), []);
    for number in 0..claims {
        let request_id = format!("device-17-{number}");
        let key = ClaimKey {
            customer: "acme".parse().expect("the name is an identifier"),
            request_id: RequestId::try_from(request_id).expect("the id is short"),
        };
        let ticket = ClaimTicket {
            holder: gateway.clone(),
            number,
        };
        let claim = ClaimMessage::Claim {
            epoch: Epoch(1),
            key: key.clone(),
            ticket: ticket.clone(),
            fingerprint: BodyFingerprint::of([key.request_id.to_string().as_bytes()]),
            copy_holder: None,
        };
        log.handle(now, &gateway, claim);
        log.row_written(now, &key, RowWrite::Committed);
        let answer = RetainedAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![b'x'; ANSWER_BYTES].into(),
        };
        let complete = ClaimMessage::Complete {
            key,
            ticket,
            result: ClaimResult::Answered(answer),
        };
        log.handle(now + Duration::from_millis(5), &gateway, complete);
    }
    log
}

fn node(name: &str) -> NodeId {
    NodeId {
        vm: name.parse().expect("the name is an identifier"),
        incarnation: Incarnation(0),
    }
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
