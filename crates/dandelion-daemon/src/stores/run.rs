//! One run of a batch item on an engine.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use dandelion_batch::scheduler::KeptOutput;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_batch::scheduler::Speed;
use dandelion_net::http::BufferShare;
use dandelion_net::http::client;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_platform::headers;
use dandelion_platform::headers::Forwarding;
use dandelion_platform::stream::EventReader;
use dandelion_platform::stream::StreamEvent;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::RatePermit;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use http_types::Request;
use thiserror::Error;

use crate::core::Handle;
use crate::gateway::gate;
use crate::gateway::limits;
use crate::gateway::observe_leaving;
use crate::gateway::peer::Incarnation;

/// Longest time for one run, from the sending of the request to the last event.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without a byte after which a run is aborted. Engines send an event every few tens of
/// milliseconds, slow ones every few hundred.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a run's speed is reported even if fewer than `REPORT_EVENTS` events came: six
/// to eight usual gaps between two events.
const REPORT_PERIOD: Duration = Duration::from_millis(300);

/// Interval at which a run's output is saved: a change of the leader loses at most the output of
/// this time.
const CHECKPOINT_PERIOD: Duration = Duration::from_millis(1_200);

/// Events after which a run's speed is reported.
const REPORT_EVENTS: u64 = 6;

/// Longest output of an item, in bytes. What goes on beyond it is not the answer to a request.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// Longest time to read an error answer, whose status is already known.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest error answer of an engine that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// An item's output does not end.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
#[error("the output is longer than {MAX_OUTPUT_BYTES} bytes; check the engine")]
pub struct OutputTooLong;

/// Output that has been generated for an item so far.
#[derive(Debug, Clone, Default)]
pub struct Output {
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Number of the last event, or none before the first event.
    pub last: Option<u64>,
    /// Versions of the weights that generated the output, in the order of their first use.
    pub versions: Vec<u64>,
    /// Version of the software that generated the output.
    pub software: SoftwareVersion,
}

impl Output {
    /// Restores an output that was saved.
    pub fn from_partial(partial: Partial) -> Self {
        Self {
            text: partial.text,
            last: Some(partial.last),
            versions: partial.versions,
            software: partial.software,
        }
    }

    /// Returns what the scheduler needs to know of it.
    pub fn kept(&self) -> KeptOutput {
        KeptOutput {
            software: self.software.clone(),
            events: self.last.unwrap_or(0),
        }
    }

    /// Returns it for a run on an engine with this software: empty unless the engine can continue it.
    pub fn continued_at(self, software: &SoftwareVersion) -> Self {
        if self.last.is_some() && self.software.may_continue_at(software) {
            return self;
        }
        Self {
            software: software.clone(),
            ..Self::default()
        }
    }

    /// Appends an event. An output that would become too long is cleared, because a run that
    /// continued it would not end either.
    pub fn push(&mut self, event: &StreamEvent) -> Result<(), OutputTooLong> {
        if self.text.len() + event.data.len() > MAX_OUTPUT_BYTES {
            *self = Self::default().continued_at(&self.software);
            return Err(OutputTooLong);
        }
        if self.last.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last = event.id.or(self.last);
        Ok(())
    }

    /// Returns whether an event of this number comes next. The first one of a run from the start is 1;
    /// an answer that begins later lacks events, or is that to another run of the item.
    pub fn is_next(&self, event: Option<u64>) -> bool {
        let last = self.last.unwrap_or(0);
        event == last.checked_add(1)
    }

    fn add_version(&mut self, version: u64) {
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
    }
}

/// One run of an item on an engine.
#[derive(Debug)]
pub struct ItemRun {
    /// Job that the item belongs to.
    pub job: Arc<BatchJob>,
    /// Index of the item in the job.
    pub item: usize,
    /// Engine that runs the item.
    pub engine: UpstreamIncarnation,
    /// Permit to send it, if the engine names a limit.
    pub permit: Option<RatePermit>,
    /// Output of earlier runs that this run continues.
    pub output: Output,
}

/// Receives the progress of a run.
pub trait RunObserver {
    /// Called when the first event of the run has arrived.
    fn first_event(&mut self);
    /// Called with the speed since the previous call.
    fn progress(&mut self, speed: Speed);
    /// Called about every `CHECKPOINT_PERIOD` with the output so far.
    fn checkpoint(&mut self, output: &Output);
    /// Returns whether the run must stop so that another engine continues it.
    fn should_move(&self) -> bool;
}

/// How a run ended, with the output so far.
#[derive(Debug)]
pub struct RunEnd {
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Output so far, with that of the earlier runs that it continues.
    pub output: Output,
    /// Longest wait for a chunk of the answer.
    pub max_gap: Duration,
}

