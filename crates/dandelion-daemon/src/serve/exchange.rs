//! Runs one request on an upstream that this daemon owns and relays the answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use dandelion_net::clock;
use dandelion_net::http::client;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::mesh::PartSender;
use dandelion_net::mesh::StreamGone;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_protocol::usage::Counts;
use dandelion_route::queue::Finish;
use dandelion_route::queue::QueueEvent;
use dandelion_route::scrub;
use dandelion_route::ticket::Ticket;
use dandelion_route::trace::Decision;
use dandelion_telemetry::metrics::TeamMetrics;
use futures::FutureExt;
use futures::select_biased;

use crate::core::Handle;
use crate::gateway::gate;
use crate::serve::meter::TokenMeter;
use crate::serve::prepare;
use crate::serve::shard::QueueDecision;
use crate::serve::shard::Shard;
use crate::zone;

/// Longest time without progress of an upstream's answer.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(4);

/// Generated tokens after which an answer's progress is reported to the queue.
const PROGRESS_TOKENS: u64 = 32;

/// Serves `request` on an owned upstream; the answer ends with [`ServePart::End`] or
/// [`ServePart::Failed`].
///
/// Dropping the future cancels the request at the upstream and removes it from the queue.
pub async fn serve_owned(core: &Handle, request: ServeRequest, parts: &mut PartSender) {
    let mut owned = OwnedRequest::open(core, &request);
    let refusal = owned.run(&request, parts).await;
    if let Some(refusal) = refusal {
        // If the receiver is gone, nobody needs the refusal.
        let _gone = parts.send(ServePart::Failed(refusal)).await;
    }
}

/// One request in the queue or at its upstream. Dropping it reports its end to the queue, the usage
/// counters and the metrics.
struct OwnedRequest<'a> {
    core: &'a Handle,
    team: Option<TeamId>,
    class: Class,
    metrics: TeamMetrics,
    shard: Arc<Shard>,
    ticket: Ticket,
    decisions: Receiver<QueueDecision>,
    arrived: Millis,
    /// When the request was dispatched; none while it waits in the queue.
    dispatched: Option<Millis>,
    finish: Finish,
    meter: TokenMeter,
    /// Whether the queue has already removed the request, by a refusal or a crash.
    closed: bool,
    /// Whether the usage was recorded; it must be recorded only once.
    billed: bool,
}

/// Why an attempt ended before the answer was complete.
enum Stop {
    Failed(SendError),
    CallerGone,
    Interrupted(QueueDecision),
}

impl<'a> OwnedRequest<'a> {
    fn open(core: &'a Handle, request: &ServeRequest) -> Self {
        let shard = core.owners.shard(&request.service);
        let metrics = core.metrics.team(request.team.as_ref(), request.class);
        metrics.begin();
        shard.begin(request.class);
        let ticket = Ticket(core.next_number());
        let now = clock::boot_now();
        let arrival = prepare::arrival(ticket, now, request);
        let decisions = shard.enqueue(now, arrival);
        Self {
            core,
            team: request.team.clone(),
            class: request.class,
            metrics,
            shard,
            ticket,
            decisions,
            arrived: now,
            dispatched: None,
            finish: Finish::Cancelled,
            meter: TokenMeter::default(),
            closed: false,
            billed: false,
        }
    }

    /// Returns the refusal to send, or nothing if the complete answer was relayed or the receiver
    /// is gone.
    async fn run(&mut self, request: &ServeRequest, parts: &mut PartSender) -> Option<Refusal> {
        match self.decisions.recv().await {
            Ok(QueueDecision::Dispatch {
                upstream,
                boot,
                alone,
            }) => {
                let now = clock::boot_now();
                self.dispatched = Some(now);
                self.metrics.queued(now.since(self.arrived));
                self.core.record_decision(
                    request.id,
                    Decision::Dispatched {
                        upstream: upstream.clone(),
                        alone,
                    },
                );
                self.attempt(request, &upstream, boot, parts).await
            }
            Ok(QueueDecision::Refuse(refusal)) => {
                self.closed = true;
                Some(refusal)
            }
            Ok(_) | Err(_) => Some(not_dispatched()),
        }
    }

    async fn attempt(
        &mut self,
        request: &ServeRequest,
        upstream: &UpstreamId,
        boot: Incarnation,
        parts: &mut PartSender,
    ) -> Option<Refusal> {
        let Some(address) = self.core.owners.address(upstream, boot) else {
            self.finish = Finish::NotSent;
            return Some(not_dispatched());
        };
        let decisions = self.decisions.clone();
        let stop = {
            let relay = self.relay(request, upstream, address, parts).fuse();
            let interrupt = decisions.recv().fuse();
            futures::pin_mut!(relay, interrupt);
            select_biased! {
                done = relay => done.err(),
                decision = interrupt => Some(Stop::Interrupted(decision.unwrap_or(QueueDecision::Abort))),
            }
        };
        match stop {
            None | Some(Stop::CallerGone) => None,
            Some(Stop::Interrupted(decision)) => {
                let refusal = self.interrupted(&decision);
                if decision == QueueDecision::Lost {
                    zone::flush_outbox(self.core, &self.shard).await;
                }
                Some(refusal)
            }
            Some(Stop::Failed(error)) => {
                self.classify_failure(&error, upstream, boot, address).await;
                Some(failed(&error))
            }
        }
    }

