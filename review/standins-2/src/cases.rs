//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use dandelion_platform::fixtures;
use dandelion_platform::fixtures::PlanFixture;
use dandelion_protocol::time::Millis;

use crate::kit::*;

/// Host of the requests.
const HOST: &str = "a.example";
/// Key of the only tenant.
const KEY: &str = "key-of-tenant-one";
/// Service of all routes.
const SERVICE: &str = "app";

/// Encodes a configuration with a route for plain requests, one for batch jobs, and `more` routes that
/// nobody calls.
fn config(version: u64, more: usize, timeout: u64) -> Vec<u8> {
    let service = SERVICE.parse().expect("a name");
    let idle: Vec<String> = (0..more).map(|at| format!("/idle{at:05}/")).collect();
    let idle: Vec<&str> = idle.iter().map(String::as_str).collect();
    fixtures::plan(&PlanFixture {
        version,
        host: HOST,
        service: &service,
        key: KEY,
        attempts: 3,
        timeout: Millis(timeout),
        prefixes: &idle,
        streams: None,
        batches: Some(ITEM_PREFIX),
    })
}

/// A deployment of the site's zones and machine sizes, with one machine of each class in each zone, and
/// its servers, which make an event each `work`.
fn small(
    root: &Path,
    record: Record,
    core_mb: u64,
    work: Duration,
) -> (Arc<Deployment>, Vec<Arc<Server>>) {
    let mut deployment = Deployment::prepare(root, record);
    let zones = ["riga-a", "riga-b", "riga-c"];
    for zone in zones {
        deployment.add(Class::Control, zone, core_mb);
        deployment.add(Class::Store, zone, 150);
        deployment.add(Class::Entry, zone, 110);
    }
    let ips: Vec<_> = (0..2).map(|_| deployment.new_ip()).collect();
    let deployment = Arc::new(deployment);
    deployment.start_all();
    let servers = ips.into_iter().zip(zones);
    let servers = servers.map(|(ip, zone)| Server::start(&deployment, ip, SERVICE, zone, work));
    let servers = servers.collect();
    (deployment, servers)
}

/// Sends the first configuration and waits until every entry serves it.
fn settle(deployment: &Deployment) -> bool {
    let sent = deployment.configure(&config(1, 0, 10_000), Duration::from_secs(20));
    deployment
        .record
        .line(&format!("configuration 1: {sent:?}"));
    let ready = deployment.wait_ready(Duration::from_secs(20));
    deployment.record.line(&format!("entries ready: {ready}"));
    thread::sleep(Duration::from_secs(3));
    ready
}

/// Encodes a request of the tenant; it isn't sent on.
fn request(method: &str, id: &str, path: &str, body: &[u8], remaining: u64) -> Vec<u8> {
    let fields = fixtures::caller_headers(id, KEY, Millis(remaining));
    let fields = fields.map(|field| format!("{}: {}\r\n", field.name, field.value));
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        fields.concat(),
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(body);
    request
}

/// Encodes a batch job whose items have bodies of `bytes` bytes.
fn job(step: u64, items: usize, bytes: usize) -> Vec<u8> {
    let names: Vec<(String, String)> = (0..items)
        .map(|at| {
            (
                format!("{:016x}", (step << 32) + at as u64),
                format!("{ITEM_PREFIX}{at}"),
            )
        })
        .collect();
    let mut document: serde_json::Value =
        serde_json::from_slice(&fixtures::job(&names)).expect("a job is JSON");
    let body = base64(&vec![b'p'; bytes]);
    for (at, item) in document["requests"]
        .as_array_mut()
        .into_iter()
        .flatten()
        .enumerate()
    {
        item["body"] = body.clone().into();
        item["group"] = format!("g{}", at / 4).into();
    }
    document.to_string().into_bytes()
}

pub fn log_peaks(deployment: &Deployment) {
    for machine in &deployment.machines {
        deployment.record.line(&format!(
            "{}: {} starts, {} MB at the peak, killed for memory {} times",
            machine.name,
            machine.starts.load(Ordering::SeqCst),
            machine.peak_kib.load(Ordering::SeqCst) * 1024 / 1_000_000,
            machine.over_limit.load(Ordering::SeqCst)
        ));
    }
}

