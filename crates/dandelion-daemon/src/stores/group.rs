//! The Raft group of the store daemons, which replicates the batch jobs.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::StoreHealth;
use dandelion_batch::holders::Placement;
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
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use rand::Rng;

use crate::control::Outgoing;
use crate::control::ReplicaHandle;
use crate::control::STORE_GROUP;
use crate::control::View;
use crate::core::Handle;
use crate::core::new_request_id;
use crate::fenced::Duty;
use crate::membership::update_stopping;
use crate::stores::listings::Listings;
use crate::stores::texts::Texts;

/// Subfolder of the store folder for result bodies.
const TEXTS_FOLDER: &str = "texts";

/// Subfolder of the store folder for unfinished outputs.
const PARTIALS_FOLDER: &str = "partials";

/// Events that can be queued for the runner.
const EVENT_CAPACITY: usize = 8_192;

/// Interval at which the cell's replicated state is checked for changes of the stores.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Interval at which a store folder that can't be opened is tried again.
const OPEN_PERIOD: Duration = Duration::from_secs(1);

/// Wait for the target number of stores before fewer of them bootstrap the group.
const BOOTSTRAP_TIMEOUT: Millis = Millis(5_000);

/// Longest wait for the group's answer to a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Events for the runner of batch jobs.
#[derive(Debug)]
pub enum StoreEvent {
    /// The job with this id was stored.
    Submitted(String),
    /// The job with this id was ended by a caller.
    Ended(String),
    /// A control daemon forwarded this report of an engine.
    Reported(IncarnationReport),
}

/// When the departure of a store was first checked, and the commit index at that time.
#[derive(Debug, Clone, Copy)]
pub struct Emptying {
    /// Time of the first check.
    pub at: Millis,
    /// Index up to which entries were committed.
    pub index: u64,
}

/// This daemon's part of the store group. A daemon without a store folder has no replica, result
/// bodies or outputs.
#[derive(Debug)]
pub struct Stores {
    replica: OnceLock<ReplicaHandle>,
    /// Term in which this daemon may serve as leader; 0 before the first one.
    serving_term: AtomicU64,
    /// Result bodies on this daemon's disk.
    pub texts: Texts,
    /// Unfinished outputs on this daemon's disk.
    pub partials: Texts,
    /// Readers that wait for results.
    pub listings: Listings,
    /// Which of the other stores count as lost.
    health: Mutex<StoreHealth>,
    /// Departures of stores that this daemon checks as the leader.
    emptying: Mutex<BTreeMap<DaemonId, Emptying>>,
    /// Turns of this daemon as the leader of the group, towards engines.
    pub duty: Duty,
    events: Sender<StoreEvent>,
    queue: Receiver<StoreEvent>,
}

impl Stores {
    /// Opens the state of a daemon whose store folder is not open yet. `gap` is the shortest time
    /// between its orders to engines if another leader may have sent some in between.
    pub fn open(gap: Millis) -> Self {
        let (events, queue) = async_channel::bounded(EVENT_CAPACITY);
        Self {
            replica: OnceLock::new(),
            serving_term: AtomicU64::new(0),
            texts: Texts::default(),
            partials: Texts::default(),
            listings: Listings::default(),
            health: Mutex::default(),
            emptying: Mutex::default(),
            duty: Duty::open(gap),
            events,
            queue,
        }
    }

    /// Returns the replica, or nothing until the store folder is opened to bootstrap or join the
    /// group.
    pub fn replica(&self) -> Option<&ReplicaHandle> {
        self.replica.get()
    }

    /// Locks the belief which of the other stores are lost.
    pub fn health(&self) -> MutexGuard<'_, StoreHealth> {
        self.health.lock().expect("no holder of this lock panics")
    }

    /// Returns when the departure of a store was first checked: now, with this commit index, if it was
    /// not yet.
    pub fn begin_emptying(&self, store: &DaemonId, index: u64, now: Millis) -> Emptying {
        let mut emptying = self.emptying.lock().expect("no holder of this lock panics");
        *emptying
            .entry(store.clone())
            .or_insert(Emptying { at: now, index })
    }

    /// Returns where bodies of which each is on `copies` disks are placed. A daemon that is no store
    /// probes none and takes none for lost.
    pub fn placement<'a>(&self, view: &'a View, copies: usize) -> Placement<'a> {
        let health = self.health();
        let stores = view.members.iter().filter(|m| m.role == Role::Store);
        Placement::new(stores, copies, |m| {
            view.retiring.contains(&m.id) || health.is_lost(&m.id)
        })
    }

    /// Queues an event for the runner. An event that finds the queue full is dropped; the runner
    /// reads the table of jobs again at the start of its next term.
    pub fn notify(&self, event: StoreEvent) {
        if self.events.try_send(event).is_err() {
            log::warn!("the queue of batch events is full; an event was dropped");
        }
    }

    /// Returns the receiving end of the runner's event queue.
    pub fn queue(&self) -> &Receiver<StoreEvent> {
        &self.queue
    }

    /// Returns the term if this daemon leads the store group at least until `margin` from now and
    /// has applied everything that earlier leaders committed.
    pub fn leader_term(&self, margin: Millis) -> Option<Term> {
        let term = self.replica()?.leader_term(margin)?;
        (self.serving_term.load(Ordering::SeqCst) == term.0).then_some(term)
    }

    /// Commits a barrier, so that all entries of earlier terms are applied, and serves in `term`
    /// from then on. Returns whether the barrier was committed.
    pub async fn begin_term(&self, term: Term) -> bool {
        let applied = self.propose::<BarrierTable>(&()).await.is_ok();
        if applied {
            self.serving_term.store(term.0, Ordering::SeqCst);
        }
        applied
    }

    /// Proposes a change of the table of jobs.
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
        replica.propose(proposal, PROPOSE_TIMEOUT).await
    }
}

