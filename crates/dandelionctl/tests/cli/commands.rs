//! Commands from the command line to the printed text.

use async_std::task::block_on;
use clap::Command;
use clap::CommandFactory;
use dandelion_rpc::secret;
use dandelionctl::Cli;
use dandelionctl::CtlError;
use dandelionctl::error;
use serde_json::Value;

use crate::daemon::FakeDaemon;
use crate::parse::parse;

async fn run(daemon: &FakeDaemon, words: &str) -> Result<String, CtlError> {
    let line = format!("dandelionctl --daemon {} {words}", daemon.address);
    let cli = parse(&line.split_whitespace().collect::<Vec<_>>());
    cli.expect("flags parse").run().await
}

#[test]
fn put_and_list() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        let words = "--operator anna team put claims --weight 4 --token-rate 900";
        run(&daemon, words).await.expect("put");
        let table = run(&daemon, "team list").await.expect("listed");
        let rows: Vec<Vec<&str>> = table
            .lines()
            .map(|l| l.split_whitespace().collect())
            .collect();
        assert_eq!(rows[1], ["claims", "4", "-", "900"]);
        let json = run(&daemon, "team list --output json")
            .await
            .expect("listed");
        let json: Value = serde_json::from_str(&json).expect("JSON");
        assert_eq!(json["teams"][0]["token_rate"], 900);
        assert_eq!(json["revision"], 1);
    });
}

#[test]
fn secret_once() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        let words = "--operator anna --output json key grant night --team claims";
        let answer = run(&daemon, words).await.expect("granted");
        let answer: Value = serde_json::from_str(&answer).expect("JSON");
        let shown = answer["secret"].as_str().expect("a secret");
        let digest = hex::encode(secret::digest_secret(shown));
        assert_eq!(daemon.cell.state().digests, [digest]);
        let again = run(&daemon, words).await.expect("granted");
        assert!(!again.contains(shown), "each grant makes its own secret");
    });
}

#[test]
fn operator_missing() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        let error = run(&daemon, "team put claims").await.expect_err("no name");
        assert_eq!(error.exit_code(), error::EXIT_USAGE);
        assert!(error.to_string().contains("DANDELION_OPERATOR"));
        assert_eq!(daemon.cell.state().revision, 0);
    });
}

#[test]
fn bad_request_id() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        let words = "--operator anna --request-id xyz team put claims";
        let error = run(&daemon, words).await.expect_err("not an id");
        assert_eq!(error.exit_code(), error::EXIT_USAGE);
        assert!(error.to_string().contains("xyz"));
    });
}

#[test]
fn status_wait() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        run(&daemon, "status --wait 0").await.expect("reached");
        let error = run(&daemon, "status --wait 7 --wait-ms 0").await;
        let error = error.expect_err("not reached");
        assert_eq!(error.exit_code(), error::EXIT_REFUSED);
    });
}

#[test]
fn change_awaited() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        daemon.cell.state().lags = true;
        for command in ["team put claims", "key grant night --team claims"] {
            let words = format!("--operator anna {command}");
            let text = run(&daemon, &words).await.expect("changed");
            assert!(text.contains("in force on 3 of 3"), "{text}");
            let words = format!("--operator anna --settle-ms 0 {command}");
            let text = run(&daemon, &words).await.expect("changed");
            assert!(text.contains("in force on 1 of 3"), "{text}");
        }
    });
}

#[test]
fn completions_written() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        for shell in ["bash", "zsh", "fish"] {
            let words = format!("completions {shell}");
            let script = run(&daemon, &words).await.expect("written");
            assert!(script.contains("unpoison"), "{shell}");
        }
    });
}

fn assert_described(command: &Command) {
    let name = command.get_name();
    assert!(command.get_about().is_some(), "{name} has no description");
    for arg in command.get_arguments() {
        assert!(arg.get_help().is_some(), "{} of {name}", arg.get_id());
    }
    command.get_subcommands().for_each(assert_described);
}

#[test]
fn help_complete() {
    Cli::command().debug_assert();
    assert_described(&Cli::command());
}

#[test]
fn usage_status() {
    let error = parse(&["dandelionctl", "team", "fold"]).expect_err("no such command");
    assert_eq!(error.exit_code(), i32::from(error::EXIT_USAGE));
}

/// Returns the commands in the operators' pages, without arguments that are shell variables.
fn documented_lines() -> Vec<String> {
    let pages = [
        include_str!("../../../../docs/operators/install.md"),
        include_str!("../../../../docs/operators/first-team-and-job.md"),
        include_str!("../../../../docs/operators/keys.md"),
    ];
    let lines = pages.iter().flat_map(|page| page.lines());
    lines
        .filter_map(|line| line.strip_prefix("    dandelionctl "))
        .map(|line| line.split(" \"$").next().unwrap_or(line).to_owned())
        .map(|line| line.trim_end_matches(" --digest").to_owned())
        .collect()
}

#[test]
fn documented_commands() {
    let lines = documented_lines();
    assert!(lines.len() > 10, "{lines:?}");
    for line in lines {
        let words = format!("dandelionctl {line}");
        let parsed = parse(&words.split_whitespace().collect::<Vec<_>>());
        assert!(parsed.is_ok(), "{line}: {}", parsed.expect_err("refused"));
    }
}
