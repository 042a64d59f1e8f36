//! Ownership of upstreams: rendezvous hashing over the daemons of a zone.

use std::cmp::Reverse;

use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the owner of `upstream` among `members`, or none if every member is leaving.
///
/// The caller passes the members of the upstream's zone without those suspected of failure;
/// leaving members are skipped here. Every daemon that sees the same members computes the same
/// owner, and a change of one member moves only that member's upstreams.
pub fn owner_of<'a, I>(upstream: &UpstreamId, members: I) -> Option<&'a DaemonId>
where
    I: IntoIterator<Item = &'a Member>,
{
    let candidates = members.into_iter().filter(|m| !m.leaving).map(|m| &m.id);
    rendezvous(upstream.as_str().as_bytes(), candidates)
}

/// Returns the candidate with the greatest rendezvous weight for `key`.
pub fn rendezvous<'a, I>(key: &[u8], candidates: I) -> Option<&'a DaemonId>
where
    I: IntoIterator<Item = &'a DaemonId>,
{
    candidates
        .into_iter()
        .max_by_key(|id| (weight(key, id), *id))
}

/// Returns the `count` candidates with the greatest rendezvous weights for `key`, greatest first.
pub fn rendezvous_top<'a, I>(key: &[u8], candidates: I, count: usize) -> Vec<&'a DaemonId>
where
    I: IntoIterator<Item = &'a DaemonId>,
{
    let mut ranked: Vec<&DaemonId> = candidates.into_iter().collect();
    ranked.sort_by_key(|id| Reverse((weight(key, id), *id)));
    ranked.truncate(count);
    ranked
}

/// Returns the rendezvous weight of one candidate for `key`: a hash of both.
pub(crate) fn weight(key: &[u8], id: &DaemonId) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), xxh3_64_with_seed(key, 0))
}
