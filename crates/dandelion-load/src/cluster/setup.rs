//! Helpers that most scenarios need: upstream identities, expected answers, waiting for owners.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use async_std::task;
use dandelion_fakes::announce::Identity;
use dandelion_fakes::engine;
use dandelion_fakes::plain::Plain;
use dandelion_fakes::plain::PlainConfig;
use dandelion_rpc::generated as rpc;
use rustix::param::clock_ticks_per_second;

use crate::cluster::daemons::Cluster;
use crate::cluster::operator::CellOperator;

/// Longest wait for an upstream to get an owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(15);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the upstreams' announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);

/// Index of the user time among the fields of `/proc/PID/stat` after the name; in clock ticks.
const USER_TIME_FIELD: usize = 11;

/// Returns the identity of an upstream that announces itself to `daemons`.
pub fn identity(name: &str, zone: &str, service: &str, daemons: &[SocketAddr]) -> Identity {
    let mut identity = Identity::new(name, zone, service, daemons);
    identity.period = ANNOUNCE_PERIOD;
    identity
}

/// Starts a fake plain service.
pub async fn plain(identity: Identity, capacity: u32, delay: Duration) -> std::io::Result<Plain> {
    Plain::bind(PlainConfig {
        identity,
        capacity,
        delay,
    })
    .await
}

/// Returns the concatenated first `tokens` tokens that every engine generates for a prompt.
pub fn expected(prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| engine::token(prompt, index))
        .collect()
}

/// Waits until an upstream has an owner and returns the owner's index.
pub async fn wait_owner(cluster: &Cluster, upstream: &str) -> anyhow::Result<usize> {
    let until = Instant::now() + OWNER_TIMEOUT;
    loop {
        for index in 0..cluster.len() {
            if owns(cluster, index, upstream).await? {
                return Ok(index);
            }
        }
        if Instant::now() > until {
            bail!("upstream {upstream} got no owner in time");
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

async fn owns(cluster: &Cluster, index: usize, upstream: &str) -> anyhow::Result<bool> {
    let operator = CellOperator::new(&[cluster.http(index)]);
    let request = rpc::ListUpstreamsRequest::default();
    let listed = operator.client().list_upstreams(&request).await?;
    Ok(listed.upstreams.iter().any(|u| u.id == upstream))
}

/// Returns the user and system time that a process has used.
pub fn cpu_time(pid: u32) -> anyhow::Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = text
        .rsplit_once(')')
        .context("no process name in /proc/PID/stat")?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = fields.next().context("no user time")?.parse()?;
    let system: u64 = fields.next().context("no system time")?.parse()?;
    let seconds = (user + system) as f64 / clock_ticks_per_second() as f64;
    Ok(Duration::from_secs_f64(seconds))
}

/// Returns the seconds since the Unix epoch, with which an idempotency key begins.
pub fn unix_seconds() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}
