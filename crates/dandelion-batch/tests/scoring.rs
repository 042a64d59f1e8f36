//! The queue of scoring requests: order, share of the service, retries, ends of jobs.

mod support;

use dandelion_batch::ScoringQueue;
use dandelion_batch::scoring::CallId;
use dandelion_batch::scoring::CallShare;
use dandelion_batch::scoring::Outcome;
use dandelion_batch::scoring::ScoringAction;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::ScoringRequest;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use quickcheck::quickcheck;

use support::engine;
use support::job;
use support::service;

fn upstream(name: &str) -> UpstreamId {
    engine(name, 1, 6).id
}

fn scored_job(id: &str, items: usize) -> BatchJob {
    let mut job = job(id, items);
    for item in &mut job.items {
        item.scoring = Some(ScoringRequest {
            id: format!("s{}", item.id),
            host: "h".to_owned(),
            path: "/score/1".to_owned(),
            body: Vec::new(),
        });
    }
    job
}

fn open(queue: &mut ScoringQueue, job: &BatchJob, slots: u32) {
    queue.open_job(Millis(0), job, &vec![true; job.items.len()]);
    queue.set_slots(&service(), slots);
    for item in 0..job.items.len() {
        queue.set_route(&job.id, item, Some((service(), 2)));
    }
}

fn sent(queue: &mut ScoringQueue, now: u64) -> Vec<(CallId, usize)> {
    let mut actions = Vec::new();
    queue.advance(Millis(now), &mut actions);
    let sent = actions.into_iter().filter_map(|action| match action {
        ScoringAction::Send { call, item, .. } => Some((call, item)),
        _ => None,
    });
    sent.collect()
}

fn finish(
    queue: &mut ScoringQueue,
    now: u64,
    call: CallId,
    outcome: Outcome,
) -> Vec<ScoringAction> {
    let mut actions = Vec::new();
    queue.finish(Millis(now), call, outcome, 0.5, &mut actions);
    actions
}

fn scored(took: u64) -> Outcome {
    Outcome::Scored {
        score: "d1".to_owned(),
        took: Millis(took),
    }
}

#[test]
fn scored_once() {
    let job = scored_job("j", 2);
    let mut queue = ScoringQueue::default();
    open(&mut queue, &job, 8);
    queue.push(Millis(0), "j", 1);
    queue.push(Millis(0), "j", 1);
    let [(call, 1)] = sent(&mut queue, 0)[..] else {
        panic!("one request for item 1");
    };
    assert!(sent(&mut queue, 10).is_empty());
    let actions = finish(&mut queue, 40, call, scored(30));
    assert!(matches!(
        &actions[..],
        [ScoringAction::List { item: 1, score, .. }] if score == "d1"
    ));
    assert!(finish(&mut queue, 41, call, scored(30)).is_empty());
    assert!(sent(&mut queue, 50).is_empty());
}

#[test]
fn complete_groups_first() {
    let job = scored_job("j", 6);
    let mut queue = ScoringQueue::default();
    open(&mut queue, &job, 2);
    // Groups are pairs: the first lacks an output, the second is complete.
    for item in [0, 2, 3] {
        queue.push(Millis(0), "j", item);
    }
    let mut order = Vec::new();
    for now in 0..3 {
        let [(call, item)] = sent(&mut queue, now)[..] else {
            panic!("one request at a time");
        };
        order.push(item);
        finish(&mut queue, now, call, scored(30));
    }
    assert_eq!(order, [2, 3, 0]);
}

#[test]
fn unwanted_groups_last() {
    let mut early = scored_job("early", 4);
    early.wanted = 1;
    early.due = Millis(1_000);
    let late = scored_job("late", 4);
    let mut queue = ScoringQueue::default();
    open(&mut queue, &late, 2);
    open(&mut queue, &early, 2);
    for item in [0, 1] {
        queue.push(Millis(0), "early", item);
        let [(call, _)] = sent(&mut queue, 0)[..] else {
            panic!("one request at a time");
        };
        finish(&mut queue, 0, call, scored(30));
    }
    // The job that is due first has the groups that its trainer waits for.
    queue.push(Millis(0), "early", 2);
    queue.push(Millis(0), "late", 0);
    let mut actions = Vec::new();
    queue.advance(Millis(0), &mut actions);
    assert!(matches!(
        &actions[..],
        [ScoringAction::Send { job, .. }] if job == "late"
    ));
}

#[test]
fn failed_answers_end_item() {
    let job = scored_job("j", 2);
    let mut queue = ScoringQueue::default();
    open(&mut queue, &job, 8);
    queue.push(Millis(0), "j", 0);
    let mut now = 0;
    for answer in 1..=job.attempts {
        let [(call, 0)] = sent(&mut queue, now)[..] else {
            panic!("the request is sent again");
        };
        // Neither broken connections nor refusals count.
        finish(&mut queue, now, call, Outcome::Broken(upstream("u1")));
        now += 5_000;
        let [(call, 0)] = sent(&mut queue, now)[..] else {
            panic!("the request is sent again");
        };
        let actions = finish(&mut queue, now, call, Outcome::Failed(upstream("u1")));
        let is_last = answer == job.attempts;
        assert_eq!(actions.len(), usize::from(is_last), "answer {answer}");
        now += 5_000;
    }
    assert!(sent(&mut queue, now).is_empty());
}

