//! Starts, stops and signals a cell of daemon processes on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use async_std::task;
use dandelion_net::http::client::Links;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tempfile::TempDir;

use crate::cluster::http::Caller;
use crate::cluster::links;
use crate::cluster::operator::CellOperator;

/// First command line argument with which the load tool runs as a daemon.
pub const DAEMON_ARGUMENT: &str = "daemon";

/// Operator token of a test cell.
pub const TOKEN: &str = "an-operator-token-for-loopback-cells-only";

const MESH_SECRET: &str = "a-mesh-secret-for-loopback-cells-only";

/// Longest wait for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Configuration of a cell.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of availability zones; daemons are assigned to them round-robin.
    pub zones: usize,
    /// Number of control daemons: the first ones, which get a data folder.
    pub control: usize,
    /// Number of store daemons: those after the control daemons, which get a store folder.
    pub stores: usize,
    /// Address of the platform; daemons run without one if `None`.
    pub platform: Option<SocketAddr>,
    /// Length of a usage window, in seconds.
    pub window_s: u64,
    /// Interval of the daemons' lease renewals.
    pub feed_period: Duration,
    /// Whether the daemons serve a route plan: control daemons its operators and upstreams, the
    /// others its callers.
    pub gateway: bool,
    /// Longest wait of a stopping daemon for running requests; the daemons' default if `None`.
    pub stop_timeout: Option<Duration>,
    /// Number of daemons with a folder that may be lost at once.
    pub tolerate: usize,
    /// Longest body of a request in bytes; the daemons' default if `None`.
    pub body_bytes: Option<usize>,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            daemons: 3,
            zones: 3,
            control: 3,
            stores: 0,
            platform: None,
            window_s: 2,
            feed_period: Duration::from_millis(500),
            gateway: false,
            stop_timeout: None,
            tolerate: 1,
            body_bytes: None,
        }
    }
}

struct Process {
    name: String,
    zone: String,
    http: SocketAddr,
    mesh: SocketAddr,
    /// Address of the gateway, used if [`ClusterConfig::gateway`] is set.
    gateway: SocketAddr,
    folder: Option<PathBuf>,
    store: Option<PathBuf>,
    /// Whether it was started before.
    restarted: bool,
    /// Whether it was added to the running cell.
    added: bool,
    child: Option<Child>,
    /// Listeners that reserve the daemon's ports until its first start.
    reserved: Vec<TcpListener>,
}

impl Process {
    /// Reserves the addresses of a daemon without a folder.
    fn reserve(index: usize, zone: String) -> anyhow::Result<Self> {
        let (http, mesh) = (reserve(index)?, reserve(index)?);
        let gateway = reserve(index)?;
        Ok(Self {
            name: format!("d{index}"),
            zone,
            http: http.local_addr()?,
            mesh: mesh.local_addr()?,
            gateway: gateway.local_addr()?,
            folder: None,
            store: None,
            restarted: false,
            added: false,
            child: None,
            reserved: vec![http, mesh, gateway],
        })
    }
}

