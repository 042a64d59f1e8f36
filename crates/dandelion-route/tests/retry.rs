//! Which attempts may be retried, and how often.

use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::Millis;
use dandelion_route::outcome::AttemptOutcome;
use dandelion_route::retry::RetryBudget;
use dandelion_route::retry::may_retry;

const OUTCOMES: [AttemptOutcome; 3] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::Unknown,
    AttemptOutcome::Answered,
];

#[test]
fn repeatable_only() {
    let mut granted = Vec::new();
    for outcome in OUTCOMES {
        for idempotent in [false, true] {
            let mut budget = RetryBudget::default();
            granted.push(may_retry(outcome, idempotent, &mut budget, Millis(1000)));
        }
    }
    assert_eq!(granted, [true, true, false, true, false, false]);
}

#[test]
fn bounded_storm() {
    let mut budget = RetryBudget::default();
    let saved = budget.remaining();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.earn();
        while may_retry(AttemptOutcome::NotSent, true, &mut budget, Millis(1000)) {
            retries += 1;
        }
    }
    assert!(retries <= 100 + saved, "{retries} retries of 1000 requests");
}

#[test]
fn no_time_left() {
    let mut budget = RetryBudget::default();
    let remaining = budget.remaining();
    let late = may_retry(AttemptOutcome::NotSent, true, &mut budget, Millis(1));
    assert_eq!((late, budget.remaining()), (false, remaining));
}

#[test]
fn sent_never_hidden() {
    for first in OUTCOMES {
        for second in OUTCOMES {
            let both = [first, second];
            let ran = first.then(second).ran();
            let sent = both.iter().any(|o| *o != AttemptOutcome::NotSent);
            assert_eq!(ran == Ran::NotRun, !sent, "{both:?}");
        }
    }
}
