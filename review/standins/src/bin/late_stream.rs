//! Items of a batch job that come again in the next job, at a replica that sends their earlier answers a
//! second time.

use std::collections::BTreeSet;
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
const SLOTS: u32 = 12;

/// Items of the first job, which only show that all is well.
const EARLIER: usize = 400;

/// Steps of two jobs each. In some the extra answer comes before that of another item, which is noticed.
const STEPS: usize = 4;

/// Events of an output.
const EVENTS: u64 = 10;

/// Event after which the first run of a [`SHORT`] item breaks off.
const BROKEN_AFTER: u64 = 5;

/// Items of which the first run breaks off and the answer to the second one comes twice, one a step.
const SHORT: &str = "short";

/// Items of their groups that take long, so that the group comes again in the next job.
const LONG: &str = "long";

/// Events of the long item.
const LONG_EVENTS: u64 = 2_000;

/// Time from an event to the next one.
const EVENT_TIME: Duration = Duration::from_millis(20);

/// Time from the end of a job to the next one.
const PAUSE: Duration = Duration::from_millis(4_500);

fn main() {
    cell::run(2, run)
}

/// What the replicas share.
#[derive(Debug, Default)]
struct Trouble {
    /// Items whose first run has broken off.
    broken: BTreeSet<String>,
    /// Answers that were sent a second time.
    repeated: usize,
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
    let state = Arc::new(Mutex::new(Trouble::default()));
    for (name, zone) in [("assay-1", "za"), ("assay-2", "zb")] {
        let replica = Replica {
            name,
            trouble,
            state: Arc::clone(&state),
            record: cell.record.clone(),
        };
        upstream::start(
            name,
            "assay",
            zone,
            SLOTS,
            cell.control(),
            move |stream, born| {
                // A broken connection ends its service.
                let _broken = replica.serve(stream, born);
            },
        )?;
    }
    cell.wait_ready(1)?;
    cell.wait_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let earlier: Vec<(String, String)> = (0..EARLIER)
        .map(|number| (format!("earlier-{number}"), "earlier".to_owned()))
        .collect();
    submit(cell, "job-earlier", &earlier)?;
    wait_results(cell, "job-earlier", EARLIER)?;
    end(cell, "job-earlier")?;
    thread::sleep(PAUSE);
    let mut jobs = Vec::new();
    for step in 0..STEPS {
        let item = |id: &str, group: &str| (format!("{id}-{step}"), format!("{group}-{step}"));
        let again = [item(SHORT, "group-s"), item(LONG, "group-s")];
        let [short, long] = again.clone();
        let first = [
            item("other-a", "group-a"),
            short,
            item("other-b", "group-b"),
            long,
        ];
        let job = format!("job-{step}a");
        submit(cell, &job, &first)?;
        jobs.push((job.clone(), wait_results(cell, &job, 3)?));
        thread::sleep(EVENT_TIME * 10);
        end(cell, &job)?;
        thread::sleep(PAUSE);
        let job = format!("job-{step}b");
        submit(cell, &job, &again)?;
        jobs.push((job.clone(), wait_results(cell, &job, 1)?));
        end(cell, &job)?;
        thread::sleep(PAUSE);
    }
    let repeated = state.lock().expect("no replica panics").repeated;
    if trouble && repeated == 0 {
        return Err(io::Error::other("no answer was sent a second time"));
    }
    let mut wrong = 0;
    for (job, results) in jobs {
        for (id, text) in results {
            let whole: Vec<String> = (1..=EVENTS).map(|event| piece(&id, event)).collect();
            if text != whole.join("\n") {
                wrong += 1;
                cell.record.note(&format!(
                    "{job}: {id} is completed with the text {text:?}, which isn't its whole output"
                ));
            }
        }
    }
    cell.record.note(&format!("{wrong} wrong results"));
    Ok(wrong == 0)
}

fn caller(id: &str) -> Vec<(String, String)> {
    let headers = fixtures::caller_headers(id, KEY, Millis(5_000));
    let mut headers: Vec<(String, String)> =
        headers.into_iter().map(|h| (h.name, h.value)).collect();
    headers.push(("Host".to_owned(), HOST.to_owned()));
    headers
}

