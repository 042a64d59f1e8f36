//! Which stores count as lost, and which silent ones do not.

use dandelion_batch::StoreHealth;
use dandelion_batch::store_health::HealthChange;
use dandelion_batch::store_health::PROBE_PERIOD;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::time::Millis;

/// Another store as its members and probes show it.
#[derive(Clone)]
struct Peer {
    member: Member,
    is_up: bool,
}

/// One store with its belief of the others.
struct Observer {
    health: StoreHealth,
    peers: Vec<Peer>,
    now: Millis,
}

impl Observer {
    /// Starts with `count` other stores, all up, `age` after it started.
    fn spawn(count: usize, is_new: bool, age: Millis) -> Self {
        let mut observer = Self {
            health: StoreHealth::open(is_new),
            peers: (0..count).map(peer).collect(),
            now: Millis(1_000),
        };
        observer.run(age);
        observer
    }

    /// Runs rounds of probes for `time`, and returns the stores that were lost meanwhile.
    fn run(&mut self, time: Millis) -> Vec<DaemonId> {
        let until = self.now + time;
        let mut lost = Vec::new();
        while self.now < until {
            let members = self.peers.iter().map(|peer| &peer.member);
            let mut changes = self.health.update(members, self.now);
            let probed = self.health.to_probe(self.now);
            let is_up = |id: &DaemonId| self.peers.iter().any(|p| p.member.id == *id && p.is_up);
            let answered: Vec<DaemonId> = probed.iter().filter(|id| is_up(id)).cloned().collect();
            self.now = self.now + PROBE_PERIOD;
            changes.extend(self.health.record(&probed, &answered));
            lost.extend(changes.into_iter().filter_map(|change| match change {
                HealthChange::Lost(store) => Some(store),
                HealthChange::Returned(_) => None,
            }));
        }
        lost
    }

    fn add(&mut self) {
        self.peers.push(peer(self.peers.len() + 10));
    }

    fn id(&self, at: usize) -> DaemonId {
        self.peers[at].member.id.clone()
    }
}

fn peer(number: usize) -> Peer {
    let member = Member {
        id: format!("store-{number}").parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "10.0.0.1:1".to_owned(),
        incarnation: Incarnation(1),
        leaving: false,
        role: Role::Store,
        host: String::new(),
    };
    Peer {
        member,
        is_up: true,
    }
}

const SETTLED: Millis = Millis(20_000);

/// LOST: the bodies of a store that was replaced were copied only once it was removed from the cell,
/// up to 22 s later.
#[test]
fn replaced_store() {
    for others in [2, 3, 9, 20] {
        let mut observer = Observer::spawn(others, false, SETTLED);
        observer.peers[0].is_up = false;
        assert!(observer.run(Millis(3_000)).is_empty(), "it may come back");
        observer.add();
        let lost = observer.run(Millis(1_000));
        assert_eq!(lost, [observer.id(0)]);
        observer.peers[0].is_up = true;
        observer.run(Millis(1_000));
        assert!(!observer.health.is_lost(&observer.id(0)), "it is back");
    }
}

/// Two stores are replaced at the same moment.
#[test]
fn two_replaced() {
    let mut observer = Observer::spawn(9, false, SETTLED);
    observer.peers[0].is_up = false;
    observer.peers[1].is_up = false;
    observer.add();
    observer.add();
    assert_eq!(observer.run(Millis(1_000)).len(), 2);
}

/// The replacement itself, and a store that lost its disk, know at once that something was lost.
#[test]
fn new_store() {
    let mut observer = Observer::spawn(3, true, Millis::ZERO);
    observer.peers[0].is_up = false;
    assert_eq!(observer.run(Millis(1_000)), [observer.id(0)]);
}

/// A planned replacement starts the new store first; the old one stops seconds later.
#[test]
fn planned_replacement() {
    let mut observer = Observer::spawn(3, false, SETTLED);
    observer.add();
    observer.run(Millis(4_000));
    observer.peers[0].member.leaving = true;
    assert_eq!(observer.run(Millis(500)), [observer.id(0)]);
}

/// A rolling restart, in which each store leaves and returns, replaces nothing.
#[test]
fn rolling_restart() {
    let mut observer = Observer::spawn(3, false, SETTLED);
    for at in 0..3 {
        observer.peers[at].member.leaving = true;
        assert!(observer.run(Millis(2_000)).is_empty());
        let mut stopped = observer.peers.remove(at);
        assert!(observer.run(Millis(2_000)).is_empty());
        stopped.member.leaving = false;
        observer.peers.insert(at, stopped);
        assert!(observer.run(Millis(800)).is_empty());
    }
}

/// Stores that are frozen, killed or cut off for seconds come back with their disks.
#[test]
fn silent_stores() {
    let mut observer = Observer::spawn(9, false, SETTLED);
    for time in [500, 2_000, 6_000] {
        observer.peers[2].is_up = false;
        observer.peers[3].is_up = false;
        assert!(observer.run(Millis(time)).is_empty());
        observer.peers[2].is_up = true;
        observer.peers[3].is_up = true;
        assert!(observer.run(Millis(time)).is_empty());
    }
}

/// A restarted store does not know who joined while it was down: it takes stores for lost that stay
/// silent for longer than those that were killed with it.
#[test]
fn restarted_store() {
    let mut observer = Observer::spawn(9, false, Millis::ZERO);
    observer.peers[0].is_up = false;
    observer.peers[1].is_up = false;
    assert!(observer.run(Millis(2_400)).is_empty());
    observer.peers[1].is_up = true;
    assert_eq!(observer.run(Millis(2_000)), [observer.id(0)]);
}

/// A store that is itself cut off from half of the others takes none of them for lost.
#[test]
fn own_cut() {
    let mut observer = Observer::spawn(5, false, SETTLED);
    observer.add();
    for peer in &mut observer.peers[..4] {
        peer.is_up = false;
    }
    assert!(observer.run(SETTLED).is_empty());
}

/// While nothing has happened, no store is probed.
#[test]
fn quiet_cell() {
    let mut observer = Observer::spawn(9, false, SETTLED);
    observer.peers[0].is_up = false;
    observer.run(SETTLED);
    assert!(observer.health.to_probe(observer.now).is_empty());
}
