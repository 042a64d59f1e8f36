//! Placement of result bodies: which store daemons hold those of a job, and in which order a reader
//! queries them.
//!
//! Trainers read the results of complete steps, and traffic between zones is expensive. Replicas of
//! a body are therefore placed in different zones, as many as are needed to survive the tolerated
//! losses, and a body is read in the reader's own zone if a replica is there.

use dandelion_protocol::batch::ListedResult;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use dandelion_route::ownership;

/// Maximum size of the bodies requested in one call, in bytes. The buffers of a connection keep the
/// size of its longest message, and a daemon has a connection to each reader.
const MAX_CALL_BYTES: u64 = 64 * 1024;

/// A body to be fetched from another store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingBody {
    /// Key of the body.
    pub key: TextKey,
    /// Length of the body in bytes.
    pub length: u64,
}

/// Ranks the stores for the bodies of a job by rendezvous hashing, with one store of each zone
/// before a second one of any zone. The first ones, as many as there are replicas, hold the bodies;
/// the following ones are fallbacks.
pub fn rank<'a, I>(stores: I, job: &str) -> Vec<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    let mut remaining: Vec<&Member> = stores.into_iter().collect();
    let ids: Vec<&DaemonId> = remaining.iter().map(|m| &m.id).collect();
    let count = ids.len();
    let ranked = ownership::rendezvous_top(job.as_bytes(), ids, count);
    remaining.sort_by_key(|member| ranked.iter().position(|id| **id == member.id));
    let mut chosen: Vec<&Member> = Vec::new();
    while !remaining.is_empty() {
        let used = |zone: &ZoneId| chosen.iter().filter(|c| c.zone == *zone).count();
        let at = (0..remaining.len()).min_by_key(|at| (used(&remaining[*at].zone), *at));
        let Some(at) = at else { break };
        chosen.push(remaining.remove(at));
    }
    chosen
}

/// The stores of a cell, and how many of them have each body.
#[derive(Debug, Clone)]
pub struct Placement<'a> {
    /// Stores that can have bodies.
    usable: Vec<&'a Member>,
    /// Stores that may still have bodies but get no further ones: those being emptied and the lost ones.
    former: Vec<&'a Member>,
    copies: usize,
}

impl<'a> Placement<'a> {
    /// Divides the stores into those that can have bodies and, where `is_former` is true, the others.
    pub fn new<I, F>(stores: I, copies: usize, is_former: F) -> Self
    where
        I: IntoIterator<Item = &'a Member>,
        F: Fn(&Member) -> bool,
    {
        let (former, usable) = stores.into_iter().partition(|m| is_former(m));
        Self {
            usable,
            former,
            copies,
        }
    }

    /// Iterates over the stores that can have bodies.
    pub fn usable(&self) -> impl Iterator<Item = &'a Member> {
        self.usable.iter().copied()
    }

    /// Returns the stores that should have the bodies of a job.
    pub fn holders(&self, job: &str) -> Vec<&'a Member> {
        let mut ranked = self.write_order(job);
        ranked.truncate(self.copies);
        ranked
    }

    /// Returns the stores to which a body of a job may be written, in this order. A copy on one that is
    /// being emptied, or stops, would be counted and then be gone.
    pub fn write_order(&self, job: &str) -> Vec<&'a Member> {
        rank(self.usable.iter().copied(), job)
    }

    /// Returns all stores in the order in which another one reads the bodies of a job from them.
    pub fn sources(&self, job: &str) -> Vec<&'a Member> {
        let mut ranked = self.write_order(job);
        ranked.extend(rank(self.former.iter().copied(), job));
        ranked
    }

    /// Returns all stores in the order in which a reader in `zone` queries them, see [`read_order`].
    /// A body may be only on a store that gets no further ones.
    pub fn read_order(
        &self,
        job: &str,
        zone: &ZoneId,
        leader: Option<&DaemonId>,
    ) -> Vec<&'a Member> {
        let usable = self.usable.iter().copied();
        let mut ordered = read_order(usable, job, self.copies, zone, leader);
        ordered.extend(rank(self.former.iter().copied(), job));
        ordered
    }
}

/// Returns the stores in the order in which a reader in `zone` queries them for a job's bodies:
/// those that should hold them, its own zone first; then the leader, which has the newest bodies in
/// memory; then the others, its own zone first.
pub fn read_order<'a, I>(
    stores: I,
    job: &str,
    replicas: usize,
    zone: &ZoneId,
    leader: Option<&DaemonId>,
) -> Vec<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    let mut ranked = rank(stores, job);
    let mut others = ranked.split_off(replicas.min(ranked.len()));
    ranked.sort_by_key(|member| member.zone != *zone);
    others.sort_by_key(|member| (leader != Some(&member.id), member.zone != *zone));
    ranked.append(&mut others);
    ranked
}

/// Splits a list of bodies into calls of at most 64 KiB each; a longer body gets a call of its own.
pub fn split_calls(bodies: &[MissingBody]) -> Vec<Vec<TextKey>> {
    let mut calls: Vec<Vec<TextKey>> = Vec::new();
    let mut bytes = 0;
    for MissingBody { key, length } in bodies {
        bytes += length;
        if let Some(call) = calls.last_mut().filter(|_| bytes <= MAX_CALL_BYTES) {
            call.push(key.clone());
        } else {
            bytes = *length;
            calls.push(vec![key.clone()]);
        }
    }
    calls
}

/// Returns the key of a result's body, or `None` if the item was given up.
pub fn body_key(job: &str, result: &ListedResult) -> Option<TextKey> {
    Some(TextKey {
        job: job.to_owned(),
        item: result.id.clone(),
        digest: result.text?.digest,
    })
}

/// Which of the bodies that a disk should hold are missing on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Survey {
    /// Position in the job's results before which no body is missing.
    pub held: usize,
    /// Missing bodies, as far as the survey went.
    pub lacking: Vec<MissingBody>,
}

/// Checks which of a job's bodies are missing on a disk, from position `from` on, and stops once
/// the missing ones have at least `limit` bytes. Returns `None` if `holds` has no answer for a
/// body, as on a stalled disk: a body counts as held only if the disk confirms it. A missing body
/// for which `is_deferred` is true neither is returned nor counts as held.
pub fn survey<H, D>(
    job: &str,
    results: &[ListedResult],
    from: usize,
    limit: u64,
    holds: H,
    is_deferred: D,
) -> Option<Survey>
where
    H: Fn(&TextKey) -> Option<bool>,
    D: Fn(&TextKey) -> bool,
{
    let mut survey = Survey {
        held: from,
        lacking: Vec::new(),
    };
    let mut bytes = 0;
    let mut is_complete = true;
    for (at, result) in results.iter().enumerate().skip(from) {
        if let Some(key) = body_key(job, result)
            && !holds(&key)?
        {
            is_complete = false;
            if !is_deferred(&key) {
                let length = result.text.map_or(0, |text| text.length);
                survey.lacking.push(MissingBody { key, length });
                bytes += length;
            }
        }
        if is_complete {
            survey.held = at + 1;
        }
        if bytes >= limit {
            break;
        }
    }
    Some(survey)
}
