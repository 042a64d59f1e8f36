//! The cases. Each returns whether its rule held.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelion_platform::fixtures;

use crate::caller;
use crate::cell::Cell;
use crate::cell::RUDALAPS;
use crate::cell::Role;
use crate::cell::SLK;
use crate::cell::Size;
use crate::http;
use crate::record::Record;
use crate::replica;
use crate::replica::Profile;

/// Time after which a case is ended.
const LONGEST: Duration = Duration::from_secs(115);

type Outcome = Result<bool, Box<dyn std::error::Error>>;

/// Runs a case.
pub fn run(case: &str, root: &Path, folder: &Path, trouble: bool) -> Outcome {
    match case {
        "entry-memory" => entry_memory(root, folder, trouble),
        "store-hang" => store_hang(root, folder, trouble),
        "unread-results" => unread_results(root, folder, trouble),
        "first-start" => first_start(root, folder, trouble),
        "item-headers" => item_headers(root, folder, trouble),
        other => Err(format!("no case {other}").into()),
    }
}

/// Shows what came of a call.
fn outcome(answer: &std::io::Result<http::Message>) -> String {
    match answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("no answer ({error})"),
    }
}

/// A running deployment with its replicas.
struct Setup {
    cell: Arc<Cell>,
    record: Record,
    scratch: std::path::PathBuf,
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.cell.stop();
        let _ignored = std::fs::remove_dir_all(&self.scratch);
    }
}

/// Starts a deployment and its replicas. If `killed` is set, the first control daemon is killed once, this
/// long after the start.
fn start(
    (root, folder): (&Path, &Path),
    size: Size,
    engine: Profile,
    killed: Option<Duration>,
) -> Result<Setup, Box<dyn std::error::Error>> {
    let record = Record::create(&folder.join("record.txt"))?;
    let stamp = SystemTime::now().duration_since(UNIX_EPOCH)?.as_nanos();
    let scratch = std::env::temp_dir().join(format!("review-4-{}-{stamp}", std::process::id()));
    std::fs::create_dir_all(&scratch)?;
    let cell = Arc::new(Cell::prepare(root, &scratch, record.clone(), size)?);
    let setup = Setup {
        cell: Arc::clone(&cell),
        record: record.clone(),
        scratch,
    };
    cell.start()?;
    if let Some(delay) = killed {
        thread::sleep(delay);
        let first = &cell.of_role(Role::Control)[0];
        first.kill();
        let name = &first.spec.name;
        record.line(&format!(
            "platform: {name} killed {delay:?} after the start"
        ));
    }
    // A case that hangs is ended within the time that a script may take.
    let (watched, scratch) = (Arc::clone(&cell), setup.scratch.clone());
    thread::spawn(move || {
        thread::sleep(LONGEST);
        watched.stop();
        let _ignored = std::fs::remove_dir_all(scratch);
        std::process::exit(2);
    });
    let zones = ["riga-a", "riga-b", "riga-c"];
    for number in 0..6_u8 {
        let is_engine = number < 4;
        let profile = Profile {
            is_engine,
            ..engine.clone()
        };
        let name = (format!("i-{number:08x}"), zones[number as usize % 3]);
        let ip = cell.own_ip(100 + number);
        replica::spawn(name, profile, ip, cell.controls(), record.clone())?;
    }
    Ok(setup)
}

/// Starts a deployment and waits until it serves.
fn set_up(
    root: &Path,
    folder: &Path,
    size: Size,
    engine: Profile,
) -> Result<Setup, Box<dyn std::error::Error>> {
    let setup = start((root, folder), size, engine, None)?;
    if !setup
        .cell
        .operate(&caller::config(7), Duration::from_secs(20))
    {
        return Err("the config was not acknowledged".into());
    }
    setup.record.line("operator: config 7 acknowledged");
    if !setup.cell.wait_ready(Duration::from_secs(20)) {
        return Err("the entries did not become ready".into());
    }
    thread::sleep(Duration::from_secs(3));
    setup.record.line("all entries are ready");
    Ok(setup)
}

fn engine() -> Profile {
    Profile {
        is_engine: true,
        events: 5,
        work: Duration::from_millis(10),
    }
}

