//! What the gateway of one daemon knows.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::pick::Picker;

/// Time for making a connection to an upstream; zones are a few milliseconds apart.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// Time that an idle connection to an upstream is kept.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Idle connections kept for each upstream.
const IDLE_LIMIT: usize = 16;

/// When an upstream of one life was heard last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Life.
    pub born: WallMillis,
    /// Time.
    pub at: Millis,
}

/// State of the gateway. Each part has a lock of its own.
#[derive(Debug)]
pub struct Gateway {
    /// Connections to upstreams.
    pub client: Client,
    picker: Mutex<Picker>,
    heard: Mutex<BTreeMap<UpstreamId, Heard>>,
    jobs_leader: Mutex<Option<DaemonId>>,
}

impl Default for Gateway {
    fn default() -> Self {
        let options = ClientOptions {
            connect_time: CONNECT_TIME,
            idle_limit: IDLE_LIMIT,
            idle_time: IDLE_TIME,
            ..ClientOptions::default()
        };
        Self {
            client: Client::new(options),
            picker: Mutex::default(),
            heard: Mutex::default(),
            jobs_leader: Mutex::default(),
        }
    }
}

impl Gateway {
    /// Locks what is known of the upstreams.
    pub fn picker(&self) -> MutexGuard<'_, Picker> {
        self.picker.lock().expect("no holder of this lock panics")
    }

    /// Locks the times at which upstreams were heard.
    pub fn heard(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, Heard>> {
        self.heard.lock().expect("no holder of this lock panics")
    }

    /// Returns the daemon that was last known to be in charge of the batch jobs.
    pub fn jobs_leader(&self) -> Option<DaemonId> {
        let leader = self.jobs_leader.lock();
        leader.expect("no holder of this lock panics").clone()
    }

    /// Notes which daemon is in charge of the batch jobs.
    pub fn set_jobs_leader(&self, leader: Option<DaemonId>) {
        let mut held = self.jobs_leader.lock().expect("no holder panics");
        *held = leader;
    }
}
