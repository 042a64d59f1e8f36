//! Which requests a stopping daemon takes.

use dandelion_protocol::time::Millis;
use dandelion_route::stop::Stop;
use dandelion_route::stop::StopTimes;
use quickcheck::quickcheck;

const BEGUN: Millis = Millis(50_000);

fn stop(grace: Option<u64>) -> Stop {
    let times = StopTimes {
        balancer: Millis(3_000),
        timeout: Millis(4_000),
        grace: grace.map(Millis),
    };
    Stop::begin(BEGUN, &times)
}

fn after(millis: u64) -> Millis {
    BEGUN + Millis(millis)
}

/// Requests that came late in the grace and ran on were cut at its end, without an answer.
#[test]
fn late_long_refused() {
    for grace in [None, Some(8_000)] {
        let stop = stop(grace);
        for may_repeat in [false, true] {
            assert!(!stop.takes(after(3_000), Millis(9_000), may_repeat));
            assert!(!stop.takes(after(4_000), Millis(4_600), may_repeat));
        }
        assert!(!stop.takes(after(0), Millis(9_000), false));
    }
}

#[test]
fn short_taken() {
    let stop = stop(Some(8_000));
    for may_repeat in [false, true] {
        assert!(stop.takes(after(0), Millis(2_000), may_repeat));
        assert!(stop.takes(after(4_000), Millis(2_000), may_repeat));
        assert!(!stop.takes(after(5_500), Millis(2_000), may_repeat));
    }
    assert!(stop.takes(after(1_000), Millis(9_000), true));
}

#[test]
fn times_follow_grace() {
    let planned = stop(Some(16_000));
    assert_eq!(planned.end_at(), after(14_000));
    assert_eq!(planned.drain_at(), after(3_000));
    let short = stop(Some(2_000));
    assert_eq!(short.end_at(), after(1_750));
    assert_eq!(short.drain_at(), short.end_at());
    assert_eq!(stop(None).end_at(), after(7_000));
}

quickcheck! {
    /// What is taken without being repeatable can be answered before the cut, whatever the times.
    fn taken_ends(balancer: u16, timeout: u16, grace: Option<u16>, at: u16, limit: u64) -> bool {
        let times = StopTimes {
            balancer: Millis(balancer.into()),
            timeout: Millis(timeout.into()),
            grace: grace.map(|g| Millis(g.into())),
        };
        let stop = Stop::begin(BEGUN, &times);
        let now = after(at.into());
        !stop.takes(now, Millis(limit), false) || now + Millis(limit) < stop.cut_at()
    }
}
