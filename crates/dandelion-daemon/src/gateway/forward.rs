//! Forwards a caller's request to upstreams until one answers.

use std::fmt;
use std::ops::ControlFlow;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_net::http::BodyBuffer;
use dandelion_net::http::SharedBody;
use dandelion_net::http::body;
use dandelion_net::http::client;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::is_hop_header;
use dandelion_net::http::target;
use dandelion_platform::headers;
use dandelion_platform::headers::CallerHeaders;
use dandelion_platform::headers::Forwarding;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::RatePermit;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::plan::RouteKind;
use dandelion_protocol::plan::RouteRule;
use dandelion_protocol::streams::StreamOrigin;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_protocol::usage::Counts;
use dandelion_route::gate::Withheld;
use dandelion_route::pick::Ending;
use dandelion_route::ticket::Fingerprint;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::future::join;
use http_types::Request;
use http_types::Response;

use crate::core::Handle;
use crate::gateway::answer;
use crate::gateway::detour::Detoured;
use crate::gateway::gate;
use crate::gateway::leaving;
use crate::gateway::limits;
use crate::gateway::origins::Keeping;
use crate::gateway::origins::Kept;
use crate::gateway::peer::Incarnation;
use crate::gateway::place::InFlight;
use crate::gateway::place::Placed;
use crate::gateway::quarantine::ContentRun;
use crate::gateway::reach;
use crate::gateway::streams::StreamPart;

/// Longest answer of an upstream that is not a stream, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// The caller is refused after this many attempts that did not run the request.
const MAX_REFUSALS: usize = 3;

/// The caller is refused after this many attempts without a connection, over all daemons.
const MAX_UNREACHED: usize = 4;

/// The caller is refused after this many daemons that did not take the request.
const MAX_DECLINED: usize = 8;

/// The timeout of one attempt of an idempotent request is this many times the route's latency
/// target; after it another upstream is tried.
const TIMEOUT_FACTOR: u32 = 4;

/// Shortest timeout of one attempt of an idempotent request.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);

/// Chunks of a stream that can be queued for the caller.
pub(super) const STREAM_CHUNKS: usize = 16;

/// A caller's request and what is needed to forward it.
pub(super) struct Call<'a> {
    pub core: &'a Handle,
    pub route: &'a RouteRule,
    pub team: Option<&'a TeamId>,
    pub id: &'a str,
    pub caller: &'a CallerHeaders,
    pub host: &'a str,
    pub method: String,
    pub target: String,
    pub headers: Vec<Header>,
    pub body: SharedBody,
    /// Fingerprint of the content, which is the same for all copies of the request.
    pub content: Fingerprint,
    pub deadline: Instant,
    /// What the request is part of, if it opens or takes up a stream that can go on elsewhere.
    pub stream: Option<StreamPart>,
    /// Term in which this daemon must lead the store group for the request to be written; none if it
    /// needs not lead.
    pub term: Option<Term>,
}

/// The upstream of an attempt, and the state of the view by which it was chosen.
struct Chosen {
    upstream: UpstreamId,
    revision: Revision,
    lease_left: Millis,
}

impl Chosen {
    fn of(placed: &Placed) -> Self {
        Self {
            upstream: placed.upstream.id.clone(),
            revision: placed.in_flight.revision,
            lease_left: placed.in_flight.lease_left,
        }
    }
}

/// What the end of a stream is logged with.
pub(super) struct StreamLog {
    id: String,
    route: String,
    upstream: String,
    software: SoftwareVersion,
    started: Instant,
}

impl StreamLog {
    /// Begins the stream of a request at an upstream whose software version is not known here.
    pub fn begin(id: &str, route: &str, upstream: &str) -> Self {
        Self {
            id: id.to_owned(),
            route: route.to_owned(),
            upstream: upstream.to_owned(),
            software: SoftwareVersion::default(),
            started: Instant::now(),
        }
    }

