//! Gives a caller's request to another daemon to forward, when this one doesn't reach the upstreams.

use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::task;
use dandelion_net::clock;
use dandelion_net::http::BodyBuffer;
use dandelion_net::http::body;
use dandelion_net::mesh::CallError;
use dandelion_net::mesh::ServeStream;
use dandelion_platform::headers;
use dandelion_protocol::detour::Decline;
use dandelion_protocol::detour::Detour;
use dandelion_protocol::detour::DetourEnd;
use dandelion_protocol::detour::StreamDetour;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::MAX_MESSAGE_BYTES;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::plan::RouteKind;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_route::detours::Ending;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use http_types::Response;

use crate::core::Handle;
use crate::core::new_request_id;
use crate::gateway::answer;
use crate::gateway::forward::Attempt;
use crate::gateway::forward::Call;
use crate::gateway::forward::MAX_ANSWER_BYTES;
use crate::gateway::forward::NotRun;
use crate::gateway::forward::STREAM_CHUNKS;
use crate::gateway::forward::StreamLog;

/// Time that the other daemon gets beyond that of an attempt of this one: for a connection that it
/// can't make, and for the way there and back.
const DETOUR_TIME: Duration = Duration::from_millis(400);

/// Longest body that another daemon can get, in bytes. The rest of the message is for head and detour.
const MAX_DETOUR_BYTES: usize = MAX_MESSAGE_BYTES - 128 * 1024;

/// What came of a request that was given to another daemon.
pub(super) enum Detoured {
    /// An upstream was tried; its name is missing if the daemon was lost.
    Tried(Box<Attempt>, Option<UpstreamId>),
    /// The daemon did not take the request.
    Declined,
    /// The request may not run now, at whichever daemon.
    Held(String, Millis),
    /// There is no upstream left to try.
    NoUpstream,
}

/// A request at another daemon. Dropping it reports the end to the choice of daemons, also if the
/// caller disconnects.
struct AtPeer<'a> {
    core: &'a Handle,
    daemon: &'a DaemonId,
    ending: Ending,
}

impl Drop for AtPeer<'_> {
    fn drop(&mut self) {
        let mut detours = self.core.gateway.detours();
        detours.end(clock::boot_now(), self.daemon, self.ending);
    }
}

