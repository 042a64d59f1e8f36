//! Starts a small deployment with the commands of `deploy/system.toml` on loopback addresses, plays one
//! case against it, and checks one rule. The platform's names come from `platform/`.
//!
//! Usage: `dandelion-review-3 CASE`, with the daemon's program at `target/release/dandelionrun` and `record.txt`
//! written to the folder in `RECORD`. `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod replica;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// Time after which a run is given up: a case may take 120 seconds.
const WATCHDOG: Duration = Duration::from_secs(115);

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        eprintln!("the case took too long");
        deployment::end_all();
        exit(2);
    });
    let outcome = match case.as_str() {
        "returned" => cases::returned(trouble),
        "replaced" => cases::replaced(trouble),
        "odd" => cases::odd(trouble),
        _ => Err(format!("unknown case {case:?}")),
    };
    deployment::end_all();
    match outcome {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
