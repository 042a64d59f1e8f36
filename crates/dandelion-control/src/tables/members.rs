//! The table of the cell's daemons.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::config::Member;
use dandelion_protocol::control::MEMBERS_TABLE;
use dandelion_protocol::control::MemberCommand;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ZoneId;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Most daemons in one cell.
pub const MAX_DAEMONS: usize = 4096;

/// Most departed daemons whose last incarnation is remembered, so that it cannot join again.
pub const MAX_DEPARTED: usize = 16_384;

/// Daemons that have joined and not left, and the last incarnation of departed ones.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct MembersTable {
    daemons: BTreeMap<DaemonId, Member>,
    departed: BTreeMap<DaemonId, Incarnation>,
}

impl MembersTable {
    /// Borrows the present daemons by name.
    pub fn daemons(&self) -> &BTreeMap<DaemonId, Member> {
        &self.daemons
    }

    /// Iterates over the present daemons of one availability zone.
    pub fn in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a Member> + 'a {
        self.daemons.values().filter(move |m| m.zone == *zone)
    }

    fn join(&mut self, member: Member) -> Result<(), Rejection> {
        let known = self.daemons.get(&member.id).map(|m| m.incarnation);
        let departed = self.departed.get(&member.id).copied();
        let older = known.is_some_and(|known| known > member.incarnation);
        let gone = departed.is_some_and(|gone| gone >= member.incarnation);
        if older || gone {
            return Err(Rejection::invalid(
                "incarnation",
                "a later life of this daemon is known",
                "stop the older process or raise the incarnation",
            ));
        }
        if known.is_none() && self.daemons.len() >= MAX_DAEMONS {
            return Err(Rejection::invalid(
                "daemon",
                "there are 4096 already",
                "remove daemons that are gone",
            ));
        }
        self.departed.remove(&member.id);
        self.daemons.insert(member.id.clone(), member);
        Ok(())
    }

    fn leave(&mut self, id: &DaemonId, incarnation: Incarnation) -> Result<(), Rejection> {
        let known = self.daemons.get(id).map(|m| m.incarnation);
        if known.is_none_or(|known| known > incarnation) {
            return Err(Rejection::NotFound {
                what: format!("daemon `{id}` incarnation {incarnation}"),
            });
        }
        self.daemons.remove(id);
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.pop_first();
        }
        self.departed.insert(id.clone(), incarnation);
        Ok(())
    }
}

impl Table for MembersTable {
    const NAME: &'static str = MEMBERS_TABLE;
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = MemberCommand;
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, command: MemberCommand) -> Result<(), Rejection> {
        match command {
            MemberCommand::Join(member) => self.join(member),
            MemberCommand::Leave { id, incarnation } => self.leave(&id, incarnation),
        }
    }
}

#[distributed_slice(TABLES)]
static MEMBERS: TableEntry = TableEntry::of::<MembersTable>();
