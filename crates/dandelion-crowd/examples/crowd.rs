//! Sends a crowd of any size to a running daemon and prints the daemon's peak memory:
//! `crowd IP:PORT PID CLIENTS BODY_BYTES counted|chunked|bytes|pipelined|mixed`.

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use dandelion_crowd::Crowd;
use dandelion_crowd::clients::Size;
use dandelion_crowd::clients::ordinary_request;

/// Time for which the crowd keeps its connections before the memory is read.
const HELD: Duration = Duration::from_secs(5);

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [address, pid, clients, body, kind] = arguments.as_slice() else {
        bail!("give an address, a process id, the clients, the body's bytes and a kind");
    };
    let address: SocketAddr = address.parse()?;
    let crowd = match kind.as_str() {
        "counted" => Crowd::Counted,
        "chunked" => Crowd::Chunked,
        "bytes" => Crowd::ByteChunks,
        "pipelined" => Crowd::Pipelined,
        "mixed" => Crowd::Mixed,
        other => bail!("there is no kind {other}"),
    };
    let size = Size {
        clients: clients.parse()?,
        body_bytes: body.parse()?,
    };
    let held = crowd.gather(address, "/metrics", size)?;
    thread::sleep(HELD);
    let status = ordinary_request(address, "GET", "/healthz");
    println!("{} clients, ordinary request {status:?}", held.len());
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let lines = text.lines().filter(|line| line.starts_with("Vm"));
    let memory = |line: &&str| line.starts_with("VmHWM") || line.starts_with("VmRSS");
    for line in lines.filter(memory) {
        println!("{line}");
    }
    let files = fs::read_dir(format!("/proc/{pid}/fd")).context("the process has ended")?;
    println!("{} descriptors", files.count());
    Ok(())
}
