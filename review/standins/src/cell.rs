//! A small deployment: three control daemons, three stores and some entries, started by the
//! commands of the deploy file on loopback addresses.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use dandelion_platform::calls;
use dandelion_platform::fixtures;
use rustix::process::Pid;
use rustix::process::Signal;

use crate::http;
use crate::record::Record;

/// Role of a machine in the deploy file, and the last but one part of its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Store,
    Entry,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Store => "store",
            Self::Entry => "entry",
        }
    }

    /// Returns the memory of a machine, as the sheet of the small deployment has it.
    fn memory_mb(self) -> u64 {
        match self {
            Self::Control => 256,
            Self::Store => 150,
            Self::Entry => 110,
        }
    }

    fn net(self) -> u8 {
        match self {
            Self::Control => 101,
            Self::Store => 102,
            Self::Entry => 103,
        }
    }
}

/// Ports of a deployment; the same on all machines.
#[derive(Debug, Clone, Copy)]
struct Ports {
    first: u16,
}

impl Ports {
    fn mesh(self) -> u16 {
        self.first
    }
    fn http(self) -> u16 {
        self.first + 1
    }
    fn front(self) -> u16 {
        self.first + 2
    }
    fn ready(self) -> u16 {
        self.first + 3
    }
    fn control(self) -> u16 {
        self.first + 4
    }
    fn platform(self) -> u16 {
        self.first + 5
    }
}

struct Machine {
    role: Role,
    number: u8,
    child: Option<Child>,
    first: bool,
    /// When it was killed for its use of memory.
    killed: Option<Instant>,
}

/// The running machines; all processes are killed on drop.
pub struct Cell {
    folder: PathBuf,
    deploy: String,
    ports: Ports,
    machines: Vec<Machine>,
    pub record: Record,
}

/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Control daemons, and stores, at the start.
const CONTROL: u8 = 3;

/// Control daemons, and stores, that may be added.
const SPARE: u8 = 3;

const ZONES: [&str; 3] = ["za", "zb", "zc"];

fn address(role: Role, number: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, role.net(), number), port))
}

