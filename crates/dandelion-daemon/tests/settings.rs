//! Validation of the settings.

use std::path::Path;

use clap::CommandFactory;
use clap::FromArgMatches;
use clap::builder::Resettable;
use dandelion_daemon::settings::CheckedSettings;
use dandelion_daemon::settings::EXIT_USAGE;
use dandelion_daemon::settings::Secret;
use dandelion_daemon::settings::Settings;
use dandelion_daemon::settings::SettingsError;
use dandelion_daemon::settings::page;
use dandelion_protocol::time::Millis;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SECRET: &str = "0123456789abcdef0123456789abcdef";

/// Parses flags only, so that environment variables make no difference.
fn parse(flags: &[&str]) -> Result<Settings, clap::Error> {
    let command = Settings::command().mut_args(|arg| arg.env(Resettable::Reset));
    let matches = command.try_get_matches_from([&["dandelionrun"], flags].concat())?;
    Settings::from_arg_matches(&matches)
}

fn check(flags: &[&str]) -> Result<CheckedSettings, SettingsError> {
    parse(flags).expect("flags parse").check()
}

/// Checks valid settings of which `flags` replace those of the same name.
fn check_with(flags: &[&str]) -> Result<CheckedSettings, SettingsError> {
    let base = [
        "--name=a1",
        "--zone=limmat-1",
        "--mesh-secrets=0123456789abcdef0123456789abcdef",
        "--control-peers=c1@127.0.0.1:9001",
    ];
    let setting = |flag: &str| flag.split('=').next().map(str::to_owned);
    let given: Vec<_> = flags.iter().map(|flag| setting(flag)).collect();
    let remaining = base.iter().filter(|flag| !given.contains(&setting(flag)));
    let all: Vec<&str> = remaining.chain(flags).copied().collect();
    check(&all)
}

fn assert_mentions(error: &SettingsError, parts: &[&str]) {
    let message = error.to_string();
    for part in parts {
        assert!(message.contains(part), "`{part}` in {message}");
    }
    assert!(message.contains("; "), "a remedy in {message}");
}

#[test]
fn valid_entry() {
    let checked = check_with(&["--cell=3", "--feed-period-ms=250"]).expect("valid");
    assert_eq!(checked.name.as_str(), "a1");
    assert_eq!(checked.cell.0, 3);
    assert_eq!(checked.control.feed_period, Millis(250));
    assert_eq!(checked.control.peers.len(), 1);
    assert_eq!(checked.control.folder, None);
    assert_eq!(checked.secrets.mesh[0].reveal(), SECRET);
}

#[test]
fn valid_voter() {
    let folder = tempfile::tempdir().expect("folder");
    let folder = folder.path().to_str().expect("text");
    let checked = check_with(&[
        "--data-folder",
        folder,
        "--mesh-listen=127.0.0.1:9000",
        "--bootstrap=a1@127.0.0.1:9000,c1@127.0.0.1:9001",
        "--bootstrap=c2@127.0.0.1:9002",
    ]);
    let checked = checked.expect("valid");
    assert_eq!(checked.control.bootstrap.len(), 3);
    let peers = checked.control.peers.iter();
    let names: Vec<&str> = peers.map(|peer| peer.id.as_str()).collect();
    assert_eq!(names, ["c1", "c2"]);
}

#[test]
fn missing_settings() {
    assert_mentions(&check(&[]).expect_err("no name"), &["--name"]);
    assert_mentions(&check(&["--name=a1"]).expect_err("no zone"), &["--zone"]);
    let error = check(&["--name=a1", "--zone=z"]).expect_err("no secret");
    assert_mentions(&error, &["--mesh-secrets"]);
    let flags = ["--name=a1", "--zone=z", "--mesh-secrets", SECRET];
    let error = check(&flags).expect_err("no peers");
    assert_mentions(&error, &["--control-peers", "--bootstrap"]);
}

#[test]
fn bad_values() {
    for (setting, value) in [
        ("--name", "Big Daemon"),
        ("--zone", ""),
        ("--cell", "70000"),
        ("--http-listen", "localhost:80"),
        ("--mesh-listen", "127.0.0.1"),
        ("--mesh-address", "0.0.0.0:7081"),
        ("--data-folder", "/nonexistent/folder"),
        ("--bootstrap", "c1=127.0.0.1:1"),
        ("--control-peers", "c1@127.0.0.1:1,c1@127.0.0.1:2"),
        ("--platform", "platform:80"),
        ("--usage-window-s", "0"),
        ("--feed-period-ms", "-1"),
        ("--max-body-bytes", "many"),
        ("--stop-timeout-ms", "999999999999"),
        ("--log-level", "loud"),
        ("--log-format", "xml"),
        ("--mesh-secrets-file", "/nonexistent/file"),
    ] {
        let flag = format!("{setting}={value}");
        let error = check_with(&[&flag]).expect_err(&flag);
        let shown = value.rsplit(',').next().unwrap_or_default();
        assert_mentions(&error, &[setting, shown]);
    }
}

