//! The replicated table of claims.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

use crate::claims::command::AttemptId;
use crate::claims::command::Claim;
use crate::claims::command::ClaimBatch;
use crate::claims::command::ClaimKey;
use crate::claims::command::ClaimReplies;
use crate::claims::command::ClaimReply;
use crate::claims::command::ClaimResult;
use crate::claims::command::ClaimStep;
use crate::claims::command::StoredAnswer;

/// Age up to which an id is accepted and its record retained, in milliseconds.
pub const RETENTION_MS: u64 = 60 * 60 * 1000;

/// Time by which a caller's clock may be ahead of the log's, in milliseconds.
pub const MAX_AHEAD_MS: u64 = 5 * 60 * 1000;

/// Most records of all teams.
pub const MAX_CLAIMS: usize = 200_000;

/// Most records of one team.
pub const MAX_TEAM_CLAIMS: usize = MAX_CLAIMS / 2;

/// Largest answer that is stored, headers and body, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// Most bytes of answers stored in the table.
pub const MAX_STORED_BYTES: usize = 32 * 1024 * 1024;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Running { until: WallMillis },
    Answered(StoredAnswer),
    NotKept { status: u16 },
    Unknown,
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    digest: u128,
    attempt: AttemptId,
    state: State,
}

/// Claims by key. A record is removed only when its id is refused by age.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ClaimsTable {
    records: BTreeMap<ClaimKey, Record>,
    counts: BTreeMap<TeamId, usize>,
    kept: usize,
}

#[distributed_slice(TABLES)]
static CLAIMS: TableEntry = TableEntry::of::<ClaimsTable>();

impl Table for ClaimsTable {
    const NAME: &'static str = "claims";
    const DISTRIBUTED: bool = false;
    const DEDUPLICATED: bool = false;
    type Command = ClaimBatch;
    type Reply = ClaimReplies;

    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        batch: ClaimBatch,
    ) -> Result<ClaimReplies, Rejection> {
        self.expire(context.at);
        let steps = batch.steps.into_iter();
        let replies = steps.map(|step| self.step(context.at, step)).collect();
        Ok(ClaimReplies { replies })
    }
}

impl ClaimsTable {
    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of the answers stored.
    pub fn stored_bytes(&self) -> usize {
        self.kept
    }

    fn step(&mut self, at: WallMillis, step: ClaimStep) -> ClaimReply {
        match step {
            ClaimStep::Claim(claim) => self.claim(at, claim),
            ClaimStep::Settle {
                key,
                attempt,
                result,
            } => self.record_result(&key, &attempt, result),
        }
    }

    fn claim(&mut self, at: WallMillis, claim: Claim) -> ClaimReply {
        let created = claim.key.caller.created();
        if is_expired(created, at) {
            let oldest = WallMillis(at.0.saturating_sub(RETENTION_MS) + 1);
            return ClaimReply::Expired { oldest };
        }
        if created.0 > at.0.saturating_add(MAX_AHEAD_MS) {
            return ClaimReply::TooNew;
        }
        let Some(record) = self.records.get_mut(&claim.key) else {
            return self.insert(at, claim);
        };
        if record.digest != claim.digest {
            return ClaimReply::Conflict;
        }
        record.reply(at, &claim)
    }

    fn insert(&mut self, at: WallMillis, claim: Claim) -> ClaimReply {
        let count = self.counts.get(&claim.key.team).copied().unwrap_or(0);
        if self.records.len() >= MAX_CLAIMS || count >= MAX_TEAM_CLAIMS {
            let oldest = self.records.keys().next();
            let created = oldest.map_or(at, |key| key.caller.created());
            let free_at = WallMillis(created.0.saturating_add(RETENTION_MS));
            return ClaimReply::Full { free_at };
        }
        self.counts.insert(claim.key.team.clone(), count + 1);
        let record = Record {
            digest: claim.digest,
            attempt: claim.attempt,
            state: State::Running {
                until: deadline_of(at, claim.timeout.0),
            },
        };
        self.records.insert(claim.key, record);
        ClaimReply::Granted
    }

    fn record_result(
        &mut self,
        key: &ClaimKey,
        attempt: &AttemptId,
        result: ClaimResult,
    ) -> ClaimReply {
        let stored = self.kept;
        let Some(record) = self.records.get_mut(key) else {
            return ClaimReply::Ignored;
        };
        if record.attempt != *attempt {
            return ClaimReply::Ignored;
        }
        let state = match (&record.state, result) {
            (State::Running { .. } | State::Unknown, ClaimResult::Answered(answer)) => {
                stored_state(answer, stored)
            }
            (State::Running { .. }, ClaimResult::Unknown) => State::Unknown,
            (State::Running { .. }, ClaimResult::NotRun) => State::Released,
            _ => return ClaimReply::Ignored,
        };
        self.kept += size(&state);
        record.state = state;
        ClaimReply::Settled
    }

    fn expire(&mut self, at: WallMillis) {
        while let Some(entry) = self.records.first_entry() {
            if !is_expired(entry.key().caller.created(), at) {
                return;
            }
            let (key, record) = entry.remove_entry();
            self.kept -= size(&record.state);
            self.decrement_count(&key.team);
        }
    }

    fn decrement_count(&mut self, team: &TeamId) {
        if let Some(count) = self.counts.get_mut(team) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(team);
            }
        }
    }
}

impl Record {
    /// Replies to a claim of a known id with the same digest.
    fn reply(&mut self, at: WallMillis, claim: &Claim) -> ClaimReply {
        let same = self.attempt == claim.attempt;
        match &self.state {
            State::Running { .. } if same => ClaimReply::Granted,
            State::Running { until } if *until > at => ClaimReply::Running { until: *until },
            State::Running { .. } | State::Unknown => ClaimReply::Unknown,
            State::Answered(answer) => ClaimReply::Answered(answer.clone()),
            State::NotKept { status } => ClaimReply::NotKept { status: *status },
            State::Released if same => ClaimReply::Ignored,
            State::Released => {
                self.attempt = claim.attempt.clone();
                self.state = State::Running {
                    until: deadline_of(at, claim.timeout.0),
                };
                ClaimReply::Granted
            }
        }
    }
}

fn deadline_of(at: WallMillis, timeout: u64) -> WallMillis {
    WallMillis(at.0.saturating_add(timeout))
}

fn is_expired(created: WallMillis, at: WallMillis) -> bool {
    created.0.saturating_add(RETENTION_MS) <= at.0
}

fn stored_state(answer: StoredAnswer, stored: usize) -> State {
    let status = answer.status;
    let state = State::Answered(answer);
    if size(&state) > MAX_ANSWER_BYTES || stored + size(&state) > MAX_STORED_BYTES {
        State::NotKept { status }
    } else {
        state
    }
}

fn size(state: &State) -> usize {
    let State::Answered(answer) = state else {
        return 0;
    };
    let headers = answer.headers.iter();
    let header_bytes: usize = headers.map(|h| h.name.len() + h.value.len()).sum();
    header_bytes + answer.body.len()
}
