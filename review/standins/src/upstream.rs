//! Upstreams that report to the control daemons and answer as a case asks them to.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelion_platform::fixtures;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::WallMillis;

use crate::http;

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_millis(1_200);

/// Starts an upstream that serves each connection by `serve`, which gets the time of the upstream's
/// start, and reports it to the control daemons from then on.
pub fn start<F>(
    name: &str,
    service: &str,
    zone: &str,
    slots: u32,
    control: Vec<SocketAddr>,
    serve: F,
) -> io::Result<UpstreamIncarnation>
where
    F: Fn(TcpStream, u64) + Send + Sync + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 105, 1), 0))?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.map_or(0, |b| b.as_millis() as u64);
    let bad = |_| io::Error::from(io::ErrorKind::InvalidInput);
    let life = UpstreamIncarnation {
        id: name.parse().map_err(bad)?,
        born: WallMillis(born),
        service: service.parse().map_err(bad)?,
        address: listener.local_addr()?,
        zone: zone.parse().map_err(bad)?,
        slots,
        ready: true,
        software: SoftwareVersion("v1".to_owned()),
        cold: false,
    };
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _nodelay = stream.set_nodelay(true);
            thread::spawn(move || serve(stream, born));
        }
    });
    let reported = life.clone();
    thread::spawn(move || report(&reported, &control));
    Ok(life)
}

/// Reports an upstream for as long as the process runs.
fn report(life: &UpstreamIncarnation, control: &[SocketAddr]) {
    for sequence in 1.. {
        let headers = [
            ("Host".to_owned(), "control".to_owned()),
            ("Content-Type".to_owned(), "application/json".to_owned()),
        ];
        let body = fixtures::report(life, sequence);
        let request = http::request("POST", &fixtures::report_path(life), &headers, &body);
        for address in control {
            let answer = http::call(*address, &request, false, Duration::from_secs(1));
            if answer.is_ok_and(|a| (200..300).contains(&a.status())) {
                break;
            }
        }
        thread::sleep(REPORT_PERIOD);
    }
}
