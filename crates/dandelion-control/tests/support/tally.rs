//! A table that counts how many times each command took effect.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::codec;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Tally(pub BTreeMap<u64, u32>);

impl Table for Tally {
    const NAME: &'static str = "tally";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = true;
    type Command = u64;
    type Reply = u64;

    fn apply(&mut self, _: &ApplyContext<'_>, command: u64) -> Result<u64, Rejection> {
        *self.0.entry(command).or_default() += 1;
        Ok(self.0.len() as u64)
    }
}

#[distributed_slice(TABLES)]
static TALLY: TableEntry = TableEntry::of::<Tally>();

/// Proposes to count `number`, under a request id of the same number.
pub fn count(number: u64) -> Proposal {
    Proposal {
        id: RequestId(u128::from(number)),
        author: "tester".to_owned(),
        at: WallMillis(0),
        expected: None,
        table: Tally::NAME.to_owned(),
        command: codec::encode(&number).unwrap(),
    }
}
