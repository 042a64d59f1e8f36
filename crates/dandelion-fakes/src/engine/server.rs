//! The fake engine's server and its control handle.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use dandelion_net::Signal;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::upstream::Announcement;
use dandelion_protocol::upstream::ReportedLoad;
use dandelion_protocol::upstream::UpstreamKind;

use crate::announce::Announcer;
use crate::announce::Identity;
use crate::engine::config::EngineConfig;
use crate::engine::handler::EngineHandler;
use crate::engine::state::EngineCounts;
use crate::engine::state::ReceivedOrder;
use crate::engine::state::State;
use crate::support::ReceivedRequests;
use crate::support::lock;

/// A running engine; dropping it crashes it.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    state: Arc<State>,
}

impl Engine {
    /// Starts the engine and its announcements.
    pub async fn bind(config: EngineConfig) -> io::Result<Self> {
        let (crash, crashed) = Signal::new();
        let identity = config.identity.clone();
        let listen = config.listen;
        let state = Arc::new(State::new(config, crash));
        let handler = EngineHandler(Arc::clone(&state));
        let server = Server::bind(listen, Limits::default(), handler).await?;
        let address = server.local_addr();
        let reported = Arc::clone(&state);
        let report = move |identity: &Identity| announcement(identity, address, &reported);
        let announcer = Announcer::spawn(identity, report);
        async_std::task::spawn(async move {
            crashed.raised().await;
            announcer.stop();
            drop(server);
        });
        Ok(Self { address, state })
    }

    /// Returns the address that the engine listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Sets `leaving` in all further announcements; the engine keeps serving.
    pub fn announce_leaving(&self) {
        self.state.leaving.store(true, Ordering::SeqCst);
    }

    /// Crashes the engine as a poison prompt does: it drops its connections and stops announcing.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns whether the engine has crashed.
    pub fn is_crashed(&self) -> bool {
        self.state.crashed.load(Ordering::SeqCst)
    }

    /// Swaps the weight version immediately, even while streams are running.
    pub fn set_version(&self, version: WeightVersion) {
        self.state.swap(version);
    }

    /// Returns the loaded weight version.
    pub fn version(&self) -> WeightVersion {
        self.state.loaded_version()
    }

    /// Returns the counters.
    pub fn counts(&self) -> EngineCounts {
        *lock(&self.state.counts)
    }

    /// Returns how often a request with this id got a batch slot.
    pub fn runs(&self, id: &str) -> u64 {
        lock(&self.state.runs).get(id).copied().unwrap_or(0)
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Returns every load order received, in order of arrival.
    pub fn orders(&self) -> Vec<ReceivedOrder> {
        lock(&self.state.orders).clone()
    }

    /// Returns the recorded requests.
    pub fn requests(&self) -> &ReceivedRequests {
        &self.state.requests
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.state.crash();
    }
}

fn announcement(identity: &Identity, address: SocketAddr, state: &State) -> Announcement {
    let waiting = state.waiting.load(Ordering::SeqCst);
    let running = state.running.load(Ordering::SeqCst);
    let permille = lock(&state.prefixes).len() * 1000 / state.config.max_prefixes.max(1);
    Announcement {
        upstream: identity.upstream.clone(),
        boot: identity.boot,
        sequence: 0,
        zone: identity.zone.clone(),
        address: address.to_string(),
        service: identity.service.clone(),
        kind: UpstreamKind::Engine,
        price: identity.price,
        capacity: state.config.capacity,
        version: Some(state.loaded_version()),
        checks_fencing: state.config.checks_fencing,
        resumes: state.config.resumes,
        leaving: state.leaving.load(Ordering::SeqCst),
        load: ReportedLoad {
            running,
            waiting,
            cache_permille: permille.min(1000) as u16,
        },
        software: state.config.software.clone(),
    }
}
