//! Runs one request on an upstream that this daemon owns and passes the answer on.

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
use crate::serve::meter::TokenMeter;
use crate::serve::prepare;
use crate::serve::shard::Shard;
use crate::serve::shard::Verdict;
use crate::zone;

/// Longest time in which an upstream's answer may stand still.
const PROGRESS_LIMIT: Duration = Duration::from_secs(4);

/// Tokens after which the queue is told of an answer's progress.
const PROGRESS_TOKENS: u64 = 32;

/// Serves `request` on an owned upstream; the answer ends with `End` or `Failed`.
///
/// Dropping the future cancels the request at the upstream and frees its place in the queue.
pub async fn serve_owned(core: &Handle, request: ServeRequest, parts: &mut PartSender) {
    let mut flight = Flight::open(core, &request);
    let refusal = flight.run(&request, parts).await;
    if let Some(refusal) = refusal {
        // A receiver that is gone needs no refusal.
        let _gone = parts.send(ServePart::Failed(refusal)).await;
    }
}

/// One request in the queue or at its upstream. Dropping it settles its place in the queue.
struct Flight<'a> {
    core: &'a Handle,
    team: Option<TeamId>,
    class: Class,
    metrics: TeamMetrics,
    shard: Arc<Shard>,
    ticket: Ticket,
    verdicts: Receiver<Verdict>,
    arrived: Millis,
    began: Option<Millis>,
    finish: Finish,
    meter: TokenMeter,
    settled: bool,
    accounted: bool,
}

/// Why an attempt stopped before the answer was whole.
enum Stop {
    Failed(SendError),
    CallerGone,
    Interrupted(Verdict),
}

impl<'a> Flight<'a> {
    fn open(core: &'a Handle, request: &ServeRequest) -> Self {
        let shard = core.owners.shard(&request.service);
        let metrics = core.metrics.team(request.team.as_ref(), request.class);
        metrics.begin();
        shard.begin(request.class);
        let ticket = Ticket(core.next_number());
        let now = clock::boot_now();
        let arrival = prepare::arrival(ticket, now, request);
        let verdicts = shard.arrive(now, arrival);
        Self {
            core,
            team: request.team.clone(),
            class: request.class,
            metrics,
            shard,
            ticket,
            verdicts,
            arrived: now,
            began: None,
            finish: Finish::Cancelled,
            meter: TokenMeter::default(),
            settled: false,
            accounted: false,
        }
    }

    /// Returns the refusal to send, or nothing if the answer was passed on whole or the receiver
    /// is gone.
    async fn run(&mut self, request: &ServeRequest, parts: &mut PartSender) -> Option<Refusal> {
        match self.verdicts.recv().await {
            Ok(Verdict::Dispatch {
                upstream,
                boot,
                alone,
            }) => {
                let now = clock::boot_now();
                self.began = Some(now);
                self.metrics.queued(now.since(self.arrived));
                self.core.decided(
                    request.id,
                    Decision::Dispatched {
                        upstream: upstream.clone(),
                        alone,
                    },
                );
                self.attempt(request, &upstream, boot, parts).await
            }
            Ok(Verdict::Refuse(refusal)) => {
                self.settled = true;
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
        let verdicts = self.verdicts.clone();
        let stop = {
            let relay = self.relay(request, upstream, address, parts).fuse();
            let interrupt = verdicts.recv().fuse();
            futures::pin_mut!(relay, interrupt);
            select_biased! {
                done = relay => done.err(),
                verdict = interrupt => Some(Stop::Interrupted(verdict.unwrap_or(Verdict::Abort))),
            }
        };
        match stop {
            None | Some(Stop::CallerGone) => None,
            Some(Stop::Interrupted(verdict)) => {
                let refusal = self.interrupted(&verdict);
                if verdict == Verdict::Lost {
                    zone::tell_now(self.core, &self.shard).await;
                }
                Some(refusal)
            }
            Some(Stop::Failed(error)) => {
                self.judge(&error, upstream, boot, address).await;
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
            progress: PROGRESS_LIMIT,
            idempotent: request.idempotent,
        };
        let sent = self.core.client.send(address, built, &options).await;
        let mut exchange = sent.map_err(Stop::Failed)?;
        parts.send(head_of(&exchange, upstream)).await?;
        self.pass_body(&mut exchange, parts).await?;
        self.finish = Finish::Clean;
        self.account(true);
        let end = ServePart::End {
            bytes: parts.bytes(),
        };
        parts.send(end).await?;
        Ok(())
    }

    async fn pass_body(
        &mut self,
        exchange: &mut Exchange,
        parts: &mut PartSender,
    ) -> Result<(), Stop> {
        let mut told = 0;
        while let Some(bytes) = exchange.chunk().await.map_err(Stop::Failed)? {
            self.meter.read(&bytes);
            parts.send(ServePart::Chunk(bytes)).await?;
            if self.meter.output() >= told + PROGRESS_TOKENS {
                told = self.meter.output();
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

    /// Tells the queue of a crash, and decides how the attempt counts against the upstream.
    async fn judge(
        &mut self,
        error: &SendError,
        upstream: &UpstreamId,
        boot: Incarnation,
        address: std::net::SocketAddr,
    ) {
        self.finish = match error.cause() {
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
                    zone::tell_now(self.core, &self.shard).await;
                }
                Finish::Failed
            }
            _ => Finish::Failed,
        };
    }

    fn interrupted(&mut self, verdict: &Verdict) -> Refusal {
        self.settled = matches!(verdict, Verdict::Lost);
        let (code, message) = match verdict {
            Verdict::Preempt => (RefusalCode::Overloaded, "preempted by interactive work"),
            Verdict::Lost => (RefusalCode::UpstreamFailed, "the upstream crashed"),
            _ => (RefusalCode::UpstreamFailed, "cancelled by the owner"),
        };
        let remedy = "send it again if it may run twice";
        Refusal::not_run(code, message, remedy).with_ran(Ran::Unknown)
    }

    /// Counts the work for the bill, once; a broken answer counts its tokens but not as a request.
    fn account(&mut self, whole: bool) {
        let (Some(team), Some(began)) = (&self.team, self.began) else {
            return;
        };
        if std::mem::replace(&mut self.accounted, true) {
            return;
        }
        let counts = Counts {
            requests: u64::from(whole),
            prompt_tokens: self.meter.prompt(),
            output_tokens: self.meter.output(),
            busy_ms: clock::boot_now().since(began).0,
        };
        self.core.usage.record(team, self.class, &counts);
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.account(false);
        self.shard.end(self.class);
        let took = clock::boot_now().since(self.arrived);
        self.metrics.end(took, self.meter.output());
        if self.settled {
            return;
        }
        let now = clock::boot_now();
        match self.began {
            None => self.shard.cancel(now, self.ticket),
            Some(began) => {
                let work = self.meter.work();
                self.shard
                    .finish(now, self.ticket, self.finish, work, began);
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
        _ => RefusalCode::UpstreamFailed,
    };
    Refusal::not_run(code, &error.to_string(), remedy).with_ran(ran)
}