impl Call<'_> {
    /// Chooses a daemon that may forward the request; none if it is too long for a message.
    pub(super) fn choose_detour(&self) -> Option<DaemonId> {
        if self.body.len() > MAX_DETOUR_BYTES {
            return None;
        }
        let core = self.core;
        let view = core.control.view();
        let own = (&core.identity.daemon, &core.identity.zone);
        let now = clock::boot_now();
        let detours = core.gateway.detours();
        let chosen = detours.choose(now, &view.members, own, &mut rand::rng());
        chosen.cloned()
    }

    /// Lets another daemon try the request at an upstream that is not among `tried`.
    pub(super) async fn detour(&self, daemon: &DaemonId, tried: &[UpstreamId]) -> Detoured {
        self.core.gateway.detours().begin(daemon);
        let mut at_peer = AtPeer {
            core: self.core,
            daemon,
            ending: Ending::Abandoned,
        };
        let started = Instant::now();
        let detoured = self.try_at(&mut at_peer, tried).await;
        self.core.metrics.count_detour(at_peer.ending);
        event!(
            Event::RequestDetoured,
            request = self.id,
            route = self.route.name,
            by = daemon,
            outcome = format!("{:?}", at_peer.ending),
            took_ms = started.elapsed().as_millis()
        );
        detoured
    }

    async fn try_at(&self, at_peer: &mut AtPeer<'_>, tried: &[UpstreamId]) -> Detoured {
        let until = self.deadline.min(self.attempt_deadline() + DETOUR_TIME);
        let Some(request) = self.detoured_request(tried) else {
            at_peer.ending = Ending::Abandoned;
            return Detoured::NoUpstream;
        };
        let opened = self.core.mesh().map(|m| m.serve(at_peer.daemon, request));
        let Some(Ok(mut stream)) = opened else {
            at_peer.ending = Ending::Lost;
            return Detoured::Declined;
        };
        let limit = until.saturating_duration_since(Instant::now());
        let first = timeout(limit, stream.next()).await;
        match first {
            Ok(Ok(ServePart::Head {
                status,
                headers,
                upstream,
            })) => {
                at_peer.ending = Ending::Forwarded;
                let head = (status, headers.as_slice());
                let attempt = self.relay_detoured(stream, head, &upstream, until).await;
                Detoured::Tried(Box::new(attempt), upstream.parse().ok())
            }
            Ok(Ok(ServePart::Detoured(end))) => self.end_detour(at_peer, end),
            Ok(Ok(ServePart::Failed(refusal))) if refusal.ran == Ran::NotRun => {
                at_peer.ending = Ending::Declined(Decline::Unknown);
                Detoured::Declined
            }
            Ok(Err(CallError::NotSent)) => {
                at_peer.ending = Ending::Lost;
                Detoured::Declined
            }
            Err(_late) if until == self.deadline => {
                at_peer.ending = Ending::Late;
                Detoured::Tried(Box::new(Attempt::Failed(None)), None)
            }
            Ok(_) | Err(_) => {
                at_peer.ending = Ending::Lost;
                Detoured::Tried(Box::new(Attempt::Failed(None)), None)
            }
        }
    }

    fn end_detour(&self, at_peer: &mut AtPeer<'_>, end: DetourEnd) -> Detoured {
        at_peer.ending = Ending::Forwarded;
        match end {
            DetourEnd::Declined(decline) => {
                at_peer.ending = Ending::Declined(decline);
                Detoured::Declined
            }
            DetourEnd::Held { reason, retry } => Detoured::Held(reason, retry),
            DetourEnd::NoUpstream => Detoured::NoUpstream,
            DetourEnd::NotRun {
                upstream,
                unreached,
                kept,
            } => {
                if let Some(stream) = &self.stream {
                    *stream.kept.lock().expect("no holder of this lock panics") = kept;
                }
                let why = if unreached {
                    at_peer.ending = Ending::Unreached;
                    NotRun::Unreached
                } else {
                    NotRun::Refused
                };
                Detoured::Tried(Box::new(Attempt::NotRun(why)), Some(upstream))
            }
            DetourEnd::Failed { upstream } => {
                Detoured::Tried(Box::new(Attempt::Failed(None)), Some(upstream))
            }
        }
    }

    /// Returns the request for the other daemon; none if its route has no service.
    fn detoured_request(&self, tried: &[UpstreamId]) -> Option<ServeRequest> {
        let view = self.core.control.view();
        let stream = self.stream.as_ref().map(|stream| {
            let mut kept = self.kept();
            if kept.origin.is_some() {
                // This daemon knows the origin of its own earlier try.
                kept.add_holders(vec![self.core.identity.daemon.clone()]);
            }
            StreamDetour {
                key: stream.key.clone(),
                origin: stream.origin.clone(),
                kept,
            }
        });
        let service = self.route.shares.first()?.service.clone();
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        Some(ServeRequest {
            id: new_request_id(),
            team: self.team.cloned(),
            service,
            class: Class::Interactive,
            method: self.method.clone(),
            path: self.target.clone(),
            headers: headers::forwardable(&self.headers),
            body: self.body.to_vec(),
            timeout: Millis(remaining.as_millis() as u64),
            idempotent: self.is_repeatable(),
            software: SoftwareVersion::default(),
            detour: Some(Box::new(Detour {
                host: self.host.to_owned(),
                attempt: self.id.to_owned(),
                plan: view.plan.as_ref().map_or(0, |plan| plan.version),
                tried: tried.to_vec(),
                stream,
            })),
        })
    }

    /// Passes on an answer whose head the other daemon has sent.
    async fn relay_detoured(
        &self,
        stream: ServeStream,
        (status, headers): (u16, &[Header]),
        upstream: &str,
        until: Instant,
    ) -> Attempt {
        if self.route.kind == RouteKind::Stream && status < 500 {
            let response = self.relay_stream(stream, (status, headers), upstream);
            return Attempt::Answer(response);
        }
        let limit = until.saturating_duration_since(Instant::now());
        let Ok(Some(body)) = timeout(limit, self.read_parts(stream)).await else {
            return Attempt::Failed(None);
        };
        let response = answer::relayed(status, headers, body.into_body());
        if status >= 500 {
            return Attempt::Failed(Some(response));
        }
        event!(
            Event::RequestAnswered,
            request = self.id,
            route = self.route.name,
            upstream = upstream,
            status = status
        );
        Attempt::Answer(response)
    }

    /// Reads the parts of an answer up to its end; returns none if it broke off.
    async fn read_parts(&self, mut stream: ServeStream) -> Option<BodyBuffer> {
        let mut body = BodyBuffer::within(MAX_ANSWER_BYTES, &self.core.gateway.buffers);
        loop {
            match stream.next().await {
                Ok(ServePart::Chunk(bytes)) => body.push(&bytes).ok()?,
                Ok(ServePart::End { .. }) => return Some(body),
                _ => return None,
            }
        }
    }

    /// Passes on a stream as it arrives. If it is interrupted, the connection to the caller is reset.
    fn relay_stream(
        &self,
        mut stream: ServeStream,
        (status, headers): (u16, &[Header]),
        upstream: &str,
    ) -> Response {
        let (sender, body) = body::channel(STREAM_CHUNKS);
        let response = answer::relayed(status, headers, body);
        let log = StreamLog::begin(self.id, &self.route.name, upstream);
        let deadline = self.deadline;
        task::spawn(async move {
            let mut bytes = 0;
            loop {
                let limit = deadline.saturating_duration_since(Instant::now());
                match timeout(limit, stream.next()).await {
                    Ok(Ok(ServePart::Chunk(chunk))) => {
                        bytes += chunk.len() as u64;
                        if sender.send(chunk).await.is_err() {
                            log.end("caller_left", bytes);
                            return;
                        }
                    }
                    Ok(Ok(ServePart::End { .. })) => break,
                    _ => {
                        log.end("broken", bytes);
                        return;
                    }
                }
            }
            log.end("complete", bytes);
            // The caller may have disconnected after the last chunk.
            let _gone = sender.finish().await;
        });
        response
    }
}
