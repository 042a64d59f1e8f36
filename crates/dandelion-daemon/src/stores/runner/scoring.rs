//! Scores complete outputs before they are listed.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_std::task;
use dandelion_batch::scoring::CallId;
use dandelion_batch::scoring::Outcome;
use dandelion_batch::scoring::ScoringAction;
use dandelion_batch::table::BatchCommand;
use dandelion_net::clock;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::ListedResult;
use dandelion_protocol::batch::ScoringRequest;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event as LogEvent;
use dandelion_telemetry::event;
use futures::future::AbortHandle;
use futures::future::Abortable;
use rand::Rng;

use crate::control::View;
use crate::core::Handle;
use crate::gateway;
use crate::stores::runner::Runner;
use crate::stores::runner::TaskMessage;
use crate::stores::runner::guard::guarded;
use crate::stores::runner::results::list_result;
use crate::stores::runner::view::route_of;

/// Delay after a scoring request whose task failed.
const FAILED_DELAY: Millis = Millis(500);

impl Runner {
    /// Queues the request that scores an item, whose output is recorded as complete: whatever happens
    /// to this daemon, the item isn't generated again, so that the score is that of the listed output.
    pub(super) fn score_item(&mut self, job: &str, item: usize, result: ListedResult) {
        let Some(open) = self.jobs.get_mut(job) else {
            return;
        };
        let batch = Arc::clone(&open.job);
        open.unscored.insert(item, result);
        let route = batch.items[item].scoring.as_ref();
        let route = route.and_then(|request| self.scoring_route(request));
        self.scoring.set_route(job, item, route);
        self.scoring.push(clock::boot_now(), job, item);
        self.advance_scoring();
    }

    /// Passes the routes and slots of a new view to the queue.
    pub(super) fn refresh_scoring(&mut self, view: &View) {
        let unscored = self.scoring.unscored();
        let unscored: Vec<(String, usize)> =
            unscored.map(|(job, item)| (job.to_owned(), item)).collect();
        for (job, item) in unscored {
            let open = self.jobs.get(&job);
            let request = open.and_then(|open| open.job.items[item].scoring.as_ref());
            let route = request.and_then(|request| self.scoring_route(request));
            self.scoring.set_route(&job, item, route);
        }
        let mut slots: BTreeMap<&ServiceId, u32> = BTreeMap::new();
        let serves = |u: &&UpstreamIncarnation| u.ready && !view.is_evacuated(&u.zone);
        for upstream in view.incarnations.iter().filter(serves) {
            let slots = slots.entry(&upstream.service).or_default();
            *slots = slots.saturating_add(upstream.slots);
        }
        for (service, slots) in slots {
            self.scoring.set_slots(service, slots);
        }
    }

    /// Returns the service and the attempts of the route of a scoring request.
    fn scoring_route(&self, request: &ScoringRequest) -> Option<(ServiceId, u32)> {
        let plan = self.view.plan.as_deref()?;
        route_of(plan, &request.host, &request.path)
    }

    /// Sends the scoring requests that may be sent now.
    pub(super) fn advance_scoring(&mut self) {
        let mut actions = Vec::new();
        self.scoring.advance(clock::boot_now(), &mut actions);
        self.execute_scoring(actions);
    }

    /// Handles the end of a try.
    pub(super) fn finish_scoring(&mut self, call: CallId, outcome: Outcome) {
        if self.scoring_calls.remove(&call).is_none() {
            return;
        }
        let mut actions = Vec::new();
        let draw = rand::rng().random();
        self.scoring
            .finish(clock::boot_now(), call, outcome, draw, &mut actions);
        self.execute_scoring(actions);
        self.advance_scoring();
    }

    /// Cancels the scoring requests of a job that was ended.
    pub(super) fn end_scoring(&mut self, job: &str) {
        let mut actions = Vec::new();
        self.scoring.end_job(job, &mut actions);
        self.execute_scoring(actions);
    }

