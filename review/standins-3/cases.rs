//! The cases. Each returns whether the rule held.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::Role;
use crate::deployment::ZONES;
use crate::deployment::config;
use crate::http::Message;
use crate::replica::Kind;
use crate::replica::Replica;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn plain() -> Kind {
    Kind {
        service: "app",
        slots: 6,
        behind: 0,
        events: 0,
        event: String::new(),
        pace: (ms(5), ms(0)),
    }
}

/// Rule Fault: no request is served. One `core` machine is killed while the system starts for the first
/// time, and is back a second later.
pub fn first_start(trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    if trouble {
        let core = deployment.of(Role::Core)[0];
        thread::sleep(ms(100));
        deployment.kill(core);
        let files = deployment.files(core);
        deployment.note(&format!("its disk holds {files:?}"));
        thread::sleep(ms(1_000));
        // Its settings say that it isn't the first start of the whole system.
        deployment.start(core, false)?;
    }
    let deployment = Arc::new(deployment);
    let replicas: Vec<Arc<Replica>> = ZONES
        .iter()
        .enumerate()
        .map(|(at, zone)| Replica::spawn(&deployment, &format!("i-app-{at}"), zone, plain()))
        .collect();
    let until = Instant::now() + Duration::from_secs(80);
    let acknowledged = deployment.configure(&config(7, "llm"), Duration::from_secs(40));
    let mut served = 0;
    let mut sent = 0;
    while Instant::now() < until && served < 20 {
        for machine in deployment.of(Role::Frontend) {
            sent += 1;
            let id = format!("{sent:016x}");
            let answer = deployment.call(machine, "POST", "/safe/x", &id, b"hello");
            let status = answer.map(|answer| answer.status());
            served += usize::from(status == Some(200));
            deployment.note(&format!("request {id} answered {status:?}"));
        }
        thread::sleep(ms(500));
    }
    let run: usize = replicas.iter().map(|r| r.state.lock().unwrap().run.len()).sum();
    let line = format!("config acknowledged: {acknowledged}; sent {sent}, served {served}, run {run}");
    deployment.note(&line);
    println!("{line}");
    Ok(served > 0)
}

fn submit(deployment: &Deployment, id: &str, items: &[String]) -> bool {
    let items: Vec<String> = items
        .iter()
        .enumerate()
        .map(|(at, item)| {
            format!(
                r#"{{"id":"{item}","path":"/roll/3/{item}","headers":{{"X-Model":"m0","X-Token-Counts":"540,400"}},"body":"q83vEjRWeJA=","tokens":940,"group":"g{}"}}"#,
                at / 4
            )
        })
        .collect();
    let body = format!(
        r#"{{"step":0,"model":"m0","min_version":1,"desired_count":{},"requests":[{}]}}"#,
        items.len().div_ceil(4),
        items.join(",")
    );
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        for machine in deployment.of(Role::Frontend) {
            let answer = deployment.call(machine, "POST", "/roll/step", id, body.as_bytes());
            let status = answer.map(|answer| answer.status());
            deployment.note(&format!("batch job {id} of {} items answered {status:?}", items.len()));
            if status == Some(202) {
                return true;
            }
        }
        thread::sleep(ms(250));
    }
    false
}

