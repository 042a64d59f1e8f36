//! Turns the answer parts of an owner into the HTTP answer for the caller.

use std::time::Duration;

use async_std::task;
use dandelion_net::Signal;
use dandelion_net::clock;
use dandelion_net::http::body;
use dandelion_net::http::body::BodyAborted;
use dandelion_net::http::server;
use dandelion_net::mesh::CallError;
use dandelion_net::mesh::ServeStream;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use futures::FutureExt;
use futures::select_biased;
use http_types::Response;
use http_types::headers::HeaderName;

use crate::core::Handle;
use crate::serve::entry;
use crate::serve::entry::InFlightGuard;
use crate::serve::resume::Broken;
use crate::serve::resume::TokenTracker;
use crate::serve::streams::StreamGuard;

/// Header with the request id, on requests to upstreams and on answers to callers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const CONTENT_TYPE: &str = "content-type";
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Most attempts to resume one stream.
const MAX_RESUMES: u32 = 4;

/// Delay before another attempt to resume, after one was refused.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// A generation that another engine can continue, and what a request for the rest needs.
#[derive(Debug)]
pub struct Resumable {
    /// Shared state of the daemon.
    pub core: Handle,
    /// The request as it was last sent.
    pub request: ServeRequest,
    /// Deadline of the request, on the boot-time clock.
    pub deadline: Millis,
    /// Tracks the tokens that were passed to the caller so far.
    pub tracker: TokenTracker,
}

/// An answer that is streamed to a caller. It is aborted when the caller's key is no longer valid.
#[derive(Debug)]
pub struct CallerStream {
    stream: ServeStream,
    revoked: Signal,
    guard: StreamGuard,
    in_flight: InFlightGuard,
    resumable: Option<Box<Resumable>>,
    resumes: u32,
    ended: bool,
}

impl CallerStream {
    /// Wraps the parts that follow the head of the answer.
    pub fn new(
        stream: ServeStream,
        guard: StreamGuard,
        in_flight: InFlightGuard,
        resumable: Option<Box<Resumable>>,
    ) -> Self {
        let revoked = guard.signal();
        Self {
            stream,
            revoked,
            guard,
            in_flight,
            resumable,
            resumes: 0,
            ended: false,
        }
    }

    /// Makes the HTTP answer. Its body ends without an error only after [`ServePart::End`].
    pub fn into_response(self, status: u16, headers: &[Header]) -> Response {
        let body = body::from_stream(futures::stream::unfold(Some(self), next_bytes));
        let content_type = headers.iter().find(|h| h.name == CONTENT_TYPE);
        let content_type = content_type.map_or(DEFAULT_CONTENT_TYPE, |h| h.value.as_str());
        let mut response = server::streamed(status, content_type, body);
        for header in headers.iter().filter(|h| h.name != CONTENT_TYPE) {
            if let Ok(name) = HeaderName::from_bytes(header.name.clone().into_bytes()) {
                response.insert_header(name, header.value.as_str());
            }
        }
        response
    }

    async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyAborted> {
        while !self.ended {
            let bytes = match self.next_part().await? {
                Ok(ServePart::Chunk(bytes)) => match self.track(bytes) {
                    Ok(bytes) => bytes,
                    Err(Broken::Gap) => return Err(BodyAborted),
                    Err(Broken::OtherSoftware) => self.resume_stream(other_software()).await?,
                },
                Ok(ServePart::End { .. }) => self.end()?,
                Ok(ServePart::Head { .. } | ServePart::Detoured(_)) => return Err(BodyAborted),
                Ok(ServePart::Failed(refusal)) => self.resume_stream(refusal).await?,
                Err(error) => self.resume_stream(entry::lost_owner(error)).await?,
            };
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    async fn next_part(&mut self) -> Result<Result<ServePart, CallError>, BodyAborted> {
        let next = self.stream.next().fuse();
        let revoked = self.revoked.raised().fuse();
        futures::pin_mut!(next, revoked);
        select_biased! {
            () = revoked => Err(BodyAborted),
            part = next => Ok(part),
        }
    }

    fn track(&mut self, bytes: Vec<u8>) -> Result<Vec<u8>, Broken> {
        match &mut self.resumable {
            Some(resumable) => resumable.tracker.read(bytes),
            None => Ok(bytes),
        }
    }

    /// Ends the answer; fails if the engine closed the stream without marking the end of its
    /// tokens.
    fn end(&mut self) -> Result<Vec<u8>, BodyAborted> {
        self.ended = true;
        match &mut self.resumable {
            Some(resumable) if !resumable.tracker.is_complete() => Err(BodyAborted),
            Some(resumable) => Ok(resumable.tracker.take_partial()),
            None => Ok(Vec::new()),
        }
    }

    /// Lets another engine continue an interrupted stream.
    async fn resume_stream(&mut self, mut refusal: Refusal) -> Result<Vec<u8>, BodyAborted> {
        let resumable = self.resumable.as_mut().ok_or(BodyAborted)?;
        loop {
            let Resumable {
                core,
                request,
                deadline,
                tracker,
            } = &mut **resumable;
            let remaining = deadline.since(clock::boot_now());
            self.resumes += 1;
            let may_resume = self.resumes <= MAX_RESUMES && tracker.can_resume(refusal.ran);
            let granted = may_resume && entry::grant_retry(core, request, &refusal, remaining);
            if !granted {
                return Err(BodyAborted);
            }
            tracker.resume(request);
            request.timeout = remaining;
            match Box::pin(entry::attempt(core, request, &self.guard)).await {
                Ok(head) if head.status == 200 => {
                    self.stream = head.stream;
                    self.in_flight = head.in_flight;
                    return Ok(Vec::new());
                }
                Ok(_) => return Err(BodyAborted),
                Err(next) => refusal = next,
            }
            task::sleep(RESUME_DELAY).await;
        }
    }
}

/// Refusal of an engine that would continue a stream which other software began.
fn other_software() -> Refusal {
    let refusal = Refusal::not_run(
        RefusalCode::UpstreamFailed,
        "an engine with other software continued the stream",
        "send the request again if it may run twice",
    );
    refusal.with_ran(Ran::Unknown)
}

async fn next_bytes(
    state: Option<CallerStream>,
) -> Option<(Result<Vec<u8>, BodyAborted>, Option<CallerStream>)> {
    let mut stream = state?;
    match stream.next().await {
        Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
        Ok(None) => {
            drop(stream.guard);
            drop(stream.in_flight);
            None
        }
        Err(broken) => Some((Err(broken), None)),
    }
}