/// Submits a job of items with their groups until it is accepted.
fn submit(cell: &Cell, job: &str, items: &[(String, String)]) -> io::Result<()> {
    let paths: Vec<(String, String)> = items
        .iter()
        .map(|(id, _)| (id.clone(), format!("/lots/run/{id}")))
        .collect();
    let mut form: serde_json::Value = serde_json::from_slice(&fixtures::job(&paths))?;
    for (at, (_, group)) in items.iter().enumerate() {
        form["requests"][at]["group"] = group.as_str().into();
    }
    let body = form.to_string().into_bytes();
    let request = http::request("POST", &format!("/lots/{job}"), &caller(job), &body);
    for _ in 0..20 {
        let answer = http::call(cell.front(1), &request, false, Duration::from_secs(5));
        let status = answer.map_or(0, |a| a.status());
        cell.record
            .note(&format!("{job} of {} items: {status}", items.len()));
        if status == 202 {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(300));
    }
    Err(io::Error::other("the job was not accepted"))
}

/// Ends a job.
fn end(cell: &Cell, job: &str) -> io::Result<()> {
    let path = fixtures::results_path(job, 0);
    let path = path.split('?').next().unwrap_or_default();
    let request = http::request("DELETE", path, &caller("end"), b"");
    let status = http::call(cell.front(1), &request, false, Duration::from_secs(5))?.status();
    cell.record.note(&format!("{job} is ended: {status}"));
    Ok(())
}

/// Waits until a job has as many results, and returns the items with their texts.
fn wait_results(cell: &Cell, job: &str, count: usize) -> io::Result<Vec<(String, String)>> {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        let path = fixtures::results_path(job, 0);
        let request = http::request("GET", &path, &caller("reader"), b"");
        let answer = http::call(cell.front(2), &request, false, Duration::from_secs(5))?;
        let results = fixtures::results(&answer.body).unwrap_or_default();
        let texts = fixtures::texts(&answer.body).unwrap_or_default();
        if results.len() >= count {
            let ids = results.into_iter().map(|r| r.id);
            return Ok(ids.zip(texts).collect());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(io::Error::other(format!("{job} has too few results")))
}

/// Returns the data of an event of an item's output.
fn piece(item: &str, event: u64) -> String {
    format!("piece {event} of {item}")
}

struct Replica {
    name: &'static str,
    trouble: bool,
    state: Arc<Mutex<Trouble>>,
    record: Record,
}

impl Replica {
    fn serve(&self, mut stream: TcpStream, born: u64) -> io::Result<()> {
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = http::read_message(&mut stream, false)? {
            if request.target() == STATE_PATH {
                stream.write_all(&http::answer(200, &[], &fixtures::engine_report(born)))?;
                continue;
            }
            let item = request.header(headers::ATTEMPT).unwrap_or_default();
            if let Some(bytes) = extra.take() {
                self.record.note(&format!(
                    "{} sends an earlier answer again before that of {item}",
                    self.name
                ));
                stream.write_all(&bytes)?;
                self.state.lock().expect("no replica panics").repeated += 1;
            }
            let Some(sent) = self.run_item(&mut stream, &request)? else {
                return Ok(());
            };
            let is_resumed = request.header(headers::LAST_EVENT).is_some();
            if self.trouble && item.starts_with(SHORT) && is_resumed {
                extra = Some(sent);
            }
        }
        Ok(())
    }

    /// Answers a run with a complete stream and returns what was sent; none if it broke off.
    fn run_item(&self, stream: &mut TcpStream, request: &Message) -> io::Result<Option<Vec<u8>>> {
        let item = request.header(headers::ATTEMPT).unwrap_or_default();
        let after = request.header(headers::LAST_EVENT);
        let after = after.and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        if !item.starts_with("earlier") {
            self.record
                .note(&format!("{} runs {item} after event {after}", self.name));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {item}\r\n{}: seal\r\n{}: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            headers::ATTEMPT,
            headers::SEAL,
            headers::VERSION,
        );
        let mut sent = head.into_bytes();
        stream.write_all(&sent)?;
        let events = if item.starts_with(LONG) {
            LONG_EVENTS
        } else {
            EVENTS
        };
        for event in after + 1..=events {
            thread::sleep(EVENT_TIME);
            let text = format!("id: {event}\ndata: {}\n\n", piece(item, event));
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes())?;
            sent.extend_from_slice(chunk.as_bytes());
            let may_break = self.trouble && item.starts_with(SHORT) && event == BROKEN_AFTER;
            if may_break && self.is_first(item) {
                self.record
                    .note(&format!("{} breaks off its answer to {item}", self.name));
                return Ok(None);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        sent.extend_from_slice(b"0\r\n\r\n");
        Ok(Some(sent))
    }

    fn is_first(&self, item: &str) -> bool {
        let mut state = self.state.lock().expect("no replica panics");
        state.broken.insert(item.to_owned())
    }
}
