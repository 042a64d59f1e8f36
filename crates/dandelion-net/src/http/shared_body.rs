//! Complete bodies in segments, which the server, the handler and all tries to forward them share.
//!
//! Load condition: bodies of up to 32 MiB on machines of 110 MB. A body that each of them copies is held
//! five times.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use futures::AsyncBufRead;
use futures::AsyncRead;
use http_types::Body;
use http_types::Request;

use crate::http::memory::Held;

/// Longest piece in which a body is hashed or written, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// A complete body; copies share its bytes.
#[derive(Debug, Clone, Default)]
pub struct SharedBody(Arc<Segments>);

#[derive(Debug, Default)]
struct Segments {
    parts: Vec<Vec<u8>>,
    length: usize,
    /// Counts the bytes in the account of a process, which uses the parts again.
    held: Option<Arc<Held>>,
}

impl Drop for Segments {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            held.recycle(std::mem::take(&mut self.parts));
        }
    }
}

impl From<Vec<u8>> for SharedBody {
    fn from(bytes: Vec<u8>) -> Self {
        let length = bytes.len();
        Self(Arc::new(Segments {
            parts: vec![bytes],
            length,
            held: None,
        }))
    }
}

impl SharedBody {
    /// Wraps segments that are counted by `held` until the last copy is dropped.
    pub(super) fn counted(parts: Vec<Vec<u8>>, held: Arc<Held>) -> Self {
        let length = parts.iter().map(Vec::len).sum();
        Self(Arc::new(Segments {
            parts,
            length,
            held: Some(held),
        }))
    }

    /// Takes the body of a request, which is left without one. A body that came in no shared form is
    /// read first.
    pub async fn take(request: &mut Request) -> http_types::Result<Self> {
        let shared = request.ext_mut().remove::<Self>();
        let body = request.take_body();
        match shared {
            Some(shared) => Ok(shared),
            None => Ok(body.into_bytes().await?.into()),
        }
    }

    /// Makes this the body of a request, for [`SharedBody::take`] and for readers of the plain body.
    pub fn attach(self, request: &mut Request) {
        request.set_body(self.clone().into_reader());
        request.ext_mut().insert(self);
    }

    /// Returns what counts the bytes, if anything does.
    pub(super) fn held(&self) -> Option<Arc<Held>> {
        self.0.held.clone()
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.0.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes in their order, in pieces of at most 64 KiB.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.0
            .parts
            .iter()
            .flat_map(|part| part.chunks(PIECE_BYTES))
    }

    /// Returns a copy of the bytes in one piece.
    pub fn to_vec(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.len());
        for piece in self.pieces() {
            bytes.extend_from_slice(piece);
        }
        bytes
    }

    /// Joins the bytes. They are held once if this is the last copy: each segment is free again as soon
    /// as it was copied.
    pub fn into_bytes(self) -> Vec<u8> {
        let mut segments = match Arc::try_unwrap(self.0) {
            Ok(segments) => segments,
            Err(shared) => return Self(shared).to_vec(),
        };
        let mut parts = std::mem::take(&mut segments.parts).into_iter();
        let mut bytes = parts.next().unwrap_or_default();
        bytes.reserve_exact(segments.length - bytes.len());
        for part in parts {
            bytes.extend_from_slice(&part);
            if let Some(held) = &segments.held {
                held.recycle(vec![part]);
            }
        }
        bytes
    }

    fn into_reader(self) -> Body {
        let length = self.len();
        let reader = Reader {
            body: self,
            part: 0,
            offset: 0,
        };
        Body::from_reader(reader, Some(length))
    }
}

/// Reads a body from its beginning.
struct Reader {
    body: SharedBody,
    part: usize,
    /// Bytes of the part that were read.
    offset: usize,
}

impl Reader {
    /// Returns what is left of the first part that isn't read completely.
    fn rest(&mut self) -> &[u8] {
        let parts = &self.body.0.parts;
        while parts.get(self.part).is_some_and(|p| self.offset == p.len()) {
            self.part += 1;
            self.offset = 0;
        }
        parts.get(self.part).map_or(&[], |p| &p[self.offset..])
    }
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Ok(self.get_mut().rest()))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        let this = self.get_mut();
        this.offset += count.min(this.rest().len());
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let rest = this.rest();
        let count = rest.len().min(target.len());
        target[..count].copy_from_slice(&rest[..count]);
        this.offset += count;
        Poll::Ready(Ok(count))
    }
}
