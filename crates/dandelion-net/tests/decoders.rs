//! Feeds garbage and fragments to each decoder of HTTP framing.

use dandelion_net::http::Framing;
use dandelion_net::http::FramingParser;
use dandelion_net::http::check_request;
use dandelion_net::http::check_response;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const ROUNDS: usize = 2000;

fn source(size: usize) -> Gen {
    Gen::from_size_and_seed(size, 11)
}

/// Feeds `bytes` in pieces of the given sizes; returns the bytes consumed, or `None` for an error.
fn feed(parser: &mut FramingParser, bytes: &[u8], sizes: &[u8]) -> Option<usize> {
    let mut consumed = 0;
    let mut sizes = sizes.iter().cycle();
    while consumed < bytes.len() && !parser.is_done() {
        let size = sizes.next().map_or(1, |s| usize::from(*s) + 1);
        let end = bytes.len().min(consumed + size);
        consumed += parser.advance(&bytes[consumed..end]).ok()?;
    }
    Some(consumed)
}

fn chunked(pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for piece in pieces.iter().filter(|p| !p.is_empty()) {
        bytes.extend_from_slice(format!("{:X}\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nX-Sum: 1\r\n\r\n");
    bytes
}

#[test]
fn exact_end() {
    let mut source = source(60);
    for _ in 0..ROUNDS {
        let pieces = Vec::<Vec<u8>>::arbitrary(&mut source);
        let surplus = Vec::<u8>::arbitrary(&mut source);
        let sizes = Vec::<u8>::arbitrary(&mut source);
        let body = chunked(&pieces);
        let mut bytes = body.clone();
        bytes.extend_from_slice(&surplus);
        for (framing, size) in [
            (Framing::Chunked, body.len()),
            (Framing::Counted(body.len() as u64), body.len()),
            (Framing::Empty, 0),
        ] {
            let mut parser = FramingParser::new(framing);
            assert_eq!(
                feed(&mut parser, &bytes, &sizes),
                Some(size),
                "{framing:?} {bytes:?}"
            );
            assert!(parser.is_done());
        }
        let prefix = body.len() - 1 - surplus.len() % body.len();
        let mut parser = FramingParser::new(Framing::Chunked);
        assert_eq!(
            feed(&mut parser, &body[..prefix], &sizes),
            Some(prefix),
            "{body:?}"
        );
        assert!(!parser.is_done(), "{body:?} truncated to {prefix}");
    }
}

#[test]
fn garbage_body() {
    // The parser never consumes more than it was given and is never done without a last chunk.
    let mut source = source(200);
    for _ in 0..ROUNDS {
        let bytes = Vec::<u8>::arbitrary(&mut source);
        let mut parser = FramingParser::new(Framing::Chunked);
        if let Some(consumed) = feed(&mut parser, &bytes, &[255]) {
            assert!(consumed <= bytes.len());
            let last = bytes.windows(4).any(|w| w == b"\r\n\r\n");
            assert!(last || !parser.is_done(), "{bytes:?}");
        }
    }
}

#[test]
fn garbage_heads() {
    // Heads made of framing words are accepted with a body only if they have a single framing
    // header; random bytes are never accepted.
    let mut source = source(100);
    let words = [
        "Content-Length",
        "Transfer-Encoding",
        ":",
        " ",
        "4",
        "chunked",
        "\r\n",
        "\n",
        "x",
        ",",
    ];
    for _ in 0..ROUNDS {
        let mut head = b"POST / HTTP/1.1\r\nHost: a\r\n".to_vec();
        for _ in 0..usize::arbitrary(&mut source) % 12 {
            let word = source.choose(&words).copied().unwrap_or("");
            head.extend_from_slice(word.as_bytes());
        }
        head.extend_from_slice(b"\r\n\r\n");
        let text = String::from_utf8_lossy(&head).to_lowercase();
        if check_request(&head).is_ok_and(|checked| checked.framing != Framing::Empty) {
            let named =
                text.matches("content-length").count() + text.matches("transfer-enc").count();
            assert_eq!(named, 1, "{text:?}");
        }
        let bytes = Vec::<u8>::arbitrary(&mut source);
        assert!(check_request(&bytes).is_err(), "{bytes:?}");
        assert!(
            check_response(&bytes, false, "x-request-id").is_err(),
            "{bytes:?}"
        );
    }
}
