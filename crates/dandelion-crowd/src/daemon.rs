//! A daemon process on loopback, and what it holds.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use tempfile::TempDir;

use crate::clients::ordinary_request;
use crate::limits::BODY_BYTES;
use crate::limits::BUDGET_BYTES;
use crate::limits::CONNECTIONS;

/// Longest wait for a daemon to accept requests.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two looks at a process.
const POLL: Duration = Duration::from_millis(100);
/// Looks without a change after which a daemon counts as having read what it will read.
const STEADY_POLLS: usize = 10;
/// Looks after which the test goes on in any case.
const MOST_POLLS: usize = 300;

/// Listener to which a crowd connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Address of the product's own interface.
    Own,
    /// Address for callers of the route plan.
    Front,
    /// Address of a control daemon for operators of the route plan and reports.
    Control,
    /// Address of the product's own interface at a daemon that stores batch jobs.
    Store,
}

impl Target {
    /// Path that has the longest answer without an upstream.
    pub fn long_path(self) -> &'static str {
        match self {
            Self::Own | Self::Store => "/metrics",
            Self::Front | Self::Control => "/crowd",
        }
    }
}

/// A running daemon; killed on drop.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    target: SocketAddr,
    folder: TempDir,
}

impl Daemon {
    /// Starts a daemon with small limits and waits until it answers.
    pub fn spawn(binary: &Path, target: Target) -> anyhow::Result<Self> {
        let folder = TempDir::new()?;
        let (http, mesh, gateway) = (reserve()?, reserve()?, reserve()?);
        let addresses = [
            http.local_addr()?,
            mesh.local_addr()?,
            gateway.local_addr()?,
        ];
        let [http_address, mesh_address, gateway_address] = addresses;
        let mut command = Command::new(binary);
        command
            .arg("--name=d0")
            .arg("--zone=z0")
            .arg(format!("--http-listen={http_address}"))
            .arg(format!("--mesh-listen={mesh_address}"))
            .arg("--mesh-secrets=a-mesh-secret-for-loopback-cells-only")
            .arg(format!("--max-connections={CONNECTIONS}"))
            .arg(format!("--max-body-bytes={BODY_BYTES}"))
            // A daemon that doesn't know this setting ignores the variable.
            .env("DANDELION_CLIENT_MEMORY_BYTES", BUDGET_BYTES.to_string());
        let data = folder.path().join("data");
        let store = folder.path().join("store");
        for path in [&data, &store] {
            fs::create_dir(path)?;
        }
        if target == Target::Store {
            command.arg(format!("--store-folder={}", store.display()));
            command.arg(format!("--control-peers=c0@{gateway_address}"));
        } else {
            command.arg(format!("--data-folder={}", data.display()));
            command.arg(format!("--bootstrap=d0@{mesh_address}"));
        }
        match target {
            Target::Front => command.arg(format!("--front-listen={gateway_address}")),
            Target::Control => command.arg(format!("--control-listen={gateway_address}")),
            Target::Own | Target::Store => &mut command,
        };
        let log = fs::File::create(folder.path().join("log"))?;
        drop((http, mesh, gateway));
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .context("the daemon can't be started")?;
        let address = match target {
            Target::Own | Target::Store => http_address,
            Target::Front | Target::Control => gateway_address,
        };
        let mut daemon = Self {
            child,
            target: address,
            folder,
        };
        daemon.wait_ready(http_address)?;
        Ok(daemon)
    }

    fn wait_ready(&mut self, http: SocketAddr) -> anyhow::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let answers = |address| ordinary_request(address, "GET", "/healthz").is_ok();
            if answers(http) && answers(self.target) {
                return Ok(());
            }
            if !self.is_alive()? {
                let log = fs::read_to_string(self.folder.path().join("log"))?;
                bail!("the daemon has ended; its log:\n{log}");
            }
            thread::sleep(POLL);
        }
        bail!("the daemon did not answer")
    }

    /// Returns the address to which the crowd connects.
    pub fn address(&self) -> SocketAddr {
        self.target
    }

    /// Returns whether the process runs.
    pub fn is_alive(&mut self) -> anyhow::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Returns the peak of the resident memory in bytes.
    pub fn peak_memory(&self) -> anyhow::Result<usize> {
        self.status("VmHWM:")
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> anyhow::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Waits until the daemon's memory and the bytes that it has not read yet don't change any more.
    /// Without this wait, bytes in the system's buffers would pass for bytes that it holds.
    pub fn wait_steady(&self) -> anyhow::Result<()> {
        let mut last = (0, 0);
        let mut steady = 0;
        for _ in 0..MOST_POLLS {
            let now = (self.status("VmRSS:")? >> 20, unread(self.target.port())?);
            steady = if now == last { steady + 1 } else { 0 };
            if steady == STEADY_POLLS {
                break;
            }
            last = now;
            thread::sleep(POLL);
        }
        Ok(())
    }

    fn status(&self, name: &str) -> anyhow::Result<usize> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let line = line.with_context(|| format!("no {name} in the status"))?;
        let kib = line.trim().trim_end_matches(" kB").trim();
        Ok(kib.parse::<usize>()? * 1024)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Returns the bytes that wait in the receive queues of the sockets with this local port.
fn unread(port: u16) -> anyhow::Result<usize> {
    let suffix = format!(":{port:04X}");
    let mut sum = 0;
    for line in fs::read_to_string("/proc/net/tcp")?.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if fields.get(1).is_some_and(|local| local.ends_with(&suffix)) {
            let queue = fields.get(4).and_then(|queues| queues.split(':').nth(1));
            sum += usize::from_str_radix(queue.unwrap_or("0"), 16)?;
        }
    }
    Ok(sum)
}

/// Reserves a free port. The address is only this package's, so that no other test takes it between
/// the release and the daemon's start.
fn reserve() -> anyhow::Result<TcpListener> {
    Ok(TcpListener::bind(("127.0.7.1", 0))?)
}