/// The daemon processes of a cell; they are killed on drop.
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
    /// Starts the daemons and waits until each has its configuration and a lease.
    pub async fn spawn(config: ClusterConfig) -> anyhow::Result<Self> {
        let folder = TempDir::new()?;
        let mut processes = Vec::new();
        for index in 0..config.daemons {
            let own = || folder.path().join(format!("d{index}"));
            let is_control = index < config.control;
            let is_store = !is_control && index < config.control + config.stores;
            let zone = format!("z{}", index % config.zones);
            processes.push(Process {
                folder: is_control.then(own),
                store: is_store.then(own),
                ..Process::reserve(index, zone)?
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

    /// Returns the number of control daemons; they have the lowest indices.
    pub fn control(&self) -> usize {
        self.config.control
    }

    /// Returns the number of store daemons; they follow the control daemons.
    pub fn stores(&self) -> usize {
        self.config.stores
    }

    /// Returns a daemon's HTTP address.
    pub fn http(&self, index: usize) -> SocketAddr {
        self.processes[index].http
    }

    /// Returns the address on which a daemon serves the route plan; see
    /// [`ClusterConfig::gateway`].
    pub fn gateway(&self, index: usize) -> SocketAddr {
        self.processes[index].gateway
    }

    /// Returns the HTTP addresses of all daemons.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|p| p.http).collect()
    }

    /// Returns the HTTP addresses of the daemons in a zone.
    pub fn in_zone(&self, zone: &str) -> Vec<SocketAddr> {
        let members = self.processes.iter().filter(|p| p.zone == zone);
        members.map(|p| p.http).collect()
    }

    /// Returns the name of a daemon.
    pub fn name(&self, index: usize) -> &str {
        &self.processes[index].name
    }

    /// Returns the index of the daemon with this name.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.processes.iter().position(|p| p.name == name)
    }

    /// Returns the process id of a running daemon.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.processes[index].child.as_ref().map(Child::id)
    }

    /// Returns an operator that uses all daemons.
    pub fn operator(&self) -> CellOperator {
        CellOperator::new(&self.addresses())
    }

    /// Starts a daemon with an empty folder in the zone and the role of another one, and returns its index.
    pub fn add_successor(&mut self, old: usize) -> anyhow::Result<usize> {
        let index = self.processes.len();
        let own = || self.folder.path().join(format!("d{index}"));
        let former = &self.processes[old];
        let process = Process {
            folder: former.folder.is_some().then(own),
            store: former.store.is_some().then(own),
            added: true,
            ..Process::reserve(index, former.zone.clone())?
        };
        self.processes.push(process);
        self.start(index)?;
        Ok(index)
    }

    /// Starts a daemon that isn't running.
    pub fn start(&mut self, index: usize) -> anyhow::Result<()> {
        let process = &self.processes[index];
        for folder in process.folder.iter().chain(&process.store) {
            std::fs::create_dir_all(folder)?;
        }
        let arguments = self.arguments(index);
        self.processes[index].restarted = true;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("d{index}.log")))?;
        self.processes[index].reserved.clear();
        let child = Command::new(std::env::current_exe()?)
            .arg(DAEMON_ARGUMENT)
            .args(arguments)
            .stdin(Stdio::piped())
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
            format!("--tolerate-vms={}", self.config.tolerate),
            "--balancer-grace-ms=500".to_owned(),
        ];
        if let Some(time) = self.config.stop_timeout {
            arguments.push(format!("--stop-timeout-ms={}", time.as_millis()));
        }
        if let Some(bytes) = self.config.body_bytes {
            arguments.push(format!("--max-body-bytes={bytes}"));
        }
        match &process.folder {
            Some(folder) => {
                let setting = if process.added {
                    "control-peers"
                } else {
                    "bootstrap"
                };
                arguments.push(format!("--data-folder={}", folder.display()));
                arguments.push(format!("--{setting}={}", group.join(",")));
            }
            None => arguments.push(format!("--control-peers={}", group.join(","))),
        }
        if let Some(folder) = &process.store {
            arguments.push(format!("--store-folder={}", folder.display()));
            let first = !process.restarted && !process.added;
            arguments.push(format!("--first-start={first}"));
        } else if self.config.gateway {
            let listen = match process.folder {
                Some(_) => "control-listen",
                None => "front-listen",
            };
            arguments.push(format!("--{listen}={}", process.gateway));
        }
        if let Some(platform) = self.config.platform {
            arguments.push(format!("--platform={platform}"));
        }
        arguments
    }

    /// Kills a daemon with SIGKILL.
    pub fn kill(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(mut child) = self.processes[index].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Kills daemons, and after `time` starts those in `started`.
    pub async fn kill_for(
        &mut self,
        killed: Range<usize>,
        time: Duration,
        started: Range<usize>,
    ) -> anyhow::Result<()> {
        for index in killed {
            self.kill(index)?;
        }
        task::sleep(time).await;
        for index in started {
            self.start(index)?;
        }
        Ok(())
    }

    /// Sets the links of a running daemon to all upstreams.
    pub fn set_links(&mut self, index: usize, state: Links) -> anyhow::Result<()> {
        match &mut self.processes[index].child {
            Some(child) => links::set(child, state),
            None => Ok(()),
        }
    }

    /// Suspends daemons for `time`.
    pub async fn pause_for(&self, paused: &[usize], time: Duration) -> anyhow::Result<()> {
        for index in paused {
            self.pause(*index)?;
        }
        task::sleep(time).await;
        for index in paused {
            self.resume(*index)?;
        }
        Ok(())
    }

    /// Deletes a daemon's folders to simulate a lost disk.
    pub fn lose_disk(&self, index: usize) -> anyhow::Result<()> {
        let process = &self.processes[index];
        for folder in process.folder.iter().chain(&process.store) {
            std::fs::remove_dir_all(folder)?;
        }
        Ok(())
    }

    /// Stops a daemon with SIGTERM and returns its exit code. Kills it and fails after `timeout`.
    pub async fn stop(&mut self, index: usize, timeout: Duration) -> anyhow::Result<Option<i32>> {
        self.signal(index, Signal::TERM)?;
        let until = Instant::now() + timeout;
        let Some(mut child) = self.processes[index].child.take() else {
            return Ok(None);
        };
        while Instant::now() < until {
            if let Some(status) = child.try_wait()? {
                return Ok(status.code());
            }
            task::sleep(POLL_INTERVAL).await;
        }
        child.kill()?;
        bail!("daemon {index} did not stop within {timeout:?}")
    }

    /// Suspends a daemon with SIGSTOP.
    pub fn pause(&self, index: usize) -> anyhow::Result<()> {
        self.signal(index, Signal::STOP)
    }

    /// Resumes a suspended daemon with SIGCONT.
    pub fn resume(&self, index: usize) -> anyhow::Result<()> {
        self.signal(index, Signal::CONT)
    }

    fn signal(&self, index: usize, signal: Signal) -> anyhow::Result<()> {
        let id = self.pid(index).context("the daemon is not running")?;
        let pid = Pid::from_raw(i32::try_from(id)?).context("no process id")?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Waits until every running daemon has its configuration and a lease.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let running = self.processes.iter().filter(|p| p.child.is_some());
        for process in running {
            self.wait_leased(process).await?;
        }
        Ok(())
    }

    async fn wait_leased(&self, process: &Process) -> anyhow::Result<()> {
        let caller = Caller::new();
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let probe = caller.get(process.http, "/readyz").await;
            let ready =
                probe.is_ok_and(|p| p.status == 200 && p.text().contains("\"leased\":true"));
            if ready {
                return Ok(());
            }
            task::sleep(POLL_INTERVAL).await;
        }
        let log = self.folder.path().join(format!("{}.log", process.name));
        let text = std::fs::read_to_string(log).unwrap_or_default();
        bail!(
            "daemon {} did not become ready; its log:\n{text}",
            process.name
        )
    }

    /// Returns what a daemon has logged so far, including its earlier runs.
    pub fn log(&self, index: usize) -> String {
        let path = self.folder.path().join(format!("d{index}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                // The process may have exited already.
                let _ended = child.kill();
                let _reaped = child.wait();
            }
        }
    }
}

/// Binds a free port on a loopback address that only this daemon uses. Outgoing connections use
/// 127.0.0.1, so none of them can occupy the port while the daemon is down.
fn reserve(index: usize) -> anyhow::Result<TcpListener> {
    let [.., high, low] = u32::try_from(index + 256)?.to_be_bytes();
    let address = Ipv4Addr::new(127, 0, high, low);
    Ok(TcpListener::bind((address, 0))?)
}