    async fn relay(
        &mut self,
        request: &ServeRequest,
        upstream: &UpstreamId,
        address: std::net::SocketAddr,
        parts: &mut PartSender,
    ) -> Result<(), Stop> {
        let built = client::request(
            address,
            &request.method,
            &request.path,
            &prepare::upstream_headers(request),
            request.body.clone(),
        );
        let built = built.map_err(|cause| Stop::Failed(SendError::NotSent(cause)))?;
        let options = SendOptions {
            deadline: Instant::now() + Duration::from_millis(request.timeout.0),
            progress: PROGRESS_TIMEOUT,
            idempotent: request.idempotent,
            probe: true,
        };
        let may_send = || gate::may_send_own(self.core, upstream, request.id);
        let client = &self.core.client;
        let sent = client.send_if(address, built, &options, may_send).await;
        let mut exchange = sent.map_err(Stop::Failed)?;
        parts.send(head_of(&exchange, upstream)).await?;
        self.relay_body(&mut exchange, parts).await?;
        self.finish = Finish::Clean;
        self.bill(true);
        let end = ServePart::End {
            bytes: parts.bytes(),
        };
        parts.send(end).await?;
        Ok(())
    }

    async fn relay_body(
        &mut self,
        exchange: &mut Exchange,
        parts: &mut PartSender,
    ) -> Result<(), Stop> {
        let mut reported = 0;
        while let Some(bytes) = exchange.chunk().await.map_err(Stop::Failed)? {
            self.meter.read(&bytes);
            parts.send(ServePart::Chunk(bytes)).await?;
            if self.meter.output() >= reported + PROGRESS_TOKENS {
                reported = self.meter.output();
                self.report_progress();
            }
        }
        Ok(())
    }

    fn report_progress(&self) {
        let ticket = self.ticket;
        let work = self.meter.work();
        let event = QueueEvent::Progress { ticket, work };
        self.shard.handle(clock::boot_now(), event);
    }

    /// Decides whether the failed attempt counts against the upstream. If the connection broke and
    /// a probe fails too, the upstream has crashed, and the queue is notified.
    async fn classify_failure(
        &mut self,
        error: &SendError,
        upstream: &UpstreamId,
        boot: Incarnation,
        address: std::net::SocketAddr,
    ) {
        self.finish = match error.cause() {
            Cause::Withheld => Finish::NotSent,
            Cause::Silent { alive: true } | Cause::Request(_) => Finish::Cancelled,
            Cause::Closed(_) if matches!(error, SendError::Unknown(_)) => {
                if !self.core.client.probe(address).await {
                    self.shard.handle(
                        clock::boot_now(),
                        QueueEvent::Crashed {
                            upstream: upstream.clone(),
                            boot,
                        },
                    );
                    zone::flush_outbox(self.core, &self.shard).await;
                }
                Finish::Failed
            }
            _ => Finish::Failed,
        };
    }

    fn interrupted(&mut self, decision: &QueueDecision) -> Refusal {
        self.closed = matches!(decision, QueueDecision::Lost);
        let (code, message) = match decision {
            QueueDecision::Preempt => (RefusalCode::Overloaded, "preempted by interactive work"),
            QueueDecision::Lost => (RefusalCode::UpstreamFailed, "the upstream crashed"),
            _ => (RefusalCode::UpstreamFailed, "cancelled by the owner"),
        };
        let remedy = "send it again if it may run twice";
        Refusal::not_run(code, message, remedy).with_ran(Ran::Unknown)
    }

    /// Records the usage for billing, once. An incomplete answer counts its tokens, but not as a
    /// request.
    fn bill(&mut self, is_complete: bool) {
        let (Some(team), Some(dispatched)) = (&self.team, self.dispatched) else {
            return;
        };
        if std::mem::replace(&mut self.billed, true) {
            return;
        }
        let counts = Counts {
            requests: u64::from(is_complete),
            prompt_tokens: self.meter.prompt(),
            output_tokens: self.meter.output(),
            busy_ms: clock::boot_now().since(dispatched).0,
        };
        self.core.usage.record(team, self.class, &counts);
    }
}

impl Drop for OwnedRequest<'_> {
    fn drop(&mut self) {
        self.bill(false);
        self.shard.end(self.class);
        let took = clock::boot_now().since(self.arrived);
        self.metrics.end(took, self.meter.output());
        if self.closed {
            return;
        }
        let now = clock::boot_now();
        match self.dispatched {
            None => self.shard.cancel(now, self.ticket),
            Some(dispatched) => {
                let work = self.meter.work();
                self.shard
                    .finish(now, self.ticket, self.finish, work, dispatched);
            }
        }
    }
}

impl From<StreamGone> for Stop {
    fn from(_: StreamGone) -> Self {
        Self::CallerGone
    }
}

fn head_of(exchange: &Exchange, upstream: &UpstreamId) -> ServePart {
    ServePart::Head {
        status: exchange.status(),
        headers: scrub::scrub_answer(exchange.headers()),
        upstream: upstream.to_string(),
    }
}

fn not_dispatched() -> Refusal {
    Refusal::not_run(
        RefusalCode::NoUpstream,
        "the upstream left before the request was sent",
        "send the request again",
    )
}

fn failed(error: &SendError) -> Refusal {
    let (ran, remedy) = match error {
        SendError::NotSent(_) => (Ran::NotRun, "send the request again"),
        SendError::Unknown(_) => (Ran::Unknown, "send it again only if it may run twice"),
    };
    let code = match error.cause() {
        Cause::Deadline => RefusalCode::Timeout,
        Cause::Withheld => RefusalCode::NoUpstream,
        _ => RefusalCode::UpstreamFailed,
    };
    Refusal::not_run(code, &error.to_string(), remedy).with_ran(ran)
}
