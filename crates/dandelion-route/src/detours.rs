//! Chooses the daemon that forwards a request in the place of an entry without links to upstreams.
//!
//! Meant for losses of links that leave some daemons of the cell with links, from one to most of them.
//! Which ones, an entry learns from their answers: those that declined are avoided for a while, and
//! those that forwarded a request are preferred, as long as this entry keeps them little busy.

use std::collections::BTreeMap;

use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::detour::Decline;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use rand::Rng;

/// Time for which a daemon that has forwarded a request is preferred.
const TRUST_TIME: Millis = Millis::from_secs(10);

/// Requests of this entry at a daemon up to which it is preferred.
const TRUST_REQUESTS: u32 = 2;

/// How a request at another daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The daemon sent it to an upstream, or knew why it may not run.
    Forwarded,
    /// The daemon reached no upstream.
    Unreached,
    /// The daemon did not take it.
    Declined(Decline),
    /// The daemon did not answer.
    Lost,
    /// The request's time ran out before an answer was due.
    Late,
    /// The caller disconnected before the end.
    Abandoned,
}

impl Ending {
    /// Returns the time for which the daemon is avoided.
    fn avoidance(self) -> Millis {
        match self {
            Self::Forwarded | Self::Late | Self::Abandoned => Millis::ZERO,
            Self::Declined(Decline::Full | Decline::Outdated | Decline::NoLease) => Millis(200),
            Self::Unreached | Self::Declined(Decline::LinksLost) => Millis::from_secs(1),
            Self::Lost | Self::Declined(Decline::Unknown) => Millis::from_secs(2),
            Self::Declined(Decline::Stopping) => Millis::from_secs(10),
        }
    }
}

#[derive(Debug, Default)]
struct Peer {
    running: u32,
    avoided_until: Millis,
    forwarded: Option<Millis>,
}

/// What an entry knows of the daemons that may forward its requests.
#[derive(Debug, Default)]
pub struct Detours {
    peers: BTreeMap<DaemonId, Peer>,
}

impl Detours {
    /// Chooses a daemon other than `own`; none if all are avoided. Entries come first, as they have
    /// the capacity for it, then stores. Control daemons are left to their work.
    pub fn choose<'a, R>(
        &self,
        now: Millis,
        members: &'a [Member],
        own: (&DaemonId, &ZoneId),
        rng: &mut R,
    ) -> Option<&'a DaemonId>
    where
        R: Rng,
    {
        let (own, zone) = own;
        let usable = members.iter().filter(|m| {
            let is_avoided = self.peers.get(&m.id).is_some_and(|p| now < p.avoided_until);
            m.id != *own && !m.leaving && m.role != Role::Control && !is_avoided
        });
        let ranked = usable.map(|m| {
            let peer = self.peers.get(&m.id);
            let running = peer.map_or(0, |p| p.running);
            let forwarded = peer.and_then(|p| p.forwarded);
            let is_trusted =
                running < TRUST_REQUESTS && forwarded.is_some_and(|at| now.since(at) <= TRUST_TIME);
            let rank = (
                m.role != Role::Entry,
                !is_trusted,
                running,
                m.zone != *zone,
                rng.random::<u32>(),
            );
            (rank, &m.id)
        });
        let best = ranked.min_by(|(a, _), (b, _)| a.cmp(b));
        best.map(|(_, id)| id)
    }

    /// Counts a request as running at a daemon until its [`Self::end`].
    pub fn begin(&mut self, daemon: &DaemonId) {
        self.peers.entry(daemon.clone()).or_default().running += 1;
    }

    /// Counts the end of a request.
    pub fn end(&mut self, now: Millis, daemon: &DaemonId, ending: Ending) {
        let peer = self.peers.entry(daemon.clone()).or_default();
        peer.running = peer.running.saturating_sub(1);
        peer.avoided_until = peer.avoided_until.max(now + ending.avoidance());
        match ending {
            Ending::Forwarded => peer.forwarded = Some(now),
            Ending::Abandoned => (),
            Ending::Unreached | Ending::Declined(_) | Ending::Lost | Ending::Late => {
                peer.forwarded = None;
            }
        }
    }

    /// Drops daemons that have left the cell and run no request of this entry.
    pub fn retain_known<F>(&mut self, is_known: F)
    where
        F: Fn(&DaemonId) -> bool,
    {
        self.peers
            .retain(|id, peer| peer.running > 0 || is_known(id));
    }
}
