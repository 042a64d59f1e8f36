//! Memory of answered proposals, so that a resend gets the first answer.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::time::WallMillis;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

/// How long an answer is remembered.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Most answers remembered; the oldest go first.
pub const MAX_REMEMBERED: usize = 100_000;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Remembered {
    digest: u128,
    author: String,
    answer: Answer,
}

/// Answers by request id, in the order in which they were given.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    answers: BTreeMap<RequestId, Remembered>,
    order: VecDeque<(WallMillis, RequestId)>,
}

impl Requests {
    /// Returns the first answer to `proposal`, a rejection if its id names another change, or
    /// nothing if the id is new.
    pub fn find(&self, proposal: &Proposal) -> Option<Answer> {
        let known = self.answers.get(&proposal.id)?;
        if known.digest == digest(proposal) {
            return Some(known.answer.clone());
        }
        let revision = known.answer.revision;
        let rejection = Rejection::IdReused {
            request: proposal.id,
            winner: known.author.clone(),
            revision,
        };
        Some(Answer {
            revision,
            result: Err(rejection),
        })
    }

    /// Remembers `answer` and forgets what is past retention at the proposal's time.
    pub fn record(&mut self, proposal: &Proposal, answer: &Answer) {
        let remembered = Remembered {
            digest: digest(proposal),
            author: proposal.author.clone(),
            answer: answer.clone(),
        };
        self.answers.insert(proposal.id, remembered);
        self.order.push_back((proposal.at, proposal.id));
        self.forget(proposal.at);
    }

    fn forget(&mut self, now: WallMillis) {
        while let Some((at, id)) = self.order.front().copied() {
            let expired = at.0.saturating_add(RETENTION_MS) <= now.0;
            if !expired && self.order.len() <= MAX_REMEMBERED {
                break;
            }
            self.order.pop_front();
            self.answers.remove(&id);
        }
    }
}

/// Digest of what a proposal asks for; the stamped time is not part of it.
fn digest(proposal: &Proposal) -> u128 {
    let mut bytes = Vec::with_capacity(proposal.command.len() + 64);
    for part in [proposal.table.as_bytes(), proposal.author.as_bytes()] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    let expected = proposal.expected.map_or(u64::MAX, |r| r.0);
    bytes.extend_from_slice(&expected.to_le_bytes());
    bytes.extend_from_slice(&proposal.command);
    xxh3_128(&bytes)
}
