//! Keeps the origins of callers' streams at this daemon and at two others, and finds them again.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_std::future::timeout;
use dandelion_net::clock;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::streams::KeptOrigin;
use dandelion_protocol::streams::OriginCall;
use dandelion_protocol::streams::OriginReply;
use dandelion_protocol::streams::StreamKey;
use dandelion_protocol::streams::StreamOrigin;
use dandelion_route::origins::KnownOrigins;
use dandelion_route::ownership;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;

use crate::control::View;
use crate::core::Handle;

/// Longest wait until another daemon has an origin; a stream's first event is held back no longer.
const KEEP_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest wait for the daemons that should have an origin.
const FIND_TIMEOUT: Duration = Duration::from_millis(80);

/// Longest wait for all other daemons.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// Daemons of each role that keep an origin besides the entry at which the stream began.
const HOLDERS: usize = 1;

/// Origins that this daemon knows.
#[derive(Debug, Default)]
pub struct Origins(Mutex<KnownOrigins>);

impl Origins {
    fn known(&self) -> MutexGuard<'_, KnownOrigins> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// Returns the number of streams whose origin this daemon knows.
    pub fn len(&self) -> usize {
        self.known().len()
    }

    /// Returns whether this daemon knows no origin.
    pub fn is_empty(&self) -> bool {
        self.known().is_empty()
    }

    fn keep(&self, key: StreamKey, origin: StreamOrigin) {
        self.known().keep(clock::boot_now(), key, origin);
    }

    fn find(&self, key: &StreamKey) -> Option<StreamOrigin> {
        self.known().find(clock::boot_now(), key).cloned()
    }
}

/// Where an origin was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// At this daemon.
    Own,
    /// At a daemon that keeps it for others.
    Holder,
    /// At any other daemon.
    Other,
}

/// Returns the name of a stream by the attempt that brought its first event.
pub fn key_of(team: Option<&TeamId>, attempt: &str) -> StreamKey {
    let team = team.map_or("", TeamId::as_str);
    StreamKey(format!("{team}/{attempt}"))
}

/// Answers a call of another daemon.
pub fn answer(core: &Handle, call: OriginCall) -> OriginReply {
    match call {
        OriginCall::Keep { key, origin } => {
            core.gateway.origins.keep(key, origin);
            OriginReply::Kept
        }
        OriginCall::Find(key) => OriginReply::Found(core.gateway.origins.find(&key)),
    }
}

/// Whether the origin of a try is known elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kept {
    /// Another daemon confirmed it, or there is none.
    Confirmed,
    /// No other daemon confirmed it in time.
    Unconfirmed,
}

/// Makes an origin known for a try, before or while its request is sent.
#[derive(Debug)]
pub struct Keeping<'a> {
    core: &'a Handle,
    key: StreamKey,
    origin: StreamOrigin,
    holders: Vec<DaemonId>,
    /// Whether an earlier try had another origin, which nobody may know any more.
    pub replaces: bool,
}

impl<'a> Keeping<'a> {
    /// Begins a try of an attempt; its origin holds here from now on.
    pub fn begin(
        core: &'a Handle,
        key: &StreamKey,
        kept: &Mutex<KeptOrigin>,
        origin: StreamOrigin,
    ) -> Self {
        let holders = holders(core, &core.control.view(), key);
        let mut kept = kept.lock().expect("no holder of this lock panics");
        let (origin, holders, replaces) = kept.begin_try(origin, holders);
        core.gateway.origins.keep(key.clone(), origin.clone());
        Self {
            core,
            key: key.clone(),
            origin,
            holders,
            replaces,
        }
    }

    /// Keeps the origin at the other daemons; returns once one of them has confirmed it.
    pub async fn keep(&self) -> Kept {
        if self.holders.is_empty() {
            return Kept::Confirmed;
        }
        let holders = self.holders.clone();
        let kept = |reply| matches!(reply, OriginReply::Kept).then_some(());
        let confirmed = call_any(self.core, holders, self.call(), KEEP_TIMEOUT, kept);
        match confirmed.await {
            Some(()) => Kept::Confirmed,
            None => Kept::Unconfirmed,
        }
    }

