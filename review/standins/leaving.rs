//! Cases: entry processes that were never disturbed keep sending to a server that has left, because the
//! processes that read the store for them were started again meanwhile, or had lost their connections to it.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{BOOKING_ROUTE, Bed, Fault, Request, Server, book, new_id, wait_until};

/// Three machines in each of the site's zones.
const ZONES: [&str; 9] = [
    "tbs-a", "tbs-a", "tbs-a", "tbs-b", "tbs-b", "tbs-b", "tbs-c", "tbs-c", "tbs-c",
];
const BUDGET_MS: u32 = 6_000;
const WORK: Duration = Duration::from_millis(320);
/// The processes that may be disturbed: 0.55 of them may be killed, 0.49 may have connections reset.
const MAX_DISTURBED: usize = 4;
/// Killed processes start again after this time.
const DOWN: Duration = Duration::from_millis(500);
/// `drain_s`: a server that has left gets no requests later than this.
const DRAIN: Duration = Duration::from_secs(2);
/// The server ends this long after the bookings were sent.
const EXITS_AFTER_BOOKINGS: Duration = Duration::from_millis(200);
/// The bookings that are sent at the same time to each process that was not disturbed.
const BOOKINGS: usize = 10;

/// What happens to the processes that read the store.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// They are killed and start again.
    Kill,
    /// Their connections to the store are reset, once.
    Reset,
}

impl Trouble {
    /// When the server leaves, after the processes were disturbed.
    fn leaves_after(self) -> Duration {
        match self {
            Self::Kill => Duration::from_millis(300),
            Self::Reset => Duration::from_millis(50),
        }
    }

    /// When the bookings are sent, after the server left: a little later than `drain_s`.
    fn booked_after(self) -> Duration {
        match self {
            Self::Kill => Duration::from_millis(2_500),
            Self::Reset => Duration::from_millis(2_150),
        }
    }
}

/// The requests that the server got, with their times.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

fn handler(arrivals: Arrivals) -> impl Fn(&Request, &Server) -> Vec<u8> {
    move |request, server| {
        let id = request.id();
        arrivals
            .lock()
            .unwrap()
            .push((id.to_owned(), Instant::now()));
        thread::sleep(WORK);
        server.success(id)
    }
}

pub fn run(bed: &mut Bed, trouble: Trouble, has_trouble: bool) -> Result<bool, Fault> {
    if trouble == Trouble::Reset {
        bed.start_proxies(ZONES.len() as u8)?;
    }
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
    if readers.is_empty() || readers.len() > MAX_DISTURBED {
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
        bed.record.line(format!(
            "{name} serves {} of {BOOKINGS} bookings",
            count_served(&served)
        ));
    }
    thread::sleep(Duration::from_secs(1));
    let disturbed_at = Instant::now();
    if has_trouble {
        disturb(bed, &readers, trouble)?;
    }
    sleep_until(disturbed_at + trouble.leaves_after());
    bed.start_server(5, "hiredesk", handler(Arrivals::default()))?;
    bed.record.line("server i-0005 joins");
    leaving.leave()?;
    let left_at = Instant::now();
    bed.record
        .line("server i-0001 leaves: the store has acknowledged that its row is gone");
    if has_trouble && trouble == Trouble::Kill {
        sleep_until(disturbed_at + DOWN);
        for index in &readers {
            bed.restart_entry(*index)?;
            let name = bed.entry(*index).name.clone();
            bed.record.line(format!("{name} starts again"));
        }
    }
    let booked_at = left_at + trouble.booked_after();
    sleep_until(booked_at);
    if !wait_until(Duration::from_millis(1), || {
        calm.iter().all(|index| bed.is_ready(*index))
    }) {
        return Err("a process that was not disturbed is not ready".into());
    }
    let addresses: Vec<SocketAddr> = calm
        .iter()
        .map(|index| bed.caller_address(*index))
        .collect();
    bed.record.line(format!(
        "clients send {BOOKINGS} bookings to each process that was not disturbed"
    ));
    let exiting = Arc::clone(&leaving);
    let record = Arc::clone(&bed.record);
    let exit = thread::spawn(move || {
        sleep_until(booked_at + EXITS_AFTER_BOOKINGS);
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
        bed.record.line(format!(
            "DRAIN: {id} reaches i-0001 {after:.2} s after it left; {outcome}"
        ));
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

fn disturb(bed: &mut Bed, readers: &[usize], trouble: Trouble) -> Result<(), Fault> {
    for index in readers {
        let name = bed.entry(*index).name.clone();
        if trouble == Trouble::Kill {
            bed.entry(*index).child.kill()?;
            bed.record.line(format!("{name} is killed"));
        } else {
            let count = bed.reset_store_connections(*index);
            bed.record.line(format!(
                "{count} connections of {name} to the store are reset"
            ));
        }
    }
    if trouble == Trouble::Kill {
        for index in readers {
            bed.entry(*index).child.wait()?;
        }
    }
    Ok(())
}

fn count_served(answers: &[(String, Option<u16>)]) -> usize {
    answers
        .iter()
        .filter(|(_, status)| *status == Some(200))
        .count()
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
