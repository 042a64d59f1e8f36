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

use dandelion_platform::fixtures;
use dandelion_platform::headers;
use dandelion_platform::incarnations::STATE_PATH;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::SERVICE;
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
    zone: &'static str,
    address: SocketAddr,
    slots: u32,
    pub state: Mutex<State>,
    events: usize,
    event: String,
    /// Time to the first event, and between two events.
    pace: (Duration, Duration),
}

pub struct Kind {
    pub slots: u32,
    pub events: usize,
    pub event: String,
    pub pace: (Duration, Duration),
}

impl Replica {
    pub fn spawn(
        deployment: &Arc<Deployment>,
        id: &str,
        zone: &'static str,
        kind: Kind,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            zone,
            address: listener.local_addr().unwrap(),
            slots: kind.slots,
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
        });
        replica.begin(deployment, 0);
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

    /// Begins a new lifetime under the same id, `behind` milliseconds ago by the system's clock.
    pub fn begin(&self, deployment: &Deployment, behind: u64) {
        let born = unix_ms() - behind;
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
        let mut life = self.life(&self.id, born);
        life.ready = state == "ready";
        let body = fixtures::cold_report(&life, sequence, Millis(0));
        let mut body: Value = serde_json::from_slice(&body).expect("a report is JSON");
        body["stage"] = "both".into();
        body["models"] = json!([{ "name": "m0", "version": 1, "adapters": [] }]);
        let path = fixtures::report_path(&life);
        let answer = deployment.control("POST", &path, body.to_string().as_bytes());
        answer.is_some_and(|answer| answer.status() == 200)
    }

    fn life(&self, id: &str, born: u64) -> UpstreamIncarnation {
        UpstreamIncarnation {
            id: id.parse().expect("a name"),
            born: WallMillis(born),
            service: SERVICE.parse().expect("a name"),
            address: self.address,
            zone: self.zone.parse().expect("a name"),
            slots: self.slots,
            ready: true,
            software: SoftwareVersion("v1".to_owned()),
        }
    }

    /// Sends a status report about the replica's address as another writer does that doesn't know all
    /// fields: the software's version, the time until it is warm, the stage and the models are missing.
    pub fn report_odd(&self, deployment: &Deployment, id: &str) {
        let life = self.life(id, unix_ms());
        let body = fixtures::report(&life, 1);
        let mut body: Value = serde_json::from_slice(&body).expect("a report is JSON");
        body.as_object_mut()
            .expect("a report is an object")
            .remove("version");
        let (path, body) = (fixtures::report_path(&life), body.to_string());
        let answer = deployment
            .control("POST", &path, body.as_bytes())
            .map(|answer| answer.status());
        deployment.note(&format!("odd entry {id}: {body}, answer {answer:?}"));
    }

    /// Says that the present lifetime ends, and ends it.
    pub fn leave(&self, deployment: &Deployment) {
        let born = self.state.lock().unwrap().born.unwrap_or(0);
        let path = fixtures::report_path(&self.life(&self.id, born)).replace("Heartbeat", "Leave");
        let answer = deployment.control("POST", &path, format!(r#"{{"born":{born}}}"#).as_bytes());
        let answer = answer.map(|answer| answer.status());
        self.state.lock().unwrap().born = None;
        deployment.note(&format!("{} has left, answer {answer:?}", self.id));
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

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        deployment: &Deployment,
    ) -> Option<()> {
        let path = request.line.split(' ').nth(1).unwrap_or_default();
        let state = self.state.lock().unwrap().clone();
        let born = state.born?;
        if path == STATE_PATH {
            let body = fixtures::engine_report(born);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            return stream.write_all(&[head.as_bytes(), &body].concat()).ok();
        }
        let expected = request.header(headers::UPSTREAM).unwrap_or(&self.id);
        if expected != self.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{}: 1\r\nContent-Length: 0\r\n\r\n",
                headers::NOT_RUN
            );
            return stream.write_all(head.as_bytes()).ok();
        }
        let id = request.header(headers::ATTEMPT).unwrap_or("-").to_owned();
        thread::sleep(self.pace.0);
        let state = {
            let mut state = self.state.lock().unwrap();
            state.run.push(id.clone());
            state.clone()
        };
        deployment.note(&format!("{} runs {id}, leaving {}", self.id, state.leaving));
        let leaving = fixtures::leaving_header();
        let leaving = match state.leaving {
            true => format!("{}: {}\r\n", leaving.name, leaving.value),
            false => String::new(),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal\r\n{}: 1\r\n{leaving}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            headers::ATTEMPT,
            headers::SEAL,
            headers::VERSION
        );
        stream.write_all(head.as_bytes()).ok()?;
        let after = request
            .header(headers::LAST_EVENT)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
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
