//! Requests whose query has an apostrophe.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
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
use dandelion_review::upstream;

const HOST: &str = "bond.example";
const KEY: &str = "a-key-of-the-only-tenant";

/// Targets whose query has a character that RFC 3986 allows there unencoded.
const ODD: [&str; 3] = [
    "/bonds/find?builder=O'Brien",
    "/bonds/find?note='due'&page=1",
    "/bonds/7?name=D'Angelo%20AG",
];

/// The same without it.
const PLAIN: [&str; 3] = [
    "/bonds/find?builder=OBrien",
    "/bonds/find?note=due&page=1",
    "/bonds/7?name=DAngelo%20AG",
];

fn main() {
    cell::run(2, run)
}

/// Target of each request as its replica received it, by id.
type Arrived = Arc<Mutex<BTreeMap<String, String>>>;

fn run(cell: &mut Cell, trouble: bool) -> io::Result<bool> {
    let service = "portal".parse().map_err(io::Error::other)?;
    let plan = fixtures::plan(&PlanFixture {
        version: 1,
        host: HOST,
        service: &service,
        key: KEY,
        attempts: 2,
        timeout: Millis(2_000),
        prefixes: &[],
        streams: None,
        batches: None,
    });
    cell.configure(&plan)?;
    let arrived = Arrived::default();
    for (name, zone) in [("portal-1", "za"), ("portal-2", "zb")] {
        let arrived = Arc::clone(&arrived);
        upstream::start(name, "portal", zone, 6, cell.control(), move |stream, _| {
            // A broken connection ends its service.
            let _broken = serve(stream, &arrived);
        })?;
    }
    cell.wait_ready(1)?;
    cell.wait_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let targets = if trouble { ODD } else { PLAIN };
    let mut changed = 0;
    for (number, target) in targets.into_iter().enumerate() {
        let id = format!("request-{number}");
        let front = cell.front(1 + (number % 2) as u8);
        let answer = http::call(front, &request(target, &id), false, Duration::from_secs(3))?;
        let arrived = arrived.lock().expect("no replica panics");
        let run = arrived.get(&id).map_or("nothing", String::as_str);
        cell.record.note(&format!(
            "{id}: sent {target}, answered {}, a replica ran {run}",
            answer.status()
        ));
        changed += usize::from(run != target && run != "nothing");
    }
    cell.record.note(&format!("{changed} requests changed"));
    Ok(changed == 0)
}

fn request(target: &str, id: &str) -> Vec<u8> {
    let headers = fixtures::caller_headers(id, KEY, Millis(2_000));
    let mut headers: Vec<(String, String)> =
        headers.into_iter().map(|h| (h.name, h.value)).collect();
    headers.push(("Host".to_owned(), HOST.to_owned()));
    http::request("POST", target, &headers, b"body")
}

fn serve(mut stream: TcpStream, arrived: &Arrived) -> io::Result<()> {
    while let Some(request) = http::read_message(&mut stream, false)? {
        let id = request.header(headers::ATTEMPT).unwrap_or_default();
        arrived
            .lock()
            .expect("no replica panics")
            .insert(id.to_owned(), request.target().to_owned());
        let answer = [
            (headers::ATTEMPT.to_owned(), id.to_owned()),
            (headers::SEAL.to_owned(), "seal".to_owned()),
        ];
        stream.write_all(&http::answer(200, &answer, b"found"))?;
    }
    Ok(())
}