#[test]
fn clashes() {
    let error = check_with(&["--bootstrap=a1@127.0.0.1:7081"]).expect_err("no folder");
    assert_mentions(&error, &["--bootstrap", "--data-folder"]);
    let folder = tempfile::tempdir().expect("folder");
    let folder = folder.path().to_str().expect("text");
    let error = check_with(&["--data-folder", folder, "--bootstrap=c1@127.0.0.1:7081"]);
    assert_mentions(&error.expect_err("not listed"), &["--bootstrap", "--name"]);
    let error = check_with(&["--data-folder", folder, "--bootstrap=a1@127.0.0.1:1"]);
    let error = error.expect_err("other address");
    assert_mentions(&error, &["a1@127.0.0.1:1", "--mesh-address"]);
    let error = check_with(&["--http-listen=127.0.0.1:7081"]).expect_err("same address");
    assert_mentions(&error, &["--mesh-listen", "--http-listen"]);
}

#[test]
fn secrets_hidden() {
    let error = check_with(&["--operator-token=hunter2"]).expect_err("too short");
    assert_mentions(&error, &["--operator-token", "7 bytes"]);
    assert!(!error.to_string().contains("hunter2"));
    let checked = check_with(&[]).expect("valid");
    assert!(!format!("{checked:?}").contains(SECRET));
    let unchecked = parse(&["--mesh-secrets", SECRET, "--operator-token", SECRET]);
    assert!(!format!("{unchecked:?}").contains(SECRET));
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("secrets");
    std::fs::write(&file, format!("\n{SECRET}-new\n")).expect("written");
    let flag = format!("--mesh-secrets-file={}", file.display());
    let checked = check_with(&[&flag]).expect("valid");
    let secrets: Vec<&str> = checked.secrets.mesh.iter().map(Secret::reveal).collect();
    assert_eq!(secrets, ["0123456789abcdef0123456789abcdef-new", SECRET]);
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn garbage_holds(setting: usize, value: String) -> bool {
    let command = Settings::command();
    let settings: Vec<&str> = command
        .get_arguments()
        .filter_map(clap::Arg::get_long)
        .collect();
    let setting = settings[setting % settings.len()];
    if ["help", "version", "log-folder"].contains(&setting) || value.contains('\0') {
        return true;
    }
    let flag = format!("--{setting}={value}");
    match parse(&[&flag]) {
        Ok(_) => match check_with(&[&flag]) {
            Ok(checked) => !checked.secrets.mesh.is_empty(),
            Err(error) => error.to_string().contains("; "),
        },
        Err(error) => error.exit_code() == EXIT_USAGE && error.to_string().contains(setting),
    }
}

#[test]
fn garbage_values() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(2_000)
        .quickcheck(garbage_holds as fn(usize, String) -> bool);
}

#[test]
fn page_equal() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let text = std::fs::read_to_string(path).expect("docs/SETTINGS.md exists");
    assert_eq!(
        text,
        page::settings_page(),
        "run `cargo run -p dandelion-daemon --example settings > docs/SETTINGS.md`"
    );
}

#[test]
fn every_variable() {
    for arg in Settings::command().get_arguments() {
        let flag = arg.get_long().expect("a flag");
        if ["help", "version"].contains(&flag) {
            continue;
        }
        let name = arg.get_env().expect("a variable").to_string_lossy();
        let expected = format!("DANDELION_{}", flag.replace('-', "_").to_uppercase());
        assert_eq!(name, expected);
    }
}

#[test]
fn documented_variables() {
    let page = include_str!("../../../docs/operators/install.md");
    let (daemon_part, _) = page
        .split_once("## Check")
        .expect("the part on dandelionctl");
    let is_part = |c: char| c.is_ascii_uppercase() || c == '_';
    let words = daemon_part.split(|c: char| !is_part(c));
    let named: Vec<&str> = words
        .filter(|word| word.starts_with("DANDELION_"))
        .collect();
    assert!(named.len() > 8, "{named:?}");
    let command = Settings::command();
    let known: Vec<_> = command
        .get_arguments()
        .filter_map(clap::Arg::get_env)
        .collect();
    for name in named {
        assert!(known.contains(&name.as_ref()), "{name}");
    }
}

/// Guards against an account in which one body of the largest size finds no room.
#[test]
fn client_limits() {
    let error = check_with(&["--client-memory-bytes=8388607"]).expect_err("too small");
    assert_mentions(&error, &["--client-memory-bytes", "8388607", "8388608"]);
    let checked = check_with(&["--client-memory-bytes=8388608"]).expect("valid");
    assert_eq!(checked.limits.client_memory, Some(8_388_608));
    let checked = check_with(&[]).expect("valid");
    let limits = checked.limits;
    assert_eq!((limits.client_memory, limits.peer_connections), (None, 0));
    assert_eq!((limits.connections, limits.body_rate), (4096, 1024));
}
