//! From answer parts to the caller's HTTP answer.

use dandelion_net::Signal;
use dandelion_net::http::body;
use dandelion_net::http::body::Broken;
use dandelion_net::http::server;
use dandelion_net::mesh::ServeStream;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::ServePart;
use futures::FutureExt;
use futures::select_biased;
use http_types::Response;
use http_types::headers::HeaderName;

use crate::serve::entry::OwnerPlace;
use crate::serve::streams::StreamGuard;

/// Header that carries the identity of a request in both directions.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const CONTENT_TYPE: &str = "content-type";
const DEFAULT_TYPE: &str = "application/octet-stream";

/// An answer on its way to a caller, cut when the caller's key stops working.
#[derive(Debug)]
pub struct CallerStream {
    stream: ServeStream,
    cut: Signal,
    guard: StreamGuard,
    place: OwnerPlace,
}

impl CallerStream {
    /// Wraps the parts that follow a head.
    pub fn new(stream: ServeStream, guard: StreamGuard, place: OwnerPlace) -> Self {
        let cut = guard.signal();
        Self {
            stream,
            cut,
            guard,
            place,
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
        let part = {
            let next = self.stream.next().fuse();
            let cut = self.cut.raised().fuse();
            futures::pin_mut!(next, cut);
            select_biased! {
                () = cut => return Err(Broken),
                part = next => part,
            }
        };
        match part {
            Ok(ServePart::Chunk(bytes)) => Ok(Some(bytes)),
            Ok(ServePart::End { .. }) => Ok(None),
            Ok(ServePart::Head { .. } | ServePart::Failed(_)) | Err(_) => Err(Broken),
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
