//! `apply`: parsing of the file, the plan, and its execution.

use async_std::task::block_on;
use dandelion_rpc::generated::Team;
use dandelionctl::CtlError;
use dandelionctl::apply::FileConfig;
use dandelionctl::apply::Step;
use dandelionctl::apply::parse;
use dandelionctl::apply::plan;
use dandelionctl::error;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::daemon::FakeDaemon;
use crate::daemon::Stale;
use crate::parse;

const FILE: &str = r#"
[[job]]
id = "draft"
team = "claims"
service = "model"
group_size = 8
step_groups = 16
max_staleness = 2
token_budget = 1000000
max_tokens = 512

[[team]]
id = "claims"
weight = 2

[[team]]
id = "bonds"
weight = 1

[[service]]
id = "model"
kind = "engine"
idempotent = true
timeout_ms = 60000
"#;

fn team(name: &str, weight: u32) -> Team {
    Team {
        id: name.to_owned(),
        weight,
        ..Team::default()
    }
}

fn file_config() -> FileConfig {
    parse(FILE).expect("valid")
}

async fn apply(daemon: &FakeDaemon, text: &str, flags: &[&str]) -> Result<String, CtlError> {
    let folder = tempfile::tempdir().expect("folder");
    let file = folder.path().join("cell.toml");
    std::fs::write(&file, text).expect("written");
    let file = file.to_str().expect("text");
    let address = daemon.address.to_string();
    let base = [
        "dandelionctl",
        "--operator=anna",
        "--daemon",
        &address,
        "apply",
        file,
    ];
    let cli = parse::parse(&[&base[..], flags].concat());
    cli.expect("flags parse").run().await
}

#[test]
fn plan_order() {
    let plan = plan(&FileConfig::default(), &file_config(), false);
    let kinds: Vec<&str> = plan
        .steps
        .iter()
        .map(|step| match step {
            Step::PutTeam(team) => team.id.as_str(),
            Step::PutService(service) => service.id.as_str(),
            Step::PutJob(job) => job.id.as_str(),
            other => panic!("unexpected {other:?}"),
        })
        .collect();
    assert_eq!(kinds, ["bonds", "claims", "model", "draft"]);
}

#[test]
fn diff_shown() {
    let mut current = file_config();
    current.teams[1].weight = 9;
    let plan = plan(&current, &file_config(), false);
    assert_eq!(plan.steps, [Step::PutTeam(team("claims", 2))]);
    assert!(
        plan.diff.contains("\n-weight = 9\n+weight = 2\n"),
        "{}",
        plan.diff
    );
    assert!(plan.diff.starts_with("--- in force\n+++ wanted\n"));
}

#[test]
fn keep_or_prune() {
    let mut current = file_config();
    current.teams.push(team("old", 1));
    current.services[0].id = "older".to_owned();
    current.jobs[0].id = "oldest".to_owned();
    let kept = plan(&current, &file_config(), false).steps;
    assert!(
        matches!(&kept[..], [Step::PutService(_), Step::PutJob(_)]),
        "{kept:?}"
    );
    let pruned = plan(&current, &file_config(), true).steps;
    let removed = [
        Step::EndJob("oldest".to_owned()),
        Step::RemoveService("older".to_owned()),
        Step::RemoveTeam("old".to_owned()),
    ];
    assert_eq!(pruned[2..], removed);
}

#[test]
fn ended_job_unchanged() {
    let mut current = file_config();
    current.jobs[0].ended = true;
    current.jobs[0].max_tokens = 7;
    let plan = plan(&current, &file_config(), true);
    assert_eq!(plan.steps, []);
    assert!(
        plan.text().contains("job `draft` has ended"),
        "{}",
        plan.text()
    );
}

#[test]
fn applied_twice() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        let text = apply(&daemon, FILE, &["--yes"]).await.expect("applied");
        assert!(text.contains("+id = \"draft\""), "{text}");
        assert_eq!(daemon.cell.state().revision, 4);
        let text = apply(&daemon, FILE, &["--yes"]).await.expect("applied");
        assert_eq!(text, "no difference\n");
        let text = apply(&daemon, "", &["--dry-run", "--prune"])
            .await
            .expect("shown");
        assert!(text.contains("-id = \"bonds\""), "{text}");
        assert_eq!(daemon.cell.state().revision, 4);
    });
}

#[test]
fn unrelated_change() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        daemon.cell.state().concurrent = vec![team("other", 1)];
        apply(&daemon, FILE, &["--yes"]).await.expect("applied");
        let state = daemon.cell.state();
        assert_eq!(state.revision, 5);
        assert_eq!(state.config.teams.len(), 3);
    });
}

/// Lists that are read for one copy of the cell's configuration.
const LISTS: u32 = 3;

