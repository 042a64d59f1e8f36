//! Replicated tables and their registration.

use std::any::Any;

use dandelion_protocol::codec;
use dandelion_protocol::codec::CodecError;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Every table linked into the process.
#[distributed_slice]
pub static TABLES: [TableEntry];

/// Metadata of the log entry that a table applies.
#[derive(Debug, Clone, Copy)]
pub struct ApplyContext<'a> {
    /// Revision of the entry: its index in the log.
    pub revision: Revision,
    /// Time that the leader stamped on the entry; never decreases along the log.
    pub at: WallMillis,
    /// Operator or daemon that proposed the change.
    pub author: &'a str,
}

/// A replicated table: its contents are a deterministic function of the commands applied to it.
pub trait Table: Default + Serialize + DeserializeOwned + Send + 'static {
    /// Unique name, recorded in every proposal.
    const NAME: &'static str;
    /// Whether the table is distributed: every daemon holds a copy. Otherwise only control daemons,
    /// which replicate the log, do.
    const DISTRIBUTED: bool;
    /// Whether answers are recorded by request id, so that a resend gets the first answer.
    /// A table that receives many commands sets this to false and makes its commands idempotent.
    const DEDUPLICATED: bool;
    /// A change of the table; travels CBOR-encoded in a proposal.
    type Command: Serialize + DeserializeOwned;
    /// Result of an applied command; travels CBOR-encoded in an answer.
    type Reply: Serialize + DeserializeOwned;

    /// Applies one command. A rejected command must leave the table unchanged.
    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        command: Self::Command,
    ) -> Result<Self::Reply, Rejection>;
}

/// Registration of one table in [`TABLES`].
#[derive(Debug, Clone, Copy)]
pub struct TableEntry {
    /// Name under which proposals address the table; see [`Table::NAME`].
    pub name: &'static str,
    /// Whether every daemon holds a copy; see [`Table::DISTRIBUTED`].
    pub distributed: bool,
    /// Whether answers are recorded by request id; see [`Table::DEDUPLICATED`].
    pub deduplicated: bool,
    open: fn() -> Box<dyn ErasedTable>,
}

impl TableEntry {
    /// Creates the registration of table `T`, to be put into [`TABLES`].
    pub const fn of<T>() -> Self
    where
        T: Table,
    {
        Self {
            name: T::NAME,
            distributed: T::DISTRIBUTED,
            deduplicated: T::DEDUPLICATED,
            open: open_empty::<T>,
        }
    }

    pub(crate) fn open(&self) -> Box<dyn ErasedTable> {
        (self.open)()
    }
}

fn open_empty<T>() -> Box<dyn ErasedTable>
where
    T: Table,
{
    Box::new(T::default())
}

/// Object-safe form of [`Table`]: commands, replies and contents are encoded as CBOR.
pub(crate) trait ErasedTable: Send {
    fn apply_bytes(
        &mut self,
        context: &ApplyContext<'_>,
        command: &[u8],
    ) -> Result<Vec<u8>, Rejection>;
    fn to_bytes(&self) -> Result<Vec<u8>, CodecError>;
    fn load_bytes(&mut self, bytes: &[u8]) -> Result<(), CodecError>;
    fn as_any(&self) -> &dyn Any;
}

impl<T> ErasedTable for T
where
    T: Table,
{
    fn apply_bytes(
        &mut self,
        context: &ApplyContext<'_>,
        command: &[u8],
    ) -> Result<Vec<u8>, Rejection> {
        let command = codec::decode(command).map_err(|e| unreadable(T::NAME, &e))?;
        let reply = self.apply(context, command)?;
        codec::encode(&reply).map_err(|e| unreadable(T::NAME, &e))
    }

    fn to_bytes(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode(self)
    }

    fn load_bytes(&mut self, bytes: &[u8]) -> Result<(), CodecError> {
        *self = codec::decode(bytes)?;
        Ok(())
    }

    fn as_any(&self) -> &dyn Any {
        self
    }
}

fn unreadable(table: &str, error: &CodecError) -> Rejection {
    Rejection::Unreadable {
        table: table.to_owned(),
        reason: error.to_string(),
    }
}
