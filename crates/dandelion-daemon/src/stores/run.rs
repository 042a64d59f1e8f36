//! One run of a batch item at an engine.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_batch::scheduler::Speed;
use dandelion_net::http::client;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_platform::headers;
use dandelion_platform::headers::Forwarding;
use dandelion_platform::stream::EventReader;
use dandelion_platform::stream::StreamEvent;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::time::Millis;
use http_types::Request;

use crate::core::Handle;

/// Longest time for one run.
const RUN_LIMIT: Duration = Duration::from_secs(30);

/// Time without a byte after which a run is broken off: engines send an event each few tens of
/// milliseconds, slow ones each few hundred.
const QUIET_LIMIT: Duration = Duration::from_secs(1);

/// Time after which a run's speed is reported though few events came or none: six to eight usual
/// gaps between two events.
const REPORT_PERIOD: Duration = Duration::from_millis(300);

/// Time between two copies of a run's output: what a change of the daemon in charge can cost.
const CHECKPOINT_PERIOD: Duration = Duration::from_millis(1_200);

/// Events between two reports of a run's speed.
const REPORT_EVENTS: u64 = 6;

/// Longest answer to a refused run that is read, in bytes.
const MAX_REFUSAL: usize = 64 * 1024;

/// Output of an item as far as it has been made.
#[derive(Debug, Clone, Default)]
pub struct Output {
    /// Data of the events, separated by line feeds.
    pub text: String,
    /// Number of the last event; none before the first.
    pub last: Option<u64>,
    /// Versions of the weights that made it.
    pub versions: Vec<u64>,
}

impl Output {
    /// Goes on from an output that was kept.
    pub fn from_partial(partial: Partial) -> Self {
        Self {
            text: partial.text,
            last: Some(partial.last),
            versions: partial.versions,
        }
    }

    fn push(&mut self, event: &StreamEvent) {
        if self.last.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last = event.id.or(self.last);
    }

    fn note_version(&mut self, version: u64) {
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
    }
}

/// One run.
#[derive(Debug)]
pub struct ItemRun {
    /// Job.
    pub job: Arc<BatchJob>,
    /// Item by its place in the job.
    pub item: usize,
    /// Engine.
    pub engine: UpstreamLife,
    /// Output of earlier runs that this one goes on from.
    pub output: Output,
}

/// Takes what a run tells while it goes on.
pub trait RunWatch {
    /// The first event was made.
    fn began(&mut self);
    /// Further events were made at this speed.
    fn progress(&mut self, speed: Speed);
    /// The output so far is worth keeping.
    fn checkpoint(&mut self, output: &Output);
    /// Tells whether the run is to be broken off so that it goes on elsewhere.
    fn is_moved(&self) -> bool;
}

/// How a run ended, with the output so far.
#[derive(Debug)]
pub struct Ended {
    /// How.
    pub outcome: RunOutcome,
    /// Output.
    pub output: Output,
    /// Longest time between two pieces of the answer.
    pub pause: Duration,
}

impl ItemRun {
    /// Runs the item; `watch` is told of its progress.
    pub async fn run<W>(self, core: &Handle, watch: W) -> Ended
    where
        W: RunWatch,
    {
        let mut output = self.output.clone();
        let mut pause = Duration::ZERO;
        let sent = self.send(core).await;
        let outcome = match sent {
            Ok(mut exchange) => match self.refusal(&mut exchange).await {
                Some(outcome) => outcome,
                None => {
                    self.read(&mut exchange, &mut output, &mut pause, watch)
                        .await
                }
            },
            Err(outcome) => outcome,
        };
        Ended {
            outcome,
            output,
            pause,
        }
    }

    async fn send(&self, core: &Handle) -> Result<Exchange, RunOutcome> {
        let options = SendOptions {
            deadline: Instant::now() + RUN_LIMIT,
            progress: QUIET_LIMIT,
            idempotent: true,
        };
        let request = self.request().ok_or(RunOutcome::Failed)?;
        let sent = core
            .gateway
            .client
            .send(self.engine.address, request, &options);
        sent.await.map_err(|error| {
            log::debug!("item {} at {}: {error}", self.id(), self.engine.id);
            RunOutcome::Broken {
                reached: matches!(error, SendError::Unknown(_)),
            }
        })
    }

    fn id(&self) -> &str {
        &self.job.items[self.item].id
    }

    fn request(&self) -> Option<Request> {
        let item = &self.job.items[self.item];
        let with = Forwarding {
            upstream: self.engine.id.as_str(),
            team: Some(self.job.team.as_str()),
            left: RUN_LIMIT,
        };
        let mut headers = headers::forwarded(&item.headers, &with);
        headers.push(headers::header(headers::ATTEMPT, &item.id));
        if let Some(last) = self.output.last {
            headers.push(headers::header(headers::LAST_EVENT, &last.to_string()));
        }
        let body = item.body.clone();
        let built = client::request_for(&self.job.host, "POST", &item.path, &headers, body);
        built
            .inspect_err(|cause| log::warn!("item {}: {cause}", item.id))
            .ok()
    }

