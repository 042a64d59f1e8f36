//! Posts an upstream's announcements to daemons at a fixed interval.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use dandelion_net::Signal;
use dandelion_net::Trigger;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::upstream::Announcement;
use dandelion_protocol::upstream::PriceKind;
use futures::FutureExt;
use futures::future::join_all;
use futures::select_biased;

/// Timeout of one announcement request.
const POST_TIMEOUT: Duration = Duration::from_secs(1);

/// Identity of an upstream and the daemons that it announces itself to.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream; each restart uses a greater number.
    pub boot: Incarnation,
    /// Availability zone that the upstream runs in.
    pub zone: ZoneId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Price kind, as announced.
    pub price: PriceKind,
    /// HTTP addresses of the daemons to announce to; nothing is announced if empty.
    pub daemons: Vec<SocketAddr>,
    /// Value of the `x-announce-secret` header; the header is not sent if `None`.
    pub secret: Option<String>,
    /// Address to announce instead of the upstream's own, such as that of a relay in front of it.
    pub address: Option<SocketAddr>,
    /// Time between announcements.
    pub period: Duration,
}

impl Identity {
    /// Returns an identity with boot 1 that announces every second to `daemons`.
    pub fn new(upstream: &str, zone: &str, service: &str, daemons: &[SocketAddr]) -> Self {
        let valid = "the names of fakes are valid";
        Self {
            upstream: upstream.parse().expect(valid),
            boot: Incarnation(1),
            zone: zone.parse().expect(valid),
            service: service.parse().expect(valid),
            price: PriceKind::Regular,
            daemons: daemons.to_vec(),
            secret: None,
            address: None,
            period: Duration::from_secs(1),
        }
    }
}

/// Background task that posts announcements until it is stopped or dropped.
#[derive(Debug)]
pub struct Announcer {
    stop: Trigger,
}

impl Announcer {
    /// Starts announcing what `report` returns, with sequence numbers that count up from 1.
    pub fn spawn<F>(identity: Identity, report: F) -> Self
    where
        F: Fn(&Identity) -> Announcement + Send + Sync + 'static,
    {
        let (stop, stopped) = Signal::new();
        async_std::task::spawn(async move {
            let posts = post_all(identity, report).fuse();
            futures::pin_mut!(posts);
            select_biased! {
                () = stopped.raised().fuse() => (),
                () = posts => (),
            }
        });
        Self { stop }
    }

    /// Stops announcing.
    pub fn stop(&self) {
        self.stop.raise();
    }
}

async fn post_all<F>(identity: Identity, report: F)
where
    F: Fn(&Identity) -> Announcement,
{
    let client = Client::new(ClientOptions::default());
    let mut sequence = 0;
    loop {
        sequence += 1;
        let mut announcement = report(&identity);
        announcement.sequence = sequence;
        if let Some(address) = identity.address {
            announcement.address = address.to_string();
        }
        let posts = identity.daemons.iter();
        join_all(posts.map(|to| post(&client, *to, &identity, &announcement))).await;
        async_std::task::sleep(identity.period).await;
    }
}

/// Posts one announcement. A failed post isn't retried: the next announcement supersedes it.
async fn post(client: &Client, to: SocketAddr, identity: &Identity, announcement: &Announcement) {
    let mut headers = vec![header("content-type", "application/json")];
    if let Some(secret) = &identity.secret {
        headers.push(header("x-announce-secret", secret));
    }
    let body = serde_json::to_vec(announcement).unwrap_or_default();
    let Ok(request) = request(to, "POST", "/v1/announce", &headers, body) else {
        return;
    };
    let options = SendOptions {
        deadline: Instant::now() + POST_TIMEOUT,
        progress: POST_TIMEOUT,
        idempotent: true,
        probe: true,
    };
    let posted = async {
        let mut exchange = client.send(to, request, &options).await?;
        exchange.read_all(1 << 16).await
    };
    if let Err(error) = posted.await {
        log::debug!("announcement to {to} failed: {error}");
    }
}

fn header(name: &str, value: &str) -> Header {
    Header {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}
