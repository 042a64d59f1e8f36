//! Deduplication of proposals: a resend gets the answer to the first one.

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

/// Time for which an answer is retained, by the timestamps of proposals.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Maximum number of retained answers; the oldest are evicted first.
pub const MAX_ANSWERS: usize = 100_000;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedAnswer {
    digest: u128,
    author: String,
    answer: Answer,
}

/// Recent answers by request id, evicted in the order in which they were recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHistory {
    answers: BTreeMap<RequestId, RecordedAnswer>,
    order: VecDeque<(WallMillis, RequestId)>,
}

impl AnswerHistory {
    /// Returns the recorded answer if `proposal` is a resend, a rejection if its id was used for
    /// another change, or `None` if the id is new.
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

    /// Records `answer` and evicts answers that are past retention at the proposal's time.
    pub fn record(&mut self, proposal: &Proposal, answer: &Answer) {
        let recorded = RecordedAnswer {
            digest: digest(proposal),
            author: proposal.author.clone(),
            answer: answer.clone(),
        };
        self.answers.insert(proposal.id, recorded);
        self.order.push_back((proposal.at, proposal.id));
        self.evict(proposal.at);
    }

    fn evict(&mut self, now: WallMillis) {
        while let Some((at, id)) = self.order.front().copied() {
            let expired = at.0.saturating_add(RETENTION_MS) <= now.0;
            if !expired && self.order.len() <= MAX_ANSWERS {
                break;
            }
            self.order.pop_front();
            self.answers.remove(&id);
        }
    }
}

/// Hashes the table, author, expected revision and command of a proposal, but not its timestamp,
/// which may differ between resends.
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
