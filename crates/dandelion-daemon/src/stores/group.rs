//! The replicated group of the store daemons.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::table::BatchCommand;
use dandelion_control::ControlNode;
use dandelion_control::FileStorage;
use dandelion_control::Timing;
use dandelion_control::node::NodeSettings;
use dandelion_control::raft::ReplicaId;
use dandelion_control::storage::snapshot_file::SNAPSHOT_FILE;
use dandelion_control::tables::BarrierTable;
use dandelion_control::tables::StoresCommand;
use dandelion_control::tables::StoresTable;
use dandelion_kernel::Table;
use dandelion_net::clock;
use dandelion_protocol::codec;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::lives::UpstreamReport;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use rand::Rng;

use crate::control::Outgoing;
use crate::control::ReplicaHandle;
use crate::core::Handle;
use crate::core::new_request_id;
use crate::stores::texts::Texts;

/// Folder of the texts within the store folder.
const TEXTS_FOLDER: &str = "texts";

/// Folder of unfinished outputs within the store folder.
const PARTIALS_FOLDER: &str = "partials";

/// Events that may wait for the runner.
const QUEUE: usize = 8_192;

/// Time between two looks for the founders.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Time for which fewer stores than wanted are waited for before they found a group.
const FOUND_PATIENCE: Millis = Millis(5_000);

/// Longest wait for the group's answer to a change.
const PROPOSE_LIMIT: Duration = Duration::from_secs(2);

/// What the runner of jobs is told.
#[derive(Debug)]
pub enum StoreEvent {
    /// A job was stored.
    Submitted(String),
    /// A job was ended.
    Ended(String),
    /// An engine reported.
    Reported(UpstreamReport),
}

/// The store group as one daemon sees it; on a daemon without a store folder it stays empty.
#[derive(Debug)]
pub struct Stores {
    replica: OnceLock<ReplicaHandle>,
    serving: AtomicU64,
    /// Texts of results.
    pub texts: Texts,
    /// Unfinished outputs.
    pub partials: Texts,
    events: Sender<StoreEvent>,
    queue: Receiver<StoreEvent>,
}

impl Default for Stores {
    fn default() -> Self {
        let (events, queue) = async_channel::bounded(QUEUE);
        Self {
            replica: OnceLock::new(),
            serving: AtomicU64::new(0),
            texts: Texts::default(),
            partials: Texts::default(),
            events,
            queue,
        }
    }
}

impl Stores {
    /// Returns the replica, once the group is founded or joined.
    pub fn replica(&self) -> Option<&ReplicaHandle> {
        self.replica.get()
    }

    /// Tells the runner; an event that finds the queue full is lost and made good by its next look
    /// at the table.
    pub fn tell(&self, event: StoreEvent) {
        if self.events.try_send(event).is_err() {
            log::warn!("the queue of batch events is full; an event was left out");
        }
    }

    /// Returns the queue of events.
    pub fn queue(&self) -> &Receiver<StoreEvent> {
        &self.queue
    }

    /// Returns the term if this daemon is in charge until `margin` from now and has applied all that
    /// earlier leaders committed.
    pub fn charge(&self, margin: Millis) -> Option<Term> {
        let term = self.replica()?.in_charge(margin)?;
        (self.serving.load(Ordering::SeqCst) == term.0).then_some(term)
    }

    /// Makes sure that everything of earlier terms is applied, and serves from then on.
    pub async fn begin(&self, term: Term) -> bool {
        let settled = self.propose::<BarrierTable>(&()).await.is_ok();
        if settled {
            self.serving.store(term.0, Ordering::SeqCst);
        }
        settled
    }

    /// Changes the table of jobs.
    pub async fn change(&self, command: &BatchCommand) -> Result<Answer, ProposeError> {
        self.propose::<BatchTable>(command).await
    }

    async fn propose<T>(&self, command: &T::Command) -> Result<Answer, ProposeError>
    where
        T: Table,
    {
        let replica = self.replica().ok_or(ProposeError::NoLeader)?;
        let proposal = Proposal {
            id: new_request_id(),
            author: String::new(),
            at: WallMillis(0),
            expected: None,
            table: T::NAME.to_owned(),
            command: codec::encode(command).map_err(|_error| ProposeError::NoLeader)?,
        };
        replica.propose(proposal, PROPOSE_LIMIT).await
    }
}

