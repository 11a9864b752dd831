//! A request id runs at most once in the whole fleet, despite resends, crashes, pauses, lost
//! answers and outages.
//!
//! Every test counts how often the target ran each request id.

use std::time::Duration;

use damaskloom_gateway::peer_faults::PeerFault;
use damaskloom_testutils::platform_faults::{OutageMode, PlatformFaults};
use damaskloom_testutils::target_mode::TargetMode;
use serde_json::Value;

use crate::claim_fixture::{ClaimFixture, long_deadline};
use crate::fixture::{ConfigEdit, authorization, send};

const BUSY: &str = "409 unknown request-id-busy";
const SPENT: &str = "409 unknown request-id-spent";
const REUSED: &str = "422 not-run request-id-reused";
const ANSWERED: &str = "200 - -";

async fn start() -> ClaimFixture {
    ClaimFixture::start([long_deadline as ConfigEdit; 3]).await
}

fn outage(outage: OutageMode) -> PlatformFaults {
    PlatformFaults {
        outage,
        ..PlatformFaults::default()
    }
}

#[tokio::test]
async fn a_resend_gets_the_retained_answer_from_every_gateway() {
    let fixture = start().await;
    let id = fixture.id_owned_by(2, 0);
    let first = fixture.book(0, &id, "convoy").await;
    assert_eq!(first.outcome(), ANSWERED);
    for index in 0..3 {
        let resent = fixture.resend_until(index, &id, ANSWERED).await;
        assert_eq!(resent.body, first.body);
        assert_eq!(resent.header("content-type"), first.header("content-type"));
    }
    let other = fixture.book(1, &id, "another convoy").await;
    assert_eq!(other.outcome(), REUSED);
    assert_eq!(fixture.executions(&id), 1);
}

#[tokio::test]
async fn a_run_continues_when_its_caller_disconnects() {
    let fixture = start().await;
    fixture.target.set_mode(TargetMode::LateAnswers(100));
    let id = fixture.id_owned_by(1, 0);
    let caller = fixture.spawn_booking(0, &id);
    let started = |fixture: &ClaimFixture| fixture.executions(&id) == 1;
    fixture.wait_until("the run begins", started).await;
    caller.abort();
    fixture.resend_until(2, &id, ANSWERED).await;
    assert_eq!(fixture.executions(&id), 1);
}

#[tokio::test]
async fn a_lost_answer_leaves_the_id_busy_then_spent() {
    let fixture = start().await;
    fixture.target.set_mode(TargetMode::AnswersLost);
    let id = fixture.id_owned_by(2, 0);
    let _caller = fixture.spawn_booking(0, &id);
    let started = |fixture: &ClaimFixture| fixture.executions(&id) == 1;
    fixture.wait_until("the run begins", started).await;
    for index in [0, 1] {
        let resent = fixture.book(index, &id, "convoy").await;
        assert_eq!(resent.outcome(), BUSY);
        assert_eq!(resent.header("retry-after"), Some("1"));
    }
    fixture.target.set_mode(TargetMode::Healthy);
    fixture.target.crash();
    for index in [0, 1] {
        fixture.resend_until(index, &id, SPENT).await;
    }
    assert_eq!(fixture.executions(&id), 1);
}

#[tokio::test]
async fn a_crash_of_the_holder_loses_the_answer_and_causes_no_second_run() {
    let mut fixture = start().await;
    fixture.target.set_mode(TargetMode::AnswersLost);
    let id = fixture.id_owned_by(2, 0);
    let _caller = fixture.spawn_booking(0, &id);
    let started = |fixture: &ClaimFixture| fixture.executions(&id) == 1;
    fixture.wait_until("the run begins", started).await;
    fixture.crash(0);
    fixture.target.set_mode(TargetMode::Healthy);
    assert_eq!(fixture.book(1, &id, "convoy").await.outcome(), BUSY);
    // No node will report the end of the run, so the owner stops counting it as in flight after a
    // while.
    let owner = fixture.gateway(2).state();
    owner.claims.advance_clock(Duration::from_secs(31));
    fixture.resend_until(1, &id, SPENT).await;
    assert_eq!(fixture.executions(&id), 1);
}

