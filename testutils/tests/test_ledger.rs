//! Tests of the call ledger: it reports each broken promise, and nothing in a correct run.

use std::collections::BTreeMap;

use damaskloom_testutils::ledger_breach::LedgerBreach;
use damaskloom_testutils::ledger_check::{CallLedger, CustomerTerms, LedgerBounds};
use damaskloom_testutils::ledger_rate::{RateAllowance, TIME_QUANTUM_MICROS, find_excess};
use damaskloom_testutils::ledger_record::{CallOutcome, CallRecord};
use damaskloom_testutils::target_state::ExecutionRecord;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MS: u64 = 1_000;
const KEY: &str = "k-acme/7";

fn call(nonce: &str, sent: u64, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        nonce: nonce.to_owned(),
        customer: "acme".to_owned(),
        path: "/book".to_owned(),
        idempotent: false,
        has_request_id: true,
        attempt: 0,
        entry: None,
        intended_micros: sent,
        sent_micros: sent,
        ended_micros: sent + 10 * MS,
        body_digest: 7,
        outcome,
    }
}

fn run(nonce: &str, target: &str, started: u64) -> ExecutionRecord {
    ExecutionRecord {
        target: target.to_owned(),
        request_id: Some(nonce.to_owned()),
        nonce: Some(nonce.to_owned()),
        customer: Some("acme".to_owned()),
        path: "/book".to_owned(),
        head: "POST /book\nhost: a\n".to_owned(),
        body_digest: 7,
        body_unread: false,
        started_micros: started,
        finished: true,
    }
}

fn refused(execution: &str, reason: &str) -> CallOutcome {
    CallOutcome::Refused {
        status: 503,
        execution: execution.to_owned(),
        reason: reason.to_owned(),
    }
}

fn ledger(calls: Vec<CallRecord>, executions: Vec<ExecutionRecord>) -> CallLedger {
    let terms = CustomerTerms {
        key: Some(KEY.to_owned()),
        allowance: Some(RateAllowance {
            rate: 10.0,
            burst: 5.0,
        }),
        withdrawn_micros: None,
    };
    CallLedger {
        calls,
        executions,
        terms: BTreeMap::from([("acme".to_owned(), terms)]),
        bounds: LedgerBounds {
            wrong_refusals_ppm: Some(0),
            withdrawal_ms: 7_000,
        },
    }
}

fn only_breach(ledger: &CallLedger) -> LedgerBreach {
    let verdict = ledger.check();
    assert_eq!(verdict.breaches.len(), 1, "{verdict}");
    assert_eq!(verdict.exit_code(), 1);
    verdict.breaches[0].clone()
}

fn assert_holds(ledger: &CallLedger) {
    let verdict = ledger.check();
    assert!(verdict.holds(), "{verdict}");
}

#[test]
fn a_correct_run_breaks_no_promise() {
    let mut resend = call("b", 30 * MS, refused("unknown", "request-id-spent"));
    resend.attempt = 1;
    let calls = vec![
        call("a", 0, CallOutcome::Answered(200)),
        call("b", 20 * MS, CallOutcome::Lost),
        resend,
        call("c", 40 * MS, refused("not-run", "no-target")),
    ];
    let executions = vec![run("a", "t1", MS), run("b", "t2", 21 * MS)];
    assert_holds(&ledger(calls, executions));
}

#[test]
fn a_second_execution_is_reported() {
    let mut resend = call("a", 20 * MS, CallOutcome::Answered(200));
    resend.attempt = 1;
    let calls = vec![call("a", 0, CallOutcome::Lost), resend];
    let executions = vec![run("a", "t1", MS), run("a", "t2", 21 * MS)];
    let mut ledger = ledger(calls, executions);
    let targets = vec!["t1".to_owned(), "t2".to_owned()];
    let nonce = "a".to_owned();
    assert_eq!(
        only_breach(&ledger),
        LedgerBreach::RanTwice { nonce, targets }
    );
    ledger
        .calls
        .iter_mut()
        .for_each(|call| call.has_request_id = false);
    assert_holds(&ledger);
    ledger.calls[0].outcome = CallOutcome::NotSent;
    assert_eq!(
        only_breach(&ledger).promise(),
        "a non-idempotent request runs at most once"
    );
    ledger
        .calls
        .iter_mut()
        .for_each(|call| call.idempotent = true);
    assert_holds(&ledger);
}

#[test]
fn crossed_and_truncated_answers_are_reported() {
    for (outcome, promise) in [
        (
            CallOutcome::Crossed,
            "a caller gets the answer to its own request",
        ),
        (
            CallOutcome::CutLooksWhole,
            "a cut answer does not look whole",
        ),
    ] {
        let ledger = ledger(vec![call("a", 0, outcome)], vec![run("a", "t1", MS)]);
        assert_eq!(only_breach(&ledger).promise(), promise);
    }
}

#[test]
fn a_key_at_a_target_is_reported_in_every_encoding() {
    for head in [
        format!("GET /x\nauthorization: Bearer {KEY}\n"),
        "GET /x?key=k-acme%2F7\n".to_owned(),
        "GET /x?key=%6B-acme%2f7&z=%\n".to_owned(),
    ] {
        let mut execution = run("a", "t1", MS);
        execution.head = head;
        let calls = vec![call("a", 0, CallOutcome::Answered(200))];
        let breach = only_breach(&ledger(calls, vec![execution]));
        assert_eq!(breach.promise(), "no target sees a key");
        assert!(!breach.to_string().contains(KEY));
    }
}