impl RunEnd {
    /// Returns the end of a run whose task failed; it may have reached the engine, and its output is
    /// lost.
    pub fn failed() -> Self {
        Self {
            outcome: RunOutcome::Broken { reached: true },
            output: Output::default(),
            max_gap: Duration::ZERO,
        }
    }
}

impl ItemRun {
    /// Runs the item and reports its progress to `observer`.
    pub async fn run<W>(self, core: &Handle, observer: W) -> RunEnd
    where
        W: RunObserver,
    {
        let mut output = self.output.clone();
        let mut max_gap = Duration::ZERO;
        let sent = self.send(core).await;
        let outcome = match sent {
            Ok(mut exchange) => {
                if let Some(outcome) = self.check_response(core, &mut exchange).await {
                    outcome
                } else {
                    let share = BufferShare::of(&core.gateway.buffers);
                    self.read(&mut exchange, &mut output, share, &mut max_gap, observer)
                        .await
                }
            }
            Err(outcome) => outcome,
        };
        RunEnd {
            outcome,
            output,
            max_gap,
        }
    }

    async fn send(&self, core: &Handle) -> Result<Exchange, RunOutcome> {
        let options = SendOptions {
            deadline: Instant::now() + RUN_TIMEOUT,
            progress: STALL_TIMEOUT,
            // A permit is for one send, even if the connection closes early.
            idempotent: self.permit.is_none(),
            probe: self.permit.is_none(),
        };
        let request = self.request().ok_or(RunOutcome::Failed)?;
        let may_send = || {
            let is_permitted = limits::is_permitted(core, &self.engine, self.permit, self.id());
            is_permitted && gate::may_send(core, &self.engine, self.id())
        };
        let client = &core.gateway.client;
        let address = self.engine.address;
        let sent = if self.job.resumable {
            let peer = Incarnation::of(&self.engine);
            let sent = client.send_to(address, request, &options, &peer, may_send);
            sent.await
        } else {
            client.send_if(address, request, &options, may_send).await
        };
        sent.map_err(|error| {
            if matches!(error.cause(), Cause::Crossed { .. }) {
                event!(
                    Event::AnswerBroken,
                    request = self.id(),
                    upstream = self.engine.id,
                    reason = error
                );
            } else {
                log::debug!("item {} at {}: {error}", self.id(), self.engine.id);
            }
            match error {
                SendError::NotSent(Cause::Withheld) => RunOutcome::Withheld,
                SendError::NotSent(Cause::OtherPeer) => RunOutcome::Mistaken,
                error => RunOutcome::Broken {
                    reached: matches!(error, SendError::Unknown(_)),
                },
            }
        })
    }

    /// Returns the id of the item.
    pub fn id(&self) -> &str {
        &self.job.items[self.item].id
    }

