//! The output of an item whose engine sends events without end.

use dandelion_daemon::stores::Output;
use dandelion_platform::stream::StreamEvent;

#[test]
fn endless_output_dropped() {
    let mut output = Output::default();
    let refused = (1..10_000).any(|id| {
        let event = StreamEvent {
            id: Some(id),
            data: "x".repeat(1024),
            version: None,
        };
        output.push(&event).is_err()
    });
    assert!(refused, "{} bytes are kept", output.text.len());
    assert_eq!((output.text.len(), output.last), (0, None));
}
