//! Case: bodies that are collected in memory take an entry process over its memory limit.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::bed::{
    BOOKING_ROUTE, Bed, Fault, Record, Request, Server, book, booking_head, new_id, read_message,
};

/// The route of uploads, which may take longer.
const UPLOAD_ROUTE: &str =
    "[\"visit-log\",\"hire.example\",\"/logs/\",\"unsafe\",20,10,2,\"hiredesk\",2,false]";
/// `limits.memory_mb` of the first sites.
const MEMORY_MB: u64 = 260;
/// A body far below `max_body_bytes` (67,108,864), sent in chunks.
const UPLOAD_BYTES: usize = 7_500_000;
const CHUNK_BYTES: usize = 50_000;
/// How long a client takes to send one: 23 at once make 35 MB/s, less than a third of the machine's link.
const UPLOAD_TIME: Duration = Duration::from_secs(5);
/// The uploads at the same time, usually and in a burst of 1.7 times the usual.
const USUAL_UPLOADS: usize = 14;
const BURST_UPLOADS: usize = 23;
/// The clients that book over kept connections all the while.
const BOOKING_CLIENTS: usize = 8;
const BOOKING_WORK: Duration = Duration::from_millis(320);
const BOOKING_BUDGET_MS: u32 = 6_000;

/// The ids of the bookings that servers have begun to run.
type Arrivals = Arc<Mutex<Vec<String>>>;

fn handler(arrivals: Arrivals) -> impl Fn(&Request, &Server) -> Vec<u8> {
    move |request, server| {
        let id = request.id().to_owned();
        if request.path().starts_with("/bada91/") {
            arrivals.lock().unwrap().push(id.clone());
            thread::sleep(BOOKING_WORK);
        }
        server.success(&id)
    }
}

pub fn run(bed: &mut Bed, has_trouble: bool) -> Result<bool, Fault> {
    let arrivals = Arrivals::default();
    bed.start_entries(&["tbs-a"; 3])?;
    for number in 1..=4 {
        bed.start_server(number, "hiredesk", handler(Arc::clone(&arrivals)))?;
    }
    bed.write_config(&format!("{BOOKING_ROUTE},{UPLOAD_ROUTE}"))?;
    bed.wait_ready()?;
    let address = bed.caller_address(0);
    let is_over = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(AtomicUsize::new(0));
    let clients: Vec<JoinHandle<()>> = (0..BOOKING_CLIENTS)
        .map(|_| {
            let (is_over, cut) = (Arc::clone(&is_over), Arc::clone(&cut));
            let (arrivals, record) = (Arc::clone(&arrivals), Arc::clone(&bed.record));
            thread::spawn(move || keep_booking(address, &is_over, &cut, &arrivals, &record))
        })
        .collect();
    // The machine is in touch: nothing disturbs it for longer than `contact_s`.
    thread::sleep(Duration::from_secs(4));
    let count = if has_trouble {
        BURST_UPLOADS
    } else {
        USUAL_UPLOADS
    };
    bed.record.line(format!(
        "{count} clients begin to send {UPLOAD_BYTES} bytes each over {} s",
        UPLOAD_TIME.as_secs()
    ));
    let uploads: Vec<JoinHandle<Option<u16>>> = (0..count)
        .map(|_| thread::spawn(move || upload(address)))
        .collect();
    let is_killed = watch_memory(bed, &uploads)?;
    let mut served = 0;
    for upload in uploads {
        served += usize::from(upload.join().map_err(|_| "a client failed")? == Some(200));
    }
    bed.record
        .line(format!("{served} of {count} uploads served"));
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let cut = cut.load(Ordering::Relaxed);
    bed.record.line(format!(
        "{cut} bookings from kept connections were passed on and ended without an answer; more than 3 break the rule"
    ));
    // With the burst, uploads may be refused.
    if !has_trouble && !is_killed && served < count {
        return Err("the usual uploads are not served".into());
    }
    Ok(cut <= 3)
}

/// Ends the process when its memory exceeds the limit, as the platform does, and starts it again; returns
/// whether that happened.
fn watch_memory(bed: &mut Bed, uploads: &[JoinHandle<Option<u16>>]) -> Result<bool, Fault> {
    let mut peak = 0;
    let mut is_killed = false;
    while uploads.iter().any(|upload| !upload.is_finished()) {
        let held = bed.entry(0).memory_mb().unwrap_or(0);
        if held > peak + 25 {
            bed.record.line(format!("the process holds {held} MB"));
            peak = held;
        }
        if held > MEMORY_MB && !is_killed {
            bed.record.line(format!(
                "the platform kills the process: {held} MB are more than {MEMORY_MB} MB"
            ));
            let child = &mut bed.entry(0).child;
            child.kill()?;
            child.wait()?;
            is_killed = true;
            thread::sleep(Duration::from_millis(500));
            bed.restart_entry(0)?;
            bed.record.line("the process starts again");
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(is_killed)
}

/// Books over one connection again and again; counts bookings that reached a server and were not answered.
fn keep_booking(
    address: SocketAddr,
    is_over: &AtomicBool,
    cut: &AtomicUsize,
    arrivals: &Mutex<Vec<String>>,
    record: &Record,
) {
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut answered = 0;
        while !is_over.load(Ordering::Relaxed) {
            let id = new_id();
            let status = book(&mut stream, &id, "/bada91/x", BOOKING_BUDGET_MS);
            if status.is_some() {
                answered += 1;
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let has_arrived = arrivals.lock().unwrap().contains(&id);
            record.line(format!(
                "booking {id}, the {}. on its connection, ends without an answer; at a server: {has_arrived}",
                answered + 1
            ));
            if has_arrived && answered > 0 {
                cut.fetch_add(1, Ordering::Relaxed);
            }
            break;
        }
    }
}

/// Sends a body in chunks at an even pace; returns the answer's status.
fn upload(address: SocketAddr) -> Option<u16> {
    let id = new_id();
    let mut stream = TcpStream::connect(address).ok()?;
    let head = booking_head(&id, "/logs/x", 20_000);
    let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat(b'v').take(CHUNK_BYTES));
    chunk.extend(b"\r\n");
    let count = UPLOAD_BYTES / CHUNK_BYTES;
    let begun_at = Instant::now();
    for number in 0..count {
        stream.write_all(&chunk).ok()?;
        let due = begun_at + UPLOAD_TIME.mul_f64(number as f64 / count as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    stream.write_all(b"0\r\n\r\n").ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    read_message(&mut BufReader::new(stream)).map(|answer| answer.status())
}
