//! Starts a daemon, runs it until a stop signal arrives, and stops it gracefully.

use std::net::SocketAddr;
use std::pin::pin;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use async_channel::Receiver;
use async_std::future::timeout;
use async_std::task;
use clap::Parser;
use dandelion_control::ControlNode;
use dandelion_control::FeedClient;
use dandelion_control::FileStorage;
use dandelion_control::Timing;
use dandelion_control::feed::FeedSettings;
use dandelion_control::feed::Feeder;
use dandelion_control::node::NodeSettings;
use dandelion_control::raft::ReplicaId;
use dandelion_net::clock;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_net::mesh::Mesh;
use dandelion_net::mesh::MeshConfig;
use dandelion_net::mesh::Secret;
use dandelion_net::mesh::Secrets;
use dandelion_net::mesh::Timing as MeshTiming;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::mesh::Hello;
use dandelion_protocol::mesh::MESH_VERSION;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use dandelion_telemetry::logging;
use futures::StreamExt;
use futures::future::Either;
use futures::future::join_all;
use futures::future::select;
use rand::Rng;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook_async_std::Signals;

use crate::api::Api;
use crate::client_memory;
use crate::control::CONTROL_GROUP;
use crate::control::Control;
use crate::control::Outgoing;
use crate::control::ReplicaHandle;
use crate::control::run_feed;
use crate::core::Core;
use crate::core::CoreParts;
use crate::core::Handle;
use crate::core::Identity;
use crate::duties;
use crate::gateway;
use crate::gateway::ControlApi;
use crate::gateway::Front;
use crate::gateway::Limits as UpstreamLimits;
use crate::gateway::Quarantine;
use crate::gateway::Ready;
use crate::membership;
use crate::metrics::DaemonMetrics;
use crate::node::Node;
use crate::rollouts;
use crate::settings::CheckedSettings;
use crate::settings::EXIT_USAGE;
use crate::settings::Settings;
use crate::stores;
use crate::usage;
use crate::zone;

/// Longest wait for the transfer of a leadership when stopping.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait until the cell has recorded that this daemon stops.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections and bytes of the address for the load balancer's probes, which have no bodies.
const PROBE_CONNECTIONS: usize = 64;
const PROBE_MEMORY: usize = 1024 * 1024;

/// Voters of the control group, unless the gateway's settings say how many.
const VOTERS: usize = 3;

/// A running daemon and its HTTP servers.
#[derive(Debug)]
pub struct Daemon {
    core: Handle,
    server: Server,
    gateway: Vec<Server>,
}

/// Runs the daemon with the process's arguments until it stops; returns its exit code.
pub fn main() -> ExitCode {
    run_from(std::env::args_os())
}

/// Runs the daemon with the given arguments, the program's name first, until it stops.
pub fn run_from<I, T>(arguments: I) -> ExitCode
where
    I: IntoIterator<Item = T>,
    T: Into<std::ffi::OsString> + Clone,
{
    let settings = match Settings::parse_from(arguments).check() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("dandelionrun: {error}");
            return ExitCode::from(EXIT_USAGE as u8);
        }
    };
    match task::block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dandelionrun: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: CheckedSettings) -> anyhow::Result<()> {
    let _log = logging::open(&settings.log)?;
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context("signals cannot be handled")?;
    let daemon = Daemon::spawn(settings).await?;
    daemon.log_start();
    wait_for_stop(signals).await;
    daemon.stop().await;
    Ok(())
}

async fn wait_for_stop(mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        if signal != SIGHUP {
            return;
        }
        event!(
            Event::Reloaded,
            reason = "all settings are flags; none has changed"
        );
    }
}

impl Daemon {
    /// Starts every part and returns once requests are accepted.
    pub async fn spawn(settings: CheckedSettings) -> anyhow::Result<Self> {
        let identity = Identity {
            daemon: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: Incarnation(clock::wall_now().0),
        };
        let (replica, outgoing) = open_replica(&settings)?;
        let control = Control::open(open_feed(&settings), replica);
        let metrics = DaemonMetrics::open(settings.limits.metric_teams)?;
        let listen = settings.listen.http;
        let limits = http_limits(&settings);
        let memory = client_memory::open(&settings.limits);
        let parts = CoreParts {
            identity,
            settings,
            control,
            metrics,
            client_memory: memory.clone(),
        };
        let core = Handle::new(Core::open(parts, Client::new(ClientOptions::default())));
        core.owners.attach(core.clone());
        bind_mesh(&core).await?;
        spawn_tasks(&core, outgoing);
        let server = Server::bind_shared(listen, limits, memory, Api::new(core.clone())).await;
        let server = server.with_context(|| {
            format!("--http-listen {listen} cannot be bound; free it or choose another address")
        })?;
        let gateway = bind_gateway(&core).await?;
        Ok(Self {
            core,
            server,
            gateway,
        })
    }

    /// Returns the address for callers, trainers, upstreams and operators.
    pub fn http_address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    fn log_start(&self) {
        event!(
            Event::Started,
            daemon = self.core.identity.daemon,
            zone = self.core.identity.zone,
            http = self.http_address(),
            mesh = self.core.mesh_address()
        );
    }