#[tokio::test]
async fn claims_of_a_crashed_owner_are_found_in_the_store() {
    let mut fixture = start().await;
    let id = fixture.id_owned_by(0, 0);
    let first = fixture.book(0, &id, "convoy").await;
    assert_eq!(first.outcome(), ANSWERED);
    let owner = fixture.crash(0);
    // Until the next epoch, the crashed gateway is the owner and does not answer.
    let resent = fixture.book(1, &id, "convoy").await;
    assert_eq!(resent.outcome(), "503 unknown claim-unavailable");
    fixture.enter_epoch(2, &[owner]);
    fixture.resend_until(1, &id, SPENT).await;
    fixture.resend_until(2, &id, SPENT).await;
    assert_eq!(fixture.executions(&id), 1);
    let others = [0, 1].map(|number| fixture.id_owned_by(1, number));
    let other = others.into_iter().find(|other| *other != id);
    let other = other.expect("two ids differ");
    fixture.resend_until(2, &other, ANSWERED).await;
    assert_eq!(fixture.executions(&other), 1);
}

#[tokio::test]
async fn bookings_continue_while_the_store_is_unavailable_and_survive_their_owner() {
    for mode in [OutageMode::Refuse, OutageMode::Hang] {
        let mut fixture = start().await;
        fixture.platform.set_faults(outage(mode));
        let id = fixture.id_owned_by(0, 0);
        let first = fixture.book(1, &id, "convoy").await;
        assert_eq!(first.outcome(), ANSWERED);
        fixture.resend_until(2, &id, ANSWERED).await;
        let owner = fixture.crash(0);
        fixture.enter_epoch(2, &[owner]);
        for index in [1, 2] {
            fixture.resend_until(index, &id, SPENT).await;
        }
        assert_eq!(fixture.executions(&id), 1);
        assert_eq!(fixture.platform.counters().commits, 0);
        fixture.platform.set_faults(PlatformFaults::default());
        let written = |fixture: &ClaimFixture| fixture.platform.counters().commits > 0;
        fixture.wait_until("the claim is written", written).await;
    }
}

#[tokio::test]
async fn a_request_whose_claim_is_not_durable_does_not_run() {
    let fixture = start().await;
    fixture.platform.set_faults(outage(OutageMode::Refuse));
    let id = fixture.id_owned_by(0, 0);
    let copy = fixture.assignment_of(&id).1.expect("another data centre");
    let owner = fixture.gateway(0);
    owner.handle.faults().set(copy.vm, PeerFault::DROP_OUTGOING);
    let refused = fixture.book(0, &id, "convoy").await;
    assert_eq!(refused.outcome(), "503 not-run claim-unavailable");
    assert_eq!(fixture.executions(&id), 0);
    owner.handle.faults().clear();
    fixture.resend_until(0, &id, ANSWERED).await;
    assert_eq!(fixture.executions(&id), 1);
}

#[tokio::test]
async fn a_store_write_whose_answer_is_lost_counts_once() {
    let fixture = start().await;
    fixture.platform.set_faults(PlatformFaults {
        lose_next_answers: 1,
        ..PlatformFaults::default()
    });
    let id = fixture.id_owned_by(1, 0);
    let first = fixture.book(0, &id, "convoy").await;
    assert_eq!(first.outcome(), ANSWERED);
    assert_eq!(fixture.platform.counters().lost_answers, 1);
    fixture.resend_until(2, &id, ANSWERED).await;
    assert_eq!(fixture.executions(&id), 1);
    assert_eq!(fixture.platform.counters().commits, 1);
}

