//! Which events an item's output takes next.

use dandelion_daemon::stores::Output;
use dandelion_platform::stream::StreamEvent;

fn output(events: u64) -> Output {
    let mut output = Output::default();
    for id in 1..=events {
        let event = StreamEvent {
            id: Some(id),
            data: format!("piece {id}"),
            version: None,
        };
        output.push(&event).unwrap();
    }
    output
}

/// The answer to an earlier, resumed run was listed as the whole output of a run from the start.
#[test]
fn resumed_answer_as_whole() {
    assert!(!output(0).is_next(Some(6)));
    assert!(output(0).is_next(Some(1)));
}

#[test]
fn gaps_and_repeats() {
    let output = output(5);
    assert!(output.is_next(Some(6)));
    for event in [None, Some(0), Some(1), Some(5), Some(7), Some(u64::MAX)] {
        assert!(!output.is_next(event), "{event:?}");
    }
    assert!(!self::output(0).is_next(None));
    assert!(!self::output(0).is_next(Some(0)));
}
