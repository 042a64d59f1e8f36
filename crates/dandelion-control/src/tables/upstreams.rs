//! The table of upstreams that report to the control daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamEnd;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Most ended incarnations that are remembered; the one that started earliest is removed first. A
/// late report of a removed one is accepted as if the upstream were running.
const MAX_ENDED: usize = 4_096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct UpstreamRecord {
    life: UpstreamIncarnation,
    sequence: u64,
}

/// Upstreams by name. Each has at most one incarnation here, and each address at most one upstream.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct UpstreamsTable {
    known: BTreeMap<UpstreamId, UpstreamRecord>,
    /// Start of the latest incarnation of each upstream that has ended.
    ended: BTreeMap<UpstreamId, WallMillis>,
    /// Start of the newest incarnation that reported each address.
    addresses: BTreeMap<SocketAddr, WallMillis>,
}

/// A change of the known upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamsCommand {
    /// An upstream started or reported a change. Reports older than what is known are rejected.
    Report {
        /// Reported state of the incarnation.
        life: UpstreamIncarnation,
        /// Number of the report within the incarnation; rises with each report.
        sequence: u64,
    },
    /// An upstream reported its end; later reports of that incarnation are rejected.
    End(UpstreamEnd),
    /// No report of an upstream arrived for long. Unlike after `End`, the same incarnation may
    /// report again.
    Forget {
        /// Name of the upstream.
        id: UpstreamId,
        /// Start of the incarnation to remove; any other one stays.
        born: WallMillis,
    },
}

impl UpstreamsTable {
    /// Iterates over the known upstreams, ordered by name.
    pub fn incarnations(&self) -> impl Iterator<Item = &UpstreamIncarnation> {
        self.known.values().map(|known| &known.life)
    }

    fn report(&mut self, life: UpstreamIncarnation, sequence: u64) -> Result<(), Rejection> {
        let ended = self.ended.get(&life.id);
        let older = |known: &UpstreamRecord| {
            known.life.born > life.born
                || (known.life.born == life.born && known.sequence > sequence)
        };
        let outdated = ended.is_some_and(|born| *born >= life.born)
            || self.known.get(&life.id).is_some_and(older)
            || self
                .addresses
                .get(&life.address)
                .is_some_and(|born| *born > life.born);
        if outdated {
            return Err(Rejection::invalid(
                "report",
                "a later one of this upstream or of its address is known",
                "nothing is to be done",
            ));
        }
        let (address, born) = (life.address, life.born);
        self.known
            .retain(|id, known| known.life.address != address || *id == life.id);
        self.addresses.insert(address, born);
        self.known
            .insert(life.id.clone(), UpstreamRecord { life, sequence });
        Ok(())
    }

    fn end(&mut self, end: &UpstreamEnd) {
        let known = self.known.get(&end.id).map(|known| known.life.born);
        let Some(born) = end.born.or(known) else {
            return;
        };
        if known.is_some_and(|known| known <= born) {
            self.known.remove(&end.id);
        }
        let ended = self.ended.entry(end.id.clone()).or_default();
        *ended = born.max(*ended);
        if self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, born)| **born);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.ended.remove(&id);
            }
        }
    }
}

impl Table for UpstreamsTable {
    const NAME: &'static str = "lives";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = UpstreamsCommand;
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, command: UpstreamsCommand) -> Result<(), Rejection> {
        match command {
            UpstreamsCommand::Report { life, sequence } => self.report(life, sequence),
            UpstreamsCommand::End(end) => {
                self.end(&end);
                Ok(())
            }
            UpstreamsCommand::Forget { id, born } => {
                let same = |known: &UpstreamRecord| known.life.born == born;
                if self.known.get(&id).is_some_and(same) {
                    self.known.remove(&id);
                }
                Ok(())
            }
        }
    }
}

#[distributed_slice(TABLES)]
static UPSTREAMS: TableEntry = TableEntry::of::<UpstreamsTable>();
