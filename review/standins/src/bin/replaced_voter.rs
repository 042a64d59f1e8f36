//! Two of three control daemons are replaced, as planned, one after the other. Each is stopped once its
//! replacement has had its time to catch up, and the second one only when the first one has been gone
//! for that time too.

use std::io;
use std::io::Write;
use std::net::TcpStream;
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
use dandelion_review::cell::Role;
use dandelion_review::http;
use dandelion_review::upstream;
use rustix::process::Signal;

const HOST: &str = "assay.example";
const KEY: &str = "a-key-of-the-only-tenant";

/// Time for which a new machine counts as lost (`catch_up_s` of the small deployment).
const CATCH_UP: Duration = Duration::from_millis(5_500);

/// Time beyond that before an old machine is stopped.
const SLACK: Duration = Duration::from_millis(100);

/// Longest time from SIGTERM to the end of a process (`grace_s`).
const GRACE: Duration = Duration::from_secs(8);

/// Time in which service is resumed after any loss (`recovery_s`).
const RECOVERY: Duration = Duration::from_secs(12);

/// Requests before and after.
const REQUESTS: usize = 40;

fn main() {
    cell::run(2, run)
}

fn run(cell: &mut Cell, trouble: bool) -> io::Result<bool> {
    cell.configure(&plan(1)?)?;
    for (name, zone) in [("app-1", "za"), ("app-2", "zb")] {
        upstream::start(name, "app", zone, 6, cell.control(), |stream, born| {
            // A broken connection ends its service.
            let _broken = serve(stream, born);
        })?;
    }
    cell.wait_ready(1)?;
    cell.wait_ready(2)?;
    thread::sleep(Duration::from_secs(6));
    cell.configure(&plan(2)?)?;
    let before = served(cell);
    cell.record
        .note(&format!("before: {before} of {REQUESTS} requests served"));
    if before < REQUESTS / 4 {
        return Err(io::Error::other("too few requests are served at the start"));
    }
    if trouble {
        // Each in the zone of the one that it replaces.
        cell.add(Role::Control, 6)?;
        cell.add(Role::Control, 5)?;
        thread::sleep(CATCH_UP + SLACK);
        stop(cell, 3)?;
        thread::sleep(pause());
        stop(cell, 2)?;
    } else {
        thread::sleep(CATCH_UP + SLACK + pause());
    }
    cell.record.note("both machines are replaced");
    thread::sleep(RECOVERY);
    let read = cell.read_plan(Duration::from_secs(15));
    let after = served(cell);
    let is_newest = read.is_some_and(|read| plan(2).is_ok_and(|plan| plan == read));
    cell.record.note(&format!(
        "{} s later: the acknowledged config is read back: {is_newest}; {after} of {REQUESTS} requests served",
        RECOVERY.as_secs()
    ));
    Ok(is_newest && after >= REQUESTS / 4)
}

/// Stops a control daemon as the platform does, and waits for its end.
fn stop(cell: &mut Cell, number: u8) -> io::Result<()> {
    cell.signal(Role::Control, number, Signal::TERM)?;
    let until = Instant::now() + GRACE;
    while !cell.has_ended(Role::Control, number) {
        if Instant::now() >= until {
            return cell.kill(Role::Control, number);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Returns the time from the end of the first machine to the SIGTERM of the second one.
fn pause() -> Duration {
    let asked = std::env::var("PAUSE_MS").ok();
    let asked = asked.and_then(|pause| pause.parse().ok());
    asked.map_or(CATCH_UP + SLACK, Duration::from_millis)
}

fn plan(version: u64) -> io::Result<Vec<u8>> {
    let service = "app".parse().map_err(io::Error::other)?;
    Ok(fixtures::plan(&PlanFixture {
        version,
        host: HOST,
        service: &service,
        key: KEY,
        attempts: 2,
        timeout: Millis(1_500),
        prefixes: &[],
        streams: None,
        batches: None,
    }))
}

/// Sends requests to both entries and returns how many are served.
fn served(cell: &Cell) -> usize {
    let sent = (0..REQUESTS).map(|number| {
        let headers = fixtures::caller_headers(&format!("request-{number}"), KEY, Millis(1_500));
        let mut headers: Vec<(String, String)> =
            headers.into_iter().map(|h| (h.name, h.value)).collect();
        headers.push(("Host".to_owned(), HOST.to_owned()));
        let request = http::request("POST", "/quick", &headers, b"body");
        let front = cell.front(1 + (number % 2) as u8);
        http::call(front, &request, false, Duration::from_secs(2))
    });
    sent.flatten()
        .filter(|answer| answer.status() == 200)
        .count()
}

fn serve(mut stream: TcpStream, born: u64) -> io::Result<()> {
    while let Some(request) = http::read_message(&mut stream, false)? {
        if request.target() == STATE_PATH {
            stream.write_all(&http::answer(200, &[], &fixtures::engine_report(born)))?;
            continue;
        }
        let id = request.header(headers::ATTEMPT).unwrap_or_default();
        let answer = [
            (headers::ATTEMPT.to_owned(), id.to_owned()),
            (headers::SEAL.to_owned(), "seal".to_owned()),
        ];
        stream.write_all(&http::answer(200, &answer, b"done"))?;
    }
    Ok(())
}
