//! State shared by all parts of a running daemon.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dandelion_net::Signal;
use dandelion_net::Trigger;
use dandelion_net::clock;
use dandelion_net::http::client::Client;
use dandelion_net::http::memory::ClientMemory;
use dandelion_net::mesh::Mesh;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_route::stop::Stop;
use dandelion_route::stop::StopTimes;
use dandelion_route::trace::Decision;
use dandelion_route::trace::MAX_DECISIONS;
use dandelion_route::trace::TraceRing;
use rand::Rng;

use crate::control::Control;
use crate::duties::FleetView;
use crate::fenced::Duty;
use crate::gateway::Gateway;
use crate::metrics::DaemonMetrics;
use crate::node::Node;
use crate::rollouts::Rollouts;
use crate::serve::Entry;
use crate::serve::OpenStreams;
use crate::serve::OwnedUpstreams;
use crate::settings::CheckedSettings;
use crate::stores::Stores;
use crate::usage::Usage;

/// Identity of this daemon and of its process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name, unique in the cell.
    pub daemon: DaemonId,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Wall-clock time at which the process started, in milliseconds.
    pub incarnation: Incarnation,
}

/// State of one daemon. Each part has its own locks; no lock is held across an `await`.
#[derive(Debug)]
pub struct Core {
    /// Name, zone and incarnation of this daemon.
    pub identity: Identity,
    /// Settings as checked at start; they do not change.
    pub settings: CheckedSettings,
    /// This daemon's copy of the replicated state, its lease and, on a control daemon, its replica.
    pub control: Control,
    /// Upstreams owned by this daemon, and the queues of their services.
    pub owners: OwnedUpstreams,
    /// Load of the owners as this daemon knows it, and the retry budget.
    pub entry: Entry,
    /// Requests in progress, by their key.
    pub streams: OpenStreams,
    /// Usage counters of this daemon, and copies of those of others.
    pub usage: Usage,
    /// Rollout jobs that this daemon coordinates, and the payloads that it stores.
    pub rollouts: Rollouts,
    /// Metrics by team and class, and those of the daemon itself.
    pub metrics: DaemonMetrics,
    /// Account of the memory and connections that clients use.
    pub client_memory: ClientMemory,
    /// Reports on all upstreams, which daemons send to the control leader.
    pub fleet: FleetView,
    /// State of the traffic under the route plan.
    pub gateway: Gateway,
    /// This daemon's part of the store group, which holds the batch jobs.
    pub stores: Stores,
    /// Turns of this daemon as the control leader, towards the platform.
    pub duty: Duty,
    /// HTTP client for upstreams and the platform.
    pub client: Client,
    trace: Mutex<TraceRing>,
    mesh: OnceLock<Mesh<Node>>,
    stop: OnceLock<Stop>,
    cut: (Trigger, Signal),
    next: AtomicU64,
}

/// Parts of a [`Core`] that are opened before it.
#[derive(Debug)]
pub struct CoreParts {
    /// Name, zone and incarnation of this daemon.
    pub identity: Identity,
    /// Settings as checked at start.
    pub settings: CheckedSettings,
    /// Feed client and, on a control daemon, the replica.
    pub control: Control,
    /// Registry of the metrics.
    pub metrics: DaemonMetrics,
    /// Account of the memory and connections that clients use.
    pub client_memory: ClientMemory,
}

impl Core {
    /// Creates the shared state; [`Core::attach`] adds the mesh once it is bound.
    pub fn open(parts: CoreParts, client: Client) -> Arc<Self> {
        let zone = parts.identity.zone.clone();
        let gap = parts.settings.platform.holder_gap;
        let usage = Usage::open(&parts.identity, parts.settings.platform.window);
        Arc::new(Self {
            identity: parts.identity,
            settings: parts.settings,
            control: parts.control,
            owners: OwnedUpstreams::default(),
            entry: Entry::open(&zone),
            streams: OpenStreams::default(),
            usage,
            rollouts: Rollouts::default(),
            metrics: parts.metrics,
            client_memory: parts.client_memory,
            fleet: FleetView::default(),
            gateway: Gateway::default(),
            stores: Stores::open(gap),
            duty: Duty::open(gap),
            client,
            trace: Mutex::new(TraceRing::open(MAX_DECISIONS)),
            mesh: OnceLock::new(),
            stop: OnceLock::new(),
            cut: Signal::new(),
            next: AtomicU64::new(1),
        })
    }

    /// Attaches the mesh; only the first call has an effect.
    pub fn attach(&self, mesh: Mesh<Node>) {
        let _first = self.mesh.set(mesh);
    }

    /// Returns the mesh; none until it is attached during the start.
    pub fn mesh(&self) -> Option<&Mesh<Node>> {
        self.mesh.get()
    }

    /// Returns the address under which other daemons reach this one. Port 0 in the settings stands
    /// for the bound port.
    pub fn mesh_address(&self) -> SocketAddr {
        let mut address = self.settings.listen.mesh_address;
        if address.port() == 0
            && let Some(mesh) = self.mesh()
        {
            address.set_port(mesh.local_addr().port());
        }
        address
    }

    /// Locks the trace of routing decisions.
    pub fn trace(&self) -> MutexGuard<'_, TraceRing> {
        self.trace.lock().expect("no holder of this lock panics")
    }

    /// Records a decision on a request in the trace.
    pub fn record_decision(&self, request: RequestId, decision: Decision) {
        self.trace().record(clock::boot_now(), request, decision);
    }

    /// Returns a number that is unique in this process; the first one is 1.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Begins the graceful stop: from now on the health probe fails, and this daemon no longer acts
    /// as control leader. Returns the times of the stop.
    pub fn begin_stop(&self) -> Stop {
        let limits = &self.settings.limits;
        let times = StopTimes {
            balancer: limits.balancer_grace,
            timeout: limits.stop_timeout,
            grace: limits.stop_grace,
        };
        *self
            .stop
            .get_or_init(|| Stop::begin(clock::boot_now(), &times))
    }

    /// Returns whether a request is taken that may take `limit` until it is answered: always, unless
    /// the daemon stops.
    pub fn takes(&self, limit: Millis, may_repeat: bool) -> bool {
        let stop = self.stop.get();
        stop.is_none_or(|stop| stop.takes(clock::boot_now(), limit, may_repeat))
    }

    /// Gives up the requests that still run, so that their callers get an answer before the end.
    pub fn cut_requests(&self) {
        self.cut.0.raise();
    }

    /// Waits until the requests that still run are given up.
    pub async fn cut(&self) {
        self.cut.1.raised().await;
    }

    /// Returns the term if this daemon holds the control group's leader lease for longer than
    /// `margin` from now, and is not stopping. To be checked immediately before every request to
    /// the platform or an engine.
    pub fn leader_term(&self, margin: Millis) -> Option<Term> {
        if self.is_stopping() {
            return None;
        }
        self.control.replica()?.leader_term(margin)
    }

    /// Returns whether the graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }
}

/// Returns a new random request id.
pub fn new_request_id() -> RequestId {
    RequestId(rand::rng().random())
}

/// Shared reference to the state of the daemon.
#[derive(Debug, Clone)]
pub struct Handle(Arc<Core>);

impl Handle {
    /// Wraps the shared state.
    pub fn new(core: Arc<Core>) -> Self {
        Self(core)
    }
}

impl Deref for Handle {
    type Target = Core;

    fn deref(&self) -> &Core {
        &self.0
    }
}