#[tokio::test]
async fn two_simultaneous_sends_run_once() {
    let fixture = start().await;
    fixture.target.set_mode(TargetMode::LateAnswers(20));
    for number in 0..12 {
        let id = fixture.id_owned_by(number % 3, number / 3);
        let (one, other) = tokio::join!(
            fixture.book(0, &id, "convoy"),
            fixture.book(1, &id, "convoy")
        );
        let mut outcomes = [one.outcome(), other.outcome()];
        outcomes.sort();
        assert_eq!(outcomes[0], ANSWERED);
        assert!([ANSWERED, BUSY].contains(&&outcomes[1][..]), "{outcomes:?}");
        assert_eq!(fixture.executions(&id), 1);
    }
}

/// Leaves one slot to each gateway, so that one request can make another wait.
fn one_slot(config: &mut Value) {
    long_deadline(config);
    config["targets"][0]["slots"] = Value::from(1);
}

#[tokio::test]
async fn a_holder_that_was_paused_does_not_send_the_request() {
    let fixture = ClaimFixture::start([one_slot as ConfigEdit; 3]).await;
    fixture.target.set_mode(TargetMode::AnswersLost);
    let address = fixture.gateway(0).process.caller_address();
    let key = authorization();
    let blocker = tokio::spawn(async move { send(address, "POST", "/book", &[&key]).await });
    let blocked = |fixture: &ClaimFixture| fixture.target.executions().len() == 1;
    fixture.wait_until("the slot is taken", blocked).await;
    let id = fixture.id_owned_by(2, 0);
    let paused = fixture.spawn_booking(0, &id);
    let claimed = |fixture: &ClaimFixture| fixture.platform.counters().commits == 1;
    fixture.wait_until("the claim is written", claimed).await;
    assert_eq!(fixture.book(1, &id, "convoy").await.outcome(), BUSY);
    let holder = &fixture.gateway(0).state().claims;
    // The holder must have its grant before it is paused; otherwise the pause would end its wait
    // for the grant.
    fixture
        .wait_until("the grant arrives", |_| holder.granted() == 1)
        .await;
    holder.advance_clock(Duration::from_secs(31));
    fixture.target.set_mode(TargetMode::Healthy);
    blocker.abort();
    let paused = paused.await.expect("no panic");
    assert_eq!(paused.outcome(), "503 unknown claim-unavailable");
    assert_eq!(fixture.executions(&id), 0);
}

/// Sets a burst of zero, so that every request exceeds the rate.
fn no_burst(config: &mut Value) {
    long_deadline(config);
    config["customers"][0]["burst"] = Value::from(0);
}

#[tokio::test]
async fn a_refusal_over_the_rate_releases_the_id_and_hides_no_run() {
    let fixture = ClaimFixture::start([no_burst, long_deadline, long_deadline]).await;
    let (first, second) = (fixture.id_owned_by(2, 0), fixture.id_owned_by(1, 0));
    let refused = fixture.book(0, &first, "convoy").await;
    assert_eq!(refused.outcome(), "429 not-run rate-exceeded");
    assert_eq!(fixture.executions(&first), 0);
    fixture.resend_until(1, &first, ANSWERED).await;
    assert_eq!(fixture.executions(&first), 1);
    assert_eq!(fixture.book(1, &second, "convoy").await.outcome(), ANSWERED);
    fixture.resend_until(0, &second, ANSWERED).await;
    assert_eq!(fixture.executions(&second), 1);
}

#[tokio::test]
async fn an_id_that_was_shed_may_run_later() {
    let fixture = start().await;
    fixture.target.set_draining(true);
    let id = fixture.id_owned_by(1, 0);
    let shed = fixture.book(0, &id, "convoy").await;
    assert_eq!(shed.outcome(), "503 not-run target-shed");
    fixture.target.set_draining(false);
    fixture.resend_until(2, &id, ANSWERED).await;
    assert_eq!(fixture.executions(&id), 1);
}
