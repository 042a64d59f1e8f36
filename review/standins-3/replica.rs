//! Stand-ins for replicas: they report to the control address and serve requests.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::deployment::unix_ms;
use crate::http;
use crate::http::Message;

/// Interval of the status reports.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a replica is at the moment.
#[derive(Clone)]
pub struct State {
    /// Start of its present lifetime, by the clock of its machine; none while it is down.
    pub born: Option<u64>,
    sequence: u64,
    /// State in its reports.
    pub reported: &'static str,
    /// Whether its answers say that it leaves.
    pub leaving: bool,
    /// Ids of the requests that its present lifetime has run.
    pub run: Vec<String>,
}

pub struct Replica {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    slots: u32,
    /// Milliseconds by which the clock of its machine is behind that of the system's machines.
    behind: u64,
    pub state: Mutex<State>,
    events: usize,
    event: String,
    /// Time to the first event, and between two events.
    pace: (Duration, Duration),
    /// Whether each run is noted in the record.
    is_noted: bool,
}

pub struct Kind {
    pub service: &'static str,
    pub slots: u32,
    pub behind: u64,
    pub events: usize,
    pub event: String,
    pub pace: (Duration, Duration),
}

impl Replica {
    pub fn spawn(deployment: &Arc<Deployment>, id: &str, zone: &'static str, kind: Kind) -> Arc<Self> {
        Self::spawn_with(deployment, id, zone, kind, true)
    }

    /// Spawns a replica whose runs aren't noted in the record.
    pub fn spawn_quiet(
        deployment: &Arc<Deployment>,
        id: &str,
        zone: &'static str,
        kind: Kind,
    ) -> Arc<Self> {
        Self::spawn_with(deployment, id, zone, kind, false)
    }

    fn spawn_with(
        deployment: &Arc<Deployment>,
        id: &str,
        zone: &'static str,
        kind: Kind,
        is_noted: bool,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: kind.service,
            zone,
            address: listener.local_addr().unwrap(),
            slots: kind.slots,
            behind: kind.behind,
            state: Mutex::new(State {
                born: None,
                sequence: 0,
                reported: "ready",
                leaving: false,
                run: Vec::new(),
            }),
            events: kind.events,
            event: kind.event,
            pace: kind.pace,
            is_noted,
        });
        replica.begin(deployment);
        let (served, noted) = (Arc::clone(&replica), Arc::clone(deployment));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, noted) = (Arc::clone(&served), Arc::clone(&noted));
                thread::spawn(move || served.serve(stream, &noted));
            }
        });
        let (beating, to) = (Arc::clone(&replica), Arc::clone(deployment));
        thread::spawn(move || {
            loop {
                beating.report(&to);
                thread::sleep(HEARTBEAT);
            }
        });
        replica
    }

    /// Begins a new lifetime under the same id.
    pub fn begin(&self, deployment: &Deployment) {
        let born = unix_ms() - self.behind;
        *self.state.lock().unwrap() = State {
            born: Some(born),
            sequence: 0,
            reported: "ready",
            leaving: false,
            run: Vec::new(),
        };
        deployment.note(&format!("{} begins a lifetime, born {born}", self.id));
    }

    /// Reports the present state, unless the replica is down.
    pub fn report(&self, deployment: &Deployment) -> bool {
        let (born, sequence, state) = {
            let mut state = self.state.lock().unwrap();
            let Some(born) = state.born else { return false };
            state.sequence += 1;
            (born, state.sequence, state.reported)
        };
        let models = match self.service {
            "llm" => r#","stage":"both","models":[{"name":"m0","version":1,"adapters":[]}]"#,
            _ => "",
        };
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born}{models}}}"#,
            self.service, self.address, self.zone, self.slots
        );
        let path = format!("/-/Replicas.Heartbeat/{}", self.id);
        let answer = deployment.control("POST", &path, &body);
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Sends a status report about the replica's address as another writer does that doesn't know all
    /// fields: `version`, `cold_remaining_ms`, `stage` and `models` are missing.
    pub fn report_odd(&self, deployment: &Deployment, id: &str) {
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","slots":{},"state":"ready","sequence":1,"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.slots,
            unix_ms()
        );
        let path = format!("/-/Replicas.Heartbeat/{id}");
        let answer = deployment.control("POST", &path, &body).map(|answer| answer.status());
        deployment.note(&format!("odd entry {id}: {body}, answer {answer:?}"));
    }

    /// Says that the present lifetime ends, and ends it.
    pub fn leave(&self, deployment: &Deployment) {
        let born = self.state.lock().unwrap().born.unwrap_or(0);
        let path = format!("/-/Replicas.Leave/{}", self.id);
        let answer = deployment.control("POST", &path, &format!(r#"{{"born":{born}}}"#));
        let answer = answer.map(|answer| answer.status());
        self.state.lock().unwrap().born = None;
        deployment.note(&format!("{} has left, answer {answer:?}", self.id));
    }

    /// Ends the present lifetime without a word.
    pub fn crash(&self, deployment: &Deployment) {
        self.state.lock().unwrap().born = None;
        deployment.note(&format!("{} crashes", self.id));
    }

    fn serve(&self, mut stream: TcpStream, deployment: &Deployment) {
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        let born = self.state.lock().unwrap().born;
        while let Some(request) = http::read(&mut reader) {
            // A process that has ended closes its connections.
            if born.is_none() || self.state.lock().unwrap().born != born {
                return;
            }
            if self.answer(&mut stream, &request, deployment).is_none() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message, deployment: &Deployment) -> Option<()> {
        let path = request.line.split(' ').nth(1).unwrap_or_default();
        let state = self.state.lock().unwrap().clone();
        let born = state.born?;
        if path == "/-/report" {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":65008,"handles":0,"born":{born}}}"#
            );
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            return stream.write_all((head + &body).as_bytes()).ok();
        }
        let expected = request.header("x-expected-instance").unwrap_or(&self.id);
        if expected != self.id {
            let head = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes()).ok();
        }
        let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
        thread::sleep(self.pace.0);
        let state = {
            let mut state = self.state.lock().unwrap();
            if self.is_noted {
                state.run.push(id.clone());
            }
            state.clone()
        };
        let leaving = if state.leaving { "Server-Leaving: 1\r\n" } else { "" };
        if self.is_noted {
            deployment.note(&format!("{} runs {id}, leaving {}", self.id, state.leaving));
        }
        if self.events == 0 {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal\r\n{leaving}Content-Length: 2\r\n\r\nok"
            );
            return stream.write_all(head.as_bytes()).ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal\r\nX-Weight-Versions: 1\r\n{leaving}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let after = request.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        for number in after + 1..=self.events {
            thread::sleep(self.pace.1);
            // A process that has crashed sends nothing more.
            if self.state.lock().unwrap().born != Some(born) {
                return None;
            }
            let event = format!("id: {number}\ndata: {}\n\n", self.event);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}
