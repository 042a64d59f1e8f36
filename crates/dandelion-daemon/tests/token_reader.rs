//! Parsing an engine's event stream that arrives in arbitrary pieces.

use dandelion_daemon::rollouts::TokenReader;
use dandelion_protocol::ids::WeightVersion;
use dandelion_rollout::attribution::SegmentReport;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn stream(versions: &[u8]) -> Vec<u8> {
    let events = versions.iter().enumerate().map(|(index, version)| {
        format!("data: {{\"token\":\"t{index} \",\"index\":{index},\"version\":{version}}}\n\n")
    });
    let done = format!("data: {{\"done\":true,\"tokens\":{}}}\n\n", versions.len());
    events.chain([done]).collect::<String>().into_bytes()
}

fn read_in_pieces(bytes: &[u8], lengths: &[u8]) -> (Vec<SegmentReport>, bool) {
    let mut reader = TokenReader::default();
    let mut reports = Vec::new();
    let mut rest = bytes;
    for length in lengths {
        let (piece, after) = rest.split_at(usize::from(*length).min(rest.len()));
        reports.extend(reader.read(piece));
        rest = after;
    }
    reports.extend(reader.read(rest));
    (reports, reader.is_done())
}

fn texts(count: usize) -> String {
    let each: Vec<String> = (0..count).map(|index| format!("t{index} ")).collect();
    each.concat()
}

#[test]
fn any_pieces() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(versions: Vec<u8>, lengths: Vec<u8>) -> bool {
        let (reports, done) = read_in_pieces(&stream(&versions), &lengths);
        let text: String = reports.iter().map(|r| r.text.clone()).collect();
        let expected = texts(versions.len());
        let each = |r: &SegmentReport| {
            (r.start..r.end).all(|i| {
                let version = WeightVersion(u64::from(versions[i as usize]));
                r.first == Some(version) && r.last == Some(version)
            })
        };
        done && text == expected && reports.iter().all(each)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn truncated_stream() {
    let complete = stream(&[1, 1, 2]);
    let (reports, done) = read_in_pieces(&complete[..complete.len() - 4], &[]);
    assert!(!done);
    assert_eq!(reports.len(), 2);
}

#[test]
fn garbage_ignored() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(bytes: Vec<u8>) -> bool {
        let (reports, _) = read_in_pieces(&bytes, &[3, 5]);
        reports.iter().all(|r| r.start <= r.end)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 8))
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn endless_line_not_buffered() {
    let mut reader = TokenReader::default();
    for _ in 0..1_000 {
        assert!(reader.read(&[b'x'; 1024]).is_empty());
        if reader.is_broken() {
            return;
        }
    }
    panic!("a line of 1,000 KiB is buffered");
}
