//! Starts the daemons of a small deployment with the commands of the deploy file, and does what the platform
//! does to their processes: it kills one that exceeds its machine's memory, and starts an ended one again.

use std::collections::BTreeMap;
use std::fs;
use std::fs::OpenOptions;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use dandelion_platform::calls::READY_PATH;

use crate::http;
use crate::http::Request;
use crate::record::Record;

/// Delay after which the platform starts an ended process again.
const RESTART: Duration = Duration::from_secs(1);

/// Interval at which the platform looks at the processes.
const WATCH: Duration = Duration::from_millis(10);

/// Memory of the machines of a site, in MB.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entry: u64,
    pub store: u64,
    pub core: u64,
}

/// Machines of `sites/rudalaps-grade.toml`.
pub const RUDALAPS: Size = Size {
    entry: 110,
    store: 150,
    core: 256,
};

/// Machines of `sites/slk-surety.toml`.
pub const SLK: Size = Size {
    entry: 260,
    store: 300,
    core: 256,
};

/// Longest body that the config allows, in bytes.
const LONGEST_BODY: u64 = 33_554_432;

/// Role of a machine, as in the deploy file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Entry,
    Control,
    Store,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Store => "store",
        }
    }
}

/// What a machine is.
#[derive(Debug, Clone)]
pub struct Spec {
    pub name: String,
    pub role: Role,
    pub zone: String,
    pub memory_mb: u64,
    pub ip: Ipv4Addr,
}

struct State {
    child: Option<Child>,
    /// Whether the platform keeps the process running.
    wanted: bool,
    restart_at: Option<Instant>,
    starts: u32,
    over_memory: u32,
    exits: u32,
    peak_kb: u64,
}

/// A machine with its process.
pub struct Machine {
    pub spec: Spec,
    state: Mutex<State>,
}

/// Ports, the same on all machines.
#[derive(Debug, Clone, Copy)]
struct Ports {
    mesh: u16,
    http: u16,
    front: u16,
    ready: u16,
    control: u16,
}

/// The running deployment.
pub struct Cell {
    root: PathBuf,
    folder: PathBuf,
    ports: Ports,
    commands: BTreeMap<&'static str, String>,
    pub machines: Vec<Arc<Machine>>,
    /// Addresses for the stand-ins.
    pub network: Ipv4Addr,
    pub platform: SocketAddr,
    pub record: Record,
    stopping: AtomicBool,
}