#[test]
fn failing_upstream_avoided() {
    let job = scored_job("j", 2);
    let mut queue = ScoringQueue::default();
    open(&mut queue, &job, 8);
    queue.push(Millis(0), "j", 0);
    let [(call, _)] = sent(&mut queue, 0)[..] else {
        panic!("one request");
    };
    finish(&mut queue, 0, call, Outcome::Broken(upstream("u1")));
    let mut actions = Vec::new();
    queue.advance(Millis(1_000), &mut actions);
    let [ScoringAction::Send { call, avoid, .. }] = &actions[..] else {
        panic!("the request is sent again");
    };
    assert_eq!(avoid, &[upstream("u1")]);
    // Without another upstream the same one is tried again.
    finish(&mut queue, 1_000, *call, Outcome::Withheld(Millis(0)));
    let mut actions = Vec::new();
    queue.advance(Millis(3_000), &mut actions);
    assert!(matches!(
        &actions[..],
        [ScoringAction::Send { avoid, .. }] if avoid.is_empty()
    ));
}

#[test]
fn ended_job_cancelled() {
    let job = scored_job("j", 4);
    let mut queue = ScoringQueue::default();
    open(&mut queue, &job, 4);
    for item in 0..4 {
        queue.push(Millis(0), "j", item);
    }
    let running = sent(&mut queue, 0);
    let mut actions = Vec::new();
    queue.end_job("j", &mut actions);
    let expected: Vec<ScoringAction> = running
        .iter()
        .map(|(call, _)| ScoringAction::Cancel(*call))
        .collect();
    assert_eq!(actions, expected);
    assert!(sent(&mut queue, 10_000).is_empty());
    assert!(finish(&mut queue, 10_000, running[0].0, scored(30)).is_empty());
}

#[test]
fn kept_until_route_returns() {
    let job = scored_job("j", 2);
    let mut queue = ScoringQueue::default();
    open(&mut queue, &job, 8);
    queue.set_route("j", 0, None);
    queue.push(Millis(0), "j", 0);
    queue.push(Millis(0), "j", 1);
    let [(call, 1)] = sent(&mut queue, 0)[..] else {
        panic!("only the item with a route");
    };
    finish(&mut queue, 30, call, scored(30));
    queue.set_route("j", 0, Some((service(), 2)));
    assert_eq!(sent(&mut queue, 39_000).len(), 1);
}

#[test]
fn given_up_after_retention() {
    let job = scored_job("j", 2);
    let mut queue = ScoringQueue::default();
    open(&mut queue, &job, 8);
    queue.set_route("j", 0, None);
    queue.push(Millis(0), "j", 0);
    assert!(sent(&mut queue, job.keep.0 - 1).is_empty());
    let mut actions = Vec::new();
    queue.advance(job.keep, &mut actions);
    assert!(matches!(
        &actions[..],
        [ScoringAction::GiveUp { item: 0, .. }]
    ));
}

#[test]
fn share_bounded() {
    fn prop(slots: u8, ends: Vec<(u8, u16)>) -> bool {
        let mut share = CallShare::open(u32::from(slots));
        let most = (u32::from(slots) / 2).max(1);
        for (kind, took) in ends {
            share.begin();
            match kind % 3 {
                0 => share.answered(Millis(u64::from(took))),
                1 => share.refused(),
                _ => share.end(),
            }
            if share.limit() < 1 || share.limit() > most || share.running() != 0 {
                return false;
            }
        }
        true
    }
    quickcheck(prop as fn(u8, Vec<(u8, u16)>) -> bool);
}

/// A service with a fixed number of slots and a queue in the order of arrival.
struct Service {
    /// When each slot is free again.
    slots: Vec<u64>,
}

impl Service {
    const WORK_MS: u64 = 30;

    /// Returns when a request that arrives now is answered.
    fn serve(&mut self, now: u64) -> u64 {
        let slot = self.slots.iter_mut().min().unwrap();
        *slot = (*slot).max(now) + Self::WORK_MS;
        *slot
    }
}

/// Plays callers' requests beside outputs that become complete at the same moment, and returns the
/// longest time to a caller's answer and the time until all outputs are scored.
fn play_burst(items: usize, is_bounded: bool) -> (u64, u64) {
    const SLOTS: u32 = 24;
    const CALLER_PERIOD: u64 = 20;
    let job = scored_job("j", items);
    let mut queue = ScoringQueue::default();
    let slots = if is_bounded { SLOTS } else { 1_000_000 };
    open(&mut queue, &job, slots);
    let mut service = Service {
        slots: vec![0; SLOTS as usize],
    };
    for item in 0..items {
        queue.push(Millis(0), "j", item);
    }
    let mut running: Vec<(u64, u64, CallId)> = Vec::new();
    let (mut longest, mut scored_at, mut left) = (0, 0, items);
    for now in 0..60_000 {
        let (done, rest) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        let done: Vec<(u64, u64, CallId)> = done;
        for (end, since, call) in done {
            left -= finish(&mut queue, now, call, scored(end - since)).len();
            scored_at = now;
        }
        for (call, _) in sent(&mut queue, now) {
            running.push((service.serve(now), now, call));
        }
        if now % CALLER_PERIOD == 0 {
            longest = longest.max(service.serve(now) - now);
        }
        if left == 0 {
            break;
        }
    }
    assert_eq!(left, 0);
    (longest, scored_at)
}

#[test]
fn burst_spares_callers() {
    const TARGET_MS: u64 = 150;
    let (bounded, scored_at) = play_burst(900, true);
    let (unbounded, _) = play_burst(900, false);
    assert!(bounded <= TARGET_MS, "callers wait {bounded} ms");
    assert!(unbounded > TARGET_MS, "callers wait {unbounded} ms");
    // Twice the time that the service needs with all its slots, and some for the start.
    assert!(scored_at < 2 * 900 * 30 / 24 + 500, "{scored_at} ms");
}