    fn execute_scoring(&mut self, actions: Vec<ScoringAction>) {
        for action in actions {
            match action {
                ScoringAction::Send {
                    call,
                    job,
                    item,
                    timeout,
                    avoid,
                } => self.send_scoring(call, &job, item, timeout, avoid),
                ScoringAction::Cancel(call) => {
                    if let Some(abort) = self.scoring_calls.remove(&call) {
                        abort.abort();
                    }
                }
                ScoringAction::List {
                    job,
                    item,
                    score,
                    waited,
                    tries,
                } => {
                    event!(
                        LogEvent::ItemScored,
                        job = job,
                        item = self.item_id(&job, item),
                        waited_ms = waited.0,
                        tries = tries
                    );
                    self.core.metrics.observe_scored(waited, tries);
                    self.list_scored(job, item, score);
                }
                ScoringAction::GiveUp { job, item, reason } => {
                    if let Some(open) = self.jobs.get_mut(&job) {
                        open.unscored.remove(&item);
                    }
                    self.core.metrics.count_unscored(reason);
                    self.give_up(&job, item, reason);
                }
            }
        }
    }

    fn send_scoring(
        &mut self,
        call: CallId,
        job: &str,
        item: usize,
        timeout: Millis,
        avoid: Vec<UpstreamId>,
    ) {
        let Some(open) = self.jobs.get(job) else {
            return;
        };
        let batch = Arc::clone(&open.job);
        let (core, term) = (self.core.clone(), self.term);
        let messages = self.messages.clone();
        let (abort, registration) = AbortHandle::new_pair();
        let work = async move {
            let id = &batch.items[item].id;
            let work = Box::pin(send(&core, &batch, item, timeout, &avoid, term));
            let outcome = guarded("a scoring request", id, work).await;
            let outcome = outcome.unwrap_or(Outcome::Withheld(FAILED_DELAY));
            // The runner is gone if its term is over.
            let _gone = messages
                .send(TaskMessage::ScoringEnded(call, outcome))
                .await;
        };
        task::spawn(Abortable::new(work, registration));
        self.scoring_calls.insert(call, abort);
    }

    /// Lists an item with its score.
    fn list_scored(&mut self, job: String, item: usize, score: String) {
        let open = self.jobs.get_mut(&job);
        let Some(mut result) = open.and_then(|open| open.unscored.remove(&item)) else {
            return;
        };
        result.score = Some(score);
        let (core, term) = (self.core.clone(), self.term);
        task::spawn(async move { list_result(&core, term, job, result).await });
    }

    fn item_id(&self, job: &str, item: usize) -> String {
        let open = self.jobs.get(job);
        open.map_or_else(String::new, |open| open.job.items[item].id.clone())
    }
}

/// Sends one try of the request that scores an item.
async fn send(
    core: &Handle,
    job: &BatchJob,
    item: usize,
    timeout: Millis,
    avoid: &[UpstreamId],
    term: Term,
) -> Outcome {
    let item = &job.items[item];
    let Some(request) = &item.scoring else {
        return Outcome::Withheld(Millis::ZERO);
    };
    let outcome = gateway::send_scoring(core, request, avoid, timeout, term).await;
    if !matches!(outcome, Outcome::Scored { .. }) {
        event!(
            LogEvent::ScoringRetried,
            job = job.id,
            item = item.id,
            request = request.id,
            outcome = format!("{outcome:?}")
        );
    }
    outcome
}

/// Records a complete output; tries again until it is recorded or this daemon no longer leads in
/// `term`. Returns whether it is recorded.
pub(super) async fn record_complete(
    core: &Handle,
    term: Term,
    job: &str,
    result: &ListedResult,
) -> bool {
    let command = BatchCommand::Complete {
        job: job.to_owned(),
        result: result.clone(),
    };
    while core.stores.leader_term(Millis::ZERO) == Some(term) {
        if core.stores.change(&command).await.is_ok() {
            return true;
        }
    }
    false
}
