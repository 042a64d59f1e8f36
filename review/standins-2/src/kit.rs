//! A small deployment on loopback addresses: the daemons of the deploy file as separate processes,
//! and the operator, the platform, servers and clients as stand-ins.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelion_platform::calls::READY_PATH;
use dandelion_platform::fixtures;
use dandelion_platform::headers;
use dandelion_platform::incarnations::STATE_PATH;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::WallMillis;

/// Ports of all machines; each machine has an address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub mesh: u16,
    pub http: u16,
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub server: u16,
}

/// Role of a machine, as in the deploy file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Entry,
    Control,
    Store,
}

impl Class {
    fn role(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Store => "store",
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Entry => "frontend",
            Self::Control => "core",
            Self::Store => "storage",
        }
    }
}

/// One machine and its daemon.
pub struct Machine {
    pub class: Class,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub name: String,
    /// Memory of the machine in MB; zero if nobody watches it.
    pub memory_mb: u64,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    /// Starts of the daemon so far.
    pub starts: AtomicU64,
    /// Highest resident memory that was seen, in KiB.
    pub peak_kib: AtomicU64,
    /// Times at which the platform ended the daemon because its memory was over the limit.
    pub over_limit: AtomicU64,
    /// Whether the daemon is to be started again when it ends.
    keep: AtomicBool,
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3}  {text}");
        drop(file);
        println!("{at:8.3}  {text}");
    }
}

/// A running deployment.
pub struct Deployment {
    pub record: Record,
    pub ports: Ports,
    pub machines: Vec<Arc<Machine>>,
    pub platform: SocketAddr,
    pub folder: PathBuf,
    root: PathBuf,
    net: (u8, u8),
    next_ip: u8,
    roles: BTreeMap<String, String>,
    ended: Arc<AtomicBool>,
    /// Extra arguments of each role.
    pub extra: BTreeMap<&'static str, Vec<String>>,
}

pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Returns a number that differs from run to run.
pub fn seed() -> u64 {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64;
    nanos ^ (u64::from(std::process::id()) << 32)
}

fn free_ports(ip: Ipv4Addr) -> Ports {
    let mut held = Vec::new();
    let mut port = || {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let port = listener.local_addr().unwrap().port();
        held.push(listener);
        port
    };
    Ports {
        mesh: port(),
        http: port(),
        front: port(),
        ready: port(),
        control: port(),
        server: port(),
    }
}