/// Founds or joins the group and carries its messages until the process ends.
pub async fn run_group(core: Handle) {
    let founders = if has_group(&core) {
        // The folder says who the others are; nothing need be waited for.
        Vec::new()
    } else {
        wait_founders(&core).await
    };
    let outgoing = match open(&core, founders) {
        Ok(outgoing) => outgoing,
        Err(error) => {
            event!(Event::StorageFailed, error = format!("{error:#}"));
            return;
        }
    };
    task::spawn(meet_stores(core.clone()));
    while let Ok(Outgoing { to, message }) = outgoing.recv().await {
        if let (Some(mesh), MeshMessage::Raft(bytes)) = (core.mesh(), message) {
            // Replication makes good what is lost.
            let _lost = mesh.send(&to, MeshMessage::StoreRaft(bytes));
        }
    }
}

/// Tells the replica of stores that are no founders, until the process ends.
async fn meet_stores(core: Handle) {
    let mut known: Vec<DaemonId> = Vec::new();
    let mut retiring: Vec<DaemonId> = Vec::new();
    loop {
        let view = core.control.view();
        let stores = view.members.iter().filter(|m| m.role == Role::Store);
        let stores: Vec<DaemonId> = stores.map(|m| m.id.clone()).collect();
        if let Some(replica) = core.stores.replica().filter(|_| stores != known) {
            replica.meet(stores.clone());
            known = stores;
        }
        if let Some(replica) = core
            .stores
            .replica()
            .filter(|_| *view.retiring != *retiring)
        {
            retiring = view.retiring.to_vec();
            replica.retire(retiring.clone());
        }
        task::sleep(LOOK_PERIOD).await;
    }
}

fn open(core: &Handle, founders: Vec<DaemonId>) -> anyhow::Result<Receiver<Outgoing>> {
    let settings = &core.settings.gateway;
    let folder = settings.folder.as_ref().context("no store folder is set")?;
    let mut rng = rand::rng();
    core.stores.texts.open(&folder.join(TEXTS_FOLDER))?;
    core.stores.partials.open(&folder.join(PARTIALS_FOLDER))?;
    let storage = FileStorage::open(folder, ReplicaId(rng.random()))?;
    let own = &core.identity.daemon;
    // Only a founder at the first start may begin the group; anyone else introduces itself.
    let founds = settings.first_start && founders.contains(own);
    let peers = founders.into_iter().filter(|id| founds || id != own);
    let node = NodeSettings {
        voters: settings.voters(),
        timing: Timing::default(),
        ..NodeSettings::new(own.clone(), core.identity.zone.clone(), peers.collect())
    };
    let node = ControlNode::open(node, storage, clock::boot_now(), rng.random())?;
    let (replica, outgoing) = ReplicaHandle::spawn(node);
    let _first = core.stores.replica.set(replica);
    Ok(outgoing)
}

/// Tells whether the store folder holds a replica that has met its group.
fn has_group(core: &Handle) -> bool {
    let folder = core.settings.gateway.folder.as_ref();
    folder.is_some_and(|folder| folder.join(SNAPSHOT_FILE).is_file())
}

/// Waits until the founders are known. At the first start the stores propose themselves as soon as
/// there are enough of them.
async fn wait_founders(core: &Handle) -> Vec<DaemonId> {
    let begun = clock::boot_now();
    loop {
        let view = core.control.view();
        if !view.founders.is_empty() {
            return view.founders.to_vec();
        }
        if core.settings.gateway.first_start {
            let patient = clock::boot_now() < begun + FOUND_PATIENCE;
            propose_founders(core, &view.members, patient).await;
        }
        task::sleep(LOOK_PERIOD).await;
    }
}

async fn propose_founders(core: &Handle, members: &[Member], patient: bool) {
    let wanted = core.settings.gateway.voters();
    let founders = choose_founders(members, wanted);
    let is_enough = founders.len() >= wanted || (!patient && !founders.is_empty());
    if !is_enough {
        return;
    }
    let count = founders.len();
    let command = StoresCommand::Found(founders);
    match core.propose_own::<StoresTable>(&command).await {
        Ok(_) => event!(Event::StoresFounded, founders = count),
        Err(error) => log::debug!("the store group is not founded yet: {error}"),
    }
}

/// Chooses stores by name, one of each zone before a second one of any.
fn choose_founders(members: &[Member], wanted: usize) -> Vec<DaemonId> {
    let mut rest: Vec<&Member> = members.iter().filter(|m| m.role == Role::Store).collect();
    let mut chosen: Vec<&Member> = Vec::new();
    while chosen.len() < wanted && !rest.is_empty() {
        let used = |m: &&Member| chosen.iter().filter(|c| c.zone == m.zone).count();
        let at = (0..rest.len()).min_by_key(|at| (used(&rest[*at]), *at));
        let Some(at) = at else { break };
        chosen.push(rest.remove(at));
    }
    chosen.into_iter().map(|m| m.id.clone()).collect()
}
