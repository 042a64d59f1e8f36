//! The daemons that founded the group which stores batch jobs, and those that leave it for good.

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::DaemonId;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Founders of the store group, set once, so that no second group is founded; and daemons that are
/// being emptied.
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
    /// Names the founders, unless they are named already.
    Found(Vec<DaemonId>),
    /// A daemon is to be emptied; it takes no part from then on.
    Retire(DaemonId),
}

impl StoresTable {
    /// Borrows the founders; empty before the group is founded.
    pub fn founders(&self) -> &[DaemonId] {
        &self.founders
    }

    /// Borrows the daemons that are, or have been, emptied.
    pub fn retiring(&self) -> &[DaemonId] {
        &self.retiring
    }
}

impl Table for StoresTable {
    const NAME: &'static str = "stores";
    const SPREAD: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = StoresCommand;
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, command: StoresCommand) -> Result<(), Rejection> {
        match command {
            StoresCommand::Found(founders) if self.founders.is_empty() => {
                self.founders = founders;
            }
            StoresCommand::Retire(daemon) if !self.retiring.contains(&daemon) => {
                self.retiring.push(daemon);
            }
            StoresCommand::Found(_) | StoresCommand::Retire(_) => (),
        }
        Ok(())
    }
}

#[distributed_slice(TABLES)]
static STORES: TableEntry = TableEntry::of::<StoresTable>();