impl Deployment {
    /// Prepares a deployment in a temporary folder; `root` is the root of the repository.
    pub fn prepare(root: &Path, record: Record) -> Self {
        let seed = seed();
        let net = ((seed >> 8) as u8 % 200 + 10, (seed >> 20) as u8 % 200 + 10);
        let ports = free_ports(Ipv4Addr::new(127, net.0, net.1, 1));
        let folder =
            std::env::temp_dir().join(format!("case-{}-{:x}", std::process::id(), seed as u32));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let text = fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
        let mut roles = BTreeMap::new();
        let mut role = String::new();
        for line in text.lines() {
            if let Some(name) = line.strip_prefix("[roles.") {
                role = name.trim_end_matches(']').to_owned();
            } else if let Some(run) = line.strip_prefix("run = ") {
                roles.insert(role.clone(), run.trim().trim_matches('"').to_owned());
            }
        }
        let platform = TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, 250), 0)).unwrap();
        let address = platform.local_addr().unwrap();
        let ended = Arc::new(AtomicBool::new(false));
        serve_platform(platform, record.clone());
        Self {
            record,
            ports,
            machines: Vec::new(),
            platform: address,
            folder,
            root: root.to_owned(),
            net,
            next_ip: 10,
            roles,
            ended,
            extra: BTreeMap::new(),
        }
    }

    /// Returns an address that no machine has yet.
    pub fn new_ip(&mut self) -> Ipv4Addr {
        self.next_ip += 1;
        Ipv4Addr::new(127, self.net.0, self.net.1, self.next_ip)
    }

    /// Adds a machine; it isn't started yet.
    pub fn add(&mut self, class: Class, zone: &str, memory_mb: u64) -> Arc<Machine> {
        let ip = self.new_ip();
        let count = self
            .machines
            .iter()
            .filter(|m| m.class == class && m.zone == zone)
            .count();
        let name = format!("{}-{zone}-{}", class.name(), count + 1);
        let folder = self.folder.join(&name);
        fs::create_dir_all(folder.join("data")).unwrap();
        let machine = Arc::new(Machine {
            class,
            ip,
            zone: zone.to_owned(),
            name,
            memory_mb,
            folder,
            child: Mutex::new(None),
            starts: AtomicU64::new(0),
            peak_kib: AtomicU64::new(0),
            over_limit: AtomicU64::new(0),
            keep: AtomicBool::new(true),
        });
        self.machines.push(Arc::clone(&machine));
        machine
    }

    fn seeds(&self) -> String {
        let control = self
            .machines
            .iter()
            .filter(|m| m.class == Class::Control)
            .take(3);
        let seeds: Vec<String> = control
            .map(|m| format!("{}:{}", m.ip, self.ports.control))
            .collect();
        seeds.join(",")
    }

    /// Fills in the command of a role in the deploy file.
    fn command(&self, machine: &Machine) -> Vec<String> {
        let ports = self.ports;
        let is_first = machine.starts.load(Ordering::SeqCst) == 0;
        let values = [
            ("ip", machine.ip.to_string()),
            ("node_name", machine.name.clone()),
            ("zone", machine.zone.clone()),
            ("internal_ports.0", ports.mesh.to_string()),
            ("internal_ports.1", ports.http.to_string()),
            ("listen.front", format!("{}:{}", machine.ip, ports.front)),
            ("listen.ready", format!("{}:{}", machine.ip, ports.ready)),
            (
                "listen.control",
                format!("{}:{}", machine.ip, ports.control),
            ),
            ("seeds", self.seeds()),
            ("tolerate.machines", "1".to_owned()),
            ("bounds.report_window_s", "5".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            (
                "data_directory",
                machine.folder.join("data").display().to_string(),
            ),
            ("cloud_api.address", self.platform.to_string()),
        ];
        let mut run = self.roles[machine.class.role()].clone();
        for (key, value) in values {
            run = run.replace(&format!("{{{{{key}}}}}"), &value);
        }
        let mut words: Vec<String> = run.split(' ').map(str::to_owned).collect();
        let flag = words.iter().position(|word| word == "--first-start");
        if let Some(value) = flag.and_then(|at| words.get_mut(at + 1)) {
            *value = is_first.to_string();
        }
        assert!(
            !words.iter().any(|word| word.contains("{{")),
            "a placeholder is unknown: {words:?}"
        );
        words.extend(
            self.extra
                .get(machine.class.role())
                .into_iter()
                .flatten()
                .cloned(),
        );
        words
    }

    /// Starts the daemon of a machine.
    pub fn start(&self, machine: &Arc<Machine>) {
        let words = self.command(machine);
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(machine.folder.join("log"))
            .unwrap();
        let child = Command::new(self.root.join(&words[0]))
            .args(&words[1..])
            .current_dir(&self.root)
            .env_clear()
            .env("DANDELION_STOP_GRACE_S", "8")
            // A machine of the deployment has one core; the bench limits the arenas as well.
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => {
                self.record
                    .line(&format!("{} can't be started: {error}", words[0]));
                self.stop();
                std::process::exit(2);
            }
        };
        machine.starts.fetch_add(1, Ordering::SeqCst);
        self.record
            .line(&format!("{} starts, pid {}", machine.name, child.id()));
        *machine.child.lock().unwrap() = Some(child);
    }

    /// Starts all machines, and watches their memory and their ends as the platform does: a process
    /// that uses more than its machine has is killed, and one that ended is started again.
    pub fn start_all(self: &Arc<Self>) {
        for machine in &self.machines {
            self.start(machine);
        }
        for machine in &self.machines {
            let (deployment, machine) = (Arc::clone(self), Arc::clone(machine));
            thread::spawn(move || deployment.watch(&machine));
        }
    }

    fn watch(&self, machine: &Arc<Machine>) {
        while !self.ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(4));
            let mut child = machine.child.lock().unwrap();
            let Some(running) = child.as_mut() else {
                continue;
            };
            if let Ok(Some(status)) = running.try_wait() {
                *child = None;
                drop(child);
                let keep = machine.keep.load(Ordering::SeqCst);
                self.record
                    .line(&format!("{} ended: {status}", machine.name));
                if keep && !self.ended.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(500));
                    if !self.ended.load(Ordering::SeqCst) {
                        self.start(machine);
                    }
                }
                continue;
            }
            let kib = resident_kib(running.id()).unwrap_or(0);
            machine.peak_kib.fetch_max(kib, Ordering::SeqCst);
            if machine.memory_mb > 0 && kib > machine.memory_mb * 1024 {
                let _ = running.kill();
                machine.over_limit.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "{} holds {} KiB, more than its {} MB: the platform kills it",
                    machine.name, kib, machine.memory_mb
                ));
            }
        }
    }

    pub fn pid(&self, machine: &Machine) -> Option<u32> {
        machine.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal to the daemon of a machine, by the program `kill`.
    pub fn signal(&self, machine: &Machine, name: &str) {
        if let Some(pid) = self.pid(machine) {
            let status = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(pid.to_string())
                .status();
            self.record.line(&format!(
                "{name} to {} (pid {pid}): {status:?}",
                machine.name
            ));
        }
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            if let Some(mut child) = machine.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    pub fn of(&self, class: Class) -> Vec<Arc<Machine>> {
        self.machines
            .iter()
            .filter(|m| m.class == class)
            .cloned()
            .collect()
    }

    pub fn front(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(machine.ip), self.ports.front)
    }

    pub fn control(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(machine.ip), self.ports.control)
    }

    /// Returns whether an entry says that it is ready.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let address = SocketAddr::new(IpAddr::V4(machine.ip), self.ports.ready);
        let request = format!("GET {READY_PATH} HTTP/1.1\r\nHost: ready\r\n\r\n");
        matches!(call(address, request.as_bytes(), Duration::from_secs(1)), Ok(a) if a.status == 200)
    }

    /// Waits until all entries are ready; returns false if they aren't in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let entries = self.of(Class::Entry);
        while !entries.iter().all(|m| self.is_ready(m)) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Sends a configuration to the control daemons, one after the other, until one gives a clear
    /// answer.
    pub fn configure(&self, document: &[u8], limit: Duration) -> Option<u16> {
        let until = Instant::now() + limit;
        let control = self.of(Class::Control);
        let mut at = 0;
        while Instant::now() < until {
            let machine = &control[at % control.len()];
            at += 1;
            let mut request = format!(
                "POST {} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                fixtures::REPLACE_PLAN_PATH,
                document.len()
            )
            .into_bytes();
            request.extend_from_slice(document);
            match call(self.control(machine), &request, Duration::from_secs(3)) {
                Ok(answer) if answer.status < 500 => return Some(answer.status),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        None
    }
}

/// Returns the resident memory of a process in KiB.
pub fn resident_kib(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// An HTTP message that was read whole.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request on a channel of its own and reads the whole answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = Reader::new(stream);
    let (line, _headers, body) = reader.message(true)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Answer { status, body })
}

