//! Tests answers that a faulty target writes for another request, or does not write to their end.

use std::rc::Rc;

use bytes::Bytes;
use damaskloom_testutils::platform_server::PlatformServer;
use http::StatusCode;
use http_body_util::{BodyExt, Empty};
use tokio::task::LocalSet;

use crate::fixture::{EntryNode, PEER_PORT, booking, configuration, connect, wait_until};
use crate::scripted_target::{ScriptedTarget, ThenDoes};

async fn start_node(
    answer: impl Fn(u32) -> (Vec<u8>, ThenDoes) + 'static,
) -> (PlatformServer, EntryNode, Rc<ScriptedTarget>) {
    let store = PlatformServer::start_local().await;
    let store = store.expect("loopback has a free port");
    store.put("op", "config", configuration(1, &["key-1"]));
    let target = ScriptedTarget::start(answer).await;
    target.announce(&store, 1);
    let node = EntryNode::start(&store, PEER_PORT);
    node.wait_until_ready().await;
    (store, node, target)
}

/// Sends a booking with an id; returns the status, and the body if it was complete.
async fn book(node: &EntryNode, id: &str) -> (StatusCode, Option<Bytes>) {
    let mut sender = connect(node.caller_address()).await;
    let request = booking(id, 5_000).body(Empty::<Bytes>::new());
    let request = request.expect("valid parts");
    let response = sender.send_request(request).await.expect("an answer");
    let status = response.status();
    let body = response.into_body().collect().await.ok();
    (status, body.map(|body| body.to_bytes()))
}

fn refusal(id: &str, status: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\nnot-executed: 1\r\n");
    format!("{head}content-length: 0\r\n\r\n").into_bytes()
}

fn success(id: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: seal\r\n");
    format!("{head}content-length: 2\r\n\r\nok").into_bytes()
}

/// Guards against a refusal that a faulty target writes once more on a kept connection, and that is
/// believed of the next request: its caller is told that it has not run, while the target runs it.
#[tokio::test]
async fn a_refusal_of_an_earlier_request_is_not_believed() {
    LocalSet::new()
        .run_until(async {
            for status in ["503 Full", "429 Busy", "421 Misdirected"] {
                // Once more in place of the answer, and before it.
                for with_answer in [false, true] {
                    let answer = move |number| {
                        let mut bytes = refusal("id-0", status);
                        if number == 1 && with_answer {
                            bytes.extend(success("id-1"));
                        }
                        (bytes, ThenDoes::KeepsOpen)
                    };
                    let (store, node, target) = start_node(answer).await;
                    let (first, _) = book(&node, "id-0").await;
                    assert_eq!(first, StatusCode::SERVICE_UNAVAILABLE, "{status}");
                    if status.starts_with("421") {
                        // The target announces itself again, so that it gets another request.
                        target.announce(&store, 2);
                        wait_until("the target is used again", async || {
                            node.metric("damaskloom_outdated_targets").await == Some(0.0)
                        })
                        .await;
                    }
                    let (second, _) = book(&node, "id-1").await;
                    assert_eq!(target.requests.get(), 2, "{status}");
                    assert_eq!(second, StatusCode::BAD_GATEWAY, "{status} {with_answer}");
                }
            }
        })
        .await;
}

/// Guards against an answer that a target sends a second time, late, on a connection that is in use again: the
/// next caller would get an answer that is not its own.
#[tokio::test]
async fn a_second_copy_of_an_answer_reaches_no_other_caller() {
    LocalSet::new()
        .run_until(async {
            for with_answer in [false, true] {
                let answer = move |number| {
                    let mut bytes = success("id-0");
                    if number == 1 && with_answer {
                        bytes.extend(success("id-1"));
                    } else if number > 1 {
                        bytes = success(&format!("id-{number}"));
                    }
                    (bytes, ThenDoes::KeepsOpen)
                };
                let (_store, node, target) = start_node(answer).await;
                let (first, body) = book(&node, "id-0").await;
                assert_eq!(first, StatusCode::OK);
                assert_eq!(body.as_deref(), Some(&b"ok"[..]));
                // The target may have run the request, so that the refusal must not deny it.
                let (second, body) = book(&node, "id-1").await;
                assert_eq!(second, StatusCode::BAD_GATEWAY, "{with_answer}");
                assert_eq!(body.as_deref(), Some(&b"target-broke"[..]), "{with_answer}");
                // What is left on that connection reaches nobody either.
                let (third, _) = book(&node, "id-2").await;
                assert_eq!(third, StatusCode::OK, "{with_answer}");
                assert_eq!(target.requests.get(), 3, "{with_answer}");
            }
        })
        .await;
}

/// Guards against an answer whose head ends early, and that looks like a complete one with an empty or a
/// short body.
#[tokio::test]
async fn an_answer_whose_head_ends_early_is_broken() {
    LocalSet::new()
        .run_until(async {
            let framings = [
                "content-length: 5\r\n",
                "content-length: 400000\r\n",
                "transfer-encoding: chunked\r\n",
                "",
            ];
            for framing in framings {
                let start = "HTTP/1.1 200 OK\r\nrequest-id: id-0\r\nserver-seal: seal\r\n";
                let head = format!("{start}{framing}\r\n");
                let length = head.len();
                let answer = move |number: u32| {
                    let end = number as usize;
                    (head.as_bytes()[..end].to_vec(), ThenDoes::Closes)
                };
                let (_store, node, target) = start_node(answer).await;
                for end in 0..length {
                    let (status, body) = book(&node, "id-0").await;
                    assert_eq!(target.requests.get() as usize, end + 1, "{framing:?}");
                    assert_eq!(status, StatusCode::BAD_GATEWAY, "{framing:?} {end}");
                    assert_eq!(
                        body.as_deref(),
                        Some(&b"target-broke"[..]),
                        "{framing:?} {end}"
                    );
                }
            }
        })
        .await;
}

/// Guards against an answer with a status that does not exist, as a target in trouble may write it, that reaches
/// the caller as an answer: 000, below 200, above 599, or no number. A caller cannot tell from it whether its
/// request ran, so that a refusal must not be believed either.
#[tokio::test]
async fn an_answer_with_an_undefined_status_reaches_no_caller() {
    LocalSet::new()
        .run_until(async {
            let statuses = [
                "000",
                "001",
                "099",
                "101",
                "199",
                "600",
                "700",
                "999",
                "1000",
                "20",
                "2",
                "-200",
                "2x0",
                "OK",
                "",
                "200\r\nHTTP/1.1 200 OK",
            ];
            for status in statuses {
                for field in ["server-seal: seal", "not-executed: 1"] {
                    let answer = move |_| {
                        let head =
                            format!("HTTP/1.1 {status} X\r\nrequest-id: id-0\r\n{field}\r\n");
                        let bytes = format!("{head}content-length: 2\r\n\r\nok").into_bytes();
                        (bytes, ThenDoes::KeepsOpen)
                    };
                    let (_store, node, target) = start_node(answer).await;
                    let (seen, body) = book(&node, "id-0").await;
                    assert_eq!(target.requests.get(), 1, "{status:?} {field}");
                    assert_eq!(seen, StatusCode::BAD_GATEWAY, "{status:?} {field}");
                    assert_eq!(
                        body.as_deref(),
                        Some(&b"target-broke"[..]),
                        "{status:?} {field}"
                    );
                }
            }
        })
        .await;
}
