//! Requests on kept channels to an entry that is stopped with SIGTERM.

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
use dandelion_review::cell::Role;
use dandelion_review::http;
use dandelion_review::upstream;
use rustix::process::Signal;

const HOST: &str = "bond.example";
const KEY: &str = "a-key-of-the-only-tenant";

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// A request that is sent no later than this after SIGTERM may be cut if it still runs near the end.
const EARLY: Duration = Duration::from_secs(3);

/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(4_600);

/// Time that a requester leaves for its request; less than the route's timeout.
const DEADLINE: Millis = Millis(9_000);

/// Kept channels, each of which gets its request some time later than the one before.
const CHANNELS: usize = 20;

fn main() {
    cell::run(2, run)
}

/// When each request reached a replica, by id.
type Arrived = Arc<Mutex<BTreeMap<String, Instant>>>;

fn run(cell: &mut Cell, trouble: bool) -> io::Result<bool> {
    cell.configure(&plan()?)?;
    let arrived = Arrived::default();
    for (name, zone) in [("portal-1", "za"), ("portal-2", "zb")] {
        let arrived = Arc::clone(&arrived);
        let slots = CHANNELS as u32;
        upstream::start(
            name,
            "portal",
            zone,
            slots,
            cell.control(),
            move |stream, born| {
                // A broken connection ends its service.
                let _broken = serve(stream, born, &arrived);
            },
        )?;
    }
    cell.wait_ready(1)?;
    thread::sleep(Duration::from_secs(3));
    let mut channels = Vec::new();
    for number in 0..CHANNELS {
        let mut channel = http::connect(cell.front(1), GRACE * 2)?;
        let request = request("/portal/quick", &format!("quick-{number}"));
        let status = http::send(&mut channel, &request, false)?.status();
        cell.record.note(&format!("quick-{number}: {status}"));
        channels.push(channel);
    }
    let stopped = Instant::now();
    if trouble {
        cell.signal(Role::Entry, 1, Signal::TERM)?;
    }
    let requesters: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(number, channel)| {
            let at = Duration::from_millis(2_900 + 60 * number as u64);
            let record = cell.record.clone();
            thread::spawn(move || {
                thread::sleep(at.saturating_sub(stopped.elapsed()));
                let id = format!("long-{number}");
                let sent = stopped.elapsed();
                let outcome = outcome(channel, &request("/portal/long", &id));
                let ended = stopped.elapsed();
                record.note(&format!(
                    "{id}: sent {} ms after SIGTERM, ended {} ms after it: {outcome}",
                    sent.as_millis(),
                    ended.as_millis()
                ));
                (id, sent, ended, outcome)
            })
        })
        .collect();
    let mut lost = 0;
    for requester in requesters {
        let (id, sent, ended, outcome) = requester.join().expect("no requester panics");
        let arrived = arrived.lock().expect("no replica panics");
        let is_cut = outcome == "closed" && ended < sent + Duration::from_millis(DEADLINE.0);
        let is_planned = ended <= GRACE + Duration::from_secs(1);
        if arrived.contains_key(&id) && is_cut && is_planned && sent > EARLY {
            cell.record.note(&format!(
                "{id} was passed on to a replica, and its channel ended without an answer"
            ));
            lost += 1;
        }
    }
    cell.record.note(&format!("{lost} requests lost"));
    Ok(lost == 0)
}

/// Sends a request and says how its channel ended.
fn outcome(mut channel: TcpStream, request: &[u8]) -> String {
    match http::send(&mut channel, request, false) {
        Ok(answer) => format!("status {}", answer.status()),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => "no answer".to_owned(),
        Err(_) => "closed".to_owned(),
    }
}

/// Returns a plan with one route, whose requests may run at most once.
fn plan() -> io::Result<Vec<u8>> {
    let service = "portal".parse().map_err(io::Error::other)?;
    let plan = fixtures::plan(&PlanFixture {
        version: 1,
        host: HOST,
        service: &service,
        key: KEY,
        attempts: 2,
        timeout: Millis(10_000),
        prefixes: &[],
        streams: None,
        batches: None,
    });
    let mut plan: serde_json::Value = serde_json::from_slice(&plan)?;
    plan["routes"][0]["kind"] = "unsafe".into();
    plan["routes"][0]["resumable"] = false.into();
    Ok(plan.to_string().into_bytes())
}

fn request(target: &str, id: &str) -> Vec<u8> {
    let headers = fixtures::caller_headers(id, KEY, DEADLINE);
    let mut headers: Vec<(String, String)> =
        headers.into_iter().map(|h| (h.name, h.value)).collect();
    headers.push(("Host".to_owned(), HOST.to_owned()));
    http::request("POST", target, &headers, b"body")
}

fn serve(mut stream: TcpStream, born: u64, arrived: &Arrived) -> io::Result<()> {
    while let Some(request) = http::read_message(&mut stream, false)? {
        if request.target() == STATE_PATH {
            stream.write_all(&http::answer(200, &[], &fixtures::engine_report(born)))?;
            continue;
        }
        let id = request.header(headers::ATTEMPT).unwrap_or_default();
        arrived
            .lock()
            .expect("no replica panics")
            .insert(id.to_owned(), Instant::now());
        if request.target().ends_with("long") {
            thread::sleep(WORK);
        }
        let answer = [
            (headers::ATTEMPT.to_owned(), id.to_owned()),
            (headers::SEAL.to_owned(), "seal".to_owned()),
        ];
        stream.write_all(&http::answer(200, &answer, b"done"))?;
    }
    Ok(())
}