    /// Stops gracefully: the health probe fails first, leaderships and owned upstreams move to
    /// other daemons, and running requests may finish within the stop timeout.
    pub async fn stop(self) {
        let stop = self.core.begin_stop();
        event!(
            Event::Stopping,
            daemon = self.core.identity.daemon,
            drain_ms = until(stop.drain_at()).as_millis(),
            end_ms = until(stop.end_at()).as_millis()
        );
        match timeout(NOTICE_TIMEOUT, membership::join(&self.core, true)).await {
            Ok(Ok(())) => (),
            Ok(Err(error)) => {
                log::warn!("the other daemons were not notified of the stop: {error}");
            }
            Err(_late) => log::warn!("the control group was not notified of the stop in time"),
        }
        let replicas = [self.core.control.replica(), self.core.stores.replica()];
        for replica in replicas.into_iter().flatten() {
            replica.resign(RESIGN_TIMEOUT).await;
        }
        task::sleep(until(stop.drain_at())).await;
        self.server.begin_drain();
        for server in &self.gateway {
            server.begin_drain();
        }
        wait_for_owned(&self.core, stop.cut_at()).await;
        let servers = self.gateway.into_iter().chain([self.server]);
        let grace = until(stop.end_at());
        let ended = join_all(servers.map(|server| server.shutdown(grace)));
        let cut = pin!(task::sleep(until(stop.cut_at())));
        let aborted: usize = match select(ended, cut).await {
            Either::Left((aborted, _)) => aborted.into_iter().sum(),
            Either::Right(((), ended)) => {
                self.core.cut_requests();
                ended.await.into_iter().sum()
            }
        };
        if aborted > 0 {
            event!(Event::StopTimeout, requests = aborted);
        }
        usage::submit_all(&self.core).await;
        if let Err(error) = membership::leave(&self.core).await {
            log::warn!("the daemon could not leave the cell: {error}");
        }
        event!(Event::Stopped, daemon = self.core.identity.daemon);
    }
}

/// Binds those addresses of the gateway that are set.
async fn bind_gateway(core: &Handle) -> anyhow::Result<Vec<Server>> {
    let settings = &core.settings.gateway;
    let limits = http_limits(&core.settings);
    let memory = || core.client_memory.clone();
    let mut servers = Vec::new();
    if let Some(address) = settings.ready {
        // An account of its own: the balancer's probes are answered whatever callers use.
        let limits = Limits {
            connections: PROBE_CONNECTIONS,
            memory_bytes: PROBE_MEMORY,
            ..limits
        };
        servers.push(Server::bind(address, limits, Ready::new(core.clone())).await?);
    }
    if let Some(address) = settings.control {
        servers.push(
            Server::bind_shared(address, limits, memory(), ControlApi::new(core.clone())).await?,
        );
    }
    if let Some(address) = settings.front {
        servers
            .push(Server::bind_shared(address, limits, memory(), Front::new(core.clone())).await?);
    }
    Ok(servers)
}

/// Returns the time left until `at` on the boot-time clock.
fn until(at: Millis) -> Duration {
    Duration::from_millis(at.since(clock::boot_now()).0)
}

/// Waits until `end` at most until no request waits or runs at the owned upstreams, including those of
/// other daemons' callers, and none of those is forwarded.
async fn wait_for_owned(core: &Handle, end: Millis) {
    const POLL: Duration = Duration::from_millis(50);
    while clock::boot_now() < end {
        let busy = |shard: &crate::serve::Shard| shard.read(|q| q.inflight() + q.waiting() > 0);
        let owned = core.owners.shards().iter().any(|(_, shard)| busy(shard));
        if !owned && core.gateway.forwarding.count() == 0 {
            return;
        }
        task::sleep(POLL).await;
    }
}

fn http_limits(settings: &CheckedSettings) -> Limits {
    let limits = &settings.limits;
    let defaults = Limits::default();
    Limits {
        head_bytes: limits.head_bytes.min(defaults.head_bytes),
        head_time: Duration::from_millis(limits.head_timeout.0),
        body_bytes: limits.body_bytes,
        body_rate: limits.body_rate,
        idle_time: Duration::from_millis(limits.idle_timeout.0),
        ..defaults
    }
}

fn open_replica(
    settings: &CheckedSettings,
) -> anyhow::Result<(Option<ReplicaHandle>, Option<Receiver<Outgoing>>)> {
    let Some(folder) = &settings.control.folder else {
        return Ok((None, None));
    };
    let mut rng = rand::rng();
    let storage = FileStorage::open(folder, ReplicaId(rng.random()))
        .with_context(|| format!("--data-folder {}", folder.display()))?;
    let peers = group_peers(settings);
    let node = NodeSettings {
        added: !settings.gateway.first_start && settings.control.bootstrap.is_empty(),
        voters: voters(settings),
        timing: timing(settings),
        ..NodeSettings::new(settings.name.clone(), settings.zone.clone(), peers)
    };
    let node = ControlNode::open(node, storage, clock::boot_now(), rng.random())?;
    let (replica, outgoing) = ReplicaHandle::spawn(node, CONTROL_GROUP);
    Ok((Some(replica), Some(outgoing)))
}

