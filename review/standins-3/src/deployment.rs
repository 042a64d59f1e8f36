//! A small deployment: three `core`, three `storage` and two `frontend` machines in three zones.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use dandelion_platform::fixtures;
use dandelion_platform::fixtures::PlanFixture;
use dandelion_protocol::time::Millis;

use crate::http;
use crate::http::Message;

const PROGRAM: &str = "target/release/dandelionrun";
/// Service of all replicas.
pub const SERVICE: &str = "llm";
/// Path prefix of the route for batch jobs.
pub const BATCHES: &str = "/roll/";
pub const HOST: &str = "a.example";
pub const KEY: &str = "3d3zji9n73hh2b9wu3fe";
pub const ZONES: [&str; 3] = ["z0", "z1", "z2"];

/// All processes that were started, and the folders to remove.
static STARTED: Mutex<(Vec<Child>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Ends all processes that were started, and removes their folders.
pub fn end_all() {
    let mut started = STARTED.lock().unwrap();
    for child in &mut started.0 {
        let _ended = child.kill();
        let _reaped = child.wait();
    }
    started.0.clear();
    for folder in started.1.drain(..) {
        let _removed = fs::remove_dir_all(folder);
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Core,
    Storage,
    Frontend,
}

pub struct Machine {
    pub role: Role,
    pub ip: Ipv4Addr,
    pub name: String,
    zone: &'static str,
    folder: PathBuf,
    pid: Option<u32>,
    gone: bool,
}

pub struct Deployment {
    pub machines: Vec<Machine>,
    /// Machines whose addresses the settings name as seeds.
    seeds: Vec<usize>,
    root: PathBuf,
    ports: [u16; 6],
    platform: SocketAddr,
    record: Mutex<File>,
    begun: Instant,
}

fn free_ports() -> [u16; 6] {
    let bound: Vec<TcpListener> = (0..6)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("there is a free port"))
        .collect();
    std::array::from_fn(|at| bound[at].local_addr().unwrap().port())
}

/// Accepts all calls to the platform.
fn spawn_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while http::read(&mut reader).is_some() {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    if stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

impl Deployment {
    pub fn open() -> Result<Self, String> {
        let record = std::env::var("RECORD").map_err(|_| "RECORD is not set")?;
        let record = File::create(PathBuf::from(record).join("record.txt"));
        let record = record.map_err(|error| error.to_string())?;
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("standin-3-{id}"));
        let net = (id % 200 + 20) as u8;
        let mut machines = Vec::new();
        for (role, count, third) in [
            (Role::Core, 3, 1),
            (Role::Storage, 3, 2),
            (Role::Frontend, 2, 3),
        ] {
            for index in 0..count {
                let zone = ZONES[index % ZONES.len()];
                let kind = format!("{role:?}").to_lowercase();
                let name = format!("{kind}-{zone}-1");
                machines.push(Machine {
                    role,
                    ip: Ipv4Addr::new(127, net, third, index as u8 + 1),
                    folder: folder.join(&name),
                    name,
                    zone,
                    pid: None,
                    gone: false,
                });
            }
        }
        STARTED.lock().unwrap().1.push(folder.clone());
        Ok(Self {
            machines,
            seeds: vec![0, 1, 2],
            root: folder,
            ports: free_ports(),
            platform: spawn_platform(),
            record: Mutex::new(record),
            begun: Instant::now(),
        })
    }

    /// Writes a line to the record, with the seconds since the begin.
    pub fn note(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut record = self.record.lock().unwrap();
        let _written = writeln!(record, "{at:8.3} {text}");
    }

    /// Returns the machines of a class, without those that are gone for good.
    pub fn of(&self, role: Role) -> Vec<usize> {
        let all = 0..self.machines.len();
        let is_there = |at: &usize| self.machines[*at].role == role && !self.machines[*at].gone;
        all.filter(is_there).collect()
    }

    /// Takes a machine of the core away for good, and adds an empty one at another address. The
    /// operator's list and the seeds name the new one in its place.
    pub fn replace(&mut self, at: usize) -> usize {
        let former = &mut self.machines[at];
        former.gone = true;
        let [a, b, c, _] = former.ip.octets();
        let name = format!("{}-2", former.name.trim_end_matches("-1"));
        let machine = Machine {
            role: former.role,
            ip: Ipv4Addr::new(a, b, c, 9),
            folder: self.root.join(&name),
            name,
            zone: former.zone,
            pid: None,
            gone: false,
        };
        self.machines.push(machine);
        let new = self.machines.len() - 1;
        for seed in self.seeds.iter_mut().filter(|seed| **seed == at) {
            *seed = new;
        }
        new
    }

    /// Empties the disk of a machine whose process is down.
    pub fn wipe(&self, at: usize) {
        let _removed = fs::remove_dir_all(&self.machines[at].folder);
        self.note(&format!("the disk of {} is lost", self.machines[at].name));
    }

    /// Returns the address that a machine serves: `front` or `control`.
    pub fn address(&self, machine: usize) -> SocketAddr {
        let machine = &self.machines[machine];
        let port = match machine.role {
            Role::Frontend => self.ports[2],
            _ => self.ports[4],
        };
        SocketAddr::from((machine.ip, port))
    }

    /// Starts a machine's process with the command of its role in the deploy file.
    pub fn start(&mut self, at: usize, first: bool) -> Result<(), String> {
        let [mesh, http, front, ready, control, _] = self.ports;
        let seeds = self.seeds.iter().map(|at| self.address(*at).to_string());
        let seeds: Vec<String> = seeds.collect();
        let machine = &self.machines[at];
        let (ip, folder) = (machine.ip, machine.folder.display().to_string());
        let mut words: Vec<String> = format!(
            "--name {ip} --vm-name {} --zone {} --mesh-listen {ip}:{mesh} --http-listen {ip}:{http}",
            machine.name, machine.zone
        )
        .split(' ')
        .map(str::to_owned)
        .collect();
        let (seeds, platform) = (seeds.join(","), self.platform);
        let rest = match machine.role {
            Role::Frontend => format!(
                "--front-listen {ip}:{front} --ready-listen {ip}:{ready} --seeds {seeds} --tolerate-vms 1 \
                 --usage-window-s 5 --holder-gap-ms 3000 --max-body-bytes 33554432 \
                 --balancer-grace-ms 3000 --stop-timeout-ms 4000"
            ),
            Role::Core => format!(
                "--control-listen {ip}:{control} --data-folder {folder} --seeds {seeds} --first-start {first} \
                 --tolerate-vms 1 --platform {platform} --usage-window-s 5 --holder-gap-ms 3000 \
                 --max-body-bytes 33554432 --balancer-grace-ms 500 --stop-timeout-ms 3000"
            ),
            Role::Storage => format!(
                "--store-folder {folder} --seeds {seeds} --first-start {first} --tolerate-vms 1 \
                 --usage-window-s 5 --holder-gap-ms 3000 --balancer-grace-ms 500 --stop-timeout-ms 3000"
            ),
        };
        words.extend(rest.split_whitespace().map(str::to_owned));
        words.extend(["--log-format", "json", "--mesh-secrets"].map(str::to_owned));
        words.push("dandelionrun-daemons-of-one-cell-share-this".to_owned());
        fs::create_dir_all(&machine.folder).map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .args(words)
            .env("DANDELION_STOP_GRACE_S", "8")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let child = child.map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.note(&format!(
            "start {} ({ip}), first start {first}",
            machine.name
        ));
        self.machines[at].pid = Some(child.id());
        STARTED.lock().unwrap().0.push(child);
        Ok(())
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        for at in 0..self.machines.len() {
            self.start(at, true)?;
        }
        Ok(())
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, at: usize) {
        let pid = self.machines[at].pid.take();
        let mut started = STARTED.lock().unwrap();
        for child in started.0.iter_mut().filter(|c| Some(c.id()) == pid) {
            let _ended = child.kill();
            let _reaped = child.wait();
        }
        drop(started);
        self.note(&format!("kill {}", self.machines[at].name));
    }

    /// Makes a call to the control address of one machine, and waits for its answer for a second, for
    /// reads longer.
    pub fn control_at(&self, at: usize, method: &str, path: &str, body: &[u8]) -> Option<Message> {
        let json = [("Content-Type", "application/json")];
        let limit = Duration::from_secs(if method == "GET" { 8 } else { 1 });
        http::send(self.address(at), method, path, &json, body, limit)
    }

    /// Makes a call to the control address of one machine after the other until one acknowledges it.
    pub fn control(&self, method: &str, path: &str, body: &[u8]) -> Option<Message> {
        for at in self.of(Role::Core) {
            let answer = self.control_at(at, method, path, body);
            if let Some(answer) = answer.filter(|answer| answer.status() < 500) {
                return Some(answer);
            }
        }
        None
    }

    /// Sends the config until it is acknowledged; returns whether it was within `limit`.
    pub fn configure(&self, config: &[u8], limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let path = fixtures::REPLACE_PLAN_PATH;
        loop {
            let answer = self.control("POST", path, config).map(|a| a.status());
            self.note(&format!("config sent, answer {answer:?}"));
            if answer == Some(200) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Sends a caller's request to a `frontend` machine.
    pub fn call(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        id: &str,
        body: &[u8],
    ) -> Option<Message> {
        let sent = fixtures::caller_headers(id, KEY, Millis(20_000));
        let mut headers = vec![("Host", HOST)];
        headers.extend(
            sent.iter()
                .map(|header| (header.name.as_str(), header.value.as_str())),
        );
        let limit = Duration::from_secs(20);
        http::send(self.address(machine), method, path, &headers, body, limit)
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |span| span.as_millis() as u64)
}

/// Returns a config with a route for batch jobs and one for safe requests, both served by `llm`.
pub fn config(version: u64) -> Vec<u8> {
    let service = SERVICE.parse().expect("a name");
    fixtures::plan(&PlanFixture {
        version,
        host: HOST,
        service: &service,
        key: KEY,
        attempts: 3,
        timeout: Millis(10_000),
        prefixes: &[],
        streams: None,
        batches: Some(BATCHES),
    })
}
