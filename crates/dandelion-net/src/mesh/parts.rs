//! Sender and receiver of an answer stream.

use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use futures::future::AbortHandle;
use thiserror::Error;

use crate::mesh::credit::Credit;
use crate::mesh::credit::WINDOW_BYTES;
use crate::mesh::error::CallError;
use crate::mesh::link::Link;
use crate::mesh::pending::Ticket;

/// Largest body piece in one message. Larger ones are split, so that one stream does not delay the
/// others on the connection.
const MAX_PIECE: usize = 64 * 1024;

/// The receiver of an answer stream was dropped, or its connection was lost.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
#[error("the receiver of the answer was dropped; stop producing it")]
pub struct StreamGone;

#[derive(Debug)]
pub(super) enum Target {
    Link {
        queue: Sender<MeshMessage>,
        stream: u64,
        credit: Arc<Credit>,
    },
    Local(Sender<ServePart>),
}

/// Sends the parts of one answer, waiting while the receiver reads them more slowly.
#[derive(Debug)]
pub struct PartSender {
    target: Target,
    bytes: u64,
    ended: bool,
}

impl PartSender {
    pub(super) fn new(target: Target) -> Self {
        Self {
            target,
            bytes: 0,
            ended: false,
        }
    }

    /// Sends one part. Nothing can be sent after `End` or `Failed`.
    pub async fn send(&mut self, part: ServePart) -> Result<(), StreamGone> {
        if self.ended {
            return Err(StreamGone);
        }
        match part {
            ServePart::Chunk(bytes) if bytes.len() > MAX_PIECE => {
                for piece in bytes.chunks(MAX_PIECE) {
                    self.send_part(ServePart::Chunk(piece.to_vec())).await?;
                }
                Ok(())
            }
            other => self.send_part(other).await,
        }
    }

    /// Returns the number of body bytes sent so far, which `End` must state.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Ends the stream with a failure if the handler did not end it.
    pub(super) async fn ensure_end(&mut self) {
        if !self.ended {
            let refusal = Refusal::not_run(
                RefusalCode::UpstreamFailed,
                "the daemon broke the answer off",
                "ask again if the request may run twice",
            );
            let part = ServePart::Failed(refusal.with_ran(Ran::Unknown));
            // If the receiver is gone, the stream has ended anyway.
            let _gone = self.send_part(part).await;
        }
    }

    async fn send_part(&mut self, part: ServePart) -> Result<(), StreamGone> {
        let size = match &part {
            ServePart::Chunk(bytes) => bytes.len(),
            _ => 0,
        };
        self.bytes += size as u64;
        self.ended = part.is_last();
        match &self.target {
            Target::Link {
                queue,
                stream,
                credit,
            } => {
                if size > 0 {
                    credit.acquire(size).await;
                }
                let stream = *stream;
                let sent = queue.send(MeshMessage::Part { stream, part }).await;
                sent.map_err(|_closed| StreamGone)
            }
            Target::Local(queue) => queue.send(part).await.map_err(|_closed| StreamGone),
        }
    }
}

/// Where a stream comes from, and what cancels it.
#[derive(Debug)]
pub(super) enum Source {
    Link { link: Arc<Link>, number: u64 },
    Local(AbortHandle),
}

/// An answer in progress. Dropping it before its end cancels the request at the peer.
#[derive(Debug)]
pub struct ServeStream {
    source: Source,
    parts: Receiver<ServePart>,
    ticket: Arc<Ticket>,
    bytes: u64,
    uncredited: u32,
    ended: bool,
}

impl ServeStream {
    pub(super) fn new(source: Source, parts: Receiver<ServePart>, ticket: Arc<Ticket>) -> Self {
        Self {
            source,
            parts,
            ticket,
            bytes: 0,
            uncredited: 0,
            ended: false,
        }
    }

    /// Waits for the next part. `End` is returned only if its byte count equals the bytes received;
    /// after `End`, `Failed` or an error there are no more parts.
    pub async fn next(&mut self) -> Result<ServePart, CallError> {
        if self.ended {
            return Err(CallError::Unknown);
        }
        let Ok(part) = self.parts.recv().await else {
            self.ended = true;
            return Err(self.ticket.give_up());
        };
        match &part {
            ServePart::Head { .. } => (),
            ServePart::Chunk(bytes) => self.count(bytes.len()),
            ServePart::Failed(_) | ServePart::Detoured(_) => self.ended = true,
            ServePart::End { bytes } => {
                self.ended = true;
                if *bytes != self.bytes {
                    return Err(CallError::Unknown);
                }
            }
        }
        Ok(part)
    }

    fn count(&mut self, size: usize) {
        self.bytes += size as u64;
        self.uncredited += size as u32;
        if let Source::Link { link, number } = &self.source
            && self.uncredited >= WINDOW_BYTES / 2
        {
            link.grant(*number, self.uncredited);
            self.uncredited = 0;
        }
    }
}

impl Drop for ServeStream {
    fn drop(&mut self) {
        match &self.source {
            Source::Link { link, number } if !self.ended => link.cancel(*number, &self.ticket),
            Source::Link { .. } => (),
            Source::Local(abort) => abort.abort(),
        }
    }
}
