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

/// Most ended incarnations that are remembered; the one that started earliest is removed first.
const MAX_ENDED: usize = 4_096;

/// Most silent incarnations that are remembered; the one that started earliest counts as ended.
const MAX_SILENT: usize = 4_096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct UpstreamRecord {
    /// Latest recorded state. Once an incarnation is not ready it stays so, and the first version of
    /// its software that it names is final.
    life: UpstreamIncarnation,
    sequence: u64,
    /// Whether it was removed for being silent. The record stays, so that a late report is still
    /// recognised and the incarnation still known to leave when it reports again.
    #[serde(default)]
    silent: bool,
}

/// Upstreams by name. Each has at most one incarnation here, and each address at most one upstream.
///
/// What is known of an incarnation only moves forward: it is ready, leaves, has ended. Neither a late
/// report nor a time without reports takes it back.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct UpstreamsTable {
    known: BTreeMap<UpstreamId, UpstreamRecord>,
    /// Start of the latest incarnation of each upstream that has ended.
    ended: BTreeMap<UpstreamId, WallMillis>,
    /// Latest start among the incarnations that were removed from `ended`. Unknown incarnations
    /// that started no later count as ended too.
    #[serde(default)]
    ended_floor: WallMillis,
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
    /// report again, and is then still known to leave if it was.
    Forget {
        /// Name of the upstream.
        id: UpstreamId,
        /// Start of the incarnation to remove; any other one stays.
        born: WallMillis,
    },
}

impl UpstreamsTable {
    /// Iterates over the known upstreams that are not silent, ordered by name.
    pub fn incarnations(&self) -> impl Iterator<Item = &UpstreamIncarnation> {
        let reporting = self.known.values().filter(|known| !known.silent);
        reporting.map(|known| &known.life)
    }

    fn report(&mut self, mut life: UpstreamIncarnation, sequence: u64) -> Result<(), Rejection> {
        let ended = self.ended.get(&life.id);
        let known = self.known.get(&life.id);
        let older = |known: &UpstreamRecord| {
            let repeated = known.silent && known.sequence == sequence;
            known.life.born > life.born
                || (known.life.born == life.born && (known.sequence > sequence || repeated))
        };
        let taken = self
            .addresses
            .get(&life.address)
            .is_some_and(|born| *born > life.born);
        let is_other =
            |known: &UpstreamRecord| known.life.address == life.address && known.life.id != life.id;
        let others = self.known.values().filter(|known| is_other(known));
        let displaced: Vec<UpstreamIncarnation> = others.map(|known| known.life.clone()).collect();
        let outdated = ended.is_some_and(|born| *born >= life.born)
            || known.map_or(life.born <= self.ended_floor, older)
            || taken
            || displaced.iter().any(|other| other.born >= life.born);
        if outdated {
            return Err(Rejection::invalid(
                "report",
                "a later one of this upstream or of its address is known",
                "nothing is to be done",
            ));
        }
        if let Some(known) = known.filter(|known| known.life.born == life.born) {
            life.ready &= known.life.ready;
            if known.life.software.is_known() {
                life.software = known.life.software.clone();
            }
        }
        let (address, born) = (life.address, life.born);
        for other in displaced {
            self.known.remove(&other.id);
            self.mark_ended(other.id, other.born);
        }
        self.addresses.insert(address, born);
        let record = UpstreamRecord {
            life,
            sequence,
            silent: false,
        };
        self.known.insert(record.life.id.clone(), record);
        Ok(())
    }

    fn forget(&mut self, id: &UpstreamId, born: WallMillis) {
        let known = self.known.get_mut(id);
        if let Some(known) = known.filter(|known| known.life.born == born) {
            known.silent = true;
        }
        let silent = self.known.values().filter(|known| known.silent);
        if silent.clone().count() > MAX_SILENT {
            let oldest = silent.min_by_key(|known| known.life.born);
            if let Some(life) = oldest.map(|known| known.life.clone()) {
                self.known.remove(&life.id);
                self.mark_ended(life.id, life.born);
            }
        }
    }

    fn end(&mut self, end: &UpstreamEnd) {
        let known = self.known.get(&end.id).map(|known| known.life.born);
        let Some(born) = end.born.or(known) else {
            return;
        };
        if known.is_some_and(|known| known <= born) {
            self.known.remove(&end.id);
        }
        self.mark_ended(end.id.clone(), born);
    }

    fn mark_ended(&mut self, id: UpstreamId, born: WallMillis) {
        let ended = self.ended.entry(id).or_default();
        *ended = born.max(*ended);
        if self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, born)| **born);
            if let Some((id, born)) = oldest.map(|(id, born)| (id.clone(), *born)) {
                self.ended.remove(&id);
                self.ended_floor = self.ended_floor.max(born);
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
                self.forget(&id, born);
                Ok(())
            }
        }
    }
}

#[distributed_slice(TABLES)]
static UPSTREAMS: TableEntry = TableEntry::of::<UpstreamsTable>();