/// Submits a job until it is accepted; returns whether it was.
fn submit(setup: &Setup, id: &str, body: &[u8], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let fronts = setup.cell.fronts();
    let mut tries = id.len();
    while Instant::now() < until {
        let to = fronts[tries % fronts.len()];
        tries += 1;
        let answer = caller::submit(to, id, body.to_vec());
        setup.record.line(&format!(
            "caller: job {id} of {} bytes at {to}: {}",
            body.len(),
            outcome(&answer)
        ));
        if answer.is_ok_and(|a| a.status() == 202) {
            return true;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Reads a job until all its results are listed, or only once if `once`; returns whether an answer came.
fn read(setup: &Setup, id: &str, limit: Duration, whole: bool) -> bool {
    let until = Instant::now() + limit;
    let fronts = setup.cell.fronts();
    let mut tries = 0;
    let mut after = 0;
    let mut last = String::new();
    while Instant::now() < until {
        let to = fronts[tries % fronts.len()];
        tries += 1;
        match caller::read(to, id, after) {
            Ok(answer) if answer.status() == 200 => {
                let text = answer.text();
                let total = caller::number(&text, "total").unwrap_or(0);
                after = caller::number(&text, "next_token").unwrap_or(after);
                if !whole || after >= total {
                    setup.record.line(&format!(
                        "caller: read job {id}: 200, {after} of {total} results"
                    ));
                    return true;
                }
                last = format!("200, {after} of {total} results");
            }
            Ok(answer) => last = answer.status().to_string(),
            Err(error) => last = format!("no answer ({error})"),
        }
        thread::sleep(Duration::from_millis(200));
    }
    setup.record.line(&format!(
        "caller: read job {id}: not in {limit:?}; {tries} tries, the last one: {last}"
    ));
    false
}

fn show_ends(setup: &Setup) -> u32 {
    let mut often = 0;
    for machine in &setup.cell.machines {
        let (over, exits, peak) = machine.ends();
        setup.record.line(&format!(
            "platform: {} over its memory {over} times, ended otherwise {exits} times, peak {peak} KiB of {} MB",
            machine.spec.name, machine.spec.memory_mb
        ));
        often += u32::from(over + exits >= 3);
    }
    often
}

/// One caller sends single requests of legal size, one at a time.
fn entry_memory(root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let setup = set_up(root, folder, RUDALAPS, engine())?;
    let bytes = if trouble { 24 * 1024 * 1024 } else { 600 };
    let mut served = 0;
    for round in 0..3 {
        for (at, to) in setup.cell.fronts().into_iter().enumerate() {
            let id = format!("{round:04x}{at:04x}");
            let request = caller::request("POST", "/lohu930/2f", &id).body(vec![b'b'; bytes]);
            let answer = http::call(to, &request, Duration::from_secs(10));
            let shown = outcome(&answer);
            served += u32::from(answer.is_ok_and(|a| a.status() == 200));
            setup.record.line(&format!(
                "caller: request {id} of {bytes} bytes at {to}: {shown}"
            ));
        }
        thread::sleep(Duration::from_secs(4));
    }
    let often = show_ends(&setup);
    setup.record.line(&format!(
        "requests served: {served} of 9; machines whose process ended three times: {often}"
    ));
    Ok(often < 2)
}

/// Length of the body of the only item of the large job. With it the job's submission still fits a message
/// between daemons (16 MiB), and the log entry made of it doesn't.
const LARGE_BODY: usize = 16 * 1024 * 1024 - 400;

/// Bounds of the deployment.
const ACK: f64 = 4.0;
const CANCEL: f64 = 3.0;

/// One team runs a job, and another one is submitted whose entry in the log of the stores is a little longer
/// than a message between daemons may be. Then the first job is ended.
fn store_hang(root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let slow = Profile {
        events: 25,
        work: Duration::from_millis(100),
        ..engine()
    };
    let setup = set_up(root, folder, SLK, slow)?;
    let record = &setup.record;
    let job = "7c41e0";
    let body = caller::job(job, 600, 600, "{}");
    if !submit(&setup, job, &body, Duration::from_secs(5)) {
        return Err("the first job was not accepted".into());
    }
    thread::sleep(Duration::from_millis(1500));
    let to = setup.cell.fronts()[0];
    let length = if trouble { LARGE_BODY / 3 * 3 } else { 600 };
    let body = caller::job("b16000", 1, length, "{}");
    record.line(&format!(
        "caller: submits job b16000, {} bytes with one item of {length} bytes",
        body.len()
    ));
    let answer = caller::submit(to, "b16000", body);
    record.line(&format!("caller: job b16000: {}", outcome(&answer)));
    let began = record.now();
    let mut ended = None;
    for number in 0.. {
        let to = setup.cell.fronts()[number % 3];
        let answer = caller::end(to, job);
        record.line(&format!(
            "caller: ends job {job} at {to}: {}",
            outcome(&answer)
        ));
        if answer.is_ok_and(|a| a.status() == 200) {
            ended = Some(record.now());
            break;
        }
        if record.now() > began + 30.0 {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    let counts_from = ended.unwrap_or(f64::MAX).min(began + ACK) + CANCEL;
    let small = caller::job("aa0", 4, 600, "{}");
    let accepted = submit(&setup, "aa0", &small, Duration::from_secs(20));
    let listed = accepted && read(&setup, "aa0", Duration::from_secs(10), true);
    while record.now() < counts_from + 1.0 {
        thread::sleep(Duration::from_millis(100));
    }
    show_ends(&setup);
    let late: Vec<(f64, String)> = record
        .runs()
        .into_iter()
        .filter(|(at, id)| id.starts_with(job) && *at > counts_from)
        .collect();
    record.line(&format!(
        "the end of job {job} was first sent at {began:.3}, acknowledged: {}; items of it that reached a replica later than {counts_from:.3}: {}, the last one at {:.3}",
        ended.map_or("never".to_owned(), |at| format!("at {at:.3}")),
        late.len(),
        late.last().map_or(0.0, |(at, _)| *at)
    ));
    record.line(&format!(
        "a small job afterwards: accepted {accepted}, all results listed {listed}"
    ));
    let readable = read(&setup, job, Duration::from_secs(15), false);
    record.line(&format!(
        "items of the ended job that ran too late: {}; the job can be read at the end: {readable}",
        late.len()
    ));
    Ok(late.is_empty() && readable)
}

/// A team submits jobs in which one item has a header that a request of its own could not have.
fn item_headers(root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let setup = set_up(root, folder, RUDALAPS, engine())?;
    let headers = match trouble {
        true => [r#"{"Host":"ficu95.example"}"#, r#"{"X-Note":"Zürich"}"#],
        false => ["{}", r#"{"X-Note":"Zurich"}"#],
    };
    let mut early = 0;
    for (number, header) in headers.into_iter().enumerate() {
        let id = format!("7c41e0{number}");
        let began = setup.record.now();
        if !submit(
            &setup,
            &id,
            &caller::job(&id, 4, 600, header),
            Duration::from_secs(6),
        ) {
            setup
                .record
                .line(&format!("caller: job {id} was refused, which is allowed"));
            continue;
        }
        let whole = read(&setup, &id, Duration::from_secs(20), true);
        let answer = caller::read(setup.cell.fronts()[0], &id, 0);
        let results = answer.ok().and_then(|a| fixtures::results(&a.body));
        let results = results.unwrap_or_default();
        let terminated = results.iter().filter(|r| !r.is_completed).count();
        let ran = setup
            .record
            .runs()
            .iter()
            .filter(|(_, run)| run.starts_with(&id))
            .count();
        setup.record.line(&format!(
            "job {id} with the item headers {header}: listed whole {whole} after {:.1} s, {terminated} of 4 items terminated, {ran} runs at replicas",
            setup.record.now() - began
        ));
        // No replica answered with 422 or 500; the items may be given up after 40 s.
        if setup.record.now() < began + 40.0 {
            early += terminated;
        }
    }
    setup
        .record
        .line(&format!("items that were terminated too early: {early}"));
    Ok(early == 0)
}

/// Connections of a crowd to each entry, and requests that each sends ahead.
const CROWD: usize = 96;
const AHEAD: usize = 20;

/// Callers ask for the results of a finished job many times ahead, and don't read the answers.
fn unread_results(root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let usual = Profile {
        events: 27,
        work: Duration::from_millis(5),
        ..engine()
    };
    let setup = set_up(root, folder, RUDALAPS, usual)?;
    let id = "7c41e0";
    if !submit(
        &setup,
        id,
        &caller::job(id, 184, 600, "{}"),
        Duration::from_secs(6),
    ) || !read(&setup, id, Duration::from_secs(20), true)
    {
        return Err("the job did not finish".into());
    }
    let first = caller::read(setup.cell.fronts()[0], id, 0)?;
    setup
        .record
        .line(&format!("a page of results has {} bytes", first.body.len()));
    let request = caller::results_request(id, 0);
    for round in 0..3 {
        let mut crowd = Vec::new();
        for to in setup.cell.fronts() {
            let mut answered = 0;
            for _ in 0..CROWD {
                if trouble {
                    crowd.extend(http::send_ahead(to, &request, AHEAD).ok());
                } else {
                    let answer = http::call(to, &request, Duration::from_secs(5));
                    answered += u32::from(answer.is_ok_and(|a| a.status() == 200));
                }
            }
            setup.record.line(&format!(
                "callers: round {round} at {to}: {} connections open, {answered} answers read",
                crowd.len()
            ));
        }
        thread::sleep(Duration::from_secs(8));
        drop(crowd);
        thread::sleep(Duration::from_secs(3));
    }
    let often = show_ends(&setup);
    setup.record.line(&format!(
        "machines whose process ended three times: {often}"
    ));
    Ok(often < 2)
}

/// Time after the first start at which a control daemon is killed.
const FIRST_KILL: Duration = Duration::from_millis(100);

/// One control daemon is killed during the first start of the deployment, and started again by the platform.
fn first_start(root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let setup = start(
        (root, folder),
        RUDALAPS,
        engine(),
        trouble.then_some(FIRST_KILL),
    )?;
    let acknowledged = setup
        .cell
        .operate(&caller::config(7), Duration::from_secs(40));
    setup
        .record
        .line(&format!("operator: config 7 acknowledged: {acknowledged}"));
    let mut served = 0;
    for number in 0..40_usize {
        let to = setup.cell.fronts()[number % 3];
        let id = format!("9c41d07b{number:04x}");
        let request = caller::request("POST", "/lohu930/2f", &id).body(vec![b'b'; 600]);
        let answer = http::call(to, &request, Duration::from_secs(5));
        let shown = outcome(&answer);
        served += u32::from(answer.is_ok_and(|a| a.status() == 200));
        setup
            .record
            .line(&format!("caller: request {id} at {to}: {shown}"));
        thread::sleep(Duration::from_millis(500));
    }
    show_ends(&setup);
    setup.record.line(&format!(
        "config acknowledged: {acknowledged}; requests served: {served} of 40"
    ));
    Ok(acknowledged && served > 0)
}
