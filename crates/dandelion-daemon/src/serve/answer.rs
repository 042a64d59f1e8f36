//! From answer parts to the caller's HTTP answer.

use std::time::Duration;

use async_std::task;
use dandelion_net::Signal;
use dandelion_net::clock;
use dandelion_net::http::body;
use dandelion_net::http::body::Broken;
use dandelion_net::http::server;
use dandelion_net::mesh::CallError;
use dandelion_net::mesh::ServeStream;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::time::Millis;
use futures::FutureExt;
use futures::select_biased;
use http_types::Response;
use http_types::headers::HeaderName;

use crate::core::Handle;
use crate::serve::entry;
use crate::serve::entry::OwnerPlace;
use crate::serve::resume::Follower;
use crate::serve::streams::StreamGuard;

/// Header that carries the identity of a request in both directions.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const CONTENT_TYPE: &str = "content-type";
const DEFAULT_TYPE: &str = "application/octet-stream";

/// Attempts to go on with one broken stream.
const MAX_RESUMES: u32 = 4;

/// Time before an attempt that follows a refused one.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// A generation that another engine can finish, and what is needed to ask for it.
#[derive(Debug)]
pub struct Resumable {
    /// Shared state.
    pub core: Handle,
    /// Request as sent last.
    pub request: ServeRequest,
    /// When the request's time is over, on the boot-time clock.
    pub deadline: Millis,
    /// What was passed on so far.
    pub follower: Follower,
}

/// An answer on its way to a caller, cut when the caller's key stops working.
#[derive(Debug)]
pub struct CallerStream {
    stream: ServeStream,
    cut: Signal,
    guard: StreamGuard,
    place: OwnerPlace,
    resumable: Option<Box<Resumable>>,
    resumes: u32,
    ended: bool,
}

impl CallerStream {
    /// Wraps the parts that follow a head.
    pub fn new(
        stream: ServeStream,
        guard: StreamGuard,
        place: OwnerPlace,
        resumable: Option<Box<Resumable>>,
    ) -> Self {
        let cut = guard.signal();
        Self {
            stream,
            cut,
            guard,
            place,
            resumable,
            resumes: 0,
            ended: false,
        }
    }

    /// Makes the HTTP answer. Its body ends cleanly only after `End`.
    pub fn into_response(self, status: u16, headers: &[Header]) -> Response {
        let body = body::from_stream(futures::stream::unfold(Some(self), next_bytes));
        let content_type = headers.iter().find(|h| h.name == CONTENT_TYPE);
        let content_type = content_type.map_or(DEFAULT_TYPE, |h| h.value.as_str());
        let mut response = server::streamed(status, content_type, body);
        for header in headers.iter().filter(|h| h.name != CONTENT_TYPE) {
            if let Ok(name) = HeaderName::from_bytes(header.name.clone().into_bytes()) {
                response.insert_header(name, header.value.as_str());
            }
        }
        response
    }

    async fn next(&mut self) -> Result<Option<Vec<u8>>, Broken> {
        while !self.ended {
            let bytes = match self.part().await? {
                Ok(ServePart::Chunk(bytes)) => self.follow(bytes)?,
                Ok(ServePart::End { .. }) => self.end()?,
                Ok(ServePart::Head { .. }) => return Err(Broken),
                Ok(ServePart::Failed(refusal)) => self.go_on(refusal).await?,
                Err(error) => self.go_on(entry::lost_owner(error)).await?,
            };
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    async fn part(&mut self) -> Result<Result<ServePart, CallError>, Broken> {
        let next = self.stream.next().fuse();
        let cut = self.cut.raised().fuse();
        futures::pin_mut!(next, cut);
        select_biased! {
            () = cut => Err(Broken),
            part = next => Ok(part),
        }
    }

    fn follow(&mut self, bytes: Vec<u8>) -> Result<Vec<u8>, Broken> {
        match &mut self.resumable {
            Some(resumable) => resumable.follower.read(bytes).map_err(|_gap| Broken),
            None => Ok(bytes),
        }
    }

    /// Ends the answer, unless the engine stopped without marking the end of its tokens.
    fn end(&mut self) -> Result<Vec<u8>, Broken> {
        self.ended = true;
        match &mut self.resumable {
            Some(resumable) if !resumable.follower.is_whole() => Err(Broken),
            Some(resumable) => Ok(resumable.follower.take_rest()),
            None => Ok(Vec::new()),
        }
    }

    /// Has another engine go on where the stream broke.
    async fn go_on(&mut self, mut refusal: Refusal) -> Result<Vec<u8>, Broken> {
        let resumable = self.resumable.as_mut().ok_or(Broken)?;
        loop {
            let Resumable {
                core,
                request,
                deadline,
                follower,
            } = &mut **resumable;
            let left = deadline.since(clock::boot_now());
            self.resumes += 1;
            let able = self.resumes <= MAX_RESUMES && follower.can_resume(refusal.ran);
            let granted = able && entry::grant_retry(core, request, &refusal, left);
            if !granted {
                return Err(Broken);
            }
            follower.resume(request);
            request.timeout = left;
            match Box::pin(entry::attempt(core, request, &self.guard)).await {
                Ok(head) if head.status == 200 => {
                    self.stream = head.stream;
                    self.place = head.place;
                    return Ok(Vec::new());
                }
                Ok(_) => return Err(Broken),
                Err(next) => refusal = next,
            }
            task::sleep(RESUME_DELAY).await;
        }
    }
}

async fn next_bytes(
    state: Option<CallerStream>,
) -> Option<(Result<Vec<u8>, Broken>, Option<CallerStream>)> {
    let mut stream = state?;
    match stream.next().await {
        Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
        Ok(None) => {
            drop(stream.guard);
            drop(stream.place);
            None
        }
        Err(broken) => Some((Err(broken), None)),
    }
}
