//! Sends a caller's request to upstreams until one answers.

use std::time::Duration;
use std::time::Instant;

use dandelion_net::clock;
use dandelion_net::http::body;
use dandelion_net::http::client;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::is_hop_header;
use dandelion_platform::headers;
use dandelion_platform::headers::CallerHeaders;
use dandelion_platform::headers::Forwarding;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::plan::RouteKind;
use dandelion_protocol::plan::RouteRule;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_protocol::usage::Counts;
use dandelion_route::pick::Ending;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use http_types::Body;
use http_types::Request;
use http_types::Response;
use rand::Rng;

use crate::core::Handle;
use crate::gateway::answer;

/// Longest answer of an upstream that is not a stream, in bytes.
const MAX_ANSWER: usize = 32 * 1024 * 1024;

/// Refusals of upstreams after which a request is refused; they did not run it.
const MAX_REFUSALS: usize = 3;

/// Latency targets after which an idempotent request that got no answer is sent elsewhere.
const PATIENCE: u32 = 4;

/// Least time for which an upstream's answer is waited for.
const MIN_PATIENCE: Duration = Duration::from_millis(400);

/// Pieces of a stream that may wait for the caller.
const STREAM_PIECES: usize = 16;

/// A request as it is passed on.
struct Call<'a> {
    core: &'a Handle,
    route: &'a RouteRule,
    team: Option<&'a TeamId>,
    id: &'a str,
    host: &'a str,
    method: String,
    target: String,
    headers: Vec<Header>,
    body: Vec<u8>,
    deadline: Instant,
}

/// What came of one attempt.
enum Attempt {
    /// The answer for the caller.
    Answer(Response),
    /// The upstream did not run it.
    NotRun,
    /// The upstream answered with a failure of its own, or there is no answer that can be trusted.
    Failed(Option<Response>),
}

/// Serves a request on a planned route.
pub async fn serve(
    core: &Handle,
    route: &RouteRule,
    team: Option<&TeamId>,
    caller: &CallerHeaders,
    mut request: Request,
) -> Response {
    let left = caller.left.map_or(route.timeout, |l| l.min(route.timeout));
    let deadline = Instant::now() + Duration::from_millis(left.0);
    let Ok(body) = request.body_bytes().await else {
        return answer::status(400);
    };
    let url = request.url();
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let call = Call {
        core,
        route,
        team,
        id: caller.attempt.as_deref().unwrap_or("-"),
        host: &caller.host,
        method: request.method().to_string(),
        target,
        headers: plain_headers(&request),
        body,
        deadline,
    };
    call.run().await
}

fn plain_headers(request: &Request) -> Vec<Header> {
    let kept = request.iter().filter(|(n, _)| !is_hop_header(n.as_str()));
    let pairs = kept.flat_map(|(name, values)| {
        let name = name.as_str();
        values.iter().map(|v| headers::header(name, v.as_str()))
    });
    pairs.collect()
}