    /// Replaces the origin of an earlier try at all daemons that may have it; returns whether all
    /// confirmed that. If one did not, a stream of this try could go on where the earlier one was to
    /// begin.
    pub async fn replace(&self) -> bool {
        let Some(mesh) = self.core.mesh() else {
            return self.holders.is_empty();
        };
        let calls = self.holders.iter();
        let calls = calls.map(|id| mesh.call(id, self.call(), KEEP_TIMEOUT));
        let replies = join_all(calls).await;
        let is_kept = |reply| matches!(reply, Ok(ReplyBody::Origins(OriginReply::Kept)));
        replies.into_iter().all(is_kept)
    }

    fn call(&self) -> CallBody {
        CallBody::Origins(OriginCall::Keep {
            key: self.key.clone(),
            origin: self.origin.clone(),
        })
    }
}

/// Finds the origin of a stream: here, at the daemons that hold it, or at any other.
pub async fn find(core: &Handle, key: &StreamKey) -> Option<(StreamOrigin, Source)> {
    if let Some(origin) = core.gateway.origins.find(key) {
        return Some((origin, Source::Own));
    }
    let view = core.control.view();
    let holders = holders(core, &view, key);
    let body = || CallBody::Origins(OriginCall::Find(key.clone()));
    let found = |reply| match reply {
        OriginReply::Found(origin) => origin,
        OriginReply::Kept => None,
    };
    let others = others(core, &view).map(|m| m.id.clone());
    let others: Vec<DaemonId> = others.filter(|id| !holders.contains(id)).collect();
    if let Some(origin) = call_any(core, holders, body(), FIND_TIMEOUT, found).await {
        return Some((origin, Source::Holder));
    }
    let origin = call_any(core, others, body(), SEARCH_TIMEOUT, found).await?;
    Some((origin, Source::Other))
}

/// Iterates over the other daemons that keep origins.
fn others<'a>(core: &Handle, view: &'a View) -> impl Iterator<Item = &'a Member> {
    let own = core.identity.daemon.clone();
    let members = view.members.iter().filter(|m| m.role != Role::Control);
    members.filter(move |m| m.id != own)
}

/// Returns the daemons that keep the origin of a stream for the others: a store and an entry, chosen
/// by rendezvous hashing. The entry at which the stream began may be the chosen one; the next in rank
/// then takes its place there, and the search goes on to all daemons.
fn holders(core: &Handle, view: &View, key: &StreamKey) -> Vec<DaemonId> {
    let of_role = |role: Role| {
        let members = others(core, view).filter(move |m| m.role == role && !m.leaving);
        let ids = members.map(|m| &m.id);
        ownership::rendezvous_top(key.0.as_bytes(), ids, HOLDERS)
    };
    let holders = of_role(Role::Store).into_iter().chain(of_role(Role::Entry));
    holders.cloned().collect()
}

/// Calls daemons at the same time and returns the first reply that `accept` takes.
async fn call_any<R, F>(
    core: &Handle,
    daemons: Vec<DaemonId>,
    body: CallBody,
    limit: Duration,
    accept: F,
) -> Option<R>
where
    F: Fn(OriginReply) -> Option<R>,
{
    let mesh = core.mesh()?;
    let call = async |daemon: DaemonId| mesh.call(&daemon, body.clone(), limit).await;
    let mut calls: FuturesUnordered<_> = daemons.into_iter().map(call).collect();
    let first = async {
        while let Some(reply) = calls.next().await {
            if let Ok(ReplyBody::Origins(reply)) = reply
                && let Some(accepted) = accept(reply)
            {
                return Some(accepted);
            }
        }
        None
    };
    timeout(limit, first).await.ok().flatten()
}
