//! The limit of the bytes queued for a peer. Guards against a queue that is bounded in messages only:
//! 4,096 pushes to a peer that takes none are more memory than a control daemon has.

use dandelion_net::mesh::ByteLimit;

#[test]
fn holds_at_most_limit() {
    let limit = ByteLimit::new(1_000);
    let mut held: Vec<_> = std::iter::from_fn(|| limit.take(300)).collect();
    assert_eq!((held.len(), limit.held()), (3, 900));
    held.pop();
    assert!(limit.take(400).is_some());
    drop(held);
    assert_eq!(limit.held(), 0);
}

#[test]
fn long_message_passes_alone() {
    let limit = ByteLimit::new(1_000);
    let long = limit.take(usize::MAX);
    assert!(long.is_some());
    assert!(limit.take(1).is_none());
    drop(long);
    assert_eq!(limit.held(), 0);
}