impl Cell {
    /// Starts three control daemons, three stores and `entries` entries, and waits until they answer.
    pub fn start(entries: u8, record: Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("dandelion-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let count = |role, count| (1..=count).map(move |number| (role, number));
        let machines = count(Role::Control, CONTROL)
            .chain(count(Role::Store, CONTROL))
            .chain(count(Role::Entry, entries));
        let machines: Vec<(Role, u8)> = machines.collect();
        let spare = [Role::Control, Role::Store];
        let spare = spare
            .into_iter()
            .flat_map(|role| (CONTROL + 1..=CONTROL + SPARE).map(move |number| (role, number)));
        let ports = free_ports(&machines.iter().copied().chain(spare).collect::<Vec<_>>())?;
        let mut cell = Self {
            folder,
            deploy: fs::read_to_string("deploy/system.toml")?,
            ports,
            machines: machines
                .into_iter()
                .map(|(role, number)| Machine {
                    role,
                    number,
                    child: None,
                    first: true,
                    killed: None,
                })
                .collect(),
            record,
        };
        cell.serve_platform()?;
        for index in 0..cell.machines.len() {
            cell.spawn(index)?;
        }
        Ok(cell)
    }

    /// Accepts every call to the platform.
    fn serve_platform(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.platform())?;
        let record = self.record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let record = record.clone();
                thread::spawn(move || {
                    let mut stream = stream;
                    while let Ok(Some(call)) = http::read_message(&mut stream, false) {
                        record.note(&format!("platform: {}", call.first));
                        let answer = http::answer(200, &[], b"{}");
                        if io::Write::write_all(&mut stream, &answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    fn platform(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 0, 104, 1), self.ports.platform()))
    }

    /// Returns the addresses of the control daemons for operators and upstreams, spare ones included.
    pub fn control(&self) -> Vec<SocketAddr> {
        (1..=CONTROL + SPARE)
            .map(|n| address(Role::Control, n, self.ports.control()))
            .collect()
    }

    /// Returns the address of an entry for callers; entries count from 1.
    pub fn front(&self, number: u8) -> SocketAddr {
        address(Role::Entry, number, self.ports.front())
    }

    fn ready(&self, number: u8) -> SocketAddr {
        address(Role::Entry, number, self.ports.ready())
    }

    fn index(&self, role: Role, number: u8) -> usize {
        let found = self
            .machines
            .iter()
            .position(|m| m.role == role && m.number == number);
        found.expect("the machine is part of the deployment")
    }

    fn command(&self, index: usize) -> Vec<String> {
        let machine = &self.machines[index];
        let header = format!("[roles.{}]", machine.role.name());
        let part = self.deploy.split(&header).nth(1).unwrap_or_default();
        let line = part.lines().find_map(|l| l.strip_prefix("run = \""));
        let line = line.unwrap_or_default().trim_end_matches('"');
        let ip = address(machine.role, machine.number, 0).ip().to_string();
        let listen = |port: u16| format!("{ip}:{port}");
        let seeds = self.control().into_iter().take(usize::from(CONTROL));
        let seeds: Vec<String> = seeds.map(|s| s.to_string()).collect();
        let name = format!("{}-{}", machine.role.name(), machine.number);
        let folder = self.folder.join(&name).display().to_string();
        let zone = ZONES[usize::from(machine.number - 1) % 3];
        let values = [
            ("{{ip}}", ip.clone()),
            ("{{node_name}}", name),
            ("{{zone}}", zone.to_owned()),
            ("{{internal_ports.0}}", self.ports.mesh().to_string()),
            ("{{internal_ports.1}}", self.ports.http().to_string()),
            ("{{listen.front}}", listen(self.ports.front())),
            ("{{listen.ready}}", listen(self.ports.ready())),
            ("{{listen.control}}", listen(self.ports.control())),
            ("{{data_directory}}", folder),
            ("{{seeds}}", seeds.join(",")),
            ("{{tolerate.machines}}", "1".to_owned()),
            ("{{cloud_api.address}}", self.platform().to_string()),
            ("{{bounds.report_window_s}}", "5".to_owned()),
            ("{{bounds.lease_ms}}", "3000".to_owned()),
        ];
        let mut flag = "";
        let words = line.split(' ').map(|word| {
            let of_flag = std::mem::replace(&mut flag, word);
            if of_flag == "--first-start" {
                return machine.first.to_string();
            }
            let replaced = values.iter().fold(word.to_owned(), |word, (name, value)| {
                word.replace(name, value)
            });
            assert!(!replaced.contains("{{"), "{replaced} has no value");
            replaced
        });
        words.collect()
    }

    fn spawn(&mut self, index: usize) -> io::Result<()> {
        let words = self.command(index);
        let machine = &mut self.machines[index];
        let name = format!("{}-{}", machine.role.name(), machine.number);
        fs::create_dir_all(self.folder.join(&name))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(&format!("{name} starts"));
        if let Ok(pid) = i32::try_from(child.id()) {
            STARTED.lock().expect("no holder panics").push(pid);
        }
        machine.first = false;
        machine.child = Some(child);
        Ok(())
    }

    /// Starts a machine again whose process has ended.
    pub fn restart(&mut self, role: Role, number: u8) -> io::Result<()> {
        let index = self.index(role, number);
        if let Some(child) = self.machines[index].child.take() {
            end(child);
        }
        self.spawn(index)
    }

    /// Adds a machine whose disk is empty to the deployment.
    pub fn add(&mut self, role: Role, number: u8) -> io::Result<()> {
        self.machines.push(Machine {
            role,
            number,
            child: None,
            first: false,
            killed: None,
        });
        self.spawn(self.machines.len() - 1)
    }

    /// Deletes the disk of a machine whose process has ended.
    pub fn wipe(&self, role: Role, number: u8) -> io::Result<()> {
        let name = format!("{}-{number}", role.name());
        self.record.note(&format!("{name} loses its disk"));
        fs::remove_dir_all(self.folder.join(name))
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, role: Role, number: u8) -> io::Result<()> {
        let index = self.index(role, number);
        self.record
            .note(&format!("{}-{number} is killed", role.name()));
        if let Some(child) = self.machines[index].child.take() {
            end(child);
        }
        Ok(())
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, role: Role, number: u8, signal: Signal) -> io::Result<()> {
        let child = self.machines[self.index(role, number)].child.as_ref();
        let id = child.map_or(0, |c| i32::try_from(c.id()).unwrap_or(0));
        let pid = Pid::from_raw(id).ok_or(io::ErrorKind::NotFound)?;
        self.record
            .note(&format!("{}-{number} gets {signal:?}", role.name()));
        rustix::process::kill_process(pid, signal)?;
        Ok(())
    }

    /// Returns whether a machine's process has ended by itself, and notes its status.
    pub fn has_ended(&mut self, role: Role, number: u8) -> bool {
        let index = self.index(role, number);
        let child = self.machines[index].child.as_mut();
        let status = child.and_then(|c| c.try_wait().ok().flatten());
        if let Some(status) = status {
            self.record
                .note(&format!("{}-{number} has ended: {status}", role.name()));
        }
        status.is_some()
    }

    /// Returns the memory that a machine's process has for its data, in kilobytes.
    pub fn memory_kb(&self, role: Role, number: u8) -> u64 {
        let child = self.machines[self.index(role, number)].child.as_ref();
        let path = format!("/proc/{}/status", child.map_or(0, Child::id));
        let status = fs::read_to_string(path).unwrap_or_default();
        let used = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
        let used = used.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok());
        used.unwrap_or(0)
    }

    /// Plays the platform's part for processes that use more memory than their machine has: kills them,
    /// and starts them again a second later. Returns how many it has killed.
    pub fn enforce_memory(&mut self) -> io::Result<usize> {
        let mut killed = 0;
        for index in 0..self.machines.len() {
            let (role, number) = (self.machines[index].role, self.machines[index].number);
            if self.machines[index].child.is_none() {
                let is_due = self.machines[index]
                    .killed
                    .is_some_and(|at| at.elapsed() >= RESTART_DELAY);
                if is_due {
                    self.spawn(index)?;
                }
            } else if self.memory_kb(role, number) > role.memory_mb() * 1_000 {
                let used = self.memory_kb(role, number);
                let name = role.name();
                self.record.note(&format!("{name}-{number} uses {used} kB"));
                self.kill(role, number)?;
                self.machines[index].killed = Some(Instant::now());
                killed += 1;
            }
        }
        Ok(killed)
    }

    /// Returns the log of a machine.
    pub fn log(&self, role: Role, number: u8) -> String {
        let name = format!("{}-{number}.log", role.name());
        fs::read_to_string(self.folder.join(name)).unwrap_or_default()
    }

    /// Sends a call to the control daemons until one acknowledges it.
    pub fn operate(&self, path: &str, body: &[u8], limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        let headers = [
            ("Host".to_owned(), "control".to_owned()),
            ("Content-Type".to_owned(), "application/json".to_owned()),
        ];
        let request = http::request("POST", path, &headers, body);
        let mut status = 0;
        while Instant::now() < until {
            for address in self.control() {
                let answer = http::call(address, &request, false, Duration::from_secs(1));
                status = answer.map_or(0, |a| a.status());
                if (200..300).contains(&status) {
                    self.record.note(&format!("{path} is acknowledged"));
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        let reason = format!("{path} was not acknowledged, last status {status}");
        Err(io::Error::other(reason))
    }

    /// Puts a plan in force.
    pub fn configure(&self, plan: &[u8]) -> io::Result<()> {
        self.operate(fixtures::REPLACE_PLAN_PATH, plan, Duration::from_secs(20))
    }

    /// Returns the plan as the control daemons read it; none if none of them does within `limit`.
    pub fn read_plan(&self, limit: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + limit;
        let headers = [("Host".to_owned(), "control".to_owned())];
        let path = fixtures::REPLACE_PLAN_PATH.replace("Replace", "Read");
        let request = http::request("GET", &path, &headers, b"");
        while Instant::now() < until {
            for address in self.control() {
                let answer = http::call(address, &request, false, Duration::from_secs(1));
                if let Ok(answer) = answer.as_ref()
                    && answer.status() == 200
                {
                    return Some(answer.body.clone());
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, number: u8) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready(number) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other(format!("entry-{number} is not ready")))
    }

    /// Returns whether an entry says that it is ready, as the platform asks it.
    pub fn is_ready(&self, number: u8) -> bool {
        let headers = [("Host".to_owned(), "entry".to_owned())];
        let request = http::request("GET", calls::READY_PATH, &headers, b"");
        let answer = http::call(
            self.ready(number),
            &request,
            false,
            Duration::from_millis(500),
        );
        answer.is_ok_and(|a| a.status() == 200)
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = machine.child.take() {
                end(child);
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _left = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

/// Finds a range of ports that are free on all addresses.
fn free_ports(machines: &[(Role, u8)]) -> io::Result<Ports> {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 0, Role::Control.net(), 1), 0))?;
    let start = listener.local_addr()?.port();
    drop(listener);
    let candidates = (0..200_u16).map(|step| 20_000 + (start.wrapping_add(step * 16) % 10_000));
    for first in candidates {
        let is_free = |ip: Ipv4Addr| (first..first + 6).all(|p| TcpListener::bind((ip, p)).is_ok());
        let ips = machines
            .iter()
            .map(|(role, number)| Ipv4Addr::new(127, 0, role.net(), *number));
        if ips.chain([Ipv4Addr::new(127, 0, 104, 1)]).all(is_free) {
            return Ok(Ports { first });
        }
    }
    Err(io::Error::other("no free ports"))
}

/// Ends a process, which may have ended already.
fn end(mut child: Child) {
    let mut started = STARTED.lock().expect("no holder panics");
    let _ended = child.kill();
    let _reaped = child.wait();
    started.retain(|pid| u32::try_from(*pid) != Ok(child.id()));
}

/// Longest time for a case. After it the processes are ended, and the case couldn't run.
const LIMIT: Duration = Duration::from_secs(110);

/// Processes that were started, for the end of a case that takes too long.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

fn watch() {
    thread::sleep(LIMIT);
    for pid in STARTED.lock().expect("no holder panics").iter() {
        if let Some(pid) = Pid::from_raw(*pid) {
            // Most have not ended yet.
            let _ended = rustix::process::kill_process(pid, Signal::KILL);
        }
    }
    println!("the case took too long");
    std::process::exit(2);
}

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
pub fn run<F>(entries: u8, case: F) -> !
where
    F: FnOnce(&mut Cell, bool) -> io::Result<bool>,
{
    thread::spawn(watch);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    let case = AssertUnwindSafe(|| attempt(entries, &path, trouble, case));
    let code = catch_unwind(case).unwrap_or_else(|_| Err(io::Error::other("it panicked")));
    let code = code.unwrap_or_else(|error| {
        println!("the case couldn't run: {error}");
        2
    });
    std::process::exit(code)
}

fn attempt<F>(entries: u8, path: &str, trouble: bool, case: F) -> io::Result<i32>
where
    F: FnOnce(&mut Cell, bool) -> io::Result<bool>,
{
    Record::create(path.as_ref()).and_then(|record| {
        record.note(&format!("trouble: {trouble}"));
        let mut cell = Cell::start(entries, record.clone())?;
        let held = case(&mut cell, trouble)?;
        record.note(if held {
            "the rule held"
        } else {
            "the rule was broken"
        });
        Ok(i32::from(!held))
    })
}
