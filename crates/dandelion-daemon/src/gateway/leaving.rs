//! Learns from the answers of upstreams which of them leave.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dandelion_net::clock;
use dandelion_net::http::client::Exchange;
use dandelion_platform::headers;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_route::leaving::KnownLeaving;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::gateway::answer::MISDIRECTED;

/// Upstreams that have told this daemon that they leave.
#[derive(Debug, Default)]
pub struct Leaving {
    known: Mutex<KnownLeaving>,
    /// Increases with every change of `known`.
    version: AtomicU64,
}

impl Leaving {
    /// Locks what is known.
    pub fn known(&self) -> MutexGuard<'_, KnownLeaving> {
        self.known.lock().expect("no holder of this lock panics")
    }

    /// Returns whether an upstream has told this daemon that it leaves.
    pub fn leaves(&self, upstream: &UpstreamIncarnation) -> bool {
        self.known().leaves(upstream)
    }

    /// Returns a number that increases when an answer to this daemon says that an upstream leaves.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }
}

/// Takes in whether the head of an answer says that its upstream leaves. A misdirected request was
/// answered by another upstream than the intended one.
pub fn observe(core: &Handle, upstream: &UpstreamIncarnation, answer: &Exchange, request: &str) {
    if answer.header(headers::LEAVING).is_none() || answer.status() == MISDIRECTED {
        return;
    }
    let leaving = &core.gateway.leaving;
    if !leaving.known().observe(clock::wall_now(), upstream) {
        return;
    }
    leaving.version.fetch_add(1, Ordering::AcqRel);
    event!(
        Event::LeavingKnown,
        upstream = upstream.id,
        born = upstream.born.0,
        request = request,
        status = answer.status(),
        revision = core.control.revision()
    );
}
