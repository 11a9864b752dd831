//! Case: entry processes that were never disturbed keep sending to a server that has left, because the
//! processes that told them of changes were started again meanwhile.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{book, new_id, wait_until, Bed, Fault, Request, Server, BOOKING_ROUTE};

/// Three machines in each of the site's zones.
const ZONES: [&str; 9] = [
    "tbs-a", "tbs-a", "tbs-a", "tbs-b", "tbs-b", "tbs-b", "tbs-c", "tbs-c", "tbs-c",
];
const BUDGET_MS: u32 = 6_000;
const WORK: Duration = Duration::from_millis(320);
/// The share of processes that are killed at once is 0.55 at most: 4 of 9. They start again after this time.
const MAX_KILLED: usize = 4;
const DOWN: Duration = Duration::from_millis(500);
/// The server leaves this long after the processes were killed.
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// `drain_s`: a server that has left gets no requests later than this.
const DRAIN: Duration = Duration::from_secs(2);
/// When the bookings are sent, and when the server ends: a little after `drain_s`.
const BOOKED_AFTER: Duration = Duration::from_millis(2_500);
const EXITS_AFTER: Duration = Duration::from_millis(2_700);
/// The bookings that are sent at the same time to each process that was not killed.
const BOOKINGS: usize = 10;

/// The requests that the server got, with their times.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

fn handler(arrivals: Arrivals) -> impl Fn(&Request, &Server) -> Vec<u8> {
    move |request, server| {
        let id = request.id();
        arrivals.lock().unwrap().push((id.to_owned(), Instant::now()));
        thread::sleep(WORK);
        server.success(id)
    }
}

pub fn run(bed: &mut Bed, has_trouble: bool) -> Result<bool, Fault> {
    bed.start_entries(&ZONES)?;
    let arrivals = Arrivals::default();
    let leaving = bed.start_server(1, "hiredesk", handler(Arc::clone(&arrivals)))?;
    for number in 2..=4 {
        bed.start_server(number, "hiredesk", handler(Arrivals::default()))?;
    }
    bed.write_config(BOOKING_ROUTE)?;
    bed.wait_ready()?;
    // All machines are in touch: longer than `contact_s` after their start.
    thread::sleep(Duration::from_secs(4));
    let readers: Vec<usize> = (0..bed.entry_count())
        .filter(|index| bed.entry(*index).is_reader())
        .collect();
    if readers.is_empty() || readers.len() > MAX_KILLED {
        return Err(format!("{} processes read the store", readers.len()).into());
    }
    let calm: Vec<usize> = (0..bed.entry_count())
        .filter(|index| !readers.contains(index))
        .collect();
    // Ordinary bookings before, at all processes that stay.
    for index in &calm {
        let address = bed.caller_address(*index);
        let served = book_at_once(address, BOOKINGS);
        let name = bed.entry(*index).name.clone();
        bed.record.line(format!("{name} serves {} of {BOOKINGS} bookings", count_served(&served)));
    }
    thread::sleep(Duration::from_secs(1));
    let killed_at = Instant::now();
    if has_trouble {
        for index in &readers {
            bed.entry(*index).child.kill()?;
            let name = bed.entry(*index).name.clone();
            bed.record.line(format!("{name} is killed"));
        }
        for index in &readers {
            bed.entry(*index).child.wait()?;
        }
    }
    sleep_until(killed_at + LEAVES_AFTER);
    bed.start_server(5, "hiredesk", handler(Arrivals::default()))?;
    bed.record.line("server i-0005 joins");
    leaving.leave()?;
    let left_at = Instant::now();
    bed.record.line("server i-0001 leaves: the store has acknowledged that its row is gone");
    sleep_until(killed_at + DOWN);
    if has_trouble {
        for index in &readers {
            bed.restart_entry(*index)?;
            let name = bed.entry(*index).name.clone();
            bed.record.line(format!("{name} starts again"));
        }
    }
    sleep_until(left_at + BOOKED_AFTER);
    if !wait_until(Duration::from_millis(1), || calm.iter().all(|index| bed.is_ready(*index))) {
        return Err("a process that was not killed is not ready".into());
    }
    let addresses: Vec<SocketAddr> = calm.iter().map(|index| bed.caller_address(*index)).collect();
    bed.record.line(format!("clients send {BOOKINGS} bookings to each process that was not killed"));
    let exiting = Arc::clone(&leaving);
    let record = Arc::clone(&bed.record);
    let exit = thread::spawn(move || {
        sleep_until(left_at + EXITS_AFTER);
        exiting.exit();
        record.line("server i-0001 ends");
    });
    let clients: Vec<_> = addresses
        .into_iter()
        .map(|address| thread::spawn(move || book_at_once(address, BOOKINGS)))
        .collect();
    let mut answers = Vec::new();
    for client in clients {
        answers.extend(client.join().map_err(|_| "a client failed")?);
    }
    exit.join().map_err(|_| "the server failed")?;
    let late: Vec<(String, Instant)> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, at)| *at > left_at + DRAIN)
        .cloned()
        .collect();
    for (id, at) in &late {
        let after = (*at - left_at).as_secs_f64();
        let answer = answers.iter().find(|(answered, _)| answered == id);
        let outcome = match answer.and_then(|(_, status)| *status) {
            Some(status) => format!("its client gets {status}"),
            None => "its client gets no answer".to_owned(),
        };
        bed.record.line(format!("DRAIN: {id} reaches i-0001 {after:.2} s after it left; {outcome}"));
    }
    bed.record.line(format!(
        "{} of {} bookings served; {} reached a server that had left {} s before",
        count_served(&answers),
        answers.len(),
        late.len(),
        DRAIN.as_secs()
    ));
    Ok(late.is_empty())
}

fn count_served(answers: &[(String, Option<u16>)]) -> usize {
    answers.iter().filter(|(_, status)| *status == Some(200)).count()
}

/// Sends bookings over as many connections at once; returns their ids and answers.
fn book_at_once(address: SocketAddr, count: usize) -> Vec<(String, Option<u16>)> {
    let clients: Vec<_> = (0..count)
        .map(|_| {
            thread::spawn(move || {
                let id = new_id();
                let status = TcpStream::connect(address)
                    .ok()
                    .and_then(|mut stream| book(&mut stream, &id, "/bada91/x", BUDGET_MS));
                (id, status)
            })
        })
        .collect();
    clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect()
}

fn sleep_until(due: Instant) {
    thread::sleep(due.saturating_duration_since(Instant::now()));
}
