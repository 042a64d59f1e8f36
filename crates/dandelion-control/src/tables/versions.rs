//! The table of the newest weight versions announced by trainers.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// The newest weight version by model.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct VersionsTable {
    newest: BTreeMap<String, u64>,
}

/// Announces a weight version; one older than the newest changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameVersion {
    /// Name of the model.
    pub model: String,
    /// Version of its weights; a later one is greater.
    pub version: u64,
}

impl VersionsTable {
    /// Borrows the newest weight version by model.
    pub fn newest(&self) -> &BTreeMap<String, u64> {
        &self.newest
    }
}

impl Table for VersionsTable {
    const NAME: &'static str = "versions";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = NameVersion;
    type Reply = u64;

    fn apply(&mut self, _: &ApplyContext<'_>, command: NameVersion) -> Result<u64, Rejection> {
        let newest = self.newest.entry(command.model).or_default();
        *newest = command.version.max(*newest);
        Ok(*newest)
    }
}

#[distributed_slice(TABLES)]
static VERSIONS: TableEntry = TableEntry::of::<VersionsTable>();
