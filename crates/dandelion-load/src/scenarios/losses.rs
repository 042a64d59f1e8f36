//! A control daemon and a store are lost for good and replaced, then others lose their disks. What was
//! acknowledged must still be readable.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_rpc::generated as rpc;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::cluster::CellOperator;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::plan;
use crate::cluster::plan::PlanCell;

const CONTROL: usize = 3;
const STORES: usize = 3;
const ENTRIES: usize = 2;
/// Time after the start of a successor from which another daemon may be lost.
const CATCH_UP: Duration = Duration::from_millis(4_200);
/// Longest time from a loss to the start of the successor.
const MAX_PAUSE_MS: u64 = 2_000;
/// Time for which a daemon that loses its disk is down.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time after the last loss within which everything must be readable.
const RECOVERY: Duration = Duration::from_secs(12);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Log lines that are printed if something was lost.
const LOGGED: [&str; 6] = [
    "\"leader_",
    "\"vote_",
    "\"group_",
    "\"jobs_",
    "\"stores_founded\"",
    "\"storage_",
];

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_losses(seed))
}

async fn run_losses(seed: u64) -> anyhow::Result<Value> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: CONTROL + STORES + ENTRIES,
        control: CONTROL,
        stores: STORES,
        gateway: true,
        ..ClusterConfig::default()
    })
    .await?;
    let cell = PlanCell::new(&cluster);
    cell.put_engine_plan().await?;
    let entries = (CONTROL + STORES..cluster.len()).map(|i| cluster.http(i));
    let mut record = Record {
        cell,
        operator: CellOperator::new(&entries.collect::<Vec<_>>()),
        teams: BTreeSet::new(),
        jobs: Vec::new(),
    };
    let mut unread = Unread::default();
    unread.add(record.acknowledge_more().await);
    task::sleep(CATCH_UP).await;
    let control = (0..CONTROL).collect::<Vec<_>>();
    let stores = (CONTROL..CONTROL + STORES).collect::<Vec<_>>();
    let mut healed = Vec::new();
    for mut group in [control, stores] {
        let first = rng.random_range(0..group.len());
        cluster.kill(group[first])?;
        task::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        group[first] = cluster.add_successor(group[first])?;
        task::sleep(CATCH_UP).await;
        unread.add(record.acknowledge_more().await);
        let second = group[(first + rng.random_range(0..group.len())) % group.len()];
        cluster.kill(second)?;
        cluster.lose_disk(second)?;
        task::sleep(DOWN_TIME).await;
        let begun = Instant::now();
        cluster.start(second)?;
        unread.add(record.read_all().await);
        unread.add(record.acknowledge_more().await);
        healed.push(begun.elapsed().as_secs_f64());
        task::sleep(CATCH_UP).await;
    }
    if unread.teams + unread.jobs + unread.refused > 0 {
        print_logs(&cluster);
    }
    Ok(json!({
        "scenario": "losses",
        "kind": "processes",
        "unread_teams": unread.teams,
        "unread_jobs": unread.jobs,
        "refused": unread.refused,
        "teams": record.teams.len(),
        "jobs": record.jobs.len(),
        "healed_s": healed,
    }))
}

/// Prints what the replicas of both groups have logged about leaders and voters.
fn print_logs(cluster: &Cluster) {
    for index in 0..cluster.len() {
        let log = cluster.log(index);
        let lines = log
            .lines()
            .filter(|line| LOGGED.iter().any(|name| line.contains(name)));
        for line in lines {
            eprintln!("{} {line}", cluster.name(index));
        }
    }
}

/// What could not be read, or was not accepted, within [`RECOVERY`].
#[derive(Debug, Clone, Copy, Default)]
struct Unread {
    teams: usize,
    jobs: usize,
    refused: usize,
}

impl Unread {
    fn add(&mut self, other: Self) {
        self.teams += other.teams;
        self.jobs += other.jobs;
        self.refused += other.refused;
    }
}

/// What was acknowledged so far.
struct Record {
    cell: PlanCell,
    operator: CellOperator,
    teams: BTreeSet<String>,
    jobs: Vec<u64>,
}

impl Record {
    /// Creates a team and submits a batch job.
    async fn acknowledge_more(&mut self) -> Unread {
        let until = Instant::now() + RECOVERY;
        let team = format!("team-{}", self.teams.len());
        let id = self.cell.next_id();
        let item = (format!("{id:016x}"), format!("{}{id}", plan::BATCHES));
        let entry = self.cell.entries[self.jobs.len() % ENTRIES];
        let (mut put, mut submitted) = (false, false);
        while Instant::now() < until && !(put && submitted) {
            put = put || self.operator.put_team(&team).await.is_ok();
            let items = std::slice::from_ref(&item);
            submitted = submitted || self.cell.submit(id, entry, items).await;
            task::sleep(POLL_INTERVAL).await;
        }
        if put {
            self.teams.insert(team);
        }
        if submitted {
            self.jobs.push(id);
        }
        Unread {
            refused: usize::from(!put) + usize::from(!submitted),
            ..Unread::default()
        }
    }

    /// Reads all that was acknowledged, again and again until it is complete or [`RECOVERY`] is over.
    async fn read_all(&self) -> Unread {
        let until = Instant::now() + RECOVERY;
        loop {
            let unread = self.read_once().await;
            let is_complete = unread.teams + unread.jobs == 0;
            if is_complete || Instant::now() > until {
                return unread;
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    async fn read_once(&self) -> Unread {
        let listed = self.operator.client();
        let listed = listed.list_teams(&rpc::ListRequest {}).await;
        let listed = listed.map_or(BTreeSet::new(), |answer| {
            answer.teams.into_iter().map(|team| team.id).collect()
        });
        let mut unread = Unread {
            teams: self.teams.difference(&listed).count(),
            ..Unread::default()
        };
        for id in &self.jobs {
            let results = self.cell.results(*id, self.cell.entries[0], 0).await;
            unread.jobs += usize::from(results.is_none());
        }
        unread
    }
}
