//! Authentication of callers by their key, with and without a lease.

use std::sync::Arc;

use dandelion_control::keys;
use dandelion_control::keys::KeyIndex;
use dandelion_daemon::control::View;
use dandelion_daemon::serve;
use dandelion_protocol::config::Config;
use dandelion_protocol::config::Key;
use dandelion_protocol::config::Service;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::upstream::UpstreamKind;

const SECRET: &str = "a-secret-of-the-builders-team-only";
const EXPIRY: WallMillis = WallMillis(1000);

fn service(id: &str, open: bool) -> Service {
    Service {
        id: id.parse().unwrap(),
        kind: UpstreamKind::Plain,
        open,
        idempotent: true,
        timeout: Millis(1000),
        floor: 0,
        ceiling: 0,
    }
}

fn view() -> View {
    let key = Key {
        id: "site".parse().unwrap(),
        team: "builders".parse().unwrap(),
        digest: keys::digest(SECRET).to_vec(),
        scopes: vec!["bonds".parse().unwrap()],
        expires: Some(EXPIRY),
    };
    let mut config = Config::default();
    config.keys.insert(key.id.clone(), key);
    View {
        keys: Arc::new(KeyIndex::open(&config)),
        config: Arc::new(config),
        ..View::default()
    }
}

fn code(result: Result<serve::Caller, Refusal>) -> RefusalCode {
    let refusal = result.expect_err("a refusal");
    assert_eq!(refusal.ran, Ran::NotRun);
    refusal.code
}

#[test]
fn right_team() {
    let bonds = service("bonds", false);
    let caller = serve::authenticate(&view(), true, WallMillis(0), &bonds, Some(SECRET)).unwrap();
    assert_eq!(caller.team, Some("builders".parse().unwrap()));
}

#[test]
fn no_key() {
    let (open, closed) = (service("bonds", true), service("bonds", false));
    let anyone = serve::authenticate(&view(), false, WallMillis(0), &open, None).unwrap();
    assert_eq!(anyone.team, None);
    let refused = serve::authenticate(&view(), true, WallMillis(0), &closed, None);
    assert_eq!(code(refused), RefusalCode::Unauthorized);
}

#[test]
fn wrong_key() {
    for open in [true, false] {
        let bonds = service("bonds", open);
        let refused = serve::authenticate(&view(), true, WallMillis(0), &bonds, Some("other"));
        assert_eq!(code(refused), RefusalCode::Unauthorized);
    }
}

#[test]
fn stale_lease() {
    let bonds = service("bonds", true);
    let refused = serve::authenticate(&view(), false, WallMillis(0), &bonds, Some(SECRET));
    assert_eq!(code(refused), RefusalCode::StaleLease);
}

#[test]
fn expired_key() {
    let bonds = service("bonds", false);
    let refused = serve::authenticate(&view(), true, EXPIRY, &bonds, Some(SECRET));
    assert_eq!(code(refused), RefusalCode::Unauthorized);
}

#[test]
fn other_scope() {
    let draft = service("draft", true);
    let refused = serve::authenticate(&view(), true, WallMillis(0), &draft, Some(SECRET));
    assert_eq!(code(refused), RefusalCode::Forbidden);
    let trainer = serve::identify(&view(), true, WallMillis(0), &draft.id, Some(SECRET));
    assert_eq!(code(trainer), RefusalCode::Forbidden);
}
