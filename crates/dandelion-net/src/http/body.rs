//! Streamed bodies. A body either ends complete or resets the connection to the caller.

use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures::AsyncBufRead;
use futures::AsyncRead;
use futures::Stream;
use futures::StreamExt;
use futures::stream::BoxStream;
use http_types::Body;
use thiserror::Error;

/// A streamed answer can't be completed; the connection to the caller is reset.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
#[error("the answer was aborted before its end; check the upstream that produced it")]
pub struct BodyAborted;

/// The caller of a streamed answer has disconnected.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
#[error("the caller has disconnected; stop producing the answer")]
pub struct CallerGone;

#[derive(Debug)]
enum Item {
    Bytes(Vec<u8>),
    End,
}

/// Sends the pieces of a streamed body. Dropping it without [`BodySender::finish`] resets the
/// connection to the caller.
#[derive(Debug)]
pub struct BodySender {
    items: async_channel::Sender<Item>,
}

impl BodySender {
    /// Sends bytes, waiting while the caller reads them more slowly than they are produced.
    pub async fn send(&self, bytes: Vec<u8>) -> Result<(), CallerGone> {
        if bytes.is_empty() {
            return Ok(());
        }
        let sent = self.items.send(Item::Bytes(bytes)).await;
        sent.map_err(|_closed| CallerGone)
    }

    /// Marks the body as complete.
    pub async fn finish(self) -> Result<(), CallerGone> {
        let sent = self.items.send(Item::End).await;
        sent.map_err(|_closed| CallerGone)
    }

    /// Returns whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.items.is_closed()
    }
}

/// Makes a streamed body and its sender, with a buffer of `capacity` pieces between them.
pub fn channel(capacity: usize) -> (BodySender, Body) {
    let (items, queue) = async_channel::bounded(capacity);
    let stream = futures::stream::unfold(Some(queue), |queue| async {
        let queue = queue?;
        match queue.recv().await {
            Ok(Item::Bytes(bytes)) => Some((Ok(bytes), Some(queue))),
            Ok(Item::End) => None,
            Err(_closed) => Some((Err(BodyAborted), None)),
        }
    });
    (BodySender { items }, from_stream(stream))
}

/// Makes a body from a stream, which is dropped as soon as the caller disconnects. The end of the
/// stream completes the body; an error resets the connection to the caller.
pub fn from_stream<S>(stream: S) -> Body
where
    S: Stream<Item = Result<Vec<u8>, BodyAborted>> + Send + 'static,
{
    let reader = StreamReader {
        stream: Mutex::new(stream.boxed()),
        bytes: Vec::new(),
        consumed: 0,
    };
    Body::from_reader(reader, None)
}

/// Reads the pieces of a stream. The mutex is never contended; it makes the reader `Sync`.
struct StreamReader {
    stream: Mutex<BoxStream<'static, Result<Vec<u8>, BodyAborted>>>,
    bytes: Vec<u8>,
    consumed: usize,
}

impl AsyncBufRead for StreamReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.consumed == this.bytes.len() {
            let stream = this
                .stream
                .get_mut()
                .map_err(|_poisoned| io::Error::other(BodyAborted))?;
            match ready!(stream.poll_next_unpin(context)) {
                Some(Ok(bytes)) => this.bytes = bytes,
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                None => return Poll::Ready(Ok(&[])),
            }
            this.consumed = 0;
        }
        Poll::Ready(Ok(&this.bytes[this.consumed..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        let this = self.get_mut();
        this.consumed = this.bytes.len().min(this.consumed + count);
    }
}

impl AsyncRead for StreamReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = bytes.len().min(buffer.len());
        buffer[..count].copy_from_slice(&bytes[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
