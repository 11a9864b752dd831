//! Tests the burn report: sums over nodes, missing nodes, and the text and HTML output.

use std::net::SocketAddr;
use std::time::Duration;

use damaskloom_cli::report_html::html_page;
use damaskloom_cli::report_input::ReportInput;
use damaskloom_cli::report_model::BurnReport;
use damaskloom_lib::burn_snapshot::{BurnCause, BurnSnapshot};
use damaskloom_lib::ids::{CustomerId, ServiceId};
use damaskloom_lib::service_burn::{BurnEvent, BurnLimits, BurnRecorder};
use damaskloom_lib::time::MonoTime;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// Returns a snapshot of two hours in which every 250th request to one service failed, and none to
/// the other.
fn snapshot(node: &str) -> BurnSnapshot {
    let start = MonoTime::from_millis(1_000_000);
    let mut recorder = BurnRecorder::new(start, BurnLimits::default());
    let mut now = start;
    for index in 0..7_200 {
        now = now + Duration::from_secs(1);
        let is_desk = index % 2 == 0;
        let service: ServiceId = if is_desk { "hiredesk" } else { "fielddispatch" }
            .parse()
            .expect("the name is an identifier");
        let customer: CustomerId = if index % 100 == 0 { "small" } else { "large" }
            .parse()
            .expect("the name is an identifier");
        let failure = (index % 500 == 0).then(|| BurnCause {
            target: "desk-7".parse().ok(),
            data_centre: "tbilisi-2".parse().ok(),
            reason: "status-500".to_owned(),
        });
        let event = BurnEvent {
            service: &service,
            objective_ppm: 999_000,
            customer: Some(&customer),
            failure,
        };
        recorder.record(now, event);
    }
    recorder.snapshot(now, node)
}

async fn serve(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 1024];
            let length = stream.read(&mut request).await.expect("a request arrives");
            assert!(request[..length].starts_with(b"GET /v1/burn HTTP/1.1\r\n"));
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream
                .write_all(head.as_bytes())
                .await
                .expect("the reader reads");
            stream.write_all(&body).await.expect("the reader reads");
        }
    });
    address
}

#[tokio::test]
async fn fleet_report_sums_nodes_and_lists_unreachable_ones() {
    let mut gateways = Vec::new();
    for node in ["vm1", "vm2", "vm2"] {
        let body = serde_json::to_vec(&snapshot(node)).expect("it serialises");
        gateways.push(serve(body).await);
    }
    gateways.push(serve(b"{}".to_vec()).await);
    let socket = TcpSocket::new_v4().expect("sockets can be made");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port is free");
    let closed = socket.local_addr().expect("the socket is bound");
    gateways.push(closed);

    let mut input = ReportInput::default();
    input.fetch(&gateways).await;
    let report = BurnReport::from(&input);
    assert_eq!(report.nodes, ["vm1", "vm2"]);
    assert_eq!(report.repeated, [gateways[2].to_string()]);
    let missing: Vec<_> = report
        .missing
        .iter()
        .map(|one| one.source.clone())
        .collect();
    assert_eq!(missing, [gateways[3].to_string(), closed.to_string()]);
    assert_eq!(report.services[0].windows[3].total, 7_200);
    let page = html_page(&report);
    assert!(page.contains(&format!("NOT REACHED: {closed}")));
    assert!(page.contains("<svg") && !page.contains("http") && !page.contains("<script"));
}

#[test]
fn text_report_shows_state_budget_projection_and_causes() {
    let mut input = ReportInput::default();
    input.snapshots.push(snapshot("vm1"));
    let report = BurnReport::from(&input);
    insta::assert_snapshot!(report.to_string(), @r"
    nodes counted: 1; the node that started last has counted for 2 h 0 min

    hiredesk: budget spent, objective 99.9%, overdrawn by 316.7%, gone
      5 min         145 requests        1 failed  good  99.3103%  burn 6.90x
      1 h          1760 requests        7 failed  good  99.6023%  burn 3.98x
      6 h          3600 requests       15 failed  good  99.5833%  burn 4.17x
      3 d          3600 requests       15 failed  good  99.5833%  burn 4.17x
      burnt by 100.0% status-500 at desk-7 in tbilisi-2
      customer small            good over 3 d  79.1667%  overdrawn more than tenfold, gone
      customer large            good over 3 d 100.0000%  100.0% of the budget left, lasts its period

    fielddispatch: calm, objective 99.9%, 100.0% of the budget left, lasts its period
      5 min         146 requests        0 failed  good 100.0000%  burn 0.00x
      1 h          1761 requests        0 failed  good 100.0000%  burn 0.00x
      6 h          3600 requests        0 failed  good 100.0000%  burn 0.00x
      3 d          3600 requests        0 failed  good 100.0000%  burn 0.00x
      customer large            good over 3 d 100.0000%  100.0% of the budget left, lasts its period
    ");
}