/// Bootstraps or joins the group and sends its messages until the process ends.
pub async fn run_group(core: Handle) {
    let initial = if has_group(&core) {
        // The stored replica knows the other members.
        Vec::new()
    } else {
        wait_initial_members(&core).await
    };
    let outgoing = loop {
        match open(&core, initial.clone()) {
            Ok(outgoing) => break outgoing,
            Err(error) => event!(Event::StorageFailed, error = format!("{error:#}")),
        }
        // The disk may be full at the start and have room later.
        task::sleep(OPEN_PERIOD).await;
    };
    task::spawn(update_members(core.clone()));
    while let Ok(Outgoing { to, message }) = outgoing.recv().await {
        if let (Some(mesh), MeshMessage::Raft(bytes)) = (core.mesh(), message) {
            // Raft sends a lost message again.
            let _lost = mesh.send(&to, MeshMessage::StoreRaft(bytes));
        }
    }
}

/// Passes the current store daemons, those that stop as planned and those being retired to the replica
/// whenever they change, until the process ends.
async fn update_members(core: Handle) {
    let mut known: Vec<DaemonId> = Vec::new();
    let mut stopping: Vec<DaemonId> = Vec::new();
    let mut retiring: Vec<DaemonId> = Vec::new();
    loop {
        let view = core.control.view();
        let stores = view.members.iter().filter(|m| m.role == Role::Store);
        let stores: Vec<DaemonId> = stores.map(|m| m.id.clone()).collect();
        if let Some(replica) = core.stores.replica().filter(|_| stores != known) {
            replica.set_extra_peers(stores.clone());
            known = stores;
        }
        update_stopping(&view, Role::Store, core.stores.replica(), &mut stopping);
        if let Some(replica) = core
            .stores
            .replica()
            .filter(|_| *view.retiring != *retiring)
        {
            retiring = view.retiring.to_vec();
            replica.retire(retiring.clone());
        }
        task::sleep(POLL_PERIOD).await;
    }
}

fn open(core: &Handle, initial: Vec<DaemonId>) -> anyhow::Result<Receiver<Outgoing>> {
    let settings = &core.settings.gateway;
    let folder = settings.folder.as_ref().context("no store folder is set")?;
    let mut rng = rand::rng();
    core.stores.texts.open(&folder.join(TEXTS_FOLDER))?;
    core.stores.partials.open(&folder.join(PARTIALS_FOLDER))?;
    let storage = FileStorage::open(folder, ReplicaId(rng.random()))?;
    let own = &core.identity.daemon;
    // Only an initial member may bootstrap the group, and only at the cell's first start; any
    // other daemon sends join requests to the members.
    let bootstraps = settings.first_start && initial.contains(own);
    let peers = initial.into_iter().filter(|id| bootstraps || id != own);
    let node = NodeSettings {
        added: !settings.first_start,
        voters: settings.voters(),
        timing: Timing::default(),
        ..NodeSettings::new(own.clone(), core.identity.zone.clone(), peers.collect())
    };
    let node = ControlNode::open(node, storage, clock::boot_now(), rng.random())?;
    let (replica, outgoing) = ReplicaHandle::spawn(node, STORE_GROUP);
    let _first = core.stores.replica.set(replica);
    Ok(outgoing)
}

/// Returns whether the store folder holds a replica that has joined its group.
pub(super) fn has_group(core: &Handle) -> bool {
    let folder = core.settings.gateway.folder.as_ref();
    folder.is_some_and(|folder| folder.join(SNAPSHOT_FILE).is_file())
}

/// Waits until the initial members are known. At the cell's first start, each store proposes them
/// as soon as there are enough stores.
async fn wait_initial_members(core: &Handle) -> Vec<DaemonId> {
    let started = clock::boot_now();
    loop {
        let view = core.control.view();
        if !view.founders.is_empty() {
            return view.founders.to_vec();
        }
        if core.settings.gateway.first_start {
            let may_wait = clock::boot_now() < started + BOOTSTRAP_TIMEOUT;
            propose_bootstrap(core, &view.members, may_wait).await;
        }
        task::sleep(POLL_PERIOD).await;
    }
}

async fn propose_bootstrap(core: &Handle, members: &[Member], may_wait: bool) {
    let target = core.settings.gateway.voters();
    let initial = choose_members(members, target);
    let is_enough = initial.len() >= target || (!may_wait && !initial.is_empty());
    if !is_enough {
        return;
    }
    let count = initial.len();
    let command = StoresCommand::Bootstrap(initial);
    match core.propose_own::<StoresTable>(&command).await {
        Ok(_) => event!(Event::StoresFounded, founders = count),
        Err(error) => log::debug!("the store group is not bootstrapped yet: {error}"),
    }
}

/// Chooses stores in the order of their names, one of each zone before a second one of any zone.
fn choose_members(members: &[Member], target: usize) -> Vec<DaemonId> {
    let mut rest: Vec<&Member> = members.iter().filter(|m| m.role == Role::Store).collect();
    let mut chosen: Vec<&Member> = Vec::new();
    while chosen.len() < target && !rest.is_empty() {
        let used = |m: &&Member| chosen.iter().filter(|c| c.zone == m.zone).count();
        let at = (0..rest.len()).min_by_key(|at| (used(&rest[*at]), *at));
        let Some(at) = at else { break };
        chosen.push(rest.remove(at));
    }
    chosen.into_iter().map(|m| m.id.clone()).collect()
}
