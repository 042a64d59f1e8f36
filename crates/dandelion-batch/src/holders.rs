//! Which store daemons hold the texts of a job, and whom a reader asks for them.
//!
//! Answers the load of trainers that read whole steps while links between zones are dear: each text
//! is on the disks of as many zones as must outlive a loss, and is read in the reader's own zone
//! where one of them is there.

use dandelion_protocol::batch::Listed;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use dandelion_route::ownership;

/// Bytes of texts that are asked for in one call. The buffers of a connection keep the size of the
/// longest message, and a daemon has a connection to each reader.
const CALL_BYTES: u64 = 64 * 1024;

/// A text that is looked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// Its name.
    pub key: TextKey,
    /// Bytes.
    pub length: u64,
}

/// Returns the stores in the order in which they should hold the texts of a job: one in each zone
/// before a second one in any. As many as copies are needed hold them, the next ones stand in.
pub fn rank<'a, I>(stores: I, job: &str) -> Vec<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    let mut rest: Vec<&Member> = stores.into_iter().collect();
    let ids: Vec<&DaemonId> = rest.iter().map(|m| &m.id).collect();
    let count = ids.len();
    let ranked = ownership::top(job.as_bytes(), ids, count);
    rest.sort_by_key(|member| ranked.iter().position(|id| **id == member.id));
    let mut chosen: Vec<&Member> = Vec::new();
    while !rest.is_empty() {
        let used = |zone: &ZoneId| chosen.iter().filter(|c| c.zone == *zone).count();
        let at = (0..rest.len()).min_by_key(|at| (used(&rest[*at].zone), *at));
        let Some(at) = at else { break };
        chosen.push(rest.remove(at));
    }
    chosen
}

/// Returns the stores that a reader in `zone` asks for a job's texts: those that hold them, near
/// ones first, then the one in charge, which has the newest in memory, then all others.
pub fn read_order<'a, I>(
    stores: I,
    job: &str,
    copies: usize,
    zone: &ZoneId,
    charged: Option<&DaemonId>,
) -> Vec<&'a Member>
where
    I: IntoIterator<Item = &'a Member>,
{
    let mut ranked = rank(stores, job);
    let mut others = ranked.split_off(copies.min(ranked.len()));
    ranked.sort_by_key(|member| member.zone != *zone);
    others.sort_by_key(|member| (charged != Some(&member.id), member.zone != *zone));
    ranked.append(&mut others);
    ranked
}

/// Splits what is wanted into calls whose answers are short.
pub fn calls(wanted: &[Wanted]) -> Vec<Vec<TextKey>> {
    let mut calls: Vec<Vec<TextKey>> = Vec::new();
    let mut bytes = 0;
    for Wanted { key, length } in wanted {
        bytes += length;
        if let Some(call) = calls.last_mut().filter(|_| bytes <= CALL_BYTES) {
            call.push(key.clone());
        } else {
            bytes = *length;
            calls.push(vec![key.clone()]);
        }
    }
    calls
}

/// Returns the name of a result's text, if it has one.
pub fn key_of(job: &str, result: &Listed) -> Option<TextKey> {
    Some(TextKey {
        job: job.to_owned(),
        item: result.id.clone(),
        digest: result.text?.digest,
    })
}

/// What a disk holds of the texts that it should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Survey {
    /// Position up to which no text is missing.
    pub held: usize,
    /// Texts that are missing, as far as was looked.
    pub lacking: Vec<Wanted>,
}

/// Looks for a job's texts on a disk, from a position on and until `most` bytes are missing. Nothing
/// if the disk does not tell of one: a text counts as held only if the disk says so.
pub fn survey<H>(job: &str, results: &[Listed], from: usize, most: u64, holds: H) -> Option<Survey>
where
    H: Fn(&TextKey) -> Option<bool>,
{
    let mut survey = Survey {
        held: from,
        lacking: Vec::new(),
    };
    let mut bytes = 0;
    for (at, result) in results.iter().enumerate().skip(from) {
        if let Some(key) = key_of(job, result)
            && !holds(&key)?
        {
            let length = result.text.map_or(0, |text| text.length);
            survey.lacking.push(Wanted { key, length });
            bytes += length;
        }
        if survey.lacking.is_empty() {
            survey.held = at + 1;
        }
        if bytes >= most {
            break;
        }
    }
    Some(survey)
}
