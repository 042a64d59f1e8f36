//! The table of upstreams that report to the control daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::ReportError;
use dandelion_protocol::incarnations::UpstreamEnd;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::incarnations::is_start;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Most ended incarnations that are remembered; the one that started earliest is removed first.
const MAX_ENDED: usize = 4_096;

/// Most upstreams, silent ones included; further ones are rejected until some have ended.
const MAX_KNOWN: usize = 32_768;

/// Most addresses that are remembered; the one whose incarnation started earliest is removed first.
const MAX_ADDRESSES: usize = 65_536;

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
    /// Whether its latest recorded report shows it as cold. False if a daemon of an earlier version
    /// recorded it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    cold: bool,
    /// Revision of the latest recorded report.
    #[serde(default)]
    recorded: Revision,
}

/// Whether an upstream is cold, and since which revision that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Warmth {
    /// Whether its latest recorded report shows it as cold.
    pub cold: bool,
    /// Revision of that report.
    pub recorded: Revision,
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
    /// Known upstream at each address; made anew from `known` after the table was read.
    #[serde(skip)]
    occupants: BTreeMap<SocketAddr, UpstreamId>,
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
        /// Whether the report shows the upstream as cold.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        cold: bool,
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

    /// Iterates over the known upstreams that are not silent, each with whether it is cold.
    pub fn warmth(&self) -> impl Iterator<Item = (&UpstreamIncarnation, Warmth)> {
        let reporting = self.known.values().filter(|known| !known.silent);
        reporting.map(|known| {
            let (cold, recorded) = (known.cold, known.recorded);
            (&known.life, Warmth { cold, recorded })
        })
    }

    fn report(
        &mut self,
        mut life: UpstreamIncarnation,
        sequence: u64,
        cold: bool,
        (now, revision): (WallMillis, Revision),
    ) -> Result<(), Rejection> {
        life.check(sequence, now).map_err(invalid_report)?;
        self.drop_impossible(&life, now);
        if !self.known.contains_key(&life.id) && self.known.len() >= MAX_KNOWN {
            return Err(Rejection::invalid(
                "report",
                "too many upstreams are known",
                "find out who reports upstreams that don't exist",
            ));
        }
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
        let occupant = self.occupants.get(&life.address);
        let displaced = occupant.filter(|id| **id != life.id);
        let displaced = displaced.and_then(|id| self.known.get(id));
        let displaced = displaced.map(|known| known.life.clone());
        let outdated = ended.is_some_and(|born| *born >= life.born)
            || known.map_or(life.born <= self.ended_floor, older)
            || taken
            || displaced
                .as_ref()
                .is_some_and(|other| other.born >= life.born);
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
        if let Some(other) = displaced {
            self.remove_known(&other.id);
            self.mark_ended(other.id, other.born);
        }
        self.remove_known(&life.id);
        self.occupants.insert(address, life.id.clone());
        self.addresses.insert(address, born);
        self.evict_address();
        let record = UpstreamRecord {
            life,
            sequence,
            silent: false,
            cold,
            recorded: revision,
        };
        self.known.insert(record.life.id.clone(), record);
        Ok(())
    }

    /// Indexes the known upstreams by address if that was not done since the table was read.
    fn index(&mut self) {
        if self.occupants.is_empty() {
            let known = self.known.values();
            self.occupants = known
                .map(|known| (known.life.address, known.life.id.clone()))
                .collect();
        }
    }

    fn remove_known(&mut self, id: &UpstreamId) {
        if let Some(record) = self.known.remove(id) {
            self.occupants.remove(&record.life.address);
        }
    }

    /// Drops what would reject a report but can't be true: a daemon of an earlier version may have
    /// recorded it.
    fn drop_impossible(&mut self, life: &UpstreamIncarnation, now: WallMillis) {
        let is_possible = |born: &WallMillis| is_start(*born, now);
        if !self.ended.get(&life.id).is_none_or(is_possible) {
            self.ended.remove(&life.id);
        }
        if !self.addresses.get(&life.address).is_none_or(is_possible) {
            self.addresses.remove(&life.address);
        }
        if !is_possible(&self.ended_floor) {
            self.ended_floor = WallMillis::default();
        }
        let rejecting = [Some(&life.id), self.occupants.get(&life.address)];
        for id in rejecting
            .map(Option::<&UpstreamId>::cloned)
            .into_iter()
            .flatten()
        {
            let known = self.known.get(&id);
            if known.is_some_and(|known| known.life.check(known.sequence, now).is_err()) {
                self.remove_known(&id);
            }
        }
    }

    /// Drops the address whose incarnation started earliest if there are too many.
    fn evict_address(&mut self) {
        if self.addresses.len() > MAX_ADDRESSES {
            let oldest = self.addresses.iter().min_by_key(|(_, born)| **born);
            if let Some(address) = oldest.map(|(address, _)| *address) {
                self.addresses.remove(&address);
            }
        }
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
                self.remove_known(&life.id);
                self.mark_ended(life.id, life.born);
            }
        }
    }

    fn end(&mut self, end: &UpstreamEnd, now: WallMillis) -> Result<(), Rejection> {
        if end.born.is_some_and(|born| !is_start(born, now)) {
            return Err(invalid_report(ReportError::Start));
        }
        let known = self.known.get(&end.id).map(|known| known.life.born);
        let Some(born) = end.born.or(known) else {
            return Ok(());
        };
        if known.is_some_and(|known| known <= born) {
            self.remove_known(&end.id);
        }
        self.mark_ended(end.id.clone(), born);
        Ok(())
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

fn invalid_report(error: ReportError) -> Rejection {
    Rejection::invalid("report", &error.to_string(), "correct the report")
}

impl Table for UpstreamsTable {
    const NAME: &'static str = "lives";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = UpstreamsCommand;
    type Reply = ();

    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        command: UpstreamsCommand,
    ) -> Result<(), Rejection> {
        self.index();
        match command {
            UpstreamsCommand::Report {
                life,
                sequence,
                cold,
            } => self.report(life, sequence, cold, (context.at, context.revision)),
            UpstreamsCommand::End(end) => self.end(&end, context.at),
            UpstreamsCommand::Forget { id, born } => {
                self.forget(&id, born);
                Ok(())
            }
        }
    }
}

#[distributed_slice(TABLES)]
static UPSTREAMS: TableEntry = TableEntry::of::<UpstreamsTable>();