    /// Logs the end of the stream.
    pub fn end(&self, outcome: &str, bytes: u64) {
        event!(
            Event::StreamEnded,
            request = self.id,
            route = self.route,
            upstream = self.upstream,
            software = self.software,
            outcome = outcome,
            bytes = bytes,
            took_ms = self.started.elapsed().as_millis()
        );
    }
}

/// Why an attempt did not run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotRun {
    /// This daemon did not write it, because the upstream or its own permission to send was gone.
    Withheld,
    /// No connection could be made.
    Unreached,
    /// The upstream refused it.
    Refused,
}

impl fmt::Display for NotRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Withheld => "withheld",
            Self::Unreached => "unreached",
            Self::Refused => "not_run",
        })
    }
}

/// What the tries of a request have come to.
#[derive(Default)]
struct Tries {
    /// Upstreams that were tried.
    tried: Vec<UpstreamId>,
    /// Tries that may have run it.
    runs: u32,
    /// Tries that were refused or withheld.
    refusals: usize,
    /// Tries for which no connection could be made.
    unreached: usize,
    /// Daemons that did not take it.
    declined: usize,
    /// Last failure that an upstream answered.
    failure: Option<Response>,
}

impl Tries {
    fn may_go_on(&self, attempts: u32) -> bool {
        self.runs < attempts && self.refusals < MAX_REFUSALS && self.unreached < MAX_UNREACHED
    }
}

/// How the next try reaches an upstream.
enum Way {
    /// Over a connection of this daemon.
    Direct,
    /// By way of this other daemon.
    Detour(DaemonId),
    /// This daemon has lost its links, and no other daemon takes the request.
    None,
}

/// What follows a try: another one, or the end, with the answer unless the tries so far decide it.
type Step = ControlFlow<Option<Response>>;

/// Outcome of one attempt.
pub(super) enum Attempt {
    /// The answer for the caller.
    Answer(Response),
    /// The request did not run.
    NotRun(NotRun),
    /// The upstream answered with a server error, or there is no answer that can be trusted.
    Failed(Option<Response>),
}

/// Serves a request on a route of the plan.
pub async fn serve(
    core: &Handle,
    route: &RouteRule,
    team: Option<&TeamId>,
    caller: &CallerHeaders,
    mut request: Request,
) -> Response {
    let remaining = caller
        .remaining_time
        .map_or(route.timeout, |l| l.min(route.timeout));
    let deadline = Instant::now() + Duration::from_millis(remaining.0);
    let Ok(body) = SharedBody::take(&mut request).await else {
        return answer::status(400);
    };
    let target = target(&request);
    let host = caller.host.to_ascii_lowercase();
    let method = request.method().to_string();
    let content = Fingerprint::of(team, &host, &method, &target, body.pieces());
    let stream = match StreamPart::of(core, route, team, caller).await {
        Ok(stream) => stream,
        Err(reason) => return refuse_stream(route, caller, reason),
    };
    let call = Call {
        core,
        route,
        team,
        id: caller.attempt.as_deref().unwrap_or("-"),
        caller,
        host: &caller.host,
        content,
        method,
        target,
        headers: end_to_end_headers(&request),
        body,
        deadline,
        stream,
        term: None,
    };
    call.run().await
}

/// Refuses to take a stream up which can't go on, so that its caller begins it anew.
fn refuse_stream(route: &RouteRule, caller: &CallerHeaders, reason: &str) -> Response {
    event!(
        Event::RequestRefused,
        request = caller.attempt.as_deref().unwrap_or("-"),
        route = route.name,
        resumes = caller.resumes.as_deref().unwrap_or("-"),
        reason = reason
    );
    answer::stream_over()
}

/// Returns whether an answer is the upstream's own: it bears its seal, and its body isn't encoded.
fn is_original(exchange: &Exchange) -> bool {
    exchange.header(headers::SEAL).is_some() && exchange.header("content-encoding").is_none()
}

