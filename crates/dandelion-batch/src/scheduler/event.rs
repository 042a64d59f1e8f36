//! What happens to the scheduler and what it asks for.

use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::lives::UpstreamReport;
use dandelion_protocol::time::Millis;

/// One run of an item at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// How fast an engine made a run's output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// Events made.
    pub events: u64,
    /// Time from the first to the last of them.
    pub span: Millis,
}

impl Speed {
    /// Returns the milliseconds between two events.
    pub fn pace(&self) -> f64 {
        self.span.0 as f64 / self.events.max(1) as f64
    }
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The output is whole and fresh.
    Finished {
        /// Version of the weights at its end, if the engine said so.
        version: Option<u64>,
        /// Speed, unless the run was too short.
        speed: Option<Speed>,
    },
    /// The engine did not run the item, because it is full or loads weights.
    Refused,
    /// The engine is another one than was meant, or of another version.
    Mistaken,
    /// The engine failed it.
    Failed,
    /// The engine says that the item can never be done.
    Impossible,
    /// The output is made by weights that are too old; the engine has this version.
    Stale(u64),
    /// It was broken off, to go on at a faster engine.
    Moved,
    /// The connection broke or the answer cannot be trusted; `reached` tells whether the engine
    /// took the connection.
    Broken {
        /// Whether the engine took the connection.
        reached: bool,
    },
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The engine has the version.
    Holds,
    /// Another order is being carried out.
    Busy,
    /// It was refused for another reason, or there was no answer.
    Failed,
}

/// What happens.
#[derive(Debug, Clone)]
pub enum Event<'a> {
    /// A job is open; `open` tells which of its items have no result.
    Opened {
        /// Job.
        job: &'a BatchJob,
        /// Whether each item is open.
        open: Vec<bool>,
        /// Service that takes its items now.
        service: Option<ServiceId>,
    },
    /// The service that takes a job's items has changed.
    Routed {
        /// Job.
        job: &'a str,
        /// Service, or none if the route is gone.
        service: Option<ServiceId>,
    },
    /// A job was ended.
    Ended(&'a str),
    /// The engines that are known.
    Engines(&'a [(UpstreamLife, Option<u64>)]),
    /// An engine reported.
    Reported(&'a UpstreamReport),
    /// A trainer named a version of a model.
    Named {
        /// Model.
        model: &'a str,
        /// Version.
        version: u64,
    },
    /// A run made its first event.
    Began(RunId),
    /// A run made further events at this speed.
    Progress {
        /// Run.
        run: RunId,
        /// Speed since the last report.
        speed: Speed,
    },
    /// A run ended.
    RunEnded {
        /// Run.
        run: RunId,
        /// How.
        outcome: RunOutcome,
    },
    /// An order ended.
    OrderEnded {
        /// Engine.
        engine: &'a UpstreamId,
        /// Model.
        model: &'a str,
        /// Version.
        version: u64,
        /// How.
        outcome: OrderOutcome,
    },
    /// Time has passed.
    Tick,
}

/// What the scheduler asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Run an item.
    Run {
        /// Run.
        run: RunId,
        /// Job.
        job: String,
        /// Item by its place in the job.
        item: usize,
        /// Engine.
        engine: UpstreamLife,
    },
    /// Break a run off.
    Cancel(RunId),
    /// Break a run off and keep its output: it goes on at a faster engine.
    Move(RunId),
    /// List an item as given up.
    GiveUp {
        /// Job.
        job: String,
        /// Item by its place in the job.
        item: usize,
    },
    /// Order an engine to load a version.
    Order {
        /// Engine.
        engine: UpstreamLife,
        /// Model.
        model: String,
        /// Version.
        version: u64,
        /// Whether its runs go on under the new version.
        keep: bool,
    },
}
