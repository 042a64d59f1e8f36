//! Measures what a feeder's messages hold in memory while none of them is sent: one image for each
//! daemon that starts, and one push of a change of every upstream. Prints resident MB.
//!
//! Usage: `cargo run --release -p dandelion-control --example measure_fan_out -- <folder> <daemons>
//! <upstreams>`

#[path = "../tests/support/feeder.rs"]
mod feeder;

use std::time::Instant;

use dandelion_control::raft::GroupId;
use dandelion_protocol::ids::Revision;
use feeder::FeederBench;
use feeder::daemons;
use feeder::grants;

const PAGE_BYTES: f64 = 4096.0;

fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let folder = std::path::Path::new(&arguments[1]);
    let names = daemons(arguments[2].parse().expect("a number of daemons"));
    let upstreams = arguments[3].parse().expect("a number of upstreams");
    let mut bench = FeederBench::open(folder);
    let before = resident_mb();
    bench.report(upstreams, 1);
    println!("state: {:.1} MB", resident_mb() - before);
    let before = resident_mb();
    let started = Instant::now();
    let mut actions = bench.renew(&names, GroupId::default(), Revision(0));
    actions.extend(bench.step(Vec::new()));
    let time = started.elapsed().as_millis();
    let granted = grants(&actions).len();
    let held = resident_mb() - before;
    println!("images: {granted} daemons, {held:.1} MB, {time} ms");
    drop(actions);
    let group = bench.node.replica().membership().group;
    let at = bench.node.revision();
    drop(bench.renew(&names, group, at));
    let before = resident_mb();
    let started = Instant::now();
    let actions = bench.report(upstreams, 2);
    let time = started.elapsed().as_millis();
    let held = resident_mb() - before;
    println!(
        "pushes: {} messages, {held:.1} MB, {time} ms",
        actions.len()
    );
}