fn voters(settings: &CheckedSettings) -> usize {
    if settings.gateway.is_used() {
        settings.gateway.voters()
    } else {
        VOTERS
    }
}

/// Returns the control daemons that the settings name: the voters of a new cell with this daemon
/// among them, or else the peers, to which this daemon sends join requests instead of bootstrapping
/// a group.
fn group_peers(settings: &CheckedSettings) -> Vec<DaemonId> {
    let control = &settings.control;
    let daemons = if control.bootstrap.is_empty() {
        &control.peers
    } else {
        &control.bootstrap
    };
    daemons.iter().map(|p| p.id.clone()).collect()
}

fn timing(settings: &CheckedSettings) -> Timing {
    Timing {
        feed_period: settings.control.feed_period,
        ..Timing::default()
    }
}

fn open_feed(settings: &CheckedSettings) -> FeedClient {
    let own = settings
        .control
        .folder
        .is_some()
        .then(|| settings.name.clone());
    let peers = settings.control.peers.iter().map(|p| p.id.clone());
    let feeders = own.into_iter().chain(peers).map(|daemon| Feeder {
        daemon,
        zone: settings.zone.clone(),
    });
    let feed = FeedSettings {
        zone: settings.zone.clone(),
        feeders: feeders.collect(),
        timing: timing(settings),
    };
    FeedClient::open(feed, rand::rng().random())
}

async fn bind_mesh(core: &Handle) -> anyhow::Result<()> {
    let settings = &core.settings;
    let secrets: Result<Vec<Secret>, _> = settings
        .secrets
        .mesh
        .iter()
        .map(|s| Secret::new(s.reveal().as_bytes()))
        .collect();
    let mut secrets = secrets.context("--mesh-secrets")?.into_iter();
    let current = secrets
        .next()
        .context("--mesh-secrets names no secret; give one")?;
    let other = secrets.next();
    let hello = Hello {
        version: MESH_VERSION,
        cell: settings.cell,
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: core.identity.incarnation,
        address: settings.listen.mesh_address.to_string(),
    };
    let config = MeshConfig {
        hello,
        listen: settings.listen.mesh,
        name_port: (settings.gateway.is_used()).then(|| settings.listen.mesh_address.port()),
        secrets: Secrets { current, other },
        timing: MeshTiming::default(),
    };
    let listen = settings.listen.mesh;
    let mesh = Mesh::bind(config, Node::new(core.clone())).await;
    let mesh = mesh.with_context(|| {
        format!("--mesh-listen {listen} cannot be bound; free it or choose another address")
    })?;
    for peer in &settings.control.peers {
        mesh.set_peer(&peer.id, peer.address);
    }
    core.attach(mesh);
    Ok(())
}

fn spawn_tasks(core: &Handle, outgoing: Option<Receiver<Outgoing>>) {
    if let Some(outgoing) = outgoing {
        task::spawn(send_outgoing(core.clone(), outgoing));
        task::spawn(duties::run_usage_duty(core.clone()));
        task::spawn(membership::run_probes(core.clone()));
        task::spawn(membership::run_stopping(core.clone()));
    }
    task::spawn(run_feed(core.clone()));
    task::spawn(membership::run_join(core.clone()));
    task::spawn(usage::run_copies(core.clone()));
    task::spawn(usage::run_submissions(core.clone()));
    if core.settings.gateway.is_used() {
        spawn_gateway(core);
    } else {
        spawn_services(core);
    }
}

/// Spawns the tasks of the gateway, which serves the route plan and batch jobs.
fn spawn_gateway(core: &Handle) {
    if core.control.replica().is_some() {
        task::spawn(gateway::run_expiry(core.clone()));
    }
    if core.settings.gateway.front.is_some() {
        for _ in 0..gateway::RECORDERS {
            task::spawn(Quarantine::run_recorder(core.clone()));
        }
    }
    task::spawn(UpstreamLimits::run_recorder(core.clone()));
    if core.settings.gateway.folder.is_some() {
        task::spawn(stores::run_group(core.clone()));
        task::spawn(stores::run_jobs(core.clone()));
        task::spawn(stores::run_health(core.clone()));
        task::spawn(stores::run_repair(core.clone()));
    }
}

/// Spawns the tasks that serve configured services through the owners of their upstreams.
fn spawn_services(core: &Handle) {
    if core.control.replica().is_some() {
        task::spawn(duties::run_fleet_duty(core.clone()));
        task::spawn(duties::run_weights_duty(core.clone()));
    }
    task::spawn(zone::run_zone(core.clone()));
    task::spawn(duties::run_inventory(core.clone()));
    task::spawn(rollouts::run_rollouts(core.clone()));
}

async fn send_outgoing(core: Handle, outgoing: Receiver<Outgoing>) {
    while let Ok(Outgoing { to, message }) = outgoing.recv().await {
        if let Some(mesh) = core.mesh() {
            // Replication and feed send a lost message again.
            let _lost = mesh.send(&to, message);
        }
    }
}
