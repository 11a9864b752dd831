//! A planned stop cuts no request in flight and takes no new connections after it.

use std::time::Duration;

use damaskloom_testutils::target_mode::TargetMode;
use tokio::net::TcpStream;

use crate::fixture::{authorization, send, start};

#[tokio::test]
async fn test_a_planned_stop_lets_requests_in_flight_end() {
    let fixture = start(2, |_| {}).await;
    fixture
        .targets
        .iter()
        .for_each(|target| target.set_mode(TargetMode::LateAnswers(700)));
    let address = fixture.gateway.caller_address();
    let key = authorization();
    let in_flight: Vec<_> = (0..4)
        .map(|_| {
            let key = key.clone();
            tokio::spawn(async move { send(address, "GET", "/slots", &[&key]).await })
        })
        .collect();
    let running = || {
        fixture
            .targets
            .iter()
            .map(|target| target.executions().len())
            .sum::<usize>()
    };
    for _ in 0..1_000 {
        if running() == 4 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(running(), 4, "the requests did not reach the targets");
    fixture.gateway.stop().await;
    for request in in_flight {
        assert_eq!(request.await.expect("the caller ends").status, 200);
    }
    assert!(TcpStream::connect(address).await.is_err());
}

#[tokio::test]
async fn test_callers_that_hold_the_old_answer_are_served_until_it_expires() {
    let fixture = start(1, |_| {}).await;
    let address = fixture.gateway.caller_address();
    let stop = tokio::spawn(fixture.gateway.stop());
    let answer = send(address, "GET", "/slots", &[&authorization()]).await;
    assert_eq!(answer.status, 200);
    stop.await.expect("the stop ends");
}