/// Reads the ids of all results that are listed; none without a complete answer.
fn listed(deployment: &Deployment, id: &str) -> Option<BTreeSet<String>> {
    let machine = deployment.of(Role::Frontend)[0];
    let mut found = BTreeSet::new();
    loop {
        let path = format!("/-/lots/{id}?after={}", found.len());
        let answer = deployment.call(machine, "GET", &path, "0", b"")?;
        if answer.status() != 200 {
            return None;
        }
        let text = answer.text();
        let ids = text.split(r#"{"id":""#).skip(1);
        let ids: Vec<String> = ids.map(|rest| rest.chars().take(16).collect()).collect();
        if ids.is_empty() {
            return Some(found);
        }
        found.extend(ids);
    }
}

/// Rule LOST: an item of a step is at no replica for 5 s of steady state, though the replicas are idle.
/// Both replicas of a service are restarted in place, one after the other, while the time of day of the
/// system's machines is ahead of that of the replicas.
pub fn returned(trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    let deployment = Arc::new(deployment);
    if !deployment.configure(&config(7, "llm"), Duration::from_secs(20)) {
        return Err("the config was not acknowledged".to_owned());
    }
    let engine = || Kind {
        service: "llm",
        slots: 2,
        behind: if trouble { 3_800 } else { 0 },
        events: 10,
        event: "text".to_owned(),
        pace: (ms(300), ms(30)),
    };
    let replicas: Vec<Arc<Replica>> = (0..2)
        .map(|at| Replica::spawn(&deployment, &format!("i-llm-{at}"), ZONES[at], engine()))
        .collect();
    thread::sleep(ms(3_000));
    let id = "7c41e09b52d6a3f8";
    let items: Vec<String> = (0..160).map(|at| format!("{:016x}", 0xa000 + at)).collect();
    if !submit(&deployment, id, &items) {
        return Err("the batch job was not accepted".to_owned());
    }
    thread::sleep(ms(2_500));
    for replica in &replicas {
        // From now on its answers say that it leaves; its report is a second and a half late.
        replica.state.lock().unwrap().leaving = true;
        deployment.note(&format!("{} begins to leave", replica.id));
        thread::sleep(ms(1_500));
        replica.state.lock().unwrap().reported = "draining";
        let acknowledged = replica.report(&deployment);
        deployment.note(&format!("{} reports draining, acknowledged {acknowledged}", replica.id));
        thread::sleep(ms(2_000));
        replica.leave(&deployment);
        thread::sleep(ms(500));
        replica.begin(&deployment);
        replica.report(&deployment);
    }
    // The last report was acknowledged; contact_ms is 3 s, and an item may wait for 5 s of steady state.
    let until = Instant::now() + Duration::from_secs(60);
    let mut last = (Instant::now(), 0);
    let mut found = BTreeSet::new();
    while Instant::now() < until && found.len() < items.len() && last.0.elapsed() < ms(20_000) {
        thread::sleep(ms(500));
        found = listed(&deployment, id).unwrap_or(found);
        let run: usize = replicas.iter().map(|r| r.state.lock().unwrap().run.len()).sum();
        if run != last.1 {
            last = (Instant::now(), run);
        }
        let idle = last.0.elapsed().as_secs_f64();
        deployment.note(&format!(
            "{} of {} items listed; {run} runs since the restarts, the last {idle:.1} s ago",
            found.len(),
            items.len()
        ));
    }
    let run: usize = replicas.iter().map(|r| r.state.lock().unwrap().run.len()).sum();
    let line = format!(
        "listed {} of {} items; runs at the restarted replicas: {run}; no run began for {:.1} s",
        found.len(),
        items.len(),
        last.0.elapsed().as_secs_f64()
    );
    deployment.note(&line);
    println!("{line}");
    let is_complete = found.len() == items.len();
    Ok(is_complete || last.0.elapsed() < Duration::from_secs(8))
}

/// Rule LOST: a batch job can't be read. Its texts hold characters that JSON escapes.
pub fn page(trouble: bool) -> Result<bool, String> {
    const MOST: usize = 1_048_576;
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    let deployment = Arc::new(deployment);
    if !deployment.configure(&config(7, "llm"), Duration::from_secs(20)) {
        return Err("the config was not acknowledged".to_owned());
    }
    let piece = if trouble { r#"{"a":"b","c":"d"}"# } else { "assay of drill 17" };
    let engine = || Kind {
        service: "llm",
        slots: 12,
        behind: 0,
        events: 40,
        event: piece.repeat(29),
        pace: (ms(20), ms(10)),
    };
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|at| Replica::spawn(&deployment, &format!("i-llm-{at}"), ZONES[at], engine()))
        .collect();
    thread::sleep(ms(3_000));
    let id = "7c41e09b52d6a3f8";
    let items: Vec<String> = (0..60).map(|at| format!("{:016x}", 0xa000 + at)).collect();
    if !submit(&deployment, id, &items) {
        return Err("the batch job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let machine = deployment.of(Role::Frontend)[0];
    let path = format!("/-/lots/{id}?after=0");
    let answer = deployment.call(machine, "GET", &path, "0", b"").ok_or("no answer")?;
    let run: usize = replicas.iter().map(|r| r.state.lock().unwrap().run.len()).sum();
    let line = format!(
        "{} items run; a read from position 0 is answered {} with {} bytes of the {MOST} allowed",
        run,
        answer.status(),
        answer.body.len()
    );
    deployment.note(&line);
    println!("{line}");
    Ok(answer.body.len() <= MOST)
}

fn stream(service: &'static str) -> Kind {
    Kind {
        service,
        slots: 12,
        behind: 0,
        events: 60,
        event: format!("event of {service}"),
        pace: (ms(20), ms(150)),
    }
}

/// Returns the number of the last event in a stream.
fn last_event(text: &str) -> usize {
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    numbers.last().unwrap_or(0)
}

/// Rule CONFIG: a request sent later than `config_apply_ms` after the ack of a version is run by the old
/// service. The route of the streams moves to another service, and a stream that broke off after that is
/// taken up.
pub fn moved(trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    let deployment = Arc::new(deployment);
    if !deployment.configure(&config(7, "llm"), Duration::from_secs(20)) {
        return Err("the config was not acknowledged".to_owned());
    }
    let spawn = |service: &'static str| -> Vec<Arc<Replica>> {
        (0..2)
            .map(|at| {
                let id = format!("i-{service}-{at}");
                Replica::spawn(&deployment, &id, ZONES[at], stream(service))
            })
            .collect()
    };
    let (old, new) = (spawn("llm"), spawn("app"));
    thread::sleep(ms(3_000));
    let front = deployment.of(Role::Frontend);
    let first = "00000000000000f1";
    let opened = {
        let (deployment, machine) = (Arc::clone(&deployment), front[0]);
        thread::spawn(move || deployment.call(machine, "POST", "/stream/x", first, b"prompt"))
    };
    thread::sleep(ms(1_000));
    let target = if trouble { "app" } else { "llm" };
    if !deployment.configure(&config(9, target), Duration::from_secs(10)) {
        return Err("the second config was not acknowledged".to_owned());
    }
    deployment.note(&format!("version 9 is acknowledged; its route for streams leads to {target}"));
    // config_apply_ms is 2 s.
    thread::sleep(ms(3_000));
    let runs = |replica: &&Arc<Replica>| {
        let state = replica.state.lock().unwrap();
        state.run.iter().any(|id| id == first)
    };
    let broken = old.iter().find(runs).ok_or("the stream was not opened")?;
    broken.crash(&deployment);
    let answer = opened.join().map_err(|_| "the caller failed")?.ok_or("no answer")?;
    let after = last_event(&answer.text());
    deployment.note(&format!("stream {first} broke off after event {after}, complete {}", answer.is_whole));
    let second = "00000000000000f2";
    let headers = [("Last-Event-Id", &*after.to_string()), ("Resumes", first)];
    let answer = deployment.call_with(front[1], "POST", "/stream/x", second, &headers, b"prompt");
    let status = answer.map(|answer| answer.status());
    let ran = |replicas: &[Arc<Replica>]| {
        let has = |r: &Arc<Replica>| r.state.lock().unwrap().run.iter().any(|id| id == second);
        replicas.iter().any(has)
    };
    let line = format!(
        "request {second}, sent 3 s after the ack, was answered {status:?}; run by llm: {}, by app: {}",
        ran(&old),
        ran(&new)
    );
    deployment.note(&line);
    println!("{line}");
    Ok(!trouble || !ran(&old))
}

/// Rule LOST: after the final fault, an acknowledged config is gone. A machine of the core was replaced,
/// and once its successor has had `catch_up_s`, another one loses its disk.
pub fn replaced(trouble: bool) -> Result<bool, String> {
    const CATCH_UP: Duration = ms(5_500);
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    if !deployment.configure(&config(7, "llm"), Duration::from_secs(20)) {
        return Err("the config was not acknowledged".to_owned());
    }
    // catch_up_s counts from the start of all machines as well.
    thread::sleep(ms(8_000));
    let core = deployment.of(Role::Core);
    let (gone, wiped) = (core[1], core[2]);
    if trouble {
        deployment.kill(gone);
        let new = deployment.replace(gone);
        thread::sleep(ms(200));
        deployment.start(new, false)?;
        thread::sleep(CATCH_UP + ms(50));
    }
    let sent = Instant::now();
    let path = "/-/Configuration.Replace";
    let version = loop {
        let answer = deployment.control_at(wiped, "POST", path, &config(9, "app"));
        let status = answer.map(|answer| answer.status());
        deployment.note(&format!("version 9 sent, answer {status:?}"));
        if status == Some(200) {
            break 9;
        }
        if sent.elapsed() > ms(10_000) {
            return Err("version 9 was not acknowledged".to_owned());
        }
    };
    if trouble {
        deployment.kill(wiped);
        deployment.wipe(wiped);
        thread::sleep(ms(1_000));
        deployment.start(wiped, false)?;
    }
    // recovery_s is 12 s, and the operator asks for contact_ms at least.
    let until = Instant::now() + Duration::from_secs(60);
    let mut held = false;
    let mut answers = 0;
    while Instant::now() < until && !held {
        for at in deployment.of(Role::Core) {
            let answer = deployment.control_at(at, "GET", "/-/Configuration.Read", "");
            answers += usize::from(answer.is_some());
            let status = answer.as_ref().map(Message::status);
            let found = answer.filter(|a| a.status() == 200).map(|a| a.text());
            held |= found.is_some_and(|text| text.contains(&format!("\"version\":{version}")));
            let name = &deployment.machines[at].name;
            deployment.note(&format!("config read at {name}, answer {status:?}"));
        }
        thread::sleep(ms(500));
    }
    let line = format!("version {version}, which was acknowledged, was read back: {held} ({answers} answers)");
    deployment.note(&line);
    println!("{line}");
    Ok(held)
}

/// Rule LOST: an item of a step is at no replica for 5 s of steady state, though the replicas are idle.
/// Another writer leaves one odd entry about the address of each replica.
pub fn odd(trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    let deployment = Arc::new(deployment);
    if !deployment.configure(&config(7, "llm"), Duration::from_secs(20)) {
        return Err("the config was not acknowledged".to_owned());
    }
    let engine = || Kind {
        service: "llm",
        slots: 2,
        behind: 0,
        events: 10,
        event: "text".to_owned(),
        pace: (ms(300), ms(30)),
    };
    let replicas: Vec<Arc<Replica>> = (0..2)
        .map(|at| Replica::spawn(&deployment, &format!("i-llm-{at}"), ZONES[at], engine()))
        .collect();
    thread::sleep(ms(3_000));
    let id = "7c41e09b52d6a3f8";
    let items: Vec<String> = (0..80).map(|at| format!("{:016x}", 0xa000 + at)).collect();
    if !submit(&deployment, id, &items) {
        return Err("the batch job was not accepted".to_owned());
    }
    thread::sleep(ms(2_000));
    if trouble {
        for (at, replica) in replicas.iter().enumerate() {
            replica.report_odd(&deployment, &format!("agent-{at}"));
        }
    }
    let until = Instant::now() + Duration::from_secs(60);
    let mut last = (Instant::now(), 0);
    let mut found = BTreeSet::new();
    while Instant::now() < until && found.len() < items.len() {
        thread::sleep(ms(500));
        found = listed(&deployment, id).unwrap_or(found);
        let run: usize = replicas.iter().map(|r| r.state.lock().unwrap().run.len()).sum();
        if run != last.1 {
            last = (Instant::now(), run);
        }
        let idle = last.0.elapsed().as_secs_f64();
        deployment.note(&format!(
            "{} of {} items listed; {run} runs, the last began {idle:.1} s ago",
            found.len(),
            items.len()
        ));
    }
    let line = format!(
        "listed {} of {} items; no run began for {:.1} s",
        found.len(),
        items.len(),
        last.0.elapsed().as_secs_f64()
    );
    deployment.note(&line);
    println!("{line}");
    let is_complete = found.len() == items.len();
    Ok(is_complete || last.0.elapsed() < ms(8_000))
}

/// Rule Fault: processes end by themselves, for memory over their machine's limit. A caller opens short
/// streams whose `X-Attempt-Id` is long.
pub fn ids(trouble: bool) -> Result<bool, String> {
    const LIMIT_MB: u64 = 110;
    const STREAMS: usize = 9_600;
    const CALLERS: usize = 12;
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    let deployment = Arc::new(deployment);
    if !deployment.configure(&config(7, "llm"), Duration::from_secs(20)) {
        return Err("the config was not acknowledged".to_owned());
    }
    let engine = || Kind {
        service: "llm",
        slots: 12,
        behind: 0,
        events: 1,
        event: "text".to_owned(),
        pace: (ms(1), ms(1)),
    };
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|at| Replica::spawn_quiet(&deployment, &format!("i-llm-{at}"), ZONES[at], engine()))
        .collect();
    thread::sleep(ms(3_000));
    let length = if trouble { 7_000 } else { 16 };
    let front = deployment.of(Role::Frontend);
    let callers: Vec<thread::JoinHandle<usize>> = (0..CALLERS)
        .map(|caller| {
            let deployment = Arc::clone(&deployment);
            let machine = front[caller % front.len()];
            thread::spawn(move || {
                let mut served = 0;
                for at in 0..STREAMS / CALLERS {
                    let id = format!("{:a>length$}", format!("{caller:02x}{at:06x}"));
                    let answer = deployment.call(machine, "POST", "/stream/x", &id, b"prompt");
                    served += usize::from(answer.is_some_and(|a| a.status() == 200 && a.is_whole));
                }
                served
            })
        })
        .collect();
    let mut most = 0;
    while callers.iter().any(|caller| !caller.is_finished()) {
        thread::sleep(ms(1_000));
        let used: Vec<u64> = front.iter().map(|at| deployment.memory_mb(*at)).collect();
        most = used.iter().copied().max().unwrap_or(0).max(most);
        deployment.note(&format!("memory of the frontend processes, in MB: {used:?}"));
    }
    let served: usize = callers.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    drop(replicas);
    let line = format!(
        "{served} of {STREAMS} streams with ids of {length} bytes served; a frontend process takes {most} MB of {LIMIT_MB}"
    );
    deployment.note(&line);
    println!("{line}");
    if served == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(most <= LIMIT_MB)
}
