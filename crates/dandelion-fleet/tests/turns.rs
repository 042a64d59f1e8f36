//! Holders of a duty that take turns.

use dandelion_fleet::turns::Turns;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use quickcheck::quickcheck;

const GAP: Millis = Millis(3_000);

#[test]
fn holder_returns_early() {
    let mut turns = Turns::open(Millis(0), GAP);
    assert!(turns.may_act(Millis(10_000), Term(1)));
    turns.act(Millis(10_000), Term(1));
    assert!(turns.may_act(Millis(10_001), Term(1)), "the same turn");
    assert!(!turns.may_act(Millis(12_999), Term(3)));
    assert!(turns.may_act(Millis(13_000), Term(3)));
}

#[test]
fn restarted_holder_waits() {
    let turns = Turns::open(Millis(50_000), GAP);
    assert!(!turns.may_act(Millis(52_999), Term(4)));
    assert!(turns.may_act(Millis(53_000), Term(4)));
}

/// Plays holders that try to act at random moments, each with a restart now and then.
#[test]
fn turns_apart() {
    fn prop(steps: Vec<(u8, u16, bool)>) -> bool {
        let mut holders: Vec<Turns> = (0..3).map(|_| Turns::open(Millis(0), GAP)).collect();
        let mut acts: Vec<(usize, Millis)> = Vec::new();
        let (mut now, mut term, mut held) = (GAP, 0, usize::MAX);
        for (holder, wait, restarts) in steps {
            let holder = usize::from(holder % 3);
            now = now + Millis(u64::from(wait % 2_000));
            if holder != held {
                (term, held) = (term + 1, holder);
            }
            if restarts {
                holders[holder] = Turns::open(now, GAP);
                term += 1;
            }
            if holders[holder].may_act(now, Term(term)) {
                holders[holder].act(now, Term(term));
                acts.push((holder, now));
            }
        }
        // No holder acts, another one does, and the first acts again within the gap.
        acts.iter().enumerate().all(|(at, (holder, since))| {
            let later = acts[at..].iter();
            let mut soon = later.take_while(|(_, when)| *when < *since + GAP);
            let other = soon.by_ref().any(|(other, _)| other != holder);
            !(other && soon.any(|(other, _)| other == holder))
        })
    }
    quickcheck(prop as fn(Vec<(u8, u16, bool)>) -> bool);
}
