//! A request id runs at most once, whatever fails among gateways, owners and the store.

use std::time::Duration;

use damaskloom_lib::claim_action::{ClaimAction, ClaimLimits, RowRead, RowWrite};
use damaskloom_lib::claim_client::{
    ClaimAssignment, ClaimClient, ClaimClientAction, ClaimDecision, ClaimTimes,
};
use damaskloom_lib::claim_log::ClaimLog;
use damaskloom_lib::claim_message::{
    ClaimMessage, ClaimResult, ClaimTicket, FirstClaim, RetainedAnswer, RetainedHeader,
};
use damaskloom_lib::claim_takeover::ClaimCertainty;
use damaskloom_lib::ids::{Epoch, NodeId};
use damaskloom_lib::outcome::Execution;
use damaskloom_lib::time::MonoTime;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::claim_fleet::{ClaimFleet, data_centre, fingerprint, key, node};

const HISTORIES: u32 = 10_000;
const EVENTS: usize = 200;

/// Guards against a second run of a request, or a false refusal as not run, when generated
/// histories of faults lose messages, nodes, claims or writes.
#[test]
fn no_history_runs_a_request_twice() {
    let config = Config {
        cases: HISTORIES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut ran = 0;
    let outcome = TestRunner::new_with_rng(config, rng).run(&proptest::num::u64::ANY, |seed| {
        let mut fleet = ClaimFleet::new(seed);
        fleet.run(EVENTS);
        let most = fleet.executions.values().map(Vec::len).max();
        proptest::prop_assert!(most.unwrap_or(0) <= 1, "{:?}", fleet.executions);
        proptest::prop_assert_eq!(fleet.false_not_run, 0);
        Ok(())
    });
    outcome.expect("no request runs twice");
    for seed in 0..100 {
        let mut fleet = ClaimFleet::new(seed);
        fleet.run(EVENTS);
        ran += fleet.executions.len();
    }
    assert!(
        ran > 100,
        "the histories prove little if few requests run: {ran}"
    );
}

const NOW: MonoTime = MonoTime::from_millis(1_000_000);

fn later(millis: u64) -> MonoTime {
    NOW + Duration::from_millis(millis)
}

/// Makes an owner that knows all claims, and a gateway.
fn owner() -> (ClaimLog, NodeId) {
    owner_with(ClaimLimits::default())
}

fn owner_with(limits: ClaimLimits) -> (ClaimLog, NodeId) {
    let mut log = ClaimLog::new(node(0, 0), limits);
    log.enter_epoch(NOW, Epoch(1), []);
    (log, node(1, 0))
}

fn ticket(number: u64) -> ClaimTicket {
    ClaimTicket {
        holder: node(1, 0),
        number,
    }
}

fn claim(number: u64, content: usize) -> ClaimMessage {
    ClaimMessage::Claim {
        epoch: Epoch(1),
        key: key(0),
        ticket: ticket(number),
        fingerprint: fingerprint(content),
        copy_holder: Some(node(3, 0)),
    }
}

fn messages(actions: Vec<ClaimAction>) -> Vec<ClaimMessage> {
    let sent = actions.into_iter().map(|action| match action {
        ClaimAction::Send { message, .. } => message,
        other => panic!("not a message: {other:?}"),
    });
    sent.collect()
}

fn granted(number: u64) -> Vec<ClaimMessage> {
    vec![ClaimMessage::Granted {
        key: key(0),
        ticket: ticket(number),
    }]
}

fn duplicate(number: u64, first: FirstClaim) -> Vec<ClaimMessage> {
    vec![ClaimMessage::Duplicate {
        key: key(0),
        ticket: ticket(number),
        first,
    }]
}

fn unavailable(number: u64, execution: Execution) -> Vec<ClaimMessage> {
    vec![ClaimMessage::Unavailable {
        key: key(0),
        ticket: ticket(number),
        execution,
    }]
}

fn complete(log: &mut ClaimLog, from: &NodeId, number: u64, result: ClaimResult) {
    let message = ClaimMessage::Complete {
        key: key(0),
        ticket: ticket(number),
        result,
    };
    log.handle(NOW, from, message);
}

fn answer(size: usize) -> RetainedAnswer {
    RetainedAnswer {
        status: 201,
        headers: Vec::new(),
        body: vec![b'x'; size].into(),
    }
}

/// Guards against a retry that runs again or gets the answer of other content. It finds the first
/// attempt in flight, answered, answered with too large a body to retain, or with another body.
#[test]
fn a_retry_gets_the_retained_answer_unless_it_is_large() {
    for (size, first) in [
        (100, FirstClaim::Answered(answer(100))),
        (100_000, FirstClaim::Spent),
    ] {
        let (mut log, gateway) = owner();
        log.handle(NOW, &gateway, claim(1, 0));
        let sent = log.row_written(NOW, &key(0), RowWrite::Committed);
        assert_eq!(messages(sent), granted(1));
        let busy = log.handle(NOW, &gateway, claim(2, 0));
        assert_eq!(messages(busy), duplicate(2, FirstClaim::Busy));
        complete(&mut log, &gateway, 1, ClaimResult::Answered(answer(size)));
        let sent = log.handle(NOW, &gateway, claim(3, 0));
        assert_eq!(messages(sent), duplicate(3, first));
        let other = log.handle(NOW, &gateway, claim(4, 1));
        assert_eq!(messages(other), duplicate(4, FirstClaim::Reused));
    }
}

/// Guards against an id that stays unusable after an attempt that certainly did not run.
#[test]
fn a_request_that_did_not_run_may_be_claimed_again() {
    let (mut log, gateway) = owner();
    log.handle(NOW, &gateway, claim(1, 0));
    log.row_written(NOW, &key(0), RowWrite::Committed);
    complete(&mut log, &gateway, 1, ClaimResult::NotRun);
    assert_eq!(messages(log.handle(NOW, &gateway, claim(2, 0))), granted(2));
}

/// Guards against two runs of one id: after the epoch has changed, another owner may have granted a
/// claim that is still open here.
#[test]
fn an_open_claim_is_spent_in_the_next_epoch() {
    let (mut log, gateway) = owner();
    log.handle(NOW, &gateway, claim(1, 0));
    log.row_written(NOW, &key(0), RowWrite::Committed);
    complete(&mut log, &gateway, 1, ClaimResult::NotRun);
    log.enter_epoch(NOW, Epoch(2), []);
    let mut again = claim(2, 0);
    if let ClaimMessage::Claim { epoch, .. } = &mut again {
        *epoch = Epoch(2);
    }
    let sent = messages(log.handle(NOW, &gateway, again));
    assert_eq!(sent, duplicate(2, FirstClaim::Spent));
}

/// Guards against a grant on a guess: a write whose answer is lost may have taken effect, for this
/// attempt or for another one.
#[test]
fn a_lost_write_is_read_back_before_anything_runs() {
    let (mut log, gateway) = owner();
    let written = log.handle(NOW, &gateway, claim(1, 0));
    let [ClaimAction::WriteRow { row, .. }] = written.as_slice() else {
        panic!("the claim is written first: {written:?}");
    };
    let sent = log.row_written(NOW, &key(0), RowWrite::AnswerLost);
    assert_eq!(sent, [ClaimAction::ReadRow { key: key(0) }]);
    let mut other = log.clone();
    let own = log.row_read(NOW, &key(0), RowRead::Found(row.clone()));
    assert_eq!(messages(own), granted(1));
    let mut foreign = row.clone();
    foreign.ticket = ticket(77);
    let sent = other.row_read(NOW, &key(0), RowRead::Found(foreign));
    assert_eq!(messages(sent), duplicate(1, FirstClaim::Spent));
}

/// Guards against a run whose only record is lost with its owner while the store is unavailable.
/// Without a copy the request is refused; with one, the claim is written once the store recovers.
#[test]
fn without_the_store_a_second_data_centre_must_hold_the_claim() {
    let (mut log, gateway) = owner();
    log.handle(NOW, &gateway, claim(1, 0));
    let requested = log.row_written(NOW, &key(0), RowWrite::Unavailable);
    let requested = messages(requested);
    assert!(
        matches!(requested[..], [ClaimMessage::Copy { .. }]),
        "{requested:?}"
    );
    let mut unanswered = log.clone();
    let ack = ClaimMessage::CopyAck {
        key: key(0),
        ticket: ticket(1),
    };
    assert_eq!(messages(log.handle(NOW, &node(3, 0), ack)), granted(1));
    let sent = messages(unanswered.tick(later(250)));
    assert_eq!(sent, unavailable(1, Execution::NotRun));

    log.store_recovered();
    let flushed = log.tick(later(1_000));
    assert!(
        matches!(flushed[..], [ClaimAction::WriteRow { .. }]),
        "{flushed:?}"
    );
    log.row_written(later(1_000), &key(0), RowWrite::Committed);
    assert_eq!(log.tick(later(2_000)), []);
}

/// Guards against a grant by an owner that has not noticed that a later epoch, with another owner,
/// has begun.
/// Guards against an id that stays busy after a refusal: a resent claim of the refused attempt arrives
/// after the refusal, and is granted although its gateway has given the attempt up.
#[test]
fn a_resent_claim_of_a_refused_attempt_is_not_granted() {
    let (mut log, gateway) = owner();
    let write = log.handle(NOW, &gateway, claim(1, 0));
    assert!(matches!(write[..], [ClaimAction::WriteRow { .. }]));
    log.row_written(NOW, &key(0), RowWrite::Unavailable);
    let refused = log.tick(later(300));
    assert_eq!(messages(refused), unavailable(1, Execution::NotRun));
    let again = log.handle(later(300), &gateway, claim(1, 0));
    assert_eq!(messages(again), unavailable(1, Execution::Unknown));
    let next = messages(log.handle(later(400), &gateway, claim(2, 0)));
    assert!(matches!(next[..], [ClaimMessage::Copy { .. }]), "{next:?}");
    let ack = ClaimMessage::CopyAck {
        key: key(0),
        ticket: ticket(1),
    };
    let answer = log.handle(later(410), &node(3, 0), ack);
    assert_eq!(messages(answer), granted(2));
}

#[test]
fn a_copy_holder_of_a_later_epoch_refuses() {
    let (mut log, gateway) = owner();
    log.handle(NOW, &gateway, claim(1, 0));
    let requested = messages(log.row_written(NOW, &key(0), RowWrite::Unavailable));
    let mut holder = ClaimLog::new(node(3, 0), ClaimLimits::default());
    holder.enter_epoch(NOW, Epoch(2), []);
    let sent = messages(holder.handle(NOW, &node(0, 0), requested[0].clone()));
    let sent = messages(log.handle(NOW, &node(3, 0), sent[0].clone()));
    assert_eq!(sent, unavailable(1, Execution::Unknown));
}

/// Guards against an owner that counts itself as lost, since a peer still waits for its handover
/// and therefore lists it among the nodes that may be lost. It would stay uncertain of all claims.
#[test]
fn an_owner_ignores_its_own_entry_among_lost_nodes() {
    let mut logs = [0, 2].map(|vm| {
        let mut log = ClaimLog::new(node(vm, 0), ClaimLimits::default());
        log.enter_epoch(NOW, Epoch(1), []);
        log
    });
    // Both lost the same third node, and neither has a handover from the other yet.
    for (log, other) in logs.iter_mut().zip([2, 0]) {
        let sources = [other, 1].map(|vm| (node(vm, 0), data_centre(vm)));
        log.enter_epoch(NOW, Epoch(2), sources);
        log.source_lost(NOW, &node(1, 0));
    }
    let handover = logs[1].handover(NOW, |_| true);
    logs[0].handle(NOW, &node(2, 0), handover);
    assert_eq!(logs[0].certainty(), ClaimCertainty::KnownWithStore);
}

/// Guards against a false "not run" after nodes of earlier epochs stopped without a handover.
#[test]
fn an_owner_that_may_have_lost_claims_answers_unknown() {
    let mut log = ClaimLog::new(node(0, 1), ClaimLimits::default());
    let sources = [0, 1, 2, 3].map(|vm| (node(vm, 0), data_centre(vm)));
    log.enter_epoch(NOW, Epoch(1), sources);
    assert_eq!(log.certainty(), ClaimCertainty::Uncertain);
    let sent = log.handle(NOW, &node(1, 0), claim(1, 0));
    assert_eq!(messages(sent), unavailable(1, Execution::Unknown));

    for vm in [1, 3] {
        let handover = ClaimMessage::Handover {
            epoch: Epoch(1),
            claims: Vec::new(),
            lost: Vec::new(),
            losses_unknown_ms: None,
        };
        log.handle(NOW, &node(vm, 0), handover);
    }
    // Both are in one data centre, so that no claim was held by these two only.
    log.source_lost(NOW, &node(0, 0));
    log.source_lost(NOW, &node(2, 0));
    assert_eq!(log.certainty(), ClaimCertainty::KnownWithStore);
    log.handle(NOW, &node(1, 0), claim(2, 0));
    let sent = log.row_written(NOW, &key(0), RowWrite::Unavailable);
    assert_eq!(messages(sent), unavailable(2, Execution::Unknown));
    log.tick(later(600_000));
    assert_eq!(log.certainty(), ClaimCertainty::Known);
}

/// Guards against a second run of a request whose claim was dropped to make room for another one.
#[test]
fn a_full_log_refuses_and_drops_nothing() {
    let (mut log, gateway) = owner_with(ClaimLimits {
        max_claims: 1,
        ..ClaimLimits::default()
    });
    log.handle(NOW, &gateway, claim(1, 0));
    log.row_written(NOW, &key(0), RowWrite::Committed);
    let second = ClaimMessage::Claim {
        epoch: Epoch(1),
        key: key(1),
        ticket: ticket(2),
        fingerprint: fingerprint(0),
        copy_holder: None,
    };
    let sent = messages(log.handle(NOW, &gateway, second));
    let expected = ClaimMessage::Unavailable {
        key: key(1),
        ticket: ticket(2),
        execution: Execution::NotRun,
    };
    assert_eq!(sent, [expected]);
    let first = messages(log.handle(NOW, &gateway, claim(3, 0)));
    assert_eq!(first, duplicate(3, FirstClaim::Busy));
    let expired = log.tick(later(600_000));
    let (key, ticket) = (key(0), ticket(1));
    assert_eq!(expired, [ClaimAction::DeleteRow { key, ticket }]);
    assert!(log.is_empty());
}

/// Guards against unbounded memory: an answer above the total limit is dropped, but its claim stays
/// spent.
#[test]
fn answers_are_retained_up_to_a_limit() {
    let (mut log, gateway) = owner_with(ClaimLimits {
        max_retained_bytes: 50,
        ..ClaimLimits::default()
    });
    log.handle(NOW, &gateway, claim(1, 0));
    log.row_written(NOW, &key(0), RowWrite::Committed);
    complete(&mut log, &gateway, 1, ClaimResult::Answered(answer(51)));
    let sent = messages(log.handle(NOW, &gateway, claim(2, 0)));
    assert_eq!(sent, duplicate(2, FirstClaim::Spent));
}

/// Guards against a run after a long pause of the gateway, when the owner may have dropped the
/// claim and granted the id again.
#[test]
fn a_gateway_that_was_paused_does_not_run_an_old_grant() {
    let mut client = ClaimClient::new(node(1, 0), ClaimTimes::default());
    let assignment = ClaimAssignment {
        epoch: Epoch(1),
        owner: node(0, 0),
        copy_holder: None,
    };
    let (ticket, _) = client.claim(NOW, key(0), fingerprint(0), assignment);
    let granted = ClaimMessage::Granted {
        key: key(0),
        ticket: ticket.clone(),
    };
    let decided = client.handle(later(10), granted);
    let run = ClaimClientAction::Decide {
        ticket: ticket.clone(),
        decision: ClaimDecision::Run,
    };
    assert_eq!(decided, [run]);
    assert!(client.may_run(later(29_999), &ticket));
    assert!(!client.may_run(later(30_000), &ticket));
}

/// Guards against an answer that changes on the way between nodes, as header values and bodies need
/// not be UTF-8.
#[test]
fn any_answer_survives_serialisation() {
    let answer = RetainedAnswer {
        status: 200,
        headers: vec![RetainedHeader {
            name: "x-raw".to_owned(),
            value: vec![0xff, b'a'].into(),
        }],
        body: (0..=255).collect::<Vec<u8>>().into(),
    };
    let json = serde_json::to_string(&answer).expect("it serialises");
    let read: RetainedAnswer = serde_json::from_str(&json).expect("it is read");
    assert_eq!(read, answer);
}
