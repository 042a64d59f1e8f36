//! Which daemon of a zone owns an upstream: rendezvous hash over the zone's members.

use std::cmp::Reverse;

use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the owner among `members`, or none if no member can own.
///
/// The caller passes the live members of the upstream's zone: leaving members are skipped here,
/// suspected ones by the caller. Every daemon that sees the same members names the same owner,
/// and a change of one member moves only that member's upstreams.
pub fn owner_of<'a, I>(upstream: &UpstreamId, members: I) -> Option<&'a DaemonId>
where
    I: IntoIterator<Item = &'a Member>,
{
    let candidates = members.into_iter().filter(|m| !m.leaving).map(|m| &m.id);
    rendezvous(upstream.as_str().as_bytes(), candidates)
}

/// Returns the candidate with the greatest hash together with `key`.
pub fn rendezvous<'a, I>(key: &[u8], candidates: I) -> Option<&'a DaemonId>
where
    I: IntoIterator<Item = &'a DaemonId>,
{
    candidates
        .into_iter()
        .max_by_key(|id| (weight(key, id), *id))
}

/// Returns the `count` candidates with the greatest hashes together with `key`.
pub fn top<'a, I>(key: &[u8], candidates: I, count: usize) -> Vec<&'a DaemonId>
where
    I: IntoIterator<Item = &'a DaemonId>,
{
    let mut ranked: Vec<&DaemonId> = candidates.into_iter().collect();
    ranked.sort_by_key(|id| Reverse((weight(key, id), *id)));
    ranked.truncate(count);
    ranked
}

/// Returns the rendezvous weight of one candidate for `key`.
pub(crate) fn weight(key: &[u8], id: &DaemonId) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), xxh3_64_with_seed(key, 0))
}
