//! The invariants, checked after every simulated step.

use std::collections::BTreeMap;

use dandelion_control::raft::Entry;
use dandelion_control::raft::Role;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;

use crate::support::tally::Tally;
use crate::support::vm::Node;
use crate::support::vm::Slot;

/// Whole tables are compared at every revision that this divides.
const SAMPLING: u64 = 4;

#[derive(Debug, Default)]
pub struct Checks {
    /// The first violation seen.
    pub failure: Option<String>,
    leaders: BTreeMap<Term, usize>,
    committed: BTreeMap<u64, Entry>,
    seen: BTreeMap<usize, u64>,
    images: BTreeMap<u64, Vec<u8>>,
    spread: BTreeMap<u64, Vec<u8>>,
    pub firsts: BTreeMap<u64, Answer>,
    clients: BTreeMap<usize, (u64, Revision)>,
}

impl Checks {
    pub fn fail(&mut self, message: String) {
        self.failure.get_or_insert(message);
    }

    /// A resend gets the first answer.
    pub fn answer(&mut self, ticket: u64, result: &Result<Answer, ProposeError>) {
        let Ok(answer) = result else {
            return;
        };
        let first = self.firsts.entry(ticket).or_insert_with(|| answer.clone());
        if first != answer {
            let message = format!("proposal {ticket} got {answer:?} after {first:?}");
            self.fail(message);
        }
    }

    pub fn check(&mut self, now: u64, slots: &mut [Slot]) {
        self.check_charge(now, slots);
        for (number, slot) in slots.iter_mut().enumerate() {
            if let Some(node) = &slot.node {
                self.check_leader(number, node);
                self.check_commit(number, node);
            }
            self.check_client(now, number, slot);
        }
        self.check_in_force(now, slots);
    }

    /// At most one daemon is in charge at any true instant.
    fn check_charge(&mut self, now: u64, slots: &[Slot]) {
        let holds = |slot: &&Slot| {
            let clock = slot.clock(now);
            let node = slot.node.as_ref();
            node.is_some_and(|n| n.leased_term(clock, Millis::ZERO).is_some())
        };
        let holders = slots.iter().filter(holds).count();
        if holders > 1 {
            self.fail(format!("{holders} daemons in charge at {now}"));
        }
    }

    /// One leader a term, and it holds everything that was committed.
    fn check_leader(&mut self, number: usize, node: &Node) {
        let replica = node.replica();
        if replica.role() != Role::Leader {
            return;
        }
        let known = self.leaders.insert(replica.term(), number);
        if known == Some(number) {
            return;
        }
        if let Some(other) = known {
            let term = replica.term();
            self.fail(format!("vm-{other} and vm-{number} lead term {term}"));
        }
        for (index, entry) in self.committed.range(replica.snapshot().at.index + 1..) {
            if replica.log().get(*index) != Some(entry) {
                let message = format!("new leader vm-{number} lacks committed entry {index}");
                self.failure.get_or_insert(message);
            }
        }
    }

    /// Logs match in what is committed, and equal revisions have equal tables.
    fn check_commit(&mut self, number: usize, node: &Node) {
        let replica = node.replica();
        let held = replica.log().get(replica.commit());
        let known = self.committed.get(&replica.commit());
        let differs = held.zip(known).is_some_and(|(held, known)| held != known);
        if differs || replica.commit() > replica.log().last().index {
            let index = replica.commit();
            self.fail(format!("vm-{number} lost committed entry {index}"));
        }
        let seen = self.seen.insert(number, replica.commit()).unwrap_or(0);
        if seen == replica.commit() {
            return;
        }
        let first = (replica.log().base().index + 1).max(seen.min(replica.commit()));
        for index in first.max(1)..=replica.commit() {
            let Some(entry) = replica.log().get(index) else {
                continue;
            };
            let known = self.committed.entry(index).or_insert_with(|| entry.clone());
            if known != entry {
                let message = format!("vm-{number} committed another entry {index}");
                self.failure.get_or_insert(message);
            }
        }
        self.check_tally(node);
        self.check_tables(number, node);
    }

    fn check_tables(&mut self, number: usize, node: &Node) {
        let revision = node.revision().0;
        if !revision.is_multiple_of(SAMPLING) {
            return;
        }
        let bytes = node.tables().to_bytes().unwrap();
        let known = self.images.entry(revision).or_insert_with(|| bytes.clone());
        if *known != bytes {
            self.fail(format!(
                "vm-{number} has other tables at revision {revision}"
            ));
        }
        let spread = spread_bytes(node.tables());
        self.spread.entry(revision).or_insert(spread);
    }

    /// No proposal takes effect twice.
    fn check_tally(&mut self, node: &Node) {
        let tally = node.tables().table::<Tally>().unwrap();
        if let Some((id, times)) = tally.0.iter().find(|(_, times)| **times > 1) {
            self.fail(format!("proposal {id} took effect {times} times"));
        }
    }

    /// A daemon never goes back, in one life or, under a lease, over its lives; and its copy is
    /// the control daemons' state.
    fn check_client(&mut self, now: u64, number: usize, slot: &mut Slot) {
        let Some(client) = &slot.client else {
            return;
        };
        let revision = client.revision();
        let known = self.clients.insert(number, (slot.lives, revision));
        let same = known.filter(|(life, _)| *life == slot.lives);
        if same.is_some_and(|(_, before)| before > revision) {
            self.fail(format!("the copy of vm-{number} went back to {revision}"));
        }
        let moved = same.is_none_or(|(_, before)| before < revision);
        if moved && let Some(known) = self.spread.get(&revision.0) {
            let copy = spread_bytes(client.tables());
            if *known != copy {
                self.fail(format!("the copy of vm-{number} differs at {revision}"));
            }
        }
        if client.lease_valid(slot.clock(now)) {
            if revision < slot.held {
                self.fail(format!(
                    "vm-{number} went back from {} to {revision}",
                    slot.held
                ));
            }
            slot.held = slot.held.max(revision);
        }
    }

    /// Once a change is said to be in force, no daemon acts on an older state.
    fn check_in_force(&mut self, now: u64, slots: &[Slot]) {
        for leader in slots {
            let Some(node) = &leader.node else {
                continue;
            };
            let revision = node.revision();
            let reach = node.in_force(revision, leader.clock(now));
            if !reach.is_some_and(|reach| reach.is_complete()) {
                continue;
            }
            let stale = slots.iter().find(|slot| {
                let client = slot.client.as_ref();
                client.is_some_and(|c| c.lease_valid(slot.clock(now)) && c.revision() < revision)
            });
            if let Some(stale) = stale {
                let name = &stale.settings.daemon;
                self.fail(format!(
                    "{name} acts on less than {revision}, said to be in force"
                ));
            }
        }
    }
}

fn spread_bytes(tables: &dandelion_kernel::TableSet) -> Vec<u8> {
    let mut image = tables.spread_image().unwrap();
    // Copies number their changes by revision; the request is not part of the compared state.
    image.changes.clear();
    dandelion_protocol::codec::encode(&image).unwrap()
}
