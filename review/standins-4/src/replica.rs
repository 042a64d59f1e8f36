//! A sound replica: it reports to the control daemons, takes orders and runs requests and items.

use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelion_platform::fixtures;
use dandelion_platform::headers;
use dandelion_platform::incarnations::STATE_PATH;
use dandelion_platform::orders::ORDER_PATH;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::WallMillis;

use crate::caller;
use crate::http;
use crate::http::Conn;
use crate::http::Message;
use crate::http::Request;
use crate::record::Record;

/// Interval between two reports.
const BEAT: Duration = Duration::from_millis(1_200);

/// Requests that a replica runs at once.
const SLOTS: u32 = 12;

/// Version of the weights of an engine.
const VERSION: u64 = 1;

/// What a replica does.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Whether it runs items; otherwise it answers plain requests.
    pub is_engine: bool,
    /// Events of an item's output.
    pub events: u64,
    /// Time for an event, or for a plain request.
    pub work: Duration,
}

struct Shared {
    profile: Profile,
    upstream: UpstreamIncarnation,
    running: AtomicUsize,
    record: Record,
}

/// Starts a replica that reports to `controls`.
pub fn spawn(
    (id, zone): (String, &str),
    profile: Profile,
    ip: Ipv4Addr,
    controls: Vec<SocketAddr>,
    record: Record,
) -> io::Result<()> {
    let listener = TcpListener::bind((ip, 0))?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let service = if profile.is_engine {
        caller::ENGINES
    } else {
        caller::PLAIN
    };
    let shared = Arc::new(Shared {
        upstream: UpstreamIncarnation {
            id: id.parse().expect("a valid name"),
            born: WallMillis(born.map_or(0, |d| d.as_millis() as u64)),
            service: service.parse().expect("a valid name"),
            address: listener.local_addr()?,
            zone: zone.parse().expect("a valid name"),
            slots: SLOTS,
            ready: true,
            software: SoftwareVersion::default(),
        },
        running: AtomicUsize::new(0),
        profile,
        record,
    });
    let served = Arc::clone(&shared);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let served = Arc::clone(&served);
            thread::spawn(move || {
                let _closed = served.serve(stream);
            });
        }
    });
    thread::spawn(move || shared.report(&controls));
    Ok(())
}

impl Shared {
    fn report(&self, controls: &[SocketAddr]) {
        let path = fixtures::report_path(&self.upstream);
        for sequence in 1_u64.. {
            let body = fixtures::report(&self.upstream, sequence);
            let request = Request::new("POST", &path, "control").body(body);
            let mut order = controls.to_vec();
            order.rotate_left(sequence as usize % controls.len());
            let acknowledged = order.iter().any(|to| {
                let answer = http::call(*to, &request, Duration::from_secs(1));
                answer.is_ok_and(|a| a.status() == 200)
            });
            thread::sleep(if acknowledged { BEAT } else { BEAT / 4 });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream);
        while let Some(request) = conn.read(false)? {
            self.answer(&mut conn, &request)?;
        }
        Ok(())
    }

    fn answer(&self, conn: &mut Conn, request: &Message) -> io::Result<()> {
        let own = self.upstream.id.as_str();
        let target = request.target().to_owned();
        if request
            .header(headers::UPSTREAM)
            .is_some_and(|id| id != own)
        {
            return reply(conn, "421 Misdirected Request", "", b"");
        }
        if target == "/health" || target == "/healthz" {
            return reply(conn, "200 OK", "", b"");
        }
        if target == STATE_PATH {
            let body = fixtures::engine_report(self.upstream.born.0);
            return reply(conn, "200 OK", "Content-Type: application/json\r\n", &body);
        }
        if target == ORDER_PATH {
            return reply(conn, "200 OK", "", b"");
        }
        let id = request.header(headers::ATTEMPT).unwrap_or("-").to_owned();
        let echo = format!("{}: {id}\r\n", headers::ATTEMPT);
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS as usize {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let head = format!("{echo}{}: 1\r\n", headers::NOT_RUN);
            return reply(conn, "503 Service Unavailable", &head, b"");
        }
        self.record.ran(&id);
        self.record.line(&format!(
            "{own}: runs {id} {target} of {} with a body of {} bytes",
            request.header(headers::TEAM).unwrap_or("-"),
            request.body.len()
        ));
        let head = format!("{echo}{}: {own}.{id}\r\n", headers::SEAL);
        let done = if self.profile.is_engine {
            self.stream(conn, request, &id, &head)
        } else {
            thread::sleep(self.profile.work);
            reply(conn, "200 OK", &head, &[b'a'; 800])
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn stream(&self, conn: &mut Conn, request: &Message, id: &str, head: &str) -> io::Result<()> {
        let after = request.header(headers::LAST_EVENT);
        let after: u64 = after.and_then(|v| v.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{head}{}: {VERSION}\r\nTransfer-Encoding: chunked\r\n\r\n",
            headers::VERSION
        );
        conn.stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.profile.events {
            thread::sleep(self.profile.work);
            let event = format!("id: {number}\ndata: {:x<320}\n\n", format!("{id}/{number}"));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            conn.stream.write_all(chunk.as_bytes())?;
        }
        conn.stream.write_all(b"0\r\n\r\n")
    }
}

fn reply(conn: &mut Conn, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    conn.stream.write_all(&bytes)
}