/// Runs a case. Returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
pub fn run(case: &str, root: &Path, record: Record, trouble: bool) -> i32 {
    type Play = fn(&Arc<Deployment>, &[Arc<Server>], bool) -> i32;
    // The memory of the core is the matter of case 9, so case 7 doesn't watch it.
    let (play, core_mb, work): (Play, u64, u64) = match case {
        "6" => (long_jobs, 256, 250),
        "7" => (missed_changes, 0, 50),
        "8" => (long_bodies, 256, 50),
        "10" => (channel_headers, 256, 20),
        _ => return 2,
    };
    let (deployment, servers) = small(root, record, core_mb, Duration::from_millis(work));
    let code = if settle(&deployment) {
        play(&deployment, &servers, trouble)
    } else {
        2
    };
    log_peaks(&deployment);
    deployment.record.line(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    deployment.stop();
    code
}

/// Case 6. A trainer sends a batch job of legal size every four seconds, and ends each one at its deadline:
/// the stores can't be started any more, and a batch job that was read before can't be read again.
fn long_jobs(deployment: &Arc<Deployment>, _servers: &[Arc<Server>], trouble: bool) -> i32 {
    let record = &deployment.record;
    let entries = deployment.of(Class::Entry);
    let early = "cccc000000000001";
    if submit(deployment, &entries[0], early, &job(1, 8, 600)) != Some(202) {
        return 2;
    }
    thread::sleep(Duration::from_secs(13));
    if read(deployment, &entries[1], early) != Some((200, 8)) {
        return 2;
    }
    let bytes = if trouble { 500_000 } else { 600 };
    let started = Instant::now();
    for step in 0..7 {
        let id = |step: usize| format!("aaaa{step:012x}");
        let text = job(step as u64 + 2, 16, bytes);
        // The trainer sends the same batch job once more, to another entry.
        for attempt in 0..2 {
            let entry = &entries[(step + attempt) % entries.len()];
            if submit(deployment, entry, &id(step), &text) == Some(202) {
                break;
            }
        }
        thread::sleep((STEP * (step as u32 + 1)).saturating_sub(started.elapsed()));
        if step > 0 {
            end(deployment, &entries[step % entries.len()], &id(step - 1));
        }
    }
    record.line("nothing more is sent; the stores have 20 s to recover");
    thread::sleep(Duration::from_secs(20));
    let until = Instant::now() + FINISH;
    let mut at = 0;
    while Instant::now() < until {
        if read(deployment, &entries[at % entries.len()], early) == Some((200, 8)) {
            return 0;
        }
        at += 1;
        thread::sleep(Duration::from_millis(500));
    }
    1
}

/// Time between two steps of the trainer.
const STEP: Duration = Duration::from_secs(4);

/// `finish_s` of the site: the time that batch jobs have after the traffic.
const FINISH: Duration = Duration::from_secs(10);

/// Submits a batch job. Returns the status, or none without an answer.
fn submit(deployment: &Deployment, entry: &Machine, id: &str, job: &[u8]) -> Option<u16> {
    let request = request("POST", id, &format!("{ITEM_PREFIX}{id}"), job, 6_000);
    let answer = call(deployment.front(entry), &request, Duration::from_secs(8));
    let answer = answer.map(|a| a.status).map_err(|e| e.kind());
    let (length, name) = (job.len(), &entry.name);
    deployment
        .record
        .line(&format!("job {id} ({length} bytes) to {name}: {answer:?}"));
    answer.ok()
}

/// Reads a batch job from its start. Returns the status and the number of completed results.
fn read(deployment: &Deployment, entry: &Machine, id: &str) -> Option<(u16, usize)> {
    let request = request("GET", "read", &fixtures::results_path(id, 0), b"", 5_000);
    let answer = call(deployment.front(entry), &request, Duration::from_secs(6));
    let answer = answer
        .map(|a| (a.status, completed(&a)))
        .map_err(|e| e.kind());
    let name = &entry.name;
    deployment
        .record
        .line(&format!("job {id} is read at {name}: {answer:?}"));
    answer.ok()
}

fn completed(page: &Answer) -> usize {
    let results = fixtures::results(&page.body).unwrap_or_default();
    results.iter().filter(|result| result.is_completed).count()
}

/// Ends a batch job.
fn end(deployment: &Deployment, entry: &Machine, id: &str) {
    let path = fixtures::results_path(id, 0);
    let path = path.split('?').next().unwrap_or_default();
    let request = request("DELETE", "end", path, b"", 3_000);
    let answer = call(deployment.front(entry), &request, Duration::from_secs(3));
    let answer = answer.map(|a| a.status).map_err(|e| e.kind());
    let name = &entry.name;
    deployment
        .record
        .line(&format!("job {id} is ended at {name}: {answer:?}"));
}

/// Case 7. A store that stands still while many configurations are acknowledged runs no item any more once
/// it leads the stores.
fn missed_changes(deployment: &Arc<Deployment>, servers: &[Arc<Server>], trouble: bool) -> i32 {
    let record = &deployment.record;
    let mut version = 10;
    let mut change = |timeout: u64| {
        version += 1;
        let document = config(version, ROUTES, timeout);
        let sent = deployment.configure(&document, Duration::from_secs(8));
        let length = document.len();
        record.line(&format!(
            "configuration {version} ({length} bytes): {sent:?}"
        ));
    };
    change(10_000);
    thread::sleep(Duration::from_secs(2));
    let stores = deployment.of(Class::Store);
    if trouble {
        deployment.signal(&stores[0], "STOP");
    }
    let begun = Instant::now();
    for at in 0..16 {
        change(10_001 + at);
        thread::sleep(Duration::from_millis(268 * (at + 1)).saturating_sub(begun.elapsed()));
    }
    thread::sleep(FREEZE.saturating_sub(begun.elapsed()));
    if trouble {
        deployment.signal(&stores[0], "CONT");
    }
    thread::sleep(CATCH_UP);
    // The leader isn't known from outside, so the two other stores stand still in turn.
    for round in 0..if trouble { 6 } else { 2 } {
        let frozen = &stores[1 + round % 2];
        if let Some(code) = step(deployment, servers, round as u64 + 1, frozen, trouble) {
            return code;
        }
        thread::sleep(Duration::from_secs(1));
    }
    0
}

/// Routes of the configuration besides those that are used: thirteen times `big_config`.
const ROUTES: usize = 13 * 401;
/// Longest freeze of a machine: what `fleetbench kinds` names as the usual length of a trouble.
const FREEZE: Duration = Duration::from_secs(5);
/// `catch_up_s` of the site, and a margin.
const CATCH_UP: Duration = Duration::from_millis(5_500);
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time after which the trainer gives a step up.
const STEP_TIME: Duration = Duration::from_secs(12);

/// Sends a step and freezes a store for a while. Returns 1 if the step broke the rule, and nothing if it
/// was done in time.
fn step(
    deployment: &Arc<Deployment>,
    servers: &[Arc<Server>],
    round: u64,
    frozen: &Machine,
    trouble: bool,
) -> Option<i32> {
    let record = &deployment.record;
    let entries = deployment.of(Class::Entry);
    let id = format!("aaaa{round:012x}");
    let items = 72;
    let count_runs = || -> usize { servers.iter().map(|s| s.runs.lock().unwrap().len()).sum() };
    let begun = count_runs();
    let started = Instant::now();
    if submit(deployment, &entries[0], &id, &job(round, items, 600)) != Some(202) {
        return Some(2);
    }
    thread::sleep(Duration::from_secs(1).saturating_sub(started.elapsed()));
    if trouble {
        deployment.signal(frozen, "STOP");
    }
    thread::sleep(Duration::from_millis(2_500));
    if trouble {
        deployment.signal(frozen, "CONT");
    }
    let thawed = Instant::now();
    let (mut last_work, mut next_read) = (Instant::now(), Instant::now());
    let mut is_broken = false;
    while started.elapsed() < Duration::from_secs(25) {
        thread::sleep(Duration::from_millis(50));
        let working: u64 = servers
            .iter()
            .map(|s| s.working.load(Ordering::SeqCst))
            .sum();
        if working > 0 {
            last_work = Instant::now();
        }
        if Instant::now() < next_read {
            continue;
        }
        next_read = Instant::now() + Duration::from_secs(1);
        let listed = read(deployment, &entries[1], &id).map_or(0, |(_, listed)| listed);
        let steady = last_work.max(thawed + CONTACT);
        let idle = Instant::now().saturating_duration_since(steady);
        record.line(&format!(
            "step {round}, {:.1} s: {listed} of {items} items are listed, {} runs began, {working} go on; none for {:.1} s of steady state",
            started.elapsed().as_secs_f64(),
            count_runs() - begun,
            idle.as_secs_f64(),
        ));
        if listed == items {
            return is_broken.then_some(1);
        }
        if started.elapsed() >= STEP_TIME && !is_broken {
            is_broken = idle >= Duration::from_secs(5) && count_runs() > begun;
            let undone = items - listed;
            record.line(&format!(
                "step {round} runs out of time with {undone} items undone; broken: {is_broken}"
            ));
        }
    }
    Some(i32::from(is_broken))
}

/// Case 8. Requests with a long body of legal size, one at a time, end the entries that take them.
fn long_bodies(deployment: &Arc<Deployment>, servers: &[Arc<Server>], trouble: bool) -> i32 {
    let record = &deployment.record;
    let size = if trouble { 33_000_000 } else { 600 };
    let entries = deployment.of(Class::Entry);
    let bytes = vec![b'x'; size];
    let mut served = 0;
    for round in 0..4 {
        // The requester tries once more, on a new channel, which reaches another entry.
        for try_number in 0..2 {
            let at = (round + try_number) % entries.len();
            let id = format!("{round:04x}{try_number:012x}");
            let answer = call(
                deployment.front(&entries[at]),
                &request("POST", &id, &format!("/look/{round}"), &bytes, 8_000),
                Duration::from_secs(9),
            );
            let ran = servers.iter().any(|s| s.runs.lock().unwrap().contains(&id));
            record.line(&format!(
                "request {id} with a body of {size} bytes to {}: {:?}, run by a server: {ran}",
                entries[at].name,
                answer.as_ref().map(|a| a.status).map_err(|e| e.kind())
            ));
            if matches!(&answer, Ok(a) if a.status == 200) {
                served += 1;
                break;
            }
            thread::sleep(Duration::from_millis(500));
        }
        // One request at a time: the next one comes once all entries are ready again.
        thread::sleep(Duration::from_secs(2));
        if !deployment.wait_ready(Duration::from_secs(15)) {
            record.line("an entry isn't ready again");
        }
    }
    let ended = entries
        .iter()
        .filter(|m| m.over_limit.load(Ordering::SeqCst) >= 3)
        .count();
    let least = (deployment.machines.len().div_ceil(10)).max(2);
    record.line(&format!(
        "{served} of 4 requests were served; on {ended} machines the process ended three times or more; the rule allows this on fewer than {least} of {}",
        deployment.machines.len()
    ));
    i32::from(ended >= least)
}

/// Case 10. Items whose headers hold one that concerns a single channel are given up without a run.
fn channel_headers(deployment: &Arc<Deployment>, servers: &[Arc<Server>], trouble: bool) -> i32 {
    let record = &deployment.record;
    let entries = deployment.of(Class::Entry);
    let id = "aaaa000000000001";
    let mut document: serde_json::Value =
        serde_json::from_slice(&job(1, 24, 600)).expect("a job is JSON");
    let items = document["requests"].as_array_mut().into_iter().flatten();
    for (at, item) in items.enumerate() {
        item["headers"]["Content-Type"] = "application/json".into();
        if trouble && at % 4 == 0 {
            item["headers"]["Connection"] = "keep-alive".into();
        }
    }
    let body = document.to_string().into_bytes();
    if submit(deployment, &entries[0], id, &body) != Some(202) {
        return 2;
    }
    let started = Instant::now();
    while started.elapsed() < STEP_TIME {
        thread::sleep(Duration::from_millis(500));
        let request = request("GET", "read", &fixtures::results_path(id, 0), b"", 5_000);
        let answer = call(
            deployment.front(&entries[1]),
            &request,
            Duration::from_secs(6),
        );
        let results = answer.ok().and_then(|page| fixtures::results(&page.body));
        let results = results.unwrap_or_default();
        let given_up: Vec<&str> = results
            .iter()
            .filter(|result| !result.is_completed)
            .map(|result| result.id.as_str())
            .collect();
        let has_run = |id: &&str| {
            servers
                .iter()
                .any(|s| s.runs.lock().unwrap().iter().any(|run| run == id))
        };
        let without_run = given_up.iter().filter(|id| !has_run(id)).count();
        record.line(&format!(
            "{:.1} s: {} of 24 items are listed, {} of them as given up, {without_run} of these reached no server",
            started.elapsed().as_secs_f64(),
            results.len(),
            given_up.len()
        ));
        if results.len() == 24 {
            return i32::from(!given_up.is_empty());
        }
    }
    record.line("the items aren't all listed in time, which is no break of this rule");
    0
}
