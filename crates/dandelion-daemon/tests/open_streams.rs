//! Requests in progress are aborted once their key is no longer valid.

use dandelion_daemon::serve::OpenStreams;
use dandelion_protocol::config::Config;
use dandelion_protocol::config::Key;
use dandelion_protocol::ids::KeyId;
use dandelion_protocol::time::WallMillis;

fn id(name: &str) -> KeyId {
    name.parse().unwrap()
}

fn config_with(names: &[&str]) -> Config {
    let mut config = Config::default();
    for name in names {
        let key = Key {
            id: id(name),
            team: "team".parse().unwrap(),
            digest: Vec::new(),
            scopes: Vec::new(),
            expires: None,
        };
        config.keys.insert(id(name), key);
    }
    config
}

#[test]
fn withdrawn_aborted() {
    let streams = OpenStreams::default();
    let kept = streams.register(Some(id("kept")), 1);
    let gone = streams.register(Some(id("gone")), 2);
    assert_eq!(streams.abort_withdrawn(&config_with(&["kept"])), 1);
    assert!(gone.signal().is_raised());
    assert!(!kept.signal().is_raised());
}

#[test]
fn lease_lost() {
    let streams = OpenStreams::default();
    let keyed = streams.register(Some(id("key")), 1);
    let open = streams.register(None, 2);
    assert_eq!(streams.abort_all(), 1);
    assert!(keyed.signal().is_raised());
    assert!(!open.signal().is_raised());
}

#[test]
fn ended_unregistered() {
    let streams = OpenStreams::default();
    drop(streams.register(Some(id("key")), 1));
    assert_eq!(streams.abort_all(), 0);
}

#[test]
fn expired_aborted() {
    let streams = OpenStreams::default();
    let mut config = config_with(&["old", "new"]);
    config.keys.get_mut(&id("old")).unwrap().expires = Some(WallMillis(100));
    let old = streams.register(Some(id("old")), 1);
    let new = streams.register(Some(id("new")), 2);
    assert_eq!(streams.abort_expired(&config, WallMillis(99)), 0);
    assert_eq!(streams.abort_expired(&config, WallMillis(100)), 1);
    assert!(old.signal().is_raised());
    assert!(!new.signal().is_raised());
}