    /// Tells how the run ended if the answer is no stream.
    async fn refusal(&self, exchange: &mut Exchange) -> Option<RunOutcome> {
        let status = exchange.status();
        let crossed = exchange
            .header(headers::ATTEMPT)
            .is_some_and(|id| id != self.id());
        if crossed {
            return Some(RunOutcome::Broken { reached: true });
        }
        if (200..300).contains(&status) {
            return None;
        }
        let not_run = exchange.header(headers::NOT_RUN).is_some();
        // The connection can be kept only if the answer was read to its end.
        let _read = exchange.read_all(MAX_REFUSAL).await;
        Some(match status {
            421 => RunOutcome::Mistaken,
            _ if not_run => RunOutcome::Refused,
            422 => RunOutcome::Impossible,
            500 => RunOutcome::Failed,
            _ => RunOutcome::Broken { reached: true },
        })
    }

    async fn read<W>(
        &self,
        exchange: &mut Exchange,
        output: &mut Output,
        pause: &mut Duration,
        watch: W,
    ) -> RunOutcome
    where
        W: RunWatch,
    {
        let version = exchange
            .header(headers::VERSION)
            .and_then(|v| v.trim().parse().ok());
        let mut reading = Reading {
            run: self,
            version,
            watch,
            first: None,
            events: 0,
            reported: None,
            checkpoint: Instant::now(),
            pause: Duration::ZERO,
        };
        let outcome = reading.read(exchange, output).await;
        *pause = reading.pause;
        outcome
    }
}

/// A stream that is being read.
struct Reading<'a, W> {
    run: &'a ItemRun,
    version: Option<u64>,
    watch: W,
    first: Option<Instant>,
    events: u64,
    /// Events and time of the last report.
    reported: Option<(u64, Instant)>,
    /// When the output was copied last.
    checkpoint: Instant,
    /// Longest time between two pieces.
    pause: Duration,
}

impl<W> Reading<'_, W>
where
    W: RunWatch,
{
    async fn read(&mut self, exchange: &mut Exchange, output: &mut Output) -> RunOutcome {
        let broken = RunOutcome::Broken { reached: true };
        let mut reader = EventReader::default();
        loop {
            let Some(piece) = self.next_piece(exchange).await else {
                return RunOutcome::Moved;
            };
            let piece = match piece {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(error) => {
                    log::debug!("item {} at {}: {error}", self.run.id(), self.run.engine.id);
                    return broken;
                }
            };
            let Some(events) = reader.push(&piece) else {
                return broken;
            };
            for event in events {
                if let Some(outcome) = self.take(&event, output) {
                    return outcome;
                }
            }
            self.report();
            if self.checkpoint.elapsed() >= CHECKPOINT_PERIOD {
                self.checkpoint = Instant::now();
                self.watch.checkpoint(output);
            }
            if self.watch.is_moved() {
                return RunOutcome::Moved;
            }
        }
        if reader.is_cut() || output.last.is_none() {
            return broken;
        }
        RunOutcome::Finished {
            version: self.version,
            speed: self.speed(),
        }
    }

    /// Waits for the next piece of the answer and reports silence meanwhile; returns nothing if the
    /// run is to be moved.
    async fn next_piece(
        &mut self,
        exchange: &mut Exchange,
    ) -> Option<Result<Option<Vec<u8>>, SendError>> {
        let asked = Instant::now();
        let mut next = pin!(exchange.chunk());
        loop {
            let piece = timeout(REPORT_PERIOD, next.as_mut()).await;
            self.pause = self.pause.max(asked.elapsed());
            if let Ok(piece) = piece {
                return Some(piece);
            }
            self.report();
            if self.watch.is_moved() {
                return None;
            }
        }
    }

    /// Takes one event in; returns an outcome if the run must end.
    fn take(&mut self, event: &StreamEvent, output: &mut Output) -> Option<RunOutcome> {
        self.version = event.version.or(self.version);
        let expected = output.last.map(|last| last + 1);
        let follows = match (expected, event.id) {
            (Some(expected), Some(id)) => id == expected,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if !follows {
            return Some(RunOutcome::Broken { reached: true });
        }
        let Some(version) = self.version else {
            return Some(RunOutcome::Broken { reached: true });
        };
        let mixed = self.run.job.pure && output.versions.iter().any(|v| *v != version);
        if version < self.run.job.min_version || mixed {
            return Some(RunOutcome::Stale(version));
        }
        if self.first.is_none() {
            self.watch.began();
            self.first = Some(Instant::now());
        }
        self.events += 1;
        output.note_version(version);
        output.push(event);
        None
    }

    fn report(&mut self) {
        let now = Instant::now();
        if self.first.is_none() {
            return;
        }
        let (events, at) = *self.reported.get_or_insert((self.events, now));
        let few = self.events < events + REPORT_EVENTS;
        if few && now.duration_since(at) < REPORT_PERIOD {
            return;
        }
        self.reported = Some((self.events, now));
        self.watch.progress(Speed {
            events: self.events - events,
            span: Millis(now.duration_since(at).as_millis() as u64),
        });
    }

    fn speed(&self) -> Option<Speed> {
        const MIN_EVENTS: u64 = 4;
        let first = self.first.filter(|_| self.events >= MIN_EVENTS)?;
        Some(Speed {
            events: self.events - 1,
            span: Millis(first.elapsed().as_millis() as u64),
        })
    }
}