#[test]
fn a_false_refusal_as_not_run_is_reported() {
    let calls = vec![call("a", 0, refused("not-run", "no-target"))];
    let breach = only_breach(&ledger(calls, vec![run("a", "t1", MS)]));
    let text = "request a was refused as not run (no-target) and ran on t1";
    assert_eq!(breach.to_string(), text);
}

#[test]
fn a_resend_of_a_request_that_ran_must_not_be_refused_as_not_run() {
    let resend = call("a", 20 * MS, refused("not-run", "queue-full"));
    let lost = call("a", 0, CallOutcome::Lost);
    let before = ledger(vec![lost.clone(), resend.clone()], vec![run("a", "t1", MS)]);
    assert_eq!(
        only_breach(&before).promise(),
        "a resend of what ran is not refused as not run"
    );
    let after = ledger(vec![lost, resend], vec![run("a", "t1", 35 * MS)]);
    assert_holds(&after);
}

#[test]
fn a_resend_may_run_after_a_refused_first_attempt() {
    let mut resend = call("a", 20 * MS, CallOutcome::Answered(200));
    resend.attempt = 1;
    let calls = vec![call("a", 0, refused("not-run", "node-leaving")), resend];
    assert_holds(&ledger(calls, vec![run("a", "t1", 21 * MS)]));
}

#[test]
fn a_wrong_customer_or_a_changed_body_is_reported() {
    let calls = vec![call("a", 0, CallOutcome::Answered(200))];
    let mut execution = run("a", "t1", MS);
    execution.customer = Some("other".to_owned());
    let breach = only_breach(&ledger(calls.clone(), vec![execution]));
    assert_eq!(
        breach.promise(),
        "a request runs for its key's customer only"
    );
    let mut execution = run("a", "t1", MS);
    execution.body_digest = 8;
    let breach = only_breach(&ledger(calls, vec![execution]));
    assert_eq!(breach.promise(), "a request runs as it was sent");
}

#[test]
fn an_execution_after_the_withdrawal_is_reported() {
    let withdrawn = 1_000 * MS;
    for (after_ms, broken) in [(7_000, false), (7_001, true)] {
        let sent = withdrawn + after_ms * MS;
        let calls = vec![call("a", sent, CallOutcome::Answered(200))];
        let mut ledger = ledger(calls, vec![run("a", "t1", sent + MS)]);
        let terms = ledger
            .terms
            .get_mut("acme")
            .expect("the customer has terms");
        terms.withdrawn_micros = Some(withdrawn);
        assert_eq!(!ledger.check().holds(), broken);
    }
}

#[test]
fn admissions_over_rate_and_burst_are_reported() {
    let calls = |count: u64| -> Vec<CallRecord> {
        (0..count)
            .map(|index| call(&format!("r{index}"), 0, CallOutcome::Answered(200)))
            .collect()
    };
    assert_holds(&ledger(calls(5), Vec::new()));
    let breach = only_breach(&ledger(calls(6), Vec::new()));
    let text = "acme got 6 requests in 10 ms, 5 are allowed";
    assert_eq!(breach.to_string(), text);
}

#[test]
fn a_refusal_within_the_rate_is_wrong_and_one_over_it_is_not() {
    let at = |index: u64, ms: u64, outcome| call(&format!("r{index}"), ms * MS, outcome);
    let wrong = ledger(
        vec![at(0, 0, refused("not-run", "rate-exceeded"))],
        Vec::new(),
    );
    let text = "1 of acme's 1 requests were refused for the rate, within the rate";
    assert_eq!(only_breach(&wrong).to_string(), text);
    let mut calls: Vec<CallRecord> = (0..5)
        .map(|index| at(index, 0, CallOutcome::Answered(200)))
        .collect();
    calls.push(at(5, 50, refused("not-run", "rate-exceeded")));
    assert_holds(&ledger(calls, Vec::new()));
}

/// Returns the largest excess over the allowance of all windows.
fn excess_by_exhaustive_search(calls: &[(u64, u64)], allowance: RateAllowance) -> f64 {
    let mut worst = f64::NEG_INFINITY;
    for (begin, _) in calls {
        for (_, end) in calls.iter().filter(|(_, end)| end >= begin) {
            let inside = calls
                .iter()
                .filter(|(sent, ended)| sent >= begin && ended <= end);
            let micros = end - begin + TIME_QUANTUM_MICROS;
            let allowed = allowance.burst + allowance.rate * micros as f64 / 1e6;
            worst = worst.max(inside.count() as f64 - allowed);
        }
    }
    worst
}

#[test]
fn the_window_check_agrees_with_an_exhaustive_search() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let call = (0u64..2_000_000, 0u64..400_000);
    let strategy = (proptest::collection::vec(call, 1..40), 1u32..40, 1u32..20);
    let outcome = TestRunner::new_with_rng(config, rng).run(&strategy, |(calls, rate, burst)| {
        let calls: Vec<(u64, u64)> = calls
            .into_iter()
            .map(|(sent, length)| (sent, sent + length))
            .collect();
        let allowance = RateAllowance {
            rate: f64::from(rate),
            burst: f64::from(burst),
        };
        let expected = excess_by_exhaustive_search(&calls, allowance);
        let found = find_excess(calls.iter().copied(), allowance);
        proptest::prop_assert_eq!(found.is_some(), expected > 1e-6, "excess {}", expected);
        if let Some(window) = found {
            let micros = window.length_micros + TIME_QUANTUM_MICROS;
            let allowed = allowance.burst + allowance.rate * micros as f64 / 1e6;
            proptest::prop_assert!((window.admitted as f64 - allowed - expected).abs() < 1e-6);
        }
        Ok(())
    });
    outcome.expect("the check agrees with the exhaustive search");
}