impl Cell {
    /// Reserves addresses and reads the commands. Each of three zones has one machine of each role.
    pub fn prepare(root: &Path, folder: &Path, record: Record, size: Size) -> io::Result<Self> {
        let id = std::process::id();
        let network = Ipv4Addr::new(127, 64 + (id % 128) as u8, 1 + (id / 128 % 250) as u8, 0);
        let ports = free_ports(network)?;
        let zones = ["riga-a", "riga-b", "riga-c"];
        let mut machines = Vec::new();
        let mut add = |role: Role, class: &str, zone: &str, number: u32, memory_mb: u64| {
            let [a, b, c, _] = network.octets();
            let ip = Ipv4Addr::new(a, b, c, 10 + machines.len() as u8);
            machines.push(Arc::new(Machine {
                spec: Spec {
                    name: format!("{class}-{zone}-{number}"),
                    role,
                    zone: zone.to_owned(),
                    memory_mb,
                    ip,
                },
                state: Mutex::new(State {
                    child: None,
                    wanted: false,
                    restart_at: None,
                    starts: 0,
                    over_memory: 0,
                    exits: 0,
                    peak_kb: 0,
                }),
            }));
        };
        for zone in zones {
            add(Role::Control, "core", zone, 1, size.core);
        }
        for zone in zones {
            add(Role::Store, "storage", zone, 1, size.store);
        }
        for zone in zones {
            add(Role::Entry, "frontend", zone, 1, size.entry);
        }
        let deploy = fs::read_to_string(root.join("deploy/system.toml"))?;
        let commands = [Role::Entry, Role::Control, Role::Store];
        let commands = commands.map(|r| (r.name(), command(&deploy, r.name())));
        let [a, b, c, _] = network.octets();
        Ok(Self {
            root: root.to_owned(),
            folder: folder.to_owned(),
            ports,
            commands: commands.into_iter().collect(),
            machines,
            network,
            platform: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, 200)), ports.control + 7),
            record,
            stopping: AtomicBool::new(false),
        })
    }

    /// Returns the machines of a role.
    pub fn of_role(&self, role: Role) -> Vec<Arc<Machine>> {
        let found = self.machines.iter().filter(|m| m.spec.role == role);
        found.cloned().collect()
    }

    /// Returns the addresses of the entries for callers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let fronts = self.of_role(Role::Entry);
        fronts
            .iter()
            .map(|m| self.address(m, self.ports.front))
            .collect()
    }

    /// Returns the addresses of the control daemons.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let controls = self.of_role(Role::Control);
        controls
            .iter()
            .map(|m| self.address(m, self.ports.control))
            .collect()
    }

    fn address(&self, machine: &Machine, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(machine.spec.ip), port)
    }

    /// Returns an address for a stand-in.
    pub fn own_ip(&self, last: u8) -> Ipv4Addr {
        let [a, b, c, _] = self.network.octets();
        Ipv4Addr::new(a, b, c, last)
    }

    /// Starts all processes and the platform that watches them.
    pub fn start(self: &Arc<Self>) -> io::Result<()> {
        for machine in &self.machines {
            self.start_machine(machine)?;
        }
        let cell = Arc::clone(self);
        thread::spawn(move || {
            while !cell.stopping.load(Ordering::SeqCst) {
                for machine in &cell.machines {
                    cell.watch(machine);
                }
                thread::sleep(WATCH);
            }
        });
        Ok(())
    }

    /// Starts the process of a machine.
    pub fn start_machine(&self, machine: &Machine) -> io::Result<()> {
        let spec = &machine.spec;
        let mut state = machine.state.lock().unwrap();
        if self.stopping.load(Ordering::SeqCst) {
            return Ok(());
        }
        let data = self.folder.join(&spec.name);
        fs::create_dir_all(&data)?;
        let is_first = state.starts == 0;
        let seeds: Vec<String> = self.controls().iter().map(|s| s.to_string()).collect();
        let values = [
            ("ip", spec.ip.to_string()),
            ("node_name", spec.name.clone()),
            ("zone", spec.zone.clone()),
            ("internal_ports.0", self.ports.mesh.to_string()),
            ("internal_ports.1", self.ports.http.to_string()),
            (
                "listen.front",
                self.address(machine, self.ports.front).to_string(),
            ),
            (
                "listen.ready",
                self.address(machine, self.ports.ready).to_string(),
            ),
            (
                "listen.control",
                self.address(machine, self.ports.control).to_string(),
            ),
            ("seeds", seeds.join(",")),
            ("tolerate.machines", "1".to_owned()),
            ("bounds.report_window_s", "5".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("data_directory", data.display().to_string()),
            ("cloud_api.address", self.platform.to_string()),
        ];
        let words = self.commands[spec.role.name()].split(' ').map(|word| {
            let mut word = word.to_owned();
            for (name, value) in &values {
                word = word.replace(&format!("{{{{{name}}}}}"), value);
            }
            // The only value that is left is whether the whole deployment starts for the first time.
            if word.starts_with("{{") {
                word = is_first.to_string();
            }
            word
        });
        let words: Vec<String> = words.collect();
        let log = self.folder.join(format!("{}.log", spec.name));
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(self.root.join(&words[0]));
        command.args(&words[1..]);
        command.current_dir(&self.root);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("DANDELION_STOP_GRACE_S", "8");
        // What a daemon takes from its machine, which reports its own memory and one core: a quarter of the
        // memory for callers, but twice the longest body, and one thread. The bench limits the arenas.
        let memory = (spec.memory_mb * 1024 * 1024 / 4).max(2 * LONGEST_BODY);
        command.env("DANDELION_CLIENT_MEMORY_BYTES", memory.to_string());
        command.env("ASYNC_STD_THREAD_COUNT", "1");
        command.env("MALLOC_ARENA_MAX", "1");
        command.stdin(Stdio::null());
        command.stdout(log.try_clone()?);
        command.stderr(log);
        state.child = Some(command.spawn()?);
        state.wanted = true;
        state.restart_at = None;
        state.starts += 1;
        if !is_first {
            self.record
                .line(&format!("platform: {} started again", spec.name));
        }
        Ok(())
    }

    /// Kills a process that exceeds its memory, and starts an ended one again.
    fn watch(&self, machine: &Machine) {
        let name = &machine.spec.name;
        let mut is_due = false;
        {
            let mut state = machine.state.lock().unwrap();
            if !state.wanted {
                return;
            }
            if let Some(at) = state.restart_at {
                is_due = Instant::now() >= at;
            }
            if let Some(child) = &mut state.child {
                let ended = child.try_wait().ok().flatten();
                let used = memory_kb(child.id());
                state.peak_kb = state.peak_kb.max(used);
                if let Some(status) = ended {
                    self.record
                        .line(&format!("platform: {name} ended by itself ({status})"));
                    state.child = None;
                    state.exits += 1;
                    state.restart_at = Some(Instant::now() + RESTART);
                } else if used > machine.spec.memory_mb * 1024 {
                    self.record.line(&format!(
                        "platform: {name} uses {used} KiB, more than its {} MB; killed",
                        machine.spec.memory_mb
                    ));
                    if let Some(mut child) = state.child.take() {
                        let _ignored = child.kill();
                        let _ignored = child.wait();
                    }
                    state.over_memory += 1;
                    state.restart_at = Some(Instant::now() + RESTART);
                }
            }
        }
        if is_due {
            if let Err(error) = self.start_machine(machine) {
                self.record
                    .line(&format!("platform: {name} can't be started: {error}"));
            }
        }
    }

    /// Ends all processes.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            let mut state = machine.state.lock().unwrap();
            state.wanted = false;
            if let Some(mut child) = state.child.take() {
                let _ignored = child.kill();
                let _ignored = child.wait();
            }
        }
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let request = Request::new("GET", READY_PATH, "ready");
        let mut entries = self.of_role(Role::Entry);
        while Instant::now() < until {
            entries.retain(|m| {
                let to = self.address(m, self.ports.ready);
                let answer = http::call(to, &request, Duration::from_secs(1));
                !answer.is_ok_and(|a| a.status() == 200)
            });
            if entries.is_empty() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a call of the operator to one control daemon after the other until one acknowledges it.
    pub fn operate(&self, request: &Request, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for to in self.controls() {
                let answer = http::call(to, request, Duration::from_secs(3));
                if answer.is_ok_and(|a| a.status() == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Machine {
    /// Kills the process; the platform starts it again.
    pub fn kill(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(mut child) = state.child.take() {
            let _ignored = child.kill();
            let _ignored = child.wait();
            state.restart_at = Some(Instant::now() + RESTART);
        }
    }

    /// Returns how often the process exceeded its memory, ended by itself, and its peak in KiB.
    pub fn ends(&self) -> (u32, u32, u64) {
        let state = self.state.lock().unwrap();
        (state.over_memory, state.exits, state.peak_kb)
    }
}

/// Returns the resident memory of a process.
fn memory_kb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line
        .and_then(|l| l.trim().strip_suffix("kB"))
        .map(str::trim);
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the command of a role in the deploy file.
fn command(deploy: &str, role: &str) -> String {
    let section = format!("[roles.{role}]");
    let lines = deploy.lines().skip_while(|l| l.trim() != section);
    let run = lines
        .skip(1)
        .find_map(|l| l.trim().strip_prefix("run = \""));
    run.and_then(|l| l.strip_suffix('"'))
        .unwrap_or_default()
        .to_owned()
}

/// Finds ports that are free on all addresses of the network.
fn free_ports(network: Ipv4Addr) -> io::Result<Ports> {
    let [a, b, c, _] = network.octets();
    for base in (21_000..29_000).step_by(16) {
        let addresses = (10..20).map(|last| Ipv4Addr::new(a, b, c, last));
        let mut all = addresses.flat_map(|ip| (base..base + 5).map(move |port| (ip, port)));
        if all.all(|(ip, port)| TcpListener::bind((ip, port)).is_ok()) {
            return Ok(Ports {
                mesh: base,
                http: base + 1,
                front: base + 2,
                ready: base + 3,
                control: base + 4,
            });
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
