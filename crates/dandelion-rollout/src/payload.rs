//! Payloads that are kept out of the replicated log: prompts, groups and batches.

use std::collections::BTreeMap;
use std::sync::Arc;

use dandelion_protocol::codec;
use dandelion_protocol::codec::CodecError;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::Group;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Identity of a payload within a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlobId {
    /// Prompts of a feed, by the group number of the first one.
    Feed(u64),
    /// Batch, by its cursor and digest; until it is frozen, another one may be formed for the
    /// same cursor.
    Batch(u64, u64),
    /// Group with finished samples that is not in a batch yet, by its number.
    Group(u64),
}

/// A payload, stored under its [`BlobId`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// Prompts of one feed.
    Prompts(Arc<Vec<String>>),
    /// A batch, whether frozen or only formed.
    Batch(Arc<Batch>),
    /// The finished samples of one group.
    Group(Arc<Group>),
}

impl Payload {
    /// Returns the digest that the ledger records.
    pub fn digest(&self) -> Result<u64, CodecError> {
        match self {
            Self::Prompts(prompts) => prompts_digest(prompts),
            Self::Batch(batch) => batch_digest(batch),
            Self::Group(group) => digest(group),
        }
    }

    fn bytes(&self) -> usize {
        match self {
            Self::Prompts(prompts) => prompts.iter().map(String::len).sum(),
            Self::Batch(batch) => batch.groups.iter().map(group_bytes).sum(),
            Self::Group(group) => group_bytes(group),
        }
    }
}

fn group_bytes(group: &Group) -> usize {
    let texts = group.samples.iter().map(|sample| sample.text.len());
    group.prompt.len() + texts.sum::<usize>()
}

/// Low bits dropped from a 64-bit digest; the other 52 are exact in a JSON number.
const DIGEST_SHIFT: u32 = 12;

fn digest<T>(value: &T) -> Result<u64, CodecError>
where
    T: Serialize,
{
    Ok(xxh3_64(&codec::encode(value)?) >> DIGEST_SHIFT)
}

/// Returns the digest of prompts.
pub fn prompts_digest(prompts: &[String]) -> Result<u64, CodecError> {
    digest(&prompts)
}

/// Returns the digest of a batch's cursor, groups and dropped groups; its recorded digest is not
/// part of it.
pub fn batch_digest(batch: &Batch) -> Result<u64, CodecError> {
    let parts = (batch.cursor, &batch.groups, &batch.dropped);
    digest(&parts)
}

/// The payload does not fit into the store.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
#[error("payload store holds {held} of {limit} bytes; store the copy on another daemon")]
pub struct StoreFull {
    /// Bytes of text stored at present.
    pub held: usize,
    /// Capacity in bytes of text.
    pub limit: usize,
}

/// Payloads that a daemon stores for the jobs that it or another daemon coordinates.
#[derive(Debug, Default)]
pub struct PayloadStore {
    blobs: BTreeMap<(JobId, BlobId), Payload>,
    held: usize,
    limit: usize,
}

impl PayloadStore {
    /// Opens an empty store of at most `limit` bytes of text.
    pub fn open(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Stores a payload until it is released; a batch replaces the stored groups that it
    /// contains.
    pub fn put(&mut self, job: JobId, blob: BlobId, payload: Payload) -> Result<(), StoreFull> {
        let key = (job, blob);
        let old = self.blobs.get(&key).map_or(0, Payload::bytes);
        let held = self.held - old + payload.bytes();
        if held > self.limit {
            return Err(StoreFull {
                held: self.held,
                limit: self.limit,
            });
        }
        self.held = held;
        if let Payload::Batch(batch) = &payload {
            for group in &batch.groups {
                self.remove(&key.0, BlobId::Group(group.group));
            }
        }
        self.blobs.insert(key, payload);
        Ok(())
    }

    /// Borrows a payload, or none if it is not stored here.
    pub fn get(&self, job: &JobId, blob: BlobId) -> Option<&Payload> {
        self.blobs.get(&(job.clone(), blob))
    }

    /// Removes a payload; for a batch, also all batches up to its cursor.
    pub fn release(&mut self, job: &JobId, blob: BlobId) {
        let BlobId::Batch(cursor, _) = blob else {
            self.remove(job, blob);
            return;
        };
        let range =
            (job.clone(), BlobId::Batch(0, 0))..=(job.clone(), BlobId::Batch(cursor, u64::MAX));
        let old: Vec<BlobId> = self
            .blobs
            .range(range)
            .map(|((_, blob), _)| *blob)
            .collect();
        for blob in old {
            self.remove(job, blob);
        }
    }

    fn remove(&mut self, job: &JobId, blob: BlobId) {
        if let Some(old) = self.blobs.remove(&(job.clone(), blob)) {
            self.held -= old.bytes();
        }
    }

    /// Returns the groups of a job that are not in a batch, for its next coordinator.
    pub fn groups(&self, job: &JobId) -> Vec<Arc<Group>> {
        let range = (job.clone(), BlobId::Group(0))..=(job.clone(), BlobId::Group(u64::MAX));
        let payloads = self.blobs.range(range).map(|(_, payload)| payload);
        let groups = payloads.filter_map(|payload| match payload {
            Payload::Group(group) => Some(Arc::clone(group)),
            _ => None,
        });
        groups.collect()
    }

    /// Removes the groups below `first`, all of which are acknowledged.
    pub fn release_groups(&mut self, job: &JobId, first: u64) {
        let range = (job.clone(), BlobId::Group(0))..(job.clone(), BlobId::Group(first));
        let old: Vec<BlobId> = self
            .blobs
            .range(range)
            .map(|((_, blob), _)| *blob)
            .collect();
        for blob in old {
            self.remove(job, blob);
        }
    }

    /// Removes all payloads of a job.
    pub fn release_job(&mut self, job: &JobId) {
        let blobs: Vec<BlobId> = self
            .blobs
            .keys()
            .filter(|(owner, _)| owner == job)
            .map(|(_, blob)| *blob)
            .collect();
        for blob in blobs {
            self.remove(job, blob);
        }
    }

    /// Returns the bytes of text stored.
    pub fn held(&self) -> usize {
        self.held
    }
}
