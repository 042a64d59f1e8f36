//! Items of a batch job after a replica has answered two of their runs with bytes that are no answer.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use dandelion_platform::fixtures;
use dandelion_platform::fixtures::PlanFixture;
use dandelion_platform::headers;
use dandelion_platform::incarnations::STATE_PATH;
use dandelion_protocol::time::Millis;
use dandelion_review::cell;
use dandelion_review::cell::Cell;
use dandelion_review::http;
use dandelion_review::http::Message;
use dandelion_review::record::Record;
use dandelion_review::upstream;

const HOST: &str = "assay.example";
const KEY: &str = "a-key-of-the-only-tenant";
const JOB: &str = "5e1f00d1";
const ITEMS: usize = 330;
const SLOTS: u32 = 12;

/// Time after the acceptance at which the results are due.
const DUE: Duration = Duration::from_secs(8);

/// Time of steady state in which an open item must have been at a replica.
const IDLE: Duration = Duration::from_secs(5);

/// Runs on the first replica that are answered with bytes that are no answer: 2 of about 110, all at one of
/// three replicas.
const SPOILT: [usize; 2] = [5, 15];

/// What the replicas have seen.
#[derive(Debug, Default)]
struct Seen {
    /// Runs at the faulty replica.
    runs: usize,
    /// Runs that it answered with bytes that are no answer.
    spoilt: usize,
    /// When each item last reached a replica, and whether one has finished it.
    items: BTreeMap<String, (Instant, bool)>,
}

fn main() {
    cell::run(2, run)
}

fn run(cell: &mut Cell, trouble: bool) -> io::Result<bool> {
    let service = "assay".parse().map_err(io::Error::other)?;
    let plan = PlanFixture {
        version: 1,
        host: HOST,
        service: &service,
        key: KEY,
        attempts: 3,
        timeout: Millis(10_000),
        prefixes: &[],
        streams: None,
        batches: Some("/lots/"),
    };
    cell.configure(&fixtures::plan(&plan))?;
    let seen = Arc::new(Mutex::new(Seen::default()));
    for (number, zone) in ["za", "zb", "zc"].into_iter().enumerate() {
        let name = format!("replica-{}", number + 1);
        let (record, seen) = (cell.record.clone(), Arc::clone(&seen));
        let is_faulty = trouble && number == 0;
        let id = name.clone();
        upstream::start(
            &name,
            "assay",
            zone,
            SLOTS,
            cell.control(),
            move |stream, born| {
                // A broken connection ends its service.
                let _broken = serve(stream, born, &id, is_faulty, &seen, &record);
            },
        )?;
    }
    cell.wait_ready(1)?;
    cell.wait_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    submit(cell)?;
    let accepted = Instant::now();
    thread::sleep(DUE);
    let (listed, total) = results(cell)?;
    cell.record.note(&format!(
        "{} ms after the acceptance {listed} of {total} items are listed",
        accepted.elapsed().as_millis()
    ));
    let seen = seen.lock().expect("no replica panics");
    let mut lost = 0;
    for (item, (at, is_finished)) in &seen.items {
        if !is_finished && at.elapsed() >= IDLE {
            lost += 1;
            cell.record.note(&format!(
                "item {item}: no replica has finished it, and it was at none for {} ms",
                at.elapsed().as_millis()
            ));
        }
    }
    cell.record
        .note(&format!("{lost} items lost, {} spoilt", seen.spoilt));
    if seen.items.len() < ITEMS {
        return Err(io::Error::other("not all items reached a replica"));
    }
    Ok(lost == 0)
}

fn caller(id: &str) -> Vec<(String, String)> {
    let headers = fixtures::caller_headers(id, KEY, Millis(5_000));
    let mut headers: Vec<(String, String)> =
        headers.into_iter().map(|h| (h.name, h.value)).collect();
    headers.push(("Host".to_owned(), HOST.to_owned()));
    headers
}

/// Submits the job until it is accepted.
fn submit(cell: &Cell) -> io::Result<()> {
    let items: Vec<(String, String)> = (0..ITEMS)
        .map(|item| (format!("item-{item:03}"), format!("/lots/run/{item}")))
        .collect();
    let body = fixtures::job(&items);
    let request = http::request("POST", &format!("/lots/{JOB}"), &caller(JOB), &body);
    for _ in 0..20 {
        let answer = http::call(cell.front(1), &request, false, Duration::from_secs(5));
        let status = answer.map_or(0, |a| a.status());
        cell.record.note(&format!("job of {ITEMS} items: {status}"));
        if status == 202 {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(300));
    }
    Err(io::Error::other("the job was not accepted"))
}

/// Returns how many results are listed, and of how many items.
fn results(cell: &Cell) -> io::Result<(usize, usize)> {
    let mut listed = 0;
    loop {
        let path = fixtures::results_path(JOB, listed);
        let request = http::request("GET", &path, &caller("reader"), b"");
        let answer = http::call(cell.front(2), &request, false, Duration::from_secs(5))?;
        let page = fixtures::results(&answer.body).unwrap_or_default();
        if page.is_empty() {
            return Ok((listed, ITEMS));
        }
        listed += page.len();
    }
}

fn serve(
    mut stream: TcpStream,
    born: u64,
    name: &str,
    is_faulty: bool,
    seen: &Mutex<Seen>,
    record: &Record,
) -> io::Result<()> {
    while let Some(request) = http::read_message(&mut stream, false)? {
        if request.target() == STATE_PATH {
            stream.write_all(&http::answer(200, &[], &fixtures::engine_report(born)))?;
            continue;
        }
        let item = request.header(headers::ATTEMPT).unwrap_or_default();
        let is_spoilt = {
            let mut seen = seen.lock().expect("no replica panics");
            seen.items.insert(item.to_owned(), (Instant::now(), false));
            seen.runs += usize::from(is_faulty);
            let is_spoilt = is_faulty && SPOILT.contains(&seen.runs);
            seen.spoilt += usize::from(is_spoilt);
            is_spoilt
        };
        if is_spoilt {
            record.note(&format!(
                "{name} answers {item} with bytes that are no answer"
            ));
            stream.write_all(NO_ANSWER.as_bytes())?;
            return Ok(());
        }
        record.note(&format!("{name} runs {item}"));
        run_item(&mut stream, &request)?;
        let mut seen = seen.lock().expect("no replica panics");
        seen.items.insert(item.to_owned(), (Instant::now(), true));
    }
    Ok(())
}

/// An answer's head that is spoilt in the middle: one of its headers has letters that HTTP doesn't have.
const NO_ANSWER: &str =
    "HTTP/1.1 200 OK\r\nServer: \u{e4}\u{f6}\u{fc}\r\nContent-Length: 4\r\n\r\nabcd";

/// Answers a run with a complete stream of ten events.
fn run_item(stream: &mut TcpStream, request: &Message) -> io::Result<()> {
    let item = request.header(headers::ATTEMPT).unwrap_or_default();
    let first = request.header(headers::LAST_EVENT);
    let first = first.and_then(|v| v.parse::<u64>().ok()).unwrap_or(0) + 1;
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {item}\r\n{}: seal\r\n{}: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        headers::ATTEMPT,
        headers::SEAL,
        headers::VERSION,
    );
    stream.write_all(head.as_bytes())?;
    for event in first..=10 {
        thread::sleep(Duration::from_millis(20));
        let text = format!("id: {event}\ndata: piece {event} of {item}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
