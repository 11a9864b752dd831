//! Case: a planned stop cuts bookings that were accepted late in the grace period.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{BOOKING_ROUTE, Bed, Fault, GRACE_S, Request, Server, book, new_id};

/// The client's time budget and the route's timeout of `hire-confirm`.
const BUDGET_MS: u32 = 6_000;
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// The work of most bookings, and of a few long ones: the sheet's mean and below its maximum of 2,400 ms.
const WORK: Duration = Duration::from_millis(320);
const LONG_WORK: Duration = Duration::from_millis(2_000);
/// When the bookings are sent, after SIGTERM: past the 3 s up to which work in the last sixth is excused.
const SENT_AFTER: Duration = Duration::from_millis(4_000);

struct Sent {
    id: String,
    /// When it was sent, after the stop began.
    sent_at: Duration,
    status: Option<u16>,
    /// When the client's connection answered or ended, after the stop began.
    ended_at: Duration,
}

/// The requests that servers have begun to run.
type Arrivals = Arc<Mutex<Vec<String>>>;

fn handler(arrivals: Arrivals) -> impl Fn(&Request, &Server) -> Vec<u8> {
    move |request, server| {
        let work = if request.path().ends_with("/long") {
            LONG_WORK
        } else {
            WORK
        };
        let id = request.id();
        let is_late = request.path().contains("/late/");
        arrivals.lock().unwrap().push(id.to_owned());
        if is_late {
            let work_ms = work.as_millis();
            server
                .record
                .line(format!("a server runs {id} for {work_ms} ms"));
        }
        thread::sleep(work);
        if is_late {
            server.record.line(format!("the run of {id} ends well"));
        }
        server.success(id)
    }
}

pub fn run(bed: &mut Bed, has_trouble: bool) -> Result<bool, Fault> {
    bed.start_entries(&["tbs-a"; 3])?;
    let arrivals = Arrivals::default();
    for number in 1..=4 {
        bed.start_server(number, "hiredesk", handler(Arc::clone(&arrivals)))?;
    }
    bed.write_config(BOOKING_ROUTE)?;
    bed.wait_ready()?;
    // Ordinary bookings before, so that the process knows how long they take.
    let address = bed.caller_address(0);
    let mut stream = TcpStream::connect(address)?;
    let mut answered = 0;
    for _ in 0..25 {
        let id = new_id();
        answered += usize::from(book(&mut stream, &id, "/bada91/x", BUDGET_MS) == Some(200));
    }
    bed.record
        .line(format!("{answered} of 25 ordinary bookings served"));
    if answered < 25 {
        return Err("ordinary bookings are not served".into());
    }
    drop(stream);
    let directory = bed.resolve(0).ok_or("the directory does not answer")?;
    bed.record
        .line(format!("clients get from the directory: {directory}"));
    if !directory.contains(&address.to_string()) {
        return Err("the directory does not name the process".into());
    }
    // Connections of clients that keep the directory's answer; they have a booking to send a little later.
    let mut streams = Vec::new();
    for _ in 0..6 {
        streams.push(TcpStream::connect(address)?);
    }
    bed.record.line("6 clients have connected");
    thread::sleep(Duration::from_millis(300));
    let stop_at = Instant::now();
    if has_trouble {
        bed.entry(0).signal("TERM")?;
        bed.record.line("SIGTERM to the process");
    } else {
        bed.record.line("no SIGTERM");
    }
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = streams
        .into_iter()
        .enumerate()
        .map(|(number, mut stream)| {
            let (sent, record) = (Arc::clone(&sent), Arc::clone(&bed.record));
            thread::spawn(move || {
                thread::sleep((stop_at + SENT_AFTER).saturating_duration_since(Instant::now()));
                let id = new_id();
                let path = if number % 2 == 0 {
                    "/bada91/late/long"
                } else {
                    "/bada91/late/x"
                };
                let sent_at = stop_at.elapsed();
                record.line(format!(
                    "client sends {id} to {path}, {:.2} s after the stop began",
                    sent_at.as_secs_f64()
                ));
                let status = book(&mut stream, &id, path, BUDGET_MS);
                let ended_at = stop_at.elapsed();
                record.line(match status {
                    Some(status) => format!("client gets {status} to {id}"),
                    None => format!(
                        "client's connection ends without an answer to {id}, {:.2} s after the stop began",
                        ended_at.as_secs_f64()
                    ),
                });
                sent.lock().unwrap().push(Sent { id, sent_at, status, ended_at });
            })
        })
        .collect();
    let grace_end = stop_at + Duration::from_secs_f64(GRACE_S);
    let mut has_exited = false;
    while has_trouble && Instant::now() < grace_end && !has_exited {
        has_exited = bed.entry(0).child.try_wait()?.is_some();
        thread::sleep(Duration::from_millis(10));
    }
    if has_exited {
        let after = stop_at.elapsed().as_secs_f64();
        bed.record
            .line(format!("the process ends {after:.2} s after SIGTERM"));
    } else if has_trouble {
        bed.entry(0).child.kill()?;
        bed.record.line("SIGKILL at the end of the grace period");
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    // Runs that were cut off at the node end at their servers.
    thread::sleep(Duration::from_millis(500));
    let sent = sent.lock().unwrap();
    // A connection that is closed with its request unread, or not passed on, isn't counted.
    let arrivals = arrivals.lock().unwrap();
    let lost: Vec<&Sent> = sent
        .iter()
        .filter(|sent| arrivals.contains(&sent.id) && is_lost(sent))
        .collect();
    for lost in &lost {
        bed.record.line(format!(
            "LOST: {} was sent {:.2} s after SIGTERM, was passed on, and its connection ended after {:.2} s",
            lost.id,
            lost.sent_at.as_secs_f64(),
            (lost.ended_at - lost.sent_at).as_secs_f64()
        ));
    }
    Ok(lost.is_empty())
}

/// Returns whether the rule counts the request if it was passed on: sent later than 3 s after SIGTERM, and cut before its time
/// budget and its route's timeout. Its server neither broke off nor was told to stop.
fn is_lost(sent: &Sent) -> bool {
    let is_excused = sent.sent_at <= Duration::from_secs(3);
    let held = sent.ended_at - sent.sent_at;
    sent.status.is_none() && !is_excused && held + Duration::from_millis(500) < ROUTE_TIMEOUT
}