fn end_to_end_headers(request: &Request) -> Vec<Header> {
    let end_to_end = request.iter().filter(|(n, _)| !is_hop_header(n.as_str()));
    let pairs = end_to_end.flat_map(|(name, values)| {
        let name = name.as_str();
        values.iter().map(|v| headers::header(name, v.as_str()))
    });
    pairs.collect()
}

impl Attempt {
    /// Returns why it brought no answer for the caller.
    fn reason(&self) -> Option<String> {
        match self {
            Self::Answer(_) => None,
            Self::NotRun(why) => Some(why.to_string()),
            Self::Failed(_) => Some("failed".to_owned()),
        }
    }
}

impl Call<'_> {
    async fn run(&self) -> Response {
        let mut tries = Tries::default();
        while tries.may_go_on(self.route.attempts) {
            let step = match self.next_way(&tries) {
                Way::Direct => self.try_directly(&mut tries).await,
                Way::Detour(daemon) => self.try_detour(&mut tries, &daemon).await,
                Way::None => break,
            };
            match step {
                Step::Break(Some(response)) => return response,
                Step::Break(None) => break,
                Step::Continue(()) => (),
            }
            if Instant::now() >= self.deadline {
                break;
            }
        }
        self.give_up(tries)
    }

    /// Chooses between this daemon's own connections and another daemon. A connection that failed may
    /// be the first sign that this daemon has lost its links, so the next try doesn't rely on them.
    fn next_way(&self, tries: &Tries) -> Way {
        let is_lost = self.core.gateway.reach().is_lost();
        if !is_lost && tries.unreached == 0 {
            return Way::Direct;
        }
        match self.choose_detour() {
            Some(daemon) if tries.declined < MAX_DECLINED => Way::Detour(daemon),
            _ if is_lost => Way::None,
            _ => Way::Direct,
        }
    }

    async fn try_directly(&self, tries: &mut Tries) -> Step {
        let placed = match self.place(&tries.tried).await {
            Ok(placed) => placed,
            Err(None) => return self.without_upstream(tries),
            Err(Some(held)) if tries.runs == 0 => {
                return Step::Break(Some(self.refuse_held(held.reason, held.retry)));
            }
            Err(Some(_)) => return Step::Break(None),
        };
        let chosen = Chosen::of(&placed);
        tries.tried.push(chosen.upstream.clone());
        let attempt = self.attempt(placed).await;
        if let Some(reason) = attempt.reason() {
            self.log_retry(&chosen, reason);
        }
        if matches!(attempt, Attempt::NotRun(NotRun::Unreached)) {
            reach::connection_failed(self.core, &chosen.upstream);
        }
        self.after(tries, attempt)
    }

    async fn try_detour(&self, tries: &mut Tries, daemon: &DaemonId) -> Step {
        match self.detour(daemon, &tries.tried).await {
            Detoured::Tried(attempt, upstream) => {
                tries.tried.extend(upstream);
                self.after(tries, *attempt)
            }
            Detoured::Declined => {
                tries.declined += 1;
                Step::Continue(())
            }
            Detoured::Held(reason, retry) if tries.runs == 0 => {
                Step::Break(Some(self.refuse_held(&reason, retry)))
            }
            Detoured::Held(..) => Step::Break(None),
            Detoured::NoUpstream => self.without_upstream(tries),
        }
    }

    /// Ends the tries, as there is no upstream left.
    fn without_upstream(&self, tries: &Tries) -> Step {
        if tries.tried.is_empty() && self.is_stranded() {
            let response = refuse_stream(self.route, self.caller, "no_upstream_of_version");
            return Step::Break(Some(response));
        }
        Step::Break(None)
    }

    fn after(&self, tries: &mut Tries, attempt: Attempt) -> Step {
        match attempt {
            Attempt::Answer(response) => return Step::Break(Some(response)),
            Attempt::NotRun(NotRun::Unreached) => tries.unreached += 1,
            Attempt::NotRun(NotRun::Withheld | NotRun::Refused) => tries.refusals += 1,
            Attempt::Failed(answered) => {
                tries.runs += 1;
                tries.failure = answered.or(tries.failure.take());
                if !self.is_repeatable() {
                    return Step::Break(None);
                }
            }
        }
        Step::Continue(())
    }

    fn refuse_held(&self, reason: &str, retry: Millis) -> Response {
        event!(
            Event::RequestRefused,
            request = self.id,
            route = self.route.name,
            reason = reason,
            fingerprint = format!("{:016x}", self.content.0),
            retry_ms = retry.0
        );
        answer::not_run(retry)
    }

    /// Returns whether this daemon still has the role in which it sends the request.
    fn is_in_charge(&self) -> bool {
        let leads = |term| self.core.stores.leader_term(Millis::ZERO) == Some(term);
        self.term.is_none_or(leads)
    }

    pub(super) fn is_repeatable(&self) -> bool {
        self.route.kind == RouteKind::Idempotent
    }

    pub(super) async fn attempt(&self, placed: Placed) -> Attempt {
        let mut in_flight = placed.in_flight;
        let run = ContentRun::begin(self.core, self.content, &placed.upstream, placed.permit);
        let attempt = self.send(run, &mut in_flight, placed.rate_permit).await;
        if matches!(attempt, Attempt::NotRun(_)) && in_flight.ending == Ending::Abandoned {
            in_flight.ending = Ending::Refused;
        }
        attempt
    }

    async fn send(
        &self,
        run: ContentRun,
        in_flight: &mut InFlight,
        rate_permit: Option<RatePermit>,
    ) -> Attempt {
        let upstream = &in_flight.upstream;
        let options = SendOptions {
            deadline: self.attempt_deadline(),
            progress: self.deadline.saturating_duration_since(Instant::now()),
            // A trial or a permit is for one send, even if the connection closes early.
            idempotent: self.is_repeatable() && !run.permit().is_trial() && rate_permit.is_none(),
            probe: rate_permit.is_none(),
        };
        let Some(request) = self.request(upstream) else {
            run.not_run();
            return Attempt::Failed(Some(answer::status(400)));
        };
        let may_send = || {
            let is_permitted = limits::is_permitted(self.core, upstream, rate_permit, self.id);
            is_permitted && self.is_in_charge() && gate::may_send(self.core, upstream, self.id)
        };
        let sent = self.exchange(upstream, request, &options, may_send);
        let exchange = match sent.await {
            Ok(exchange) => exchange,
            Err(SendError::NotSent(Cause::Withheld | Cause::OtherPeer)) => {
                run.not_run();
                return Attempt::NotRun(NotRun::Withheld);
            }
            Err(SendError::NotSent(cause)) => {
                in_flight.ending = Ending::Failed;
                run.not_run();
                self.log_unreached(in_flight, &cause);
                return Attempt::NotRun(NotRun::Unreached);
            }
            Err(SendError::Unknown(cause)) => {
                in_flight.ending = Ending::Failed;
                run.interrupted(self.id, &self.route.name, &cause).await;
                return Attempt::Failed(None);
            }
        };
        limits::observe(self.core, upstream, &exchange, rate_permit, self.id);
        leaving::observe(self.core, upstream, &exchange, self.id);
        if exchange.header(headers::NOT_RUN).is_some() {
            in_flight.ending = Ending::Refused;
            run.not_run();
            return Attempt::NotRun(NotRun::Refused);
        }
        self.record_usage();
        let is_success = (200..300).contains(&exchange.status());
        if self.route.kind == RouteKind::Stream && is_success && is_original(&exchange) {
            return self.stream(exchange, run, in_flight);
        }
        self.read_answer(exchange, run, in_flight).await
    }

    /// Sends the request and waits for the head of the answer. The origin of a stream is kept at the
    /// same time, so that it can go on elsewhere from its first event on.
    async fn exchange<F>(
        &self,
        upstream: &UpstreamIncarnation,
        request: Request,
        options: &SendOptions,
        may_send: F,
    ) -> Result<Exchange, SendError>
    where
        F: Fn() -> bool + Sync,
    {
        let client = &self.core.gateway.client;
        let Some(stream) = &self.stream else {
            let sent = client.send_if(upstream.address, request, options, may_send);
            return sent.await;
        };
        let origin = StreamOrigin {
            service: upstream.service.clone(),
            software: upstream.software.clone(),
            number: self.origin().map_or(0, |origin| origin.number),
        };
        let keeping = Keeping::begin(self.core, &stream.key, &stream.kept, origin);
        if keeping.replaces && !keeping.replace().await {
            event!(
                Event::OriginUnconfirmed,
                request = self.id,
                upstream = upstream.id,
                software = upstream.software,
                replaces = true
            );
            return Err(SendError::NotSent(Cause::Withheld));
        }
        let peer = Incarnation::of(upstream);
        let sent = client.send_to(upstream.address, request, options, &peer, may_send);
        let (sent, kept) = Box::pin(join(sent, keeping.keep())).await;
        if kept == Kept::Unconfirmed {
            event!(
                Event::OriginUnconfirmed,
                request = self.id,
                upstream = upstream.id,
                software = upstream.software
            );
        }
        sent
    }

    /// Deadline of an attempt that starts now: the request's own, or an earlier one if the request
    /// is idempotent, so that another upstream can still be tried.
    pub(super) fn attempt_deadline(&self) -> Instant {
        if !self.is_repeatable() {
            return self.deadline;
        }
        let target = Duration::from_millis(self.route.target.0);
        let timeout = (target * TIMEOUT_FACTOR).max(MIN_TIMEOUT);
        self.deadline.min(Instant::now() + timeout)
    }

    fn request(&self, upstream: &UpstreamIncarnation) -> Option<Request> {
        let with = Forwarding {
            upstream: upstream.id.as_str(),
            team: self.team.map(TeamId::as_str),
            remaining_time: self.deadline.saturating_duration_since(Instant::now()),
        };
        let headers = headers::forwarded(&self.headers, &with);
        let body = self.body.clone();
        let built = client::request_for(self.host, &self.method, &self.target, &headers, body);
        built.inspect_err(|cause| log::warn!("{cause}")).ok()
    }

    async fn read_answer(
        &self,
        mut exchange: Exchange,
        run: ContentRun,
        in_flight: &mut InFlight,
    ) -> Attempt {
        let mut body = BodyBuffer::within(MAX_ANSWER_BYTES, &self.core.gateway.buffers);
        if let Err(error) = exchange.read_into(&mut body).await {
            in_flight.ending = Ending::Failed;
            let cause = error.cause();
            run.interrupted(self.id, &self.route.name, cause).await;
            return Attempt::Failed(None);
        }
        let status = exchange.status();
        if !is_original(&exchange) {
            in_flight.ending = Ending::Failed;
            return Attempt::Failed(None);
        }
        run.answered();
        let response = answer::relayed(status, exchange.headers(), body.into_body());
        if status >= 500 {
            in_flight.ending = Ending::Failed;
            return Attempt::Failed(Some(response));
        }
        let took = Millis(in_flight.started.elapsed().as_millis() as u64);
        in_flight.ending = Ending::Answered(took);
        event!(
            Event::RequestAnswered,
            request = self.id,
            route = self.route.name,
            upstream = in_flight.upstream.id,
            revision = in_flight.revision,
            lease_ms = in_flight.lease_left.0,
            status = status,
            took_ms = took.0
        );
        Attempt::Answer(response)
    }

    /// Relays a stream as it arrives. If it is interrupted, the connection to the caller is reset.
    fn stream(&self, mut exchange: Exchange, run: ContentRun, in_flight: &mut InFlight) -> Attempt {
        in_flight.ending = Ending::Answered(Millis(in_flight.started.elapsed().as_millis() as u64));
        let (sender, body) = body::channel(STREAM_CHUNKS);
        let response = answer::relayed(exchange.status(), exchange.headers(), body);
        let upstream = &in_flight.upstream;
        let log = StreamLog {
            software: upstream.software.clone(),
            ..StreamLog::begin(self.id, &self.route.name, upstream.id.as_str())
        };
        task::spawn(async move {
            loop {
                match exchange.chunk().await {
                    Ok(Some(chunk)) => {
                        if sender.send(chunk).await.is_err() {
                            log.end("caller_left", exchange.bytes());
                            return;
                        }
                    }
                    Ok(None) => break,
                    Err(error) => {
                        log.end("broken", exchange.bytes());
                        run.interrupted(&log.id, &log.route, error.cause()).await;
                        return;
                    }
                }
            }
            run.answered();
            log.end("complete", exchange.bytes());
            // The caller may have disconnected after the last chunk.
            let _gone = sender.finish().await;
        });
        Attempt::Answer(response)
    }

    /// Counts the request for billing: an upstream has started to run it.
    fn record_usage(&self) {
        let counts = Counts {
            requests: 1,
            ..Counts::default()
        };
        if let Some(team) = self.team {
            self.core.usage.record(team, Class::Interactive, &counts);
        }
    }

    fn log_unreached(&self, in_flight: &InFlight, cause: &Cause) {
        event!(
            Event::UpstreamUnreached,
            request = self.id,
            upstream = in_flight.upstream.id,
            zone = in_flight.upstream.zone,
            revision = in_flight.revision,
            reason = cause,
            took_ms = in_flight.started.elapsed().as_millis()
        );
    }

    fn log_retry<D>(&self, chosen: &Chosen, reason: D)
    where
        D: fmt::Display,
    {
        event!(
            Event::RequestRetried,
            request = self.id,
            route = self.route.name,
            upstream = chosen.upstream,
            revision = chosen.revision,
            lease_ms = chosen.lease_left.0,
            reason = reason
        );
    }

    fn give_up(&self, tries: Tries) -> Response {
        if tries.runs == 0 {
            event!(
                Event::RequestRefused,
                request = self.id,
                route = self.route.name,
                reason = self.refusal_reason(&tries),
                refusals = tries.refusals,
                unreached = tries.unreached,
                declined = tries.declined
            );
            return answer::not_run(answer::RETRY_DELAY);
        }
        event!(
            Event::RequestFailed,
            request = self.id,
            route = self.route.name,
            runs = tries.runs,
            answered = tries.failure.is_some()
        );
        tries.failure.unwrap_or_else(|| {
            let late = Instant::now() >= self.deadline;
            answer::status(if late { 504 } else { 502 })
        })
    }

    fn refusal_reason(&self, tries: &Tries) -> &'static str {
        if tries.refusals > 0 {
            "upstreams_full"
        } else if self.core.gateway.reach().is_lost() {
            "links_lost"
        } else if tries.unreached > 0 {
            "upstreams_unreached"
        } else if self.is_evacuated() {
            Withheld::Evacuated.name()
        } else {
            "no_upstream"
        }
    }

    /// Returns whether the route's services have ready upstreams, but in evacuated zones only.
    fn is_evacuated(&self) -> bool {
        let view = self.core.control.view();
        let is_of_route = |u: &&UpstreamIncarnation| {
            let shares = &self.route.shares;
            u.ready && shares.iter().any(|share| share.service == u.service)
        };
        let mut zones = view.incarnations.iter().filter(is_of_route);
        let first = zones.next();
        first.is_some_and(|u| view.is_evacuated(&u.zone))
            && zones.all(|u| view.is_evacuated(&u.zone))
    }
}