/// Reads HTTP messages from a channel.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 64 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads one message; none if the channel was closed before it.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let find = |name: &str| {
            headers
                .iter()
                .find(|(n, _)| n.eq_ignore_ascii_case(name))
                .map(|(_, v)| v.clone())
        };
        let body = if find("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?.is_empty() {}
                    break;
                }
                body.extend(self.exact(size)?);
                self.exact(2)?;
            }
            body
        } else if let Some(length) = find("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            self.exact(length)?
        } else if is_answer && !first.contains(" 204 ") {
            while self.fill()? > 0 {}
            std::mem::take(&mut self.buffer)
        } else {
            Vec::new()
        };
        Ok(Some((first, headers, body)))
    }
}

/// Answers the calls of the duties; it accepts what a sound platform accepts.
fn serve_platform(listener: TcpListener, record: Record) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut reader = Reader::new(stream);
                while let Ok(Some((line, fields, _body))) = reader.message(false) {
                    let holder = field(&fields, headers::HOLDER).unwrap_or_default();
                    record.line(&format!("platform: {line} from {holder}"));
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                    if reader.stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A stand-in server of a service that has plain requests and batch items. It behaves as the pages say.
pub struct Server {
    life: UpstreamIncarnation,
    /// Time until a plain request is answered, and between two events of an item.
    work: Duration,
    sequence: AtomicU64,
    /// Requests that it began to run.
    pub runs: Mutex<Vec<String>>,
    /// Requests that it works on now.
    pub working: AtomicU64,
}

/// Events of an item.
const EVENTS: u32 = 40;

impl Server {
    /// Starts a server at an address of its own, which reports to the control daemons.
    pub fn start(
        deployment: &Arc<Deployment>,
        ip: Ipv4Addr,
        service: &str,
        zone: &str,
        work: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, deployment.ports.server)).expect("a free address");
        let life = UpstreamIncarnation {
            id: format!("i-{:08x}", u32::from(ip)).parse().expect("a name"),
            born: WallMillis(now_ms()),
            service: service.parse().expect("a name"),
            address: listener.local_addr().expect("a bound address"),
            zone: zone.parse().expect("a name"),
            slots: 12,
            ready: true,
            software: SoftwareVersion("v1".to_owned()),
        };
        let server = Arc::new(Self {
            life,
            work,
            sequence: AtomicU64::new(0),
            runs: Mutex::new(Vec::new()),
            working: AtomicU64::new(0),
        });
        let of_requests = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&of_requests);
                thread::spawn(move || server.serve(stream));
            }
        });
        let of_beats = Arc::clone(&server);
        let deployment = Arc::clone(deployment);
        thread::spawn(move || {
            let control = deployment.of(Class::Control);
            let mut at = 0;
            while !deployment.ended.load(Ordering::SeqCst) {
                for _ in 0..control.len() {
                    let machine = &control[at % control.len()];
                    if of_beats.beat(deployment.control(machine)) {
                        break;
                    }
                    at += 1;
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        server
    }

    fn beat(&self, control: SocketAddr) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = fixtures::report(&self.life, sequence);
        let mut request = format!(
            "POST {} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            fixtures::report_path(&self.life),
            body.len()
        )
        .into_bytes();
        request.extend(body);
        let answer = call(control, &request, Duration::from_secs(1));
        matches!(answer, Ok(answer) if answer.status == 200)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some((line, fields, _body))) = reader.message(false) {
            if self.answer(&mut reader.stream, &line, &fields).is_err() {
                let _ = reader.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        line: &str,
        fields: &[(String, String)],
    ) -> io::Result<()> {
        let find = |name: &str| field(fields, name);
        let path = line.split(' ').nth(1).unwrap_or_default();
        let short = |stream: &mut TcpStream, status: &str, text: &[u8]| {
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            stream.write_all(&[head.as_bytes(), text].concat())
        };
        if find(headers::UPSTREAM).is_some_and(|id| id != self.life.id.as_str()) {
            return short(stream, "421 Misdirected Request", b"");
        }
        if path == STATE_PATH {
            return short(stream, "200 OK", &fixtures::engine_report(self.life.born.0));
        }
        let Some(id) = find(headers::ATTEMPT) else {
            return short(stream, "400 Bad Request", b"");
        };
        self.runs.lock().unwrap().push(id.to_owned());
        self.working.fetch_add(1, Ordering::SeqCst);
        let after = find(headers::LAST_EVENT).and_then(|v| v.parse().ok());
        let answered = self.run(stream, id, path, after.unwrap_or(0));
        self.working.fetch_sub(1, Ordering::SeqCst);
        answered
    }

    /// Runs a request and writes its answer; `after` is the last event that its reader has.
    fn run(&self, stream: &mut TcpStream, id: &str, path: &str, after: u32) -> io::Result<()> {
        let own = format!(
            "{}: {id}\r\n{}: 1.{id}\r\n{}: 1\r\n",
            headers::ATTEMPT,
            headers::SEAL,
            headers::VERSION
        );
        if path.starts_with(ITEM_PREFIX) {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{own}Transfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            for number in after + 1..=EVENTS {
                thread::sleep(self.work);
                let event = format!("id: {number}\ndata: {id} {number}\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            return stream.write_all(b"0\r\n\r\n");
        }
        thread::sleep(self.work);
        let text = format!("answer to {id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{own}Content-Length: {}\r\n\r\n{text}",
            text.len()
        );
        stream.write_all(answer.as_bytes())
    }
}

/// Prefix of the paths of batch jobs and their items.
pub const ITEM_PREFIX: &str = "/roll/";

fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Returns base64 of bytes.
pub fn base64(bytes: &[u8]) -> String {
    const CHARS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for at in 0..4 {
            if at <= chunk.len() {
                text.push(CHARS[(n >> (18 - 6 * at)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
