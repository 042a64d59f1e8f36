//! The initial members of the store group, which stores batch jobs, and the daemons that leave it
//! permanently.

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::DaemonId;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Initial members of the store group, set only once so that no second group is created, and
/// daemons that are retiring: they are emptied so that they can be removed.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct StoresTable {
    founders: Vec<DaemonId>,
    #[serde(default)]
    retiring: Vec<DaemonId>,
}

/// A change of the store daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoresCommand {
    /// Sets the initial members; has no effect if they are set already.
    #[serde(rename = "found")]
    Bootstrap(Vec<DaemonId>),
    /// Retires a daemon: it is excluded from the store group from then on and is emptied.
    Retire(DaemonId),
}

impl StoresTable {
    /// Borrows the initial members; empty until they are set.
    pub fn founders(&self) -> &[DaemonId] {
        &self.founders
    }

    /// Borrows the daemons that are retiring or have retired.
    pub fn retiring(&self) -> &[DaemonId] {
        &self.retiring
    }
}

impl Table for StoresTable {
    const NAME: &'static str = "stores";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = StoresCommand;
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, command: StoresCommand) -> Result<(), Rejection> {
        match command {
            StoresCommand::Bootstrap(founders) if self.founders.is_empty() => {
                self.founders = founders;
            }
            StoresCommand::Retire(daemon) if !self.retiring.contains(&daemon) => {
                self.retiring.push(daemon);
            }
            StoresCommand::Bootstrap(_) | StoresCommand::Retire(_) => (),
        }
        Ok(())
    }
}

#[distributed_slice(TABLES)]
static STORES: TableEntry = TableEntry::of::<StoresTable>();
