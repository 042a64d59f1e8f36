//! Requests that may run at most once, at a replica that sends the answer to an earlier request a
//! second time.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use dandelion_platform::fixtures;
use dandelion_platform::fixtures::PlanFixture;
use dandelion_platform::headers;
use dandelion_protocol::time::Millis;
use dandelion_review::cell;
use dandelion_review::cell::Cell;
use dandelion_review::http;
use dandelion_review::record::Record;
use dandelion_review::upstream;

const HOST: &str = "bond.example";
const KEY: &str = "a-key-of-the-only-tenant";

/// Requests that look whether a certificate exists, each followed by one that issues a certificate.
const ROUNDS: usize = 40;

/// Requesters at the same time.
const REQUESTERS: usize = 8;

/// A replica refuses one of this many looks, as it is full.
const REFUSED: usize = 5;

/// The faulty replica, one of three, sends one of this many refusals a second time: about 2 of 100 of
/// its answers.
const REPEATED: usize = 4;

fn main() {
    cell::run(2, run)
}

/// What the replicas have seen.
#[derive(Debug, Default)]
struct Seen {
    /// Looks that reached each replica, and how many of them it refused.
    looks: BTreeMap<String, (usize, usize)>,
    /// Replicas that ran each request of the route whose requests may run at most once.
    runs: BTreeMap<String, Vec<String>>,
}

fn run(cell: &mut Cell, trouble: bool) -> io::Result<bool> {
    cell.configure(&plan()?)?;
    let seen = Arc::new(Mutex::new(Seen::default()));
    for (name, zone) in [("portal-1", "za"), ("portal-2", "zb"), ("portal-3", "zc")] {
        let (seen, record) = (Arc::clone(&seen), cell.record.clone());
        let is_faulty = trouble && name == "portal-1";
        upstream::start(name, "portal", zone, 6, cell.control(), move |stream, _| {
            // A broken connection ends its service.
            let _broken = serve(stream, name, is_faulty, &seen, &record);
        })?;
    }
    cell.wait_ready(1)?;
    cell.wait_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let fronts = [cell.front(1), cell.front(2)];
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|requester| {
            let (front, record) = (fronts[requester % 2], cell.record.clone());
            thread::spawn(move || requests(front, requester, &record))
        })
        .collect();
    let mut answers = BTreeMap::new();
    for requester in requesters {
        answers.extend(requester.join().expect("no requester panics"));
    }
    thread::sleep(Duration::from_millis(500));
    let seen = seen.lock().expect("no replica panics");
    let mut broken = 0;
    for (id, replicas) in &seen.runs {
        let status = answers.get(id).copied().unwrap_or(0);
        if replicas.len() > 1 || [429, 503].contains(&status) {
            broken += 1;
            cell.record.note(&format!(
                "{id} ran at {replicas:?} and was answered {status}"
            ));
        }
    }
    cell.record.note(&format!(
        "{} requests ran, {broken} of them twice or though they were refused",
        seen.runs.len()
    ));
    Ok(broken == 0)
}

/// Sends a requester's requests, each on a new channel, and returns the status that answered each of
/// those that may run at most once; 0 without an answer.
fn requests(front: SocketAddr, requester: usize, record: &Record) -> Vec<(String, u16)> {
    let mut answers = Vec::new();
    let limit = Duration::from_secs(3);
    for round in 0..ROUNDS {
        let look = request("HEAD", "/bonds/7", &format!("look-{requester}-{round}"));
        let looked = http::call(front, &look, true, limit).map_or(0, |a| a.status());
        let id = format!("issue-{requester}-{round}");
        let issue = request("POST", "/issue/bond", &id);
        let issued = http::call(front, &issue, false, limit).map_or(0, |a| a.status());
        record.note(&format!(
            "look-{requester}-{round}: {looked}, {id}: {issued}"
        ));
        answers.push((id, issued));
    }
    answers
}

/// Returns a plan with a route whose requests may be repeated and one whose requests may not.
fn plan() -> io::Result<Vec<u8>> {
    let service = "portal".parse().map_err(io::Error::other)?;
    let plan = fixtures::plan(&PlanFixture {
        version: 1,
        host: HOST,
        service: &service,
        key: KEY,
        attempts: 3,
        timeout: Millis(2_000),
        prefixes: &["/issue/"],
        streams: None,
        batches: None,
    });
    let mut plan: serde_json::Value = serde_json::from_slice(&plan)?;
    plan["routes"][1]["kind"] = "unsafe".into();
    plan["routes"][1]["resumable"] = false.into();
    Ok(plan.to_string().into_bytes())
}

fn request(method: &str, target: &str, id: &str) -> Vec<u8> {
    let headers = fixtures::caller_headers(id, KEY, Millis(2_000));
    let mut headers: Vec<(String, String)> =
        headers.into_iter().map(|h| (h.name, h.value)).collect();
    headers.push(("Host".to_owned(), HOST.to_owned()));
    http::request(method, target, &headers, b"")
}

fn serve(
    mut stream: TcpStream,
    name: &str,
    is_faulty: bool,
    seen: &Mutex<Seen>,
    record: &Record,
) -> io::Result<()> {
    let mut extra: Option<Vec<u8>> = None;
    while let Some(request) = http::read_message(&mut stream, false)? {
        let id = request.header(headers::ATTEMPT).unwrap_or_default();
        let mut answer = vec![
            (headers::ATTEMPT.to_owned(), id.to_owned()),
            (headers::SEAL.to_owned(), "seal".to_owned()),
        ];
        if request.method() == "HEAD" {
            let (is_refused, is_repeated) = {
                let mut seen = seen.lock().expect("no replica panics");
                let (looks, refusals) = seen.looks.entry(name.to_owned()).or_default();
                *looks += 1;
                let is_refused = *looks % REFUSED == 0;
                *refusals += usize::from(is_refused);
                (is_refused, is_refused && *refusals % REPEATED == 0)
            };
            let status = if is_refused { 503 } else { 200 };
            if is_refused {
                answer.push((headers::NOT_RUN.to_owned(), "1".to_owned()));
            }
            let bytes = http::answer(status, &answer, b"");
            stream.write_all(&bytes)?;
            if is_faulty && is_repeated {
                extra = Some(bytes);
            }
            continue;
        }
        seen.lock()
            .expect("no replica panics")
            .runs
            .entry(id.to_owned())
            .or_default()
            .push(name.to_owned());
        if let Some(bytes) = extra.take() {
            record.note(&format!(
                "{name} answers an earlier request again before {id}"
            ));
            stream.write_all(&bytes)?;
        }
        thread::sleep(Duration::from_millis(25));
        stream.write_all(&http::answer(200, &answer, b"issued"))?;
    }
    Ok(())
}
