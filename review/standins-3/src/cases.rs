//! The cases. Each returns whether the rule held.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use dandelion_platform::fixtures;

use crate::deployment::BATCHES;
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

fn submit(deployment: &Deployment, id: &str, items: &[String]) -> bool {
    let items: Vec<(String, String)> = items
        .iter()
        .map(|item| (item.clone(), format!("{BATCHES}3/{item}")))
        .collect();
    let body = fixtures::job(&items);
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        for machine in deployment.of(Role::Frontend) {
            let answer = deployment.call(machine, "POST", &format!("{BATCHES}step"), id, &body);
            let status = answer.map(|answer| answer.status());
            deployment.note(&format!(
                "batch job {id} of {} items answered {status:?}",
                items.len()
            ));
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
        let path = fixtures::results_path(id, found.len());
        let answer = deployment.call(machine, "GET", &path, "0", b"")?;
        if answer.status() != 200 {
            return None;
        }
        let ids: Vec<String> = fixtures::results(&answer.body)?
            .into_iter()
            .map(|r| r.id)
            .collect();
        if ids.is_empty() {
            return Some(found);
        }
        found.extend(ids);
    }
}

/// Rule LOST: an item of a step is at no replica for 5 s of steady state, though the replicas are idle.
/// Both replicas of a service are restarted in place, one after the other. The clock of the system is ahead
/// twice, each time from a replica's first word that it leaves to its return, 4 s later. Only the start that
/// a replica reports depends on the difference, so that its second lifetime has an earlier one.
pub fn returned(trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    let deployment = Arc::new(deployment);
    if !deployment.configure(&config(7), Duration::from_secs(20)) {
        return Err("the config was not acknowledged".to_owned());
    }
    let engine = || Kind {
        slots: 2,
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
    let behind = if trouble { 3_800 } else { 0 };
    for replica in &replicas {
        thread::sleep(ms(2_500));
        // From now on its answers say that it leaves; its report is a second and a half late.
        replica.state.lock().unwrap().leaving = true;
        deployment.note(&format!("{} begins to leave", replica.id));
        thread::sleep(ms(1_500));
        replica.state.lock().unwrap().reported = "draining";
        let acknowledged = replica.report(&deployment);
        deployment.note(&format!(
            "{} reports draining, acknowledged {acknowledged}",
            replica.id
        ));
        thread::sleep(ms(2_000));
        replica.leave(&deployment);
        thread::sleep(ms(500));
        replica.begin(&deployment, behind);
        replica.report(&deployment);
    }
    // The last report was acknowledged; contact_ms is 3 s, and an item may wait for 5 s of steady state.
    let until = Instant::now() + Duration::from_secs(60);
    let mut last = (Instant::now(), 0);
    let mut found = BTreeSet::new();
    while Instant::now() < until && found.len() < items.len() && last.0.elapsed() < ms(20_000) {
        thread::sleep(ms(500));
        found = listed(&deployment, id).unwrap_or(found);
        let run: usize = replicas
            .iter()
            .map(|r| r.state.lock().unwrap().run.len())
            .sum();
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
    let run: usize = replicas
        .iter()
        .map(|r| r.state.lock().unwrap().run.len())
        .sum();
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

/// Rule LOST: after the final fault, an acknowledged config is gone. A machine of the core was replaced,
/// and once its successor has had `catch_up_s`, another one loses its disk.
pub fn replaced(trouble: bool) -> Result<bool, String> {
    const CATCH_UP: Duration = ms(5_500);
    let mut deployment = Deployment::open()?;
    deployment.start_all()?;
    if !deployment.configure(&config(7), Duration::from_secs(20)) {
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
    let path = fixtures::REPLACE_PLAN_PATH;
    let read = path.replace("Replace", "Read");
    let version = loop {
        let answer = deployment.control_at(wiped, "POST", path, &config(9));
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
            let answer = deployment.control_at(at, "GET", &read, b"");
            answers += usize::from(answer.is_some());
            let status = answer.as_ref().map(Message::status);
            let found = answer.filter(|a| a.status() == 200).map(|a| a.text());
            held |= found.is_some_and(|text| text.contains(&format!("\"version\":{version}")));
            let name = &deployment.machines[at].name;
            deployment.note(&format!("config read at {name}, answer {status:?}"));
        }
        thread::sleep(ms(500));
    }
    let line = format!(
        "version {version}, which was acknowledged, was read back: {held} ({answers} answers)"
    );
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
    if !deployment.configure(&config(7), Duration::from_secs(20)) {
        return Err("the config was not acknowledged".to_owned());
    }
    let engine = || Kind {
        slots: 2,
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
    while Instant::now() < until && found.len() < items.len() && last.0.elapsed() < ms(20_000) {
        thread::sleep(ms(500));
        found = listed(&deployment, id).unwrap_or(found);
        let run: usize = replicas
            .iter()
            .map(|r| r.state.lock().unwrap().run.len())
            .sum();
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
