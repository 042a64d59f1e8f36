//! Benchmarks: an arrival and the end of a request at an owner, by number of upstreams, and the
//! choice of an owner by an entry, by number of daemons.

use std::collections::BTreeSet;

use criterion::BenchmarkId;
use criterion::Criterion;
use dandelion_kernel::Machine;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;
use dandelion_protocol::upstream::PriceKind;
use dandelion_protocol::upstream::ReportedLoad;
use dandelion_protocol::upstream::UpstreamKind;
use dandelion_protocol::usage::Class;
use dandelion_route::digest::OwnerDigest;
use dandelion_route::digest::ServiceDigest;
use dandelion_route::digest::ServiceTag;
use dandelion_route::entry::EntryView;
use dandelion_route::entry::OwnerQuery;
use dandelion_route::queue::Arrival;
use dandelion_route::queue::Finish;
use dandelion_route::queue::OwnerQueue;
use dandelion_route::queue::QueueEvent;
use dandelion_route::queue::QueueSettings;
use dandelion_route::registry::Change;
use dandelion_route::ticket::Fingerprint;
use dandelion_route::ticket::PrefixHash;
use dandelion_route::ticket::Ticket;
use dandelion_route::ticket::Work;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const WORK: Work = Work {
    prompt: 400,
    output: 64,
};

fn service() -> ServiceId {
    "draft".parse().expect("name")
}

fn announce(n: u32) -> Announcement {
    Announcement {
        upstream: format!("engine-{n}").parse().expect("name"),
        boot: Incarnation(1),
        sequence: 100,
        zone: "a".parse().expect("name"),
        address: "127.0.0.1:1".to_owned(),
        service: service(),
        kind: UpstreamKind::Engine,
        price: PriceKind::Regular,
        capacity: 8,
        version: None,
        checks_fencing: true,
        resumes: true,
        leaving: false,
        load: ReportedLoad::default(),
        software: SoftwareVersion::default(),
    }
}

fn arrival(n: u64) -> Arrival {
    Arrival {
        ticket: Ticket(n),
        team: Some(format!("team-{}", n % 8).parse().expect("name")),
        class: Class::Interactive,
        work: WORK,
        deadline: Millis(u64::MAX),
        fingerprint: Fingerprint(n),
        prefix: Some(PrefixHash(n % 500)),
        resumable: false,
        software: SoftwareVersion::default(),
    }
}

/// Keeps every upstream half full; each iteration is one arrival and the end of the oldest request.
fn owner(c: &mut Criterion) {
    let mut group = c.benchmark_group("owner_arrive_and_finish");
    for upstreams in [10, 100, 1000, 10_000_u32] {
        let mut queue = OwnerQueue::open(QueueSettings::new(service()));
        let mut actions = Vec::new();
        for n in 0..upstreams {
            let joined = QueueEvent::Upstream(Change::Joined(announce(n)));
            queue.handle(Millis(0), joined, &mut actions);
        }
        let mut next = 0;
        for _ in 0..upstreams * 4 {
            queue.handle(Millis(1), QueueEvent::Arrive(arrival(next)), &mut actions);
            next += 1;
        }
        let running = u64::from(upstreams) * 4;
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            b.iter(|| {
                actions.clear();
                queue.handle(Millis(1), QueueEvent::Arrive(arrival(next)), &mut actions);
                let finished = QueueEvent::Finished {
                    ticket: Ticket(next - running),
                    finish: Finish::Clean,
                    work: WORK,
                    latency: Millis(740),
                };
                queue.handle(Millis(1), finished, &mut actions);
                next += 1;
                actions.len()
            });
        });
    }
    group.finish();
}

fn entry(c: &mut Criterion) {
    let mut group = c.benchmark_group("entry_pick_owner");
    for daemons in [3, 8, 24, 72_u64] {
        let zone = "a".parse().expect("name");
        let mut view = EntryView::open("a".parse().expect("name"));
        for n in 0..daemons {
            let id: DaemonId = format!("daemon-{n}").parse().expect("name");
            let digest = OwnerDigest {
                boot: Incarnation(1),
                sequence: 1,
                leaving: false,
                services: vec![ServiceDigest {
                    tag: ServiceTag::of(&service()),
                    slots: 64,
                    inflight: 30,
                    queued: 0,
                    upstreams: 8,
                }],
            };
            view.ingest(Millis(0), &id, &zone, &digest);
        }
        let service = service();
        let mut rng = SmallRng::seed_from_u64(1);
        let evacuated = BTreeSet::new();
        let mut prefix = 0;
        group.bench_function(BenchmarkId::from_parameter(daemons), |b| {
            b.iter(|| {
                prefix += 1;
                let query = OwnerQuery {
                    service: &service,
                    prefix: Some(PrefixHash(prefix)),
                    suspect: None,
                    may_spill: true,
                    evacuated: &evacuated,
                };
                view.pick_owner(Millis(1), &query, &mut rng)
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    owner(&mut criterion);
    entry(&mut criterion);
    criterion.final_summary();
}