#[test]
fn lagging_lists() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        daemon.cell.state().config.teams = vec![team("other", 1)];
        daemon.cell.state().revision = 6;
        daemon.cell.state().stale = Some(Stale {
            config: FileConfig::default(),
            revision: 5,
            reads: 3 * LISTS,
        });
        apply(&daemon, FILE, &["--yes"]).await.expect("applied");
        assert_eq!(daemon.cell.state().revision, 10);
        let sent = daemon.tokens.lock().expect("no panic").len();
        let changes = sent - 4 * LISTS as usize;
        assert_eq!(changes, 1 + 4, "one conflict, then each change once");
    });
}

#[test]
fn conflicting_change() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        daemon.cell.state().concurrent = vec![team("bonds", 1)];
        let error = apply(&daemon, FILE, &["--yes"]).await.expect_err("raced");
        assert_eq!(error.exit_code(), error::EXIT_REFUSED);
        assert!(error.to_string().contains("history"), "{error}");
        assert_eq!(daemon.cell.state().revision, 1);
    });
}

#[test]
fn invalid_files() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        for (text, named) in [
            ("[[team]]\nid = \"a\"\nwieght = 1", "wieght"),
            ("[[team]]\nid = \"Big Team\"", "Big Team"),
            ("[[team]]\nid = \"a\"\n[[team]]\nid = \"a\"", "twice"),
            ("[[service]]\nid = \"a\"\nkind = \"lathe\"", "lathe"),
            ("[[team]]\nid = \"a\"\nweight = -1", "line 3"),
            ("[team", "line 1"),
        ] {
            let error = apply(&daemon, text, &["--yes"]).await.expect_err(text);
            assert_eq!(error.exit_code(), error::EXIT_USAGE);
            assert!(error.to_string().contains(named), "{named} in {error}");
        }
        assert_eq!(daemon.cell.state().revision, 0);
    });
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn text_round_trips(text: String, at: usize) -> bool {
    let starts: Vec<usize> = FILE.char_indices().map(|(start, _)| start).collect();
    let (head, tail) = FILE.split_at(starts[at % starts.len()]);
    let mixed = format!("{head}{text}{tail}");
    let round_trips = |text: &str| match parse(text) {
        Ok(config) => parse(&config.to_toml()) == Ok(config),
        Err(reason) => !reason.is_empty(),
    };
    round_trips(&text) && round_trips(&mixed)
}

#[test]
fn random_files() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 8))
        .tests(3_000)
        .quickcheck(text_round_trips as fn(String, usize) -> bool);
}

#[test]
fn documented_file() {
    let page = include_str!("../../../../docs/operators/first-team-and-job.md");
    let example = page.split("```toml\n").nth(1).expect("an example");
    let example = example.split("```").next().expect("its end");
    let config = parse(example).expect("valid");
    assert_eq!(config.teams.len(), 2);
    assert_eq!(config.jobs[0].id, "draft");
}

/// Returns a variant of the configuration. The base-4 digits of `seed` choose which records are
/// present and what they hold.
fn config_of(seed: u32) -> FileConfig {
    let mut config = file_config();
    let digit = |index: u32| seed / 4_u32.pow(index) % 4;
    config
        .teams
        .retain(|team| digit(u32::from(team.id == "bonds")) > 0);
    for team in &mut config.teams {
        team.weight = digit(2) + 1;
    }
    if digit(3) == 0 {
        config.services.clear();
    }
    match digit(4) {
        0 => config.jobs.clear(),
        size => config.jobs[0].group_size = size,
    }
    config
}

fn replace<R, F>(records: &mut Vec<R>, record: R, name: F)
where
    F: Fn(&R) -> &String,
{
    records.retain(|known| name(known) != name(&record));
    records.push(record);
}

fn execute(config: &mut FileConfig, step: Step) {
    match step {
        Step::PutTeam(team) => replace(&mut config.teams, team, |team| &team.id),
        Step::PutService(service) => replace(&mut config.services, service, |one| &one.id),
        Step::PutJob(job) => replace(&mut config.jobs, job, |job| &job.id),
        Step::EndJob(name) => {
            let jobs = config.jobs.iter_mut();
            jobs.filter(|job| job.id == name)
                .for_each(|job| job.ended = true);
        }
        Step::RemoveService(name) => config.services.retain(|one| one.id != name),
        Step::RemoveTeam(name) => config.teams.retain(|team| team.id != name),
    }
    config.sort();
}

fn converges(current: u32, target: u32, prune: bool, ended: bool) -> bool {
    let (mut cell, target) = (config_of(current), config_of(target));
    cell.jobs.iter_mut().for_each(|job| job.ended = ended);
    for step in plan(&cell, &target, prune).steps {
        execute(&mut cell, step);
    }
    let remaining = plan(&cell, &target, prune);
    let listed = target.teams.iter().all(|team| cell.teams.contains(team));
    let exact = !prune || cell.teams.len() == target.teams.len();
    remaining.steps.is_empty() && remaining.diff.is_empty() && listed && exact
}

#[test]
fn plan_converges() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1 << 12, 9))
        .tests(2_000)
        .quickcheck(converges as fn(u32, u32, bool, bool) -> bool);
}
