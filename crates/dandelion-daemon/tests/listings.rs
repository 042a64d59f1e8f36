//! Readers that wait for results of a job are woken by a result. They were served by a poll every 40 ms,
//! which results that are due could not afford.

use std::time::Duration;

use async_std::task;
use dandelion_daemon::stores::Listings;

/// Far longer than the test may take: a reader that is not woken shows as a test that hangs.
const LIMIT: Duration = Duration::from_hours(1);

#[test]
fn result_wakes_readers() {
    let listings = Listings::default();
    let (first, second) = (listings.subscribe("a"), listings.subscribe("a"));
    listings.wake("a");
    task::block_on(async {
        first.wait(LIMIT).await;
        second.wait(LIMIT).await;
    });
}

/// A result that is listed between the subscription and the wait is not missed.
#[test]
fn wake_before_wait() {
    let listings = Listings::default();
    let reader = listings.subscribe("a");
    listings.wake("a");
    listings.expire();
    task::block_on(reader.wait(LIMIT));
}

/// Another job's result, or that of an unknown job, wakes nobody.
#[test]
fn other_jobs_wait() {
    let listings = Listings::default();
    let reader = listings.subscribe("a");
    listings.wake("b");
    listings.expire();
    let waited = task::block_on(async_std::future::timeout(
        Duration::from_millis(20),
        reader.wait(LIMIT),
    ));
    assert!(waited.is_err(), "a reader was woken by another job");
}
