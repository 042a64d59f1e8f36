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
use crate::support::vm::SimVm;

/// Complete tables are compared only at revisions that are multiples of this.
const TABLE_CHECK_INTERVAL: u64 = 4;

#[derive(Debug, Default)]
pub struct Checks {
    /// The first violation seen.
    pub failure: Option<String>,
    leaders: BTreeMap<Term, usize>,
    committed: BTreeMap<u64, Entry>,
    seen: BTreeMap<usize, u64>,
    /// Encoded tables by revision, as first seen on a control daemon.
    images: BTreeMap<u64, Vec<u8>>,
    /// The same of the distributed tables only.
    distributed: BTreeMap<u64, Vec<u8>>,
    /// First answer to each proposal, by ticket.
    pub first_answers: BTreeMap<u64, Answer>,
    clients: BTreeMap<usize, (u64, Revision)>,
}

impl Checks {
    pub fn fail(&mut self, message: String) {
        self.failure.get_or_insert(message);
    }

    /// A resend gets the same answer as the first send.
    pub fn check_answer(&mut self, ticket: u64, result: &Result<Answer, ProposeError>) {
        let Ok(answer) = result else {
            return;
        };
        let first = self
            .first_answers
            .entry(ticket)
            .or_insert_with(|| answer.clone());
        if first != answer {
            let message = format!("proposal {ticket} got {answer:?} after {first:?}");
            self.fail(message);
        }
    }

    pub fn check(&mut self, now: u64, vms: &mut [SimVm]) {
        self.check_leases(now, vms);
        for (number, vm) in vms.iter_mut().enumerate() {
            if let Some(node) = &vm.node {
                self.check_leader(number, node);
                self.check_commit(number, node);
            }
            self.check_client(now, number, vm);
        }
        self.check_in_force(now, vms);
    }

    /// At most one daemon holds an unexpired leader lease at any true time.
    fn check_leases(&mut self, now: u64, vms: &[SimVm]) {
        let holds = |vm: &&SimVm| {
            let clock = vm.clock(now);
            let node = vm.node.as_ref();
            node.is_some_and(|n| n.leased_term(clock, Millis::ZERO).is_some())
        };
        let holders = vms.iter().filter(holds).count();
        if holders > 1 {
            self.fail(format!("{holders} daemons hold the leader lease at {now}"));
        }
    }

    /// There is at most one leader in a term, and it has every committed entry.
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

    /// Committed entries are equal on all replicas, and so are the tables at equal revisions.
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
                let message = format!("vm-{number} committed a different entry {index}");
                self.failure.get_or_insert(message);
            }
        }
        self.check_tally(node);
        self.check_tables(number, node);
    }

    fn check_tables(&mut self, number: usize, node: &Node) {
        let revision = node.revision().0;
        if !revision.is_multiple_of(TABLE_CHECK_INTERVAL) {
            return;
        }
        let bytes = node.tables().to_bytes().unwrap();
        let known = self.images.entry(revision).or_insert_with(|| bytes.clone());
        if *known != bytes {
            self.fail(format!(
                "the tables of vm-{number} differ at revision {revision}"
            ));
        }
        let distributed = distributed_bytes(node.tables());
        self.distributed.entry(revision).or_insert(distributed);
    }

    /// No proposal takes effect twice.
    fn check_tally(&mut self, node: &Node) {
        let tally = node.tables().table::<Tally>().unwrap();
        if let Some((id, times)) = tally.0.iter().find(|(_, times)| **times > 1) {
            self.fail(format!("proposal {id} took effect {times} times"));
        }
    }

    /// The revision of a daemon's copy never decreases while the daemon runs nor, while it holds a
    /// lease, over its restarts; and the copy equals the control daemons' tables at its revision.
    fn check_client(&mut self, now: u64, number: usize, vm: &mut SimVm) {
        let Some(client) = &vm.client else {
            return;
        };
        let revision = client.revision();
        let known = self.clients.insert(number, (vm.starts, revision));
        let same = known.filter(|(start, _)| *start == vm.starts);
        if same.is_some_and(|(_, before)| before > revision) {
            self.fail(format!(
                "the copy of vm-{number} went back to revision {revision}"
            ));
        }
        let moved = same.is_none_or(|(_, before)| before < revision);
        if moved && let Some(known) = self.distributed.get(&revision.0) {
            let copy = distributed_bytes(client.tables());
            if *known != copy {
                self.fail(format!(
                    "the copy of vm-{number} differs at revision {revision}"
                ));
            }
        }
        if client.lease_valid(vm.clock(now)) {
            if revision < vm.leased_revision {
                self.fail(format!(
                    "vm-{number} went back from revision {} to {revision} under a lease",
                    vm.leased_revision
                ));
            }
            vm.leased_revision = vm.leased_revision.max(revision);
        }
    }

    /// Once the leader reports a revision as in force, no daemon holds a lease at an older one.
    fn check_in_force(&mut self, now: u64, vms: &[SimVm]) {
        for leader in vms {
            let Some(node) = &leader.node else {
                continue;
            };
            let revision = node.revision();
            let propagation = node.propagation(revision, leader.clock(now));
            if !propagation.is_some_and(|propagation| propagation.is_complete()) {
                continue;
            }
            let stale = vms.iter().find(|vm| {
                let client = vm.client.as_ref();
                client.is_some_and(|c| c.lease_valid(vm.clock(now)) && c.revision() < revision)
            });
            if let Some(stale) = stale {
                let name = &stale.settings.daemon;
                self.fail(format!(
                    "{name} holds a lease below revision {revision}, reported as in force"
                ));
            }
        }
    }
}

fn distributed_bytes(tables: &dandelion_kernel::TableSet) -> Vec<u8> {
    let mut image = tables.distributed_image().unwrap();
    // Copies replace request ids by revisions, so the recorded changes are not compared.
    image.changes.clear();
    dandelion_protocol::codec::encode(&image).unwrap()
}
