//! Operators race with changes that expect the same revision, and resend them; in some rounds the
//! leader is killed meanwhile.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use anyhow::Context;
use async_std::task;
use dandelion_rpc::ClientError;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::generated as rpc;
use futures::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::cluster::CellOperator;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;

const CONTROL: usize = 3;
const DAEMONS: usize = 5;
const OPERATORS: u32 = 4;
const ROUNDS: u32 = 12;

/// In one of this many rounds, the leader is killed while the operators race.
const KILL_EVERY: u32 = 4;

/// Id of the team that all operators change.
const TEAM: &str = "contested";

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_races(seed))
}

#[derive(Debug, Default)]
struct Figures {
    accepted: u64,
    conflicts: u64,
    conflicts_named: u64,
    doubled: u64,
    lost: u64,
    none_won: u64,
    unanswered: u64,
    kills: u64,
}

/// One operator's change and the two answers to it.
#[derive(Debug)]
struct OperatorResult {
    /// Request id of the change.
    request: String,
    /// Value that the change sets.
    value: u32,
    /// Revision of the change, or the error, from each of the two sends.
    answers: Vec<Result<u64, ClientError>>,
}

async fn run_races(seed: u64) -> anyhow::Result<Value> {
    let mut rng = StdRng::seed_from_u64(seed);
    let config = ClusterConfig {
        daemons: DAEMONS,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::spawn(config).await?;
    cluster.operator().put_team(TEAM).await?;
    let mut figures = Figures::default();
    for round in 1..=ROUNDS {
        let expected = newest_revision(&cluster).await?;
        let racing = race(&cluster, round, expected, &mut rng);
        let racing = task::spawn(racing);
        let killed = if round.is_multiple_of(KILL_EVERY) {
            kill_leader(&mut cluster, &mut figures).await?
        } else {
            None
        };
        let results = racing.await;
        if let Some(index) = killed {
            cluster.start(index)?;
            cluster.wait_ready().await?;
        }
        check_round(&cluster, expected, &results, &mut figures).await?;
    }
    Ok(json!({
        "scenario": "races",
        "kind": "processes",
        "daemons": DAEMONS,
        "rounds": ROUNDS,
        "kills": figures.kills,
        "accepted": figures.accepted,
        "conflicts": figures.conflicts,
        "conflicts_named": figures.conflicts_named,
        "conflicts_unnamed": figures.conflicts - figures.conflicts_named,
        "doubled": figures.doubled,
        "lost": figures.lost,
        "none_won": figures.none_won,
        "unanswered": figures.unanswered,
    }))
}

async fn newest_revision(cluster: &Cluster) -> anyhow::Result<u64> {
    let mut newest = 0;
    for address in cluster.addresses() {
        let operator = CellOperator::new(&[address]);
        let answer = operator.client().list_teams(&rpc::ListRequest {}).await?;
        newest = newest.max(answer.revision);
    }
    Ok(newest)
}

/// Sends each operator's change concurrently through two daemons, with the same request id.
fn race(
    cluster: &Cluster,
    round: u32,
    expected: u64,
    rng: &mut StdRng,
) -> impl Future<Output = Vec<OperatorResult>> + Send + use<> {
    let addresses = cluster.addresses();
    let mut operators = Vec::new();
    for operator in 0..OPERATORS {
        let first = rng.random_range(CONTROL..DAEMONS);
        let second = if first + 1 < DAEMONS {
            first + 1
        } else {
            CONTROL
        };
        let change = rpc::Change {
            request_id: format!("{:032x}", rng.random::<u128>()),
            operator: format!("operator-{operator}"),
            expected_revision: Some(expected),
        };
        let via = [addresses[first], addresses[second]];
        operators.push(send_twice(via, change, round * OPERATORS + operator));
    }
    join_all(operators)
}

async fn send_twice(
    via: [std::net::SocketAddr; 2],
    change: rpc::Change,
    value: u32,
) -> OperatorResult {
    let request = change.request_id.clone();
    let put = rpc::PutTeamRequest {
        change: Some(change),
        team: Some(rpc::Team {
            id: TEAM.to_owned(),
            weight: 1,
            max_inflight: Some(value),
            token_rate: None,
        }),
    };
    let send = |daemon| {
        let put = put.clone();
        async move {
            let client = CellOperator::new(&[daemon]).client();
            client.put_team(&put).await.map(|answer| answer.revision)
        }
    };
    let answers = join_all(via.map(send)).await;
    OperatorResult {
        request,
        value,
        answers,
    }
}

async fn kill_leader(
    cluster: &mut Cluster,
    figures: &mut Figures,
) -> anyhow::Result<Option<usize>> {
    let status = rpc::StatusRequest {
        wait_revision: None,
        timeout_ms: 0,
    };
    let status = cluster.operator().client().status(&status).await?;
    let leader = cluster.position(&status.leader);
    let leader = leader.context("no daemon leads")?;
    cluster.kill(leader)?;
    figures.kills += 1;
    Ok(Some(leader))
}

async fn check_round(
    cluster: &Cluster,
    expected: u64,
    results: &[OperatorResult],
    figures: &mut Figures,
) -> anyhow::Result<()> {
    let mut winners = BTreeMap::new();
    for result in results {
        let revisions: BTreeSet<u64> = result.answers.iter().flatten().copied().collect();
        figures.doubled += revisions.len().saturating_sub(1) as u64;
        for revision in revisions {
            winners.insert(revision, result.value);
        }
        let accepted = result.answers.iter().any(Result::is_ok);
        for error in result.answers.iter().filter_map(|a| a.as_ref().err()) {
            count_error(error, expected, accepted, figures);
            if accepted {
                eprintln!(
                    "races: {} was accepted and refused: {error}",
                    result.request
                );
            }
        }
    }
    figures.accepted += winners.len() as u64;
    figures.doubled += winners.len().saturating_sub(1) as u64;
    match winners.last_key_value() {
        None => figures.none_won += 1,
        Some((revision, value)) => figures.lost += lost(cluster, *revision, *value).await?,
    }
    Ok(())
}

fn count_error(error: &ClientError, expected: u64, accepted: bool, figures: &mut Figures) {
    match error {
        ClientError::Refused(refused) if refused.code == ErrorCode::Conflict && !accepted => {
            figures.conflicts += 1;
            let text = refused.to_string();
            let named =
                text.contains("operator-") && !text.contains(&format!("revision {expected} "));
            figures.conflicts_named += u64::from(named);
            if !named {
                eprintln!("races: a conflict names no winner: {text}");
            }
        }
        ClientError::Refused(refused) if refused.code == ErrorCode::Conflict => {
            figures.doubled += 1;
        }
        other => {
            figures.unanswered += 1;
            eprintln!("races: {other}");
        }
    }
}

/// Counts the daemons that lack the winner's value after `revision` is in force.
async fn lost(cluster: &Cluster, revision: u64, value: u32) -> anyhow::Result<u64> {
    let wait = rpc::StatusRequest {
        wait_revision: Some(revision),
        timeout_ms: 5_000,
    };
    cluster.operator().client().status(&wait).await?;
    let mut lost = 0;
    for address in cluster.addresses() {
        let operator = CellOperator::new(&[address]);
        let answer = operator.client().list_teams(&rpc::ListRequest {}).await?;
        let team = answer.teams.iter().find(|t| t.id == TEAM);
        let held = team.and_then(|t| t.max_inflight);
        lost += u64::from(held != Some(value));
    }
    Ok(lost)
}
