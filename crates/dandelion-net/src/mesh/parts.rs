//! Both ends of an answer stream.

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

/// Largest body piece in one message, so that streams take turns.
const MAX_PIECE: usize = 64 * 1024;

/// The receiver of an answer stream is gone.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
#[error("the receiver of the answer is gone; stop producing it")]
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

/// Sends the parts of one answer, waiting while the receiver takes them more slowly.
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
                    self.pass(ServePart::Chunk(piece.to_vec())).await?;
                }
                Ok(())
            }
            other => self.pass(other).await,
        }
    }

    /// Returns the body bytes sent so far, as `End` has to state them.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Breaks the stream off if the handler left it without an end.
    pub(super) async fn conclude(&mut self) {
        if !self.ended {
            let refusal = Refusal::not_run(
                RefusalCode::UpstreamFailed,
                "the daemon broke the answer off",
                "ask again if the request may run twice",
            );
            let part = ServePart::Failed(refusal.with_ran(Ran::Unknown));
            // The receiver may be gone as well, which ends the stream too.
            let _gone = self.pass(part).await;
        }
    }

    async fn pass(&mut self, part: ServePart) -> Result<(), StreamGone> {
        let size = match &part {
            ServePart::Chunk(bytes) => bytes.len(),
            _ => 0,
        };
        self.bytes += size as u64;
        self.ended = matches!(part, ServePart::End { .. } | ServePart::Failed(_));
        match &self.target {
            Target::Link {
                queue,
                stream,
                credit,
            } => {
                if size > 0 {
                    credit.take(size).await;
                }
                let stream = *stream;
                let sent = queue.send(MeshMessage::Part { stream, part }).await;
                sent.map_err(|_closed| StreamGone)
            }
            Target::Local(queue) => queue.send(part).await.map_err(|_closed| StreamGone),
        }
    }
}

/// Where a stream comes from, and what ends it early.
#[derive(Debug)]
pub(super) enum Source {
    Link { link: Arc<Link>, number: u64 },
    Local(AbortHandle),
}

/// An answer on its way. Dropping it before its end cancels the request at the peer.
#[derive(Debug)]
pub struct ServeStream {
    source: Source,
    parts: Receiver<ServePart>,
    ticket: Arc<Ticket>,
    bytes: u64,
    owed: u32,
    ended: bool,
}

impl ServeStream {
    pub(super) fn new(source: Source, parts: Receiver<ServePart>, ticket: Arc<Ticket>) -> Self {
        Self {
            source,
            parts,
            ticket,
            bytes: 0,
            owed: 0,
            ended: false,
        }
    }

    /// Waits for the next part. `End` is only handed out if its byte count agrees with ours; after
    /// `End`, `Failed` or an error there is nothing more.
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
            ServePart::Failed(_) => self.ended = true,
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
        self.owed += size as u32;
        if let Source::Link { link, number } = &self.source
            && self.owed >= WINDOW_BYTES / 2
        {
            link.grant(*number, self.owed);
            self.owed = 0;
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
