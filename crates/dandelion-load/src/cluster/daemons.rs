//! A cell of daemon processes on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use async_std::task;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tempfile::TempDir;

use crate::cluster::http::Caller;
use crate::cluster::operator::CellOperator;

/// First argument that makes the load tool run as a daemon.
pub const DAEMON_ARGUMENT: &str = "daemon";

/// Token of the operators of a test cell.
pub const TOKEN: &str = "an-operator-token-for-loopback-cells-only";

const MESH_SECRET: &str = "a-mesh-secret-for-loopback-cells-only";

/// Time for a cell to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

const POLL: Duration = Duration::from_millis(50);

/// Shape of a cell.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Daemons.
    pub daemons: usize,
    /// Availability zones, filled in turn.
    pub zones: usize,
    /// Daemons with a data folder, the first ones.
    pub control: usize,
    /// Address of the platform.
    pub platform: Option<SocketAddr>,
    /// Length of a usage window, in seconds.
    pub window_s: u64,
    /// Time between renewals of the lease.
    pub feed_period: Duration,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            daemons: 3,
            zones: 3,
            control: 3,
            platform: None,
            window_s: 2,
            feed_period: Duration::from_millis(500),
        }
    }
}

struct Process {
    name: String,
    zone: String,
    http: SocketAddr,
    mesh: SocketAddr,
    folder: Option<PathBuf>,
    child: Option<Child>,
    /// Keeps the addresses from others until the daemon is started.
    reserved: Vec<TcpListener>,
}

/// Running daemon processes; they are killed when it is dropped.
pub struct Cluster {
    config: ClusterConfig,
    folder: TempDir,
    processes: Vec<Process>,
}

impl std::fmt::Debug for Cluster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cluster")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

impl Cluster {
    /// Starts the daemons and waits until each holds its configuration and its lease.
    pub async fn spawn(config: ClusterConfig) -> anyhow::Result<Self> {
        let folder = TempDir::new()?;
        let mut processes = Vec::new();
        for index in 0..config.daemons {
            let data = (index < config.control).then(|| folder.path().join(format!("d{index}")));
            let (http, mesh) = (reserve(index)?, reserve(index)?);
            processes.push(Process {
                name: format!("d{index}"),
                zone: format!("z{}", index % config.zones),
                http: http.local_addr()?,
                mesh: mesh.local_addr()?,
                folder: data,
                child: None,
                reserved: vec![http, mesh],
            });
        }
        let mut cluster = Self {
            config,
            folder,
            processes,
        };
        for index in 0..cluster.processes.len() {
            cluster.start(index)?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns whether there is no daemon.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Returns the number of control daemons, which come first.
    pub fn control(&self) -> usize {
        self.config.control
    }

    /// Returns a daemon's address for callers.
    pub fn http(&self, index: usize) -> SocketAddr {
        self.processes[index].http
    }

    /// Returns every daemon's address for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|p| p.http).collect()
    }

    /// Returns the addresses of the daemons of one zone.
    pub fn in_zone(&self, zone: &str) -> Vec<SocketAddr> {
        let members = self.processes.iter().filter(|p| p.zone == zone);
        members.map(|p| p.http).collect()
    }

    /// Returns the name of a daemon.
    pub fn name(&self, index: usize) -> &str {
        &self.processes[index].name
    }

    /// Returns the position of a daemon by its name.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.processes.iter().position(|p| p.name == name)
    }

