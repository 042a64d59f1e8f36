//! The tables that a daemon holds, and the application of log entries to them.

use std::collections::BTreeMap;
use std::fmt;

use dandelion_protocol::codec;
use dandelion_protocol::codec::CodecError;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::requests::AnswerHistory;
use crate::table::ApplyContext;
use crate::table::ErasedTable;
use crate::table::TABLES;
use crate::table::Table;

/// The last change of one table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastChange {
    /// Revision of the change.
    pub revision: Revision,
    /// Operator or daemon that proposed it.
    pub author: String,
    /// Id of the proposal that made it.
    pub request: RequestId,
}

/// Encoded contents of the held tables at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableImage {
    /// Revision of the last applied entry.
    pub revision: Revision,
    /// CBOR of each table, by its name.
    pub tables: BTreeMap<String, ByteBuf>,
    /// Last change of each table, by its name; a table that never changed is absent.
    pub changes: BTreeMap<String, LastChange>,
    /// Recorded answers; empty in an image of the distributed tables.
    pub requests: AnswerHistory,
}

struct Slot {
    table: Box<dyn ErasedTable>,
    distributed: bool,
    deduplicated: bool,
    change: Option<LastChange>,
}

/// The replicated state of a cell as far as one daemon holds it.
pub struct TableSet {
    revision: Revision,
    slots: BTreeMap<&'static str, Slot>,
    requests: AnswerHistory,
}

impl fmt::Debug for TableSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TableSet")
            .field("revision", &self.revision)
            .field("tables", &self.slots.keys())
            .finish_non_exhaustive()
    }
}

impl TableSet {
    /// Opens every registered table, empty, for a control daemon.
    pub fn open_all() -> Self {
        Self::open_where(|_| true)
    }

    /// Opens the distributed tables, those that every daemon holds, empty.
    pub fn open_distributed() -> Self {
        Self::open_where(|distributed| distributed)
    }

    fn open_where<F>(filter: F) -> Self
    where
        F: Fn(bool) -> bool,
    {
        let slots = TABLES
            .iter()
            .filter(|entry| filter(entry.distributed))
            .map(|entry| {
                let slot = Slot {
                    table: entry.open(),
                    distributed: entry.distributed,
                    deduplicated: entry.deduplicated,
                    change: None,
                };
                (entry.name, slot)
            })
            .collect();
        Self {
            revision: Revision(0),
            slots,
            requests: AnswerHistory::default(),
        }
    }

    /// Returns the revision of the last applied entry.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Advances to `revision` for an entry that changes no table; never goes back.
    pub fn skip_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the last change of a table, or `None` if it is not held or never changed.
    pub fn last_change(&self, table: &str) -> Option<&LastChange> {
        self.slots.get(table)?.change.as_ref()
    }

    /// Returns a table by its type, or `None` if it is not held.
    pub fn table<T>(&self) -> Option<&T>
    where
        T: Table,
    {
        self.slots.get(T::NAME)?.table.as_any().downcast_ref()
    }

    /// Returns whether the named table is held here and distributed to every daemon.
    pub fn is_distributed(&self, table: &str) -> bool {
        self.slots.get(table).is_some_and(|slot| slot.distributed)
    }

    /// Applies a committed proposal at `revision` and returns the answer for its author.
    ///
    /// A resend of an answered proposal changes nothing and returns the first answer.
    pub fn apply(&mut self, revision: Revision, proposal: &Proposal) -> Answer {
        self.revision = revision;
        if let Some(answer) = self.requests.find(proposal) {
            return answer;
        }
        let result = self.apply_new(revision, proposal).map(ByteBuf::from);
        let answer = Answer { revision, result };
        if self.is_deduplicated(&proposal.table) {
            self.requests.record(proposal, &answer);
        }
        answer
    }

    fn is_deduplicated(&self, table: &str) -> bool {
        self.slots.get(table).is_some_and(|slot| slot.deduplicated)
    }

    fn apply_new(&mut self, revision: Revision, proposal: &Proposal) -> Result<Vec<u8>, Rejection> {
        let Some(slot) = self.slots.get_mut(proposal.table.as_str()) else {
            return Err(Rejection::Unreadable {
                table: proposal.table.clone(),
                reason: "no such table".to_owned(),
            });
        };
        check_expected(slot.change.as_ref(), proposal)?;
        let context = ApplyContext {
            revision,
            at: proposal.at,
            author: &proposal.author,
        };
        let reply = slot.table.apply_bytes(&context, &proposal.command)?;
        slot.change = Some(LastChange {
            revision,
            author: proposal.author.clone(),
            request: proposal.id,
        });
        Ok(reply)
    }

    /// Encodes every held table, with the recorded answers.
    pub fn image(&self) -> Result<TableImage, CodecError> {
        let mut image = self.image_where(|_| true)?;
        image.requests = self.requests.clone();
        Ok(image)
    }

    /// Encodes the distributed tables, without the recorded answers.
    pub fn distributed_image(&self) -> Result<TableImage, CodecError> {
        self.image_where(|slot| slot.distributed)
    }

    fn image_where<F>(&self, filter: F) -> Result<TableImage, CodecError>
    where
        F: Fn(&Slot) -> bool,
    {
        let mut image = TableImage {
            revision: self.revision,
            ..TableImage::default()
        };
        for (name, slot) in self.slots.iter().filter(|(_, slot)| filter(slot)) {
            image
                .tables
                .insert((*name).to_owned(), ByteBuf::from(slot.table.to_bytes()?));
            if let Some(change) = &slot.change {
                image.changes.insert((*name).to_owned(), change.clone());
            }
        }
        Ok(image)
    }

    /// Replaces the state by an image. Held tables that the image lacks become empty; tables of
    /// the image that are not held here are ignored.
    pub fn restore(&mut self, image: &TableImage) -> Result<(), CodecError> {
        let mut fresh = Self::open_where(|_| true);
        fresh.slots.retain(|name, _| self.slots.contains_key(name));
        for (name, slot) in &mut fresh.slots {
            if let Some(bytes) = image.tables.get(*name) {
                slot.table.load_bytes(bytes)?;
            }
            slot.change = image.changes.get(*name).cloned();
        }
        fresh.revision = image.revision;
        fresh.requests = image.requests.clone();
        *self = fresh;
        Ok(())
    }

    /// Encodes the full image; replicas at the same revision produce the same bytes.
    pub fn to_bytes(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode(&self.image()?)
    }
}

fn check_expected(change: Option<&LastChange>, proposal: &Proposal) -> Result<(), Rejection> {
    let Some(expected) = proposal.expected else {
        return Ok(());
    };
    match change {
        Some(last) if last.revision != expected => Err(Rejection::Conflict {
            revision: last.revision,
            winner: last.author.clone(),
            request: last.request,
        }),
        None if expected != Revision(0) => Err(Rejection::Conflict {
            revision: Revision(0),
            winner: "nobody".to_owned(),
            request: RequestId(0),
        }),
        _ => Ok(()),
    }
}
