//! The caller's key reaches no upstream, wherever the request contains it.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use dandelion_protocol::mesh::Header;
use dandelion_route::scrub::KeyPatterns;
use dandelion_route::scrub::ScrubError;
use dandelion_route::scrub::scrub_answer;
use dandelion_route::scrub::scrub_request;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn header(name: &str, value: &str) -> Header {
    Header {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn percent(text: &str) -> String {
    let hex: Vec<String> = text.bytes().map(|b| format!("%{b:02X}")).collect();
    hex.concat()
}

/// A position in the request and an encoding in which it contains the key.
#[derive(Debug, Clone)]
struct KeyPlacement {
    key: String,
    position: u8,
    encoding: u8,
    before: String,
    after: String,
}

fn random_text(g: &mut Gen, least: usize, most: usize) -> String {
    let letters = b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~+/&=";
    let length = least + usize::arbitrary(g) % (most - least + 1);
    let chars = (0..length).map(|_| char::from(*g.choose(letters).unwrap()));
    chars.collect()
}

impl Arbitrary for KeyPlacement {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            key: random_text(g, 16, 48),
            position: u8::arbitrary(g) % 12,
            encoding: u8::arbitrary(g) % 7,
            before: random_text(g, 0, 7),
            after: random_text(g, 0, 7),
        }
    }
}

impl KeyPlacement {
    /// Returns the encoded key, with surrounding characters, as it occurs in the request.
    fn text(&self) -> String {
        let whole = format!("{}{}{}", self.before, self.key, self.after);
        match self.encoding {
            0 => whole,
            1 => percent(&whole),
            2 => percent(&percent(&whole)),
            3 => STANDARD.encode(whole),
            4 => URL_SAFE_NO_PAD.encode(format!("user:{whole}")),
            5 => format!("{}{}{}", self.before, self.key.to_uppercase(), self.after),
            _ => percent(&whole).replace('%', ""),
        }
    }

    fn request(&self) -> (String, Vec<Header>, Vec<u8>) {
        let text = self.text();
        let mut target = "/v1/draft/complete?n=1".to_owned();
        let mut headers = vec![header("Content-Type", "application/json")];
        let mut body = b"{}".to_vec();
        match self.position {
            0 => headers.push(header("AuthoRization", &format!("Bearer {text}"))),
            1 => headers.push(header("authorization", &format!("Basic {text}"))),
            2 => headers.push(header("Cookie", &format!("a=b; s={text}"))),
            3 => headers.push(header("Referer", &format!("http://x/?k={text}"))),
            4 => headers.push(header("X-Request-Id", &text)),
            5 => headers.extend([header("Accept", "*/*"), header("ACCEPT", &text)]),
            6 => headers.push(header("Trailer", &text)),
            7 => target = format!("/v1/draft/complete?q={text}&n=1"),
            8 => target = format!("/v1/draft/complete?n=1&{text}=1"),
            9 => target = format!("/v1/{text}/complete"),
            10 => target = format!("/v1/draft/complete?n=1#{text}"),
            _ => body = format!("{{\"prompt\":\"{text}\"}}").into_bytes(),
        }
        (target, headers, body)
    }
}

#[test]
fn planted_keys() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn holds(placement: KeyPlacement) -> bool {
        let patterns = KeyPatterns::of(&placement.key);
        let (target, headers, body) = placement.request();
        let Ok(scrubbed) = scrub_request(&target, &headers, &body, &patterns) else {
            return placement.position >= 7;
        };
        let text = placement.text();
        let mut seen = vec![scrubbed.target, String::from_utf8(body).unwrap()];
        seen.extend(scrubbed.headers.into_iter().map(|h| h.value));
        seen.iter()
            .all(|s| !s.contains(&text) && !s.contains(&placement.key))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(5000)
        .quickcheck(holds as fn(KeyPlacement) -> bool);
}

#[test]
fn clean_request() {
    let patterns = KeyPatterns::of("k-0123456789abcdef");
    let headers = [
        header("Content-Type", "application/json"),
        header("Cookie", "a=b"),
        header("TraceParent", "00-1-2-01"),
        header("X-Custom", "1"),
        header("Accept", "a\r\nHost: b"),
    ];
    let target = "/v1/draft/complete?n=1&api%5Fkey=zzz&stream=true#part";
    let scrubbed = scrub_request(target, &headers, b"{\"a\":1}", &patterns).unwrap();
    assert_eq!(scrubbed.target, "/v1/draft/complete?n=1&stream=true");
    let names: Vec<&str> = scrubbed.headers.iter().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["content-type", "traceparent"]);
}

#[test]
fn key_in_query() {
    let key = "k-0123456789abcdef";
    let patterns = KeyPatterns::of(key);
    for planted in [key.to_owned(), percent(key), STANDARD.encode(key)] {
        let target = format!("/v1/draft?a=1&q={planted}&{planted}&b=2");
        let scrubbed = scrub_request(&target, &[], b"", &patterns).unwrap();
        assert_eq!(scrubbed.target, "/v1/draft?a=1&b=2");
    }
}

#[test]
fn key_in_body() {
    let patterns = KeyPatterns::of("k-0123456789abcdef");
    let body = b"{\"prompt\":\"my key is k-0123456789abcdef\"}";
    let refused = scrub_request("/v1/draft", &[], body, &patterns);
    assert_eq!(refused, Err(ScrubError::KeyInBody));
}

#[test]
fn answer_headers() {
    let headers = [
        header("Set-Cookie", "a=b"),
        header("Content-Type", "text/plain"),
        header("Server", "x"),
    ];
    let kept = scrub_answer(&headers);
    assert_eq!(kept, [header("content-type", "text/plain")]);
}