    /// Returns the process id of a running daemon.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.processes[index].child.as_ref().map(Child::id)
    }

    /// Returns a client for operators' procedures.
    pub fn operator(&self) -> CellOperator {
        CellOperator::new(&self.addresses())
    }

    /// Starts a daemon that does not run.
    pub fn start(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(folder) = &self.processes[index].folder {
            std::fs::create_dir_all(folder)?;
        }
        let arguments = self.arguments(index);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("d{index}.log")))?;
        self.processes[index].reserved.clear();
        let child = Command::new(std::env::current_exe()?)
            .arg(DAEMON_ARGUMENT)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes[index].child = Some(child);
        Ok(())
    }

    fn arguments(&self, index: usize) -> Vec<String> {
        let process = &self.processes[index];
        let peer = |p: &Process| format!("{}@{}", p.name, p.mesh);
        let control = self.processes.iter().filter(|p| p.folder.is_some());
        let group: Vec<String> = control.map(peer).collect();
        let mut arguments = vec![
            format!("--name={}", process.name),
            format!("--zone={}", process.zone),
            format!("--http-listen={}", process.http),
            format!("--mesh-listen={}", process.mesh),
            format!("--mesh-secrets={MESH_SECRET}"),
            format!("--operator-token={TOKEN}"),
            format!("--usage-window-s={}", self.config.window_s),
            format!("--feed-period-ms={}", self.config.feed_period.as_millis()),
            "--balancer-grace-ms=500".to_owned(),
        ];
        match &process.folder {
            Some(folder) => {
                arguments.push(format!("--data-folder={}", folder.display()));
                arguments.push(format!("--bootstrap={}", group.join(",")));
            }
            None => arguments.push(format!("--control-peers={}", group.join(","))),
        }
        if let Some(platform) = self.config.platform {
            arguments.push(format!("--platform={platform}"));
        }
        arguments
    }

    /// Kills a daemon at once.
    pub fn kill(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(mut child) = self.processes[index].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Removes a daemon's data folder, as if its disk were lost.
    pub fn lose_disk(&self, index: usize) -> anyhow::Result<()> {
        if let Some(folder) = &self.processes[index].folder {
            std::fs::remove_dir_all(folder)?;
        }
        Ok(())
    }

    /// Asks a daemon to stop gracefully and waits for its end; returns its exit code.
    pub async fn stop(&mut self, index: usize, limit: Duration) -> anyhow::Result<Option<i32>> {
        self.signal(index, Signal::TERM)?;
        let until = Instant::now() + limit;
        let Some(mut child) = self.processes[index].child.take() else {
            return Ok(None);
        };
        while Instant::now() < until {
            if let Some(status) = child.try_wait()? {
                return Ok(status.code());
            }
            task::sleep(POLL).await;
        }
        child.kill()?;
        bail!("daemon {index} did not stop within {limit:?}")
    }

    /// Suspends a daemon.
    pub fn pause(&self, index: usize) -> anyhow::Result<()> {
        self.signal(index, Signal::STOP)
    }

    /// Continues a suspended daemon.
    pub fn resume(&self, index: usize) -> anyhow::Result<()> {
        self.signal(index, Signal::CONT)
    }

    fn signal(&self, index: usize, signal: Signal) -> anyhow::Result<()> {
        let id = self.pid(index).context("the daemon does not run")?;
        let pid = Pid::from_raw(i32::try_from(id)?).context("no process id")?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Waits until every running daemon holds a lease.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let running = self.processes.iter().filter(|p| p.child.is_some());
        for process in running {
            self.wait_leased(process).await?;
        }
        Ok(())
    }

    async fn wait_leased(&self, process: &Process) -> anyhow::Result<()> {
        let caller = Caller::new();
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            let probe = caller.get(process.http, "/readyz").await;
            let ready =
                probe.is_ok_and(|p| p.status == 200 && p.text().contains("\"leased\":true"));
            if ready {
                return Ok(());
            }
            task::sleep(POLL).await;
        }
        let log = self.folder.path().join(format!("{}.log", process.name));
        let text = std::fs::read_to_string(log).unwrap_or_default();
        bail!(
            "daemon {} did not become ready; its log:\n{text}",
            process.name
        )
    }

    /// Returns what a daemon logged so far.
    pub fn log(&self, index: usize) -> String {
        let path = self.folder.path().join(format!("d{index}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                // The process may have ended by itself.
                let _ended = child.kill();
                let _reaped = child.wait();
            }
        }
    }
}

/// Binds a free port on a loopback address of the daemon's own. Connections leave from 127.0.0.1,
/// so that none of them takes the port between two lives of the daemon.
fn reserve(index: usize) -> anyhow::Result<TcpListener> {
    let [.., high, low] = u32::try_from(index + 256)?.to_be_bytes();
    let address = Ipv4Addr::new(127, 0, high, low);
    Ok(TcpListener::bind((address, 0))?)
}