    fn request(&self) -> Option<Request> {
        let item = &self.job.items[self.item];
        let with = Forwarding {
            upstream: self.engine.id.as_str(),
            team: Some(self.job.team.as_str()),
            remaining_time: RUN_TIMEOUT,
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

    /// Returns the outcome if the engine's answer is not the stream of this run.
    async fn check_response(&self, core: &Handle, exchange: &mut Exchange) -> Option<RunOutcome> {
        let status = exchange.status();
        limits::observe(core, &self.engine, exchange, self.permit, self.id());
        observe_leaving(core, &self.engine, exchange, self.id());
        if (200..300).contains(&status) {
            return None;
        }
        let not_run = exchange.header(headers::NOT_RUN).is_some();
        // The connection can be reused only if the answer was read to its end.
        let _read = timeout(REFUSAL_TIMEOUT, exchange.read_all(MAX_REFUSAL_BYTES)).await;
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
        share: BufferShare,
        max_gap: &mut Duration,
        observer: W,
    ) -> RunOutcome
    where
        W: RunObserver,
    {
        let version = exchange
            .header(headers::VERSION)
            .and_then(|v| v.trim().parse().ok());
        let mut stream = StreamReader {
            run: self,
            share,
            version,
            observer,
            first_at: None,
            events: 0,
            last_report: None,
            last_checkpoint: Instant::now(),
            max_gap: Duration::ZERO,
        };
        let outcome = stream.read(exchange, output).await;
        *max_gap = stream.max_gap;
        outcome
    }
}

/// Reads the event stream of a run.
struct StreamReader<'a, W> {
    run: &'a ItemRun,
    /// What the output holds of the memory for long answers.
    share: BufferShare,
    version: Option<u64>,
    observer: W,
    /// When the first event arrived.
    first_at: Option<Instant>,
    events: u64,
    /// Number of events at the last report of the speed, and its time.
    last_report: Option<(u64, Instant)>,
    /// When the output was last saved.
    last_checkpoint: Instant,
    /// Longest wait for a chunk.
    max_gap: Duration,
}

impl<W> StreamReader<'_, W>
where
    W: RunObserver,
{
    async fn read(&mut self, exchange: &mut Exchange, output: &mut Output) -> RunOutcome {
        let broken = RunOutcome::Broken { reached: true };
        let mut reader = EventReader::default();
        loop {
            let Some(chunk) = self.next_chunk(exchange).await else {
                return RunOutcome::Moved;
            };
            let chunk = match chunk {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(error) => {
                    log::debug!("item {} at {}: {error}", self.run.id(), self.run.engine.id);
                    return broken;
                }
            };
            let Some(events) = reader.push(&chunk) else {
                return broken;
            };
            for event in events {
                if let Some(outcome) = self.process_event(&event, output) {
                    return outcome;
                }
            }
            if let Err(error) = self.share.grow_to(output.text.len() + reader.buffered()) {
                log::warn!("item {} at {}: {error}", self.run.id(), self.run.engine.id);
                *output = Output::default().continued_at(&output.software);
                return broken;
            }
            self.report();
            if self.last_checkpoint.elapsed() >= CHECKPOINT_PERIOD {
                self.last_checkpoint = Instant::now();
                self.observer.checkpoint(output);
            }
            if self.observer.should_move() {
                return RunOutcome::Moved;
            }
        }
        if reader.is_truncated() || output.last.is_none() {
            return broken;
        }
        RunOutcome::Finished {
            version: self.version,
            speed: self.speed(),
        }
    }

    /// Waits for the next chunk of the answer and reports the speed meanwhile. Returns nothing if
    /// the run must move to another engine.
    async fn next_chunk(
        &mut self,
        exchange: &mut Exchange,
    ) -> Option<Result<Option<Vec<u8>>, SendError>> {
        let requested = Instant::now();
        let mut next = pin!(exchange.chunk());
        loop {
            let chunk = timeout(REPORT_PERIOD, next.as_mut()).await;
            self.max_gap = self.max_gap.max(requested.elapsed());
            if let Ok(chunk) = chunk {
                return Some(chunk);
            }
            self.report();
            if self.observer.should_move() {
                return None;
            }
        }
    }

    /// Adds an event to the output. Returns an outcome if the run must end, because events or their
    /// version are missing or the version of the weights is not acceptable.
    fn process_event(&mut self, event: &StreamEvent, output: &mut Output) -> Option<RunOutcome> {
        self.version = event.version.or(self.version);
        if !output.is_next(event.id) {
            event!(
                Event::AnswerBroken,
                request = self.run.id(),
                upstream = self.run.engine.id,
                after = output.last.unwrap_or(0),
                event = event.id.unwrap_or(0),
                reason = "its events are not those that come next"
            );
            return Some(RunOutcome::Broken { reached: true });
        }
        let Some(version) = self.version else {
            return Some(RunOutcome::Broken { reached: true });
        };
        let mixed = self.run.job.pure && output.versions.iter().any(|v| *v != version);
        if version < self.run.job.min_version || mixed {
            return Some(RunOutcome::Stale(version));
        }
        if self.first_at.is_none() {
            self.observer.first_event();
            self.first_at = Some(Instant::now());
        }
        self.events += 1;
        output.add_version(version);
        if let Err(error) = output.push(event) {
            log::warn!("item {} at {}: {error}", self.run.id(), self.run.engine.id);
            return Some(RunOutcome::Broken { reached: true });
        }
        None
    }

    fn report(&mut self) {
        let now = Instant::now();
        if self.first_at.is_none() {
            return;
        }
        let (events, at) = *self.last_report.get_or_insert((self.events, now));
        let few = self.events < events + REPORT_EVENTS;
        if few && now.duration_since(at) < REPORT_PERIOD {
            return;
        }
        self.last_report = Some((self.events, now));
        self.observer.progress(Speed {
            events: self.events - events,
            span: Millis(now.duration_since(at).as_millis() as u64),
        });
    }

    fn speed(&self) -> Option<Speed> {
        const MIN_EVENTS: u64 = 4;
        let first_at = self.first_at.filter(|_| self.events >= MIN_EVENTS)?;
        Some(Speed {
            events: self.events - 1,
            span: Millis(first_at.elapsed().as_millis() as u64),
        })
    }
}