impl Call<'_> {
    async fn run(&self) -> Response {
        let mut tried: Vec<UpstreamId> = Vec::new();
        let mut runs = 0;
        let mut refusals = 0;
        let mut failure = None;
        while runs < self.route.attempts && refusals < MAX_REFUSALS {
            let Some(life) = self.pick(&tried) else {
                break;
            };
            tried.push(life.id.clone());
            match self.attempt(&life).await {
                Attempt::Answer(response) => return response,
                Attempt::NotRun => {
                    refusals += 1;
                    self.note_retry(&life, "not_run");
                }
                Attempt::Failed(answered) => {
                    runs += 1;
                    failure = answered.or(failure);
                    self.note_retry(&life, "failed");
                    if !self.is_repeatable() {
                        break;
                    }
                }
            }
            if Instant::now() >= self.deadline {
                break;
            }
        }
        self.give_up(runs, refusals, failure)
    }

    fn is_repeatable(&self) -> bool {
        self.route.kind == RouteKind::Idempotent
    }

    fn pick(&self, tried: &[UpstreamId]) -> Option<UpstreamLife> {
        let service = self.route.pick(rand::rng().random())?;
        let view = self.core.control.view();
        let zone = &self.core.identity.zone;
        let mut picker = self.core.gateway.picker();
        let now = clock::boot_now();
        let chosen = picker.pick(now, view.lives.iter(), service, zone, tried);
        chosen.cloned()
    }

    async fn attempt(&self, life: &UpstreamLife) -> Attempt {
        let mut running = Running {
            core: self.core,
            life,
            begun: Instant::now(),
            ending: Ending::Abandoned,
        };
        let attempt = self.send(life, &mut running).await;
        if matches!(attempt, Attempt::NotRun) && running.ending == Ending::Abandoned {
            running.ending = Ending::Refused;
        }
        attempt
    }

    async fn send(&self, life: &UpstreamLife, running: &mut Running<'_>) -> Attempt {
        let options = SendOptions {
            deadline: self.attempt_deadline(),
            progress: self.deadline.saturating_duration_since(Instant::now()),
            idempotent: self.is_repeatable(),
        };
        let Some(request) = self.request(life) else {
            return Attempt::Failed(Some(answer::status(400)));
        };
        let sent = self
            .core
            .gateway
            .client
            .send(life.address, request, &options);
        let exchange = match sent.await {
            Ok(exchange) => exchange,
            Err(SendError::NotSent(_)) => {
                running.ending = Ending::Failed;
                return Attempt::NotRun;
            }
            Err(SendError::Unknown(cause)) => {
                running.ending = Ending::Failed;
                log::debug!("request {} at {}: {cause}", self.id, life.id);
                return Attempt::Failed(None);
            }
        };
        if exchange.header(headers::NOT_RUN).is_some() {
            running.ending = Ending::Refused;
            return Attempt::NotRun;
        }
        if exchange
            .header(headers::ATTEMPT)
            .is_some_and(|id| id != self.id)
        {
            running.ending = Ending::Failed;
            return Attempt::Failed(None);
        }
        self.count();
        if self.route.kind == RouteKind::Stream {
            return Self::stream(exchange, running);
        }
        self.whole(exchange, running).await
    }

    /// Time by which an attempt must be whole: all that is left, or less where another upstream can
    /// still be tried.
    fn attempt_deadline(&self) -> Instant {
        if !self.is_repeatable() {
            return self.deadline;
        }
        let target = Duration::from_millis(self.route.target.0);
        let patience = (target * PATIENCE).max(MIN_PATIENCE);
        self.deadline.min(Instant::now() + patience)
    }

    fn request(&self, life: &UpstreamLife) -> Option<Request> {
        let with = Forwarding {
            upstream: life.id.as_str(),
            team: self.team.map(TeamId::as_str),
            left: self.deadline.saturating_duration_since(Instant::now()),
        };
        let headers = headers::forwarded(&self.headers, &with);
        let body = self.body.clone();
        let built = client::request_for(self.host, &self.method, &self.target, &headers, body);
        built.inspect_err(|cause| log::warn!("{cause}")).ok()
    }

    async fn whole(&self, mut exchange: Exchange, running: &mut Running<'_>) -> Attempt {
        let body = match exchange.read_all(MAX_ANSWER).await {
            Ok(body) => body,
            Err(error) => {
                running.ending = Ending::Failed;
                log::debug!("request {} at {}: {error}", self.id, running.life.id);
                return Attempt::Failed(None);
            }
        };
        let status = exchange.status();
        let sealed = exchange.header(headers::SEAL).is_some();
        let encoded = exchange.header("content-encoding").is_some();
        if !sealed || encoded {
            running.ending = Ending::Failed;
            return Attempt::Failed(None);
        }
        let response = answer::passed(status, exchange.headers(), Body::from_bytes(body));
        if status >= 500 {
            running.ending = Ending::Failed;
            return Attempt::Failed(Some(response));
        }
        let took = Millis(running.begun.elapsed().as_millis() as u64);
        running.ending = Ending::Answered(took);
        event!(
            Event::RequestAnswered,
            request = self.id,
            route = self.route.name,
            upstream = running.life.id,
            status = status,
            took_ms = took.0
        );
        Attempt::Answer(response)
    }

    /// Passes a stream on as it comes; one that breaks off ends visibly broken.
    fn stream(mut exchange: Exchange, running: &mut Running<'_>) -> Attempt {
        running.ending = Ending::Answered(Millis(running.begun.elapsed().as_millis() as u64));
        let (sender, body) = body::channel(STREAM_PIECES);
        let response = answer::passed(exchange.status(), exchange.headers(), body);
        async_std::task::spawn(async move {
            while let Ok(Some(piece)) = exchange.chunk().await {
                if sender.send(piece).await.is_err() {
                    return;
                }
            }
            if matches!(exchange.chunk().await, Ok(None)) {
                // The caller may have left with the last piece.
                let _gone = sender.finish().await;
            }
        });
        Attempt::Answer(response)
    }

    /// Counts the request for the bill: an upstream has begun to run it.
    fn count(&self) {
        let counts = Counts {
            requests: 1,
            ..Counts::default()
        };
        if let Some(team) = self.team {
            self.core.usage.record(team, Class::Interactive, &counts);
        }
    }

    fn note_retry(&self, life: &UpstreamLife, reason: &str) {
        event!(
            Event::RequestRetried,
            request = self.id,
            route = self.route.name,
            upstream = life.id,
            reason = reason
        );
    }

    fn give_up(&self, runs: u32, refusals: usize, failure: Option<Response>) -> Response {
        if runs == 0 {
            event!(
                Event::RequestRefused,
                request = self.id,
                route = self.route.name,
                reason = if refusals == 0 {
                    "no_upstream"
                } else {
                    "upstreams_full"
                },
                refusals = refusals
            );
            return answer::not_run(answer::COME_BACK);
        }
        event!(
            Event::RequestFailed,
            request = self.id,
            route = self.route.name,
            runs = runs,
            answered = failure.is_some()
        );
        failure.unwrap_or_else(|| {
            let late = Instant::now() >= self.deadline;
            answer::status(if late { 504 } else { 502 })
        })
    }
}

/// A request under way at an upstream; its end is noted even if the caller leaves.
struct Running<'a> {
    core: &'a Handle,
    life: &'a UpstreamLife,
    begun: Instant,
    ending: Ending,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut picker = self.core.gateway.picker();
        picker.end(clock::boot_now(), self.life, self.ending);
    }
}
