//! State of this daemon's gateway.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use dandelion_control::report_forwards::ReportForwards;
use dandelion_net::http::BufferBudget;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_platform::headers;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::detours::Detours;
use dandelion_route::pick::Picker;
use dandelion_route::reach::Reach;

use crate::gateway::detoured::Forwarding;
use crate::gateway::leaving::Leaving;
use crate::gateway::limits::Limits;
use crate::gateway::origins::Origins;
use crate::gateway::quarantine::Quarantine;

/// Longest time to open a connection to an upstream; zones are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which an idle connection to an upstream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The same for a connection whose upstream was asked who it is. Two steps of a trainer are less than
/// this apart.
const ASKED_TIMEOUT: Duration = Duration::from_secs(8);

/// Most idle connections to one upstream.
const MAX_IDLE: usize = 16;

/// Memory for long answers of upstreams, in bytes, which are buffered until they are complete.
pub const ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// When an upstream last reported to any control daemon, as far as this daemon knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastReport {
    /// Start of the incarnation that reported.
    pub born: WallMillis,
    /// When this daemon received the report, on the boot-time clock.
    pub at: Millis,
}

/// State of the gateway. Each part has its own lock.
#[derive(Debug)]
pub struct Gateway {
    /// HTTP client with the connections to upstreams.
    pub client: Client,
    /// Memory for answers that are buffered whole.
    pub buffers: BufferBudget,
    /// Contents that may end upstreams, as far as this entry knows.
    pub quarantine: Quarantine,
    /// Limits that upstreams name, as far as this daemon knows.
    pub limits: Limits,
    /// Upstreams that have told this daemon that they leave.
    pub leaving: Leaving,
    /// Where callers' streams began.
    pub origins: Origins,
    /// Requests of other daemons' callers that this daemon forwards now.
    pub forwarding: Forwarding,
    picker: Mutex<Picker>,
    reach: Mutex<Reach>,
    detours: Mutex<Detours>,
    last_reports: Mutex<BTreeMap<UpstreamId, LastReport>>,
    jobs_leader: Mutex<Option<DaemonId>>,
    forwards: Mutex<ReportForwards>,
}

impl Default for Gateway {
    fn default() -> Self {
        let options = ClientOptions {
            connect_time: CONNECT_TIMEOUT,
            idle_limit: MAX_IDLE,
            idle_time: IDLE_TIMEOUT,
            asked_time: ASKED_TIMEOUT,
            id_header: headers::ATTEMPT,
            ..ClientOptions::default()
        };
        Self {
            client: Client::new(options),
            buffers: BufferBudget::new(ANSWER_BYTES),
            quarantine: Quarantine::default(),
            limits: Limits::default(),
            leaving: Leaving::default(),
            origins: Origins::default(),
            forwarding: Forwarding::default(),
            picker: Mutex::default(),
            reach: Mutex::default(),
            detours: Mutex::default(),
            last_reports: Mutex::default(),
            jobs_leader: Mutex::default(),
            forwards: Mutex::default(),
        }
    }
}

impl Gateway {
    /// Locks the load-balancing state of the upstreams.
    pub fn picker(&self) -> MutexGuard<'_, Picker> {
        self.picker.lock().expect("no holder of this lock panics")
    }

    /// Locks what is known of this daemon's links to the upstreams.
    pub fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().expect("no holder of this lock panics")
    }

    /// Locks what is known of the daemons that may forward this one's requests.
    pub fn detours(&self) -> MutexGuard<'_, Detours> {
        self.detours.lock().expect("no holder of this lock panics")
    }

    /// Locks the times of the last reports, by upstream.
    pub fn last_reports(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, LastReport>> {
        self.last_reports
            .lock()
            .expect("no holder of this lock panics")
    }

    /// Locks what this daemon has forwarded of the upstreams' reports.
    pub fn forwards(&self) -> MutexGuard<'_, ReportForwards> {
        self.forwards.lock().expect("no holder of this lock panics")
    }

    /// Returns the last known leader of the store group, which runs the batch jobs.
    pub fn jobs_leader(&self) -> Option<DaemonId> {
        let leader = self.jobs_leader.lock();
        leader.expect("no holder of this lock panics").clone()
    }

    /// Records the leader of the store group, or that it is not known.
    pub fn set_jobs_leader(&self, leader: Option<DaemonId>) {
        let mut current = self.jobs_leader.lock().expect("no holder panics");
        *current = leader;
    }
}
