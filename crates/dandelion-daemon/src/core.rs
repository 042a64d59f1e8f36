//! What all parts of a running daemon share.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dandelion_net::clock;
use dandelion_net::http::client::Client;
use dandelion_net::mesh::Mesh;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_route::trace::Decision;
use dandelion_route::trace::MAX_DECISIONS;
use dandelion_route::trace::TraceRing;
use rand::Rng;

use crate::control::Control;
use crate::duties::FleetView;
use crate::gateway::Gateway;
use crate::metrics::DaemonMetrics;
use crate::node::Node;
use crate::rollouts::Rollouts;
use crate::serve::Entry;
use crate::serve::OpenStreams;
use crate::serve::OwnedUpstreams;
use crate::settings::Checked;
use crate::stores::Stores;
use crate::usage::Usage;

/// Who this daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name.
    pub daemon: DaemonId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Life of this process.
    pub incarnation: Incarnation,
}

/// State of one daemon. Each part has its own locks; no lock is held across an `await`.
#[derive(Debug)]
pub struct Core {
    /// Who this daemon is.
    pub identity: Identity,
    /// Settings as checked at start.
    pub settings: Checked,
    /// Replicated state and lease.
    pub control: Control,
    /// Upstreams owned by this daemon, and their queues.
    pub owners: OwnedUpstreams,
    /// Choice of owners and retries.
    pub entry: Entry,
    /// Answers under way, by key.
    pub streams: OpenStreams,
    /// Usage counters and copies.
    pub usage: Usage,
    /// Jobs that this daemon is in charge of.
    pub rollouts: Rollouts,
    /// Metrics.
    pub metrics: DaemonMetrics,
    /// What the control leader knows of all upstreams.
    pub fleet: FleetView,
    /// Routes by plan.
    pub gateway: Gateway,
    /// Batch jobs.
    pub stores: Stores,
    /// HTTP client for upstreams and the platform.
    pub client: Client,
    trace: Mutex<TraceRing>,
    mesh: OnceLock<Mesh<Node>>,
    stopping: AtomicBool,
    next: AtomicU64,
}

/// Parts from which a [`Core`] is made.
#[derive(Debug)]
pub struct CoreParts {
    /// Who this daemon is.
    pub identity: Identity,
    /// Settings as checked at start.
    pub settings: Checked,
    /// Replicated state and lease.
    pub control: Control,
    /// Metrics.
    pub metrics: DaemonMetrics,
}

impl Core {
    /// Makes the shared state; the mesh is attached once it is bound.
    pub fn open(parts: CoreParts, client: Client) -> Arc<Self> {
        let parts_zone = parts.identity.zone.clone();
        let usage = Usage::open(&parts.identity, parts.settings.platform.window);
        Arc::new(Self {
            identity: parts.identity,
            settings: parts.settings,
            control: parts.control,
            owners: OwnedUpstreams::default(),
            entry: Entry::open(&parts_zone),
            streams: OpenStreams::default(),
            usage,
            rollouts: Rollouts::default(),
            metrics: parts.metrics,
            fleet: FleetView::default(),
            gateway: Gateway::default(),
            stores: Stores::default(),
            client,
            trace: Mutex::new(TraceRing::open(MAX_DECISIONS)),
            mesh: OnceLock::new(),
            stopping: AtomicBool::new(false),
            next: AtomicU64::new(1),
        })
    }

    /// Attaches the mesh; only the first call has an effect.
    pub fn attach(&self, mesh: Mesh<Node>) {
        let _first = self.mesh.set(mesh);
    }

    /// Returns the mesh, or nothing during start.
    pub fn mesh(&self) -> Option<&Mesh<Node>> {
        self.mesh.get()
    }

    /// Returns the address under which other daemons reach this one.
    pub fn mesh_address(&self) -> SocketAddr {
        let mut address = self.settings.listen.mesh_address;
        if address.port() == 0
            && let Some(mesh) = self.mesh()
        {
            address.set_port(mesh.local_addr().port());
        }
        address
    }

    /// Borrows the record of decisions.
    pub fn trace(&self) -> MutexGuard<'_, TraceRing> {
        self.trace.lock().expect("no holder of this lock panics")
    }

    /// Records a decision on a request.
    pub fn decided(&self, request: RequestId, decision: Decision) {
        self.trace().record(clock::boot_now(), request, decision);
    }

    /// Returns a number that is unique in this process.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Begins the graceful stop: health fails from now on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns the term if this daemon is in charge until `margin` from now at the least, and is
    /// not stopping. Checked directly before every act towards the outside.
    pub fn charge(&self, margin: Millis) -> Option<Term> {
        if self.is_stopping() {
            return None;
        }
        self.control.replica()?.in_charge(margin)
    }

    /// Returns whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// Makes a new request identity.
pub fn new_request_id() -> RequestId {
    RequestId(rand::rng().random())
}

/// A handle to the shared state.
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
