//! An answer under way: head, then body pieces, verified to its end.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_std::net::TcpStream;
use dandelion_protocol::mesh::Header;
use futures::AsyncReadExt;
use http_types::Body;
use http_types::Response;

use crate::http::client::error::Cause;
use crate::http::client::error::SendError;
use crate::http::client::send::Client;
use crate::http::client::send::late;
use crate::http::framing::Meter;
use crate::http::head::Framing;
use crate::http::head::ResponseHead;
use crate::http::wire::MessageReader;
use crate::http::wire::Track;
use crate::http::wire::Wire;
use crate::lock::lock;
use crate::step_timer::Progress;

/// Most body bytes handed out at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// Where an exchange's connection came from and may go back to.
#[derive(Debug)]
pub(super) struct Origin {
    pub client: Client,
    pub address: SocketAddr,
}

/// How far the body has got.
enum State {
    Streaming(Body),
    Whole,
    Failed(SendError),
}

/// An answer whose head has come. Dropping it before its end closes the connection.
pub struct Exchange {
    status: u16,
    headers: Vec<Header>,
    state: State,
    track: Arc<Mutex<Track>>,
    stream: TcpStream,
    origin: Origin,
    progress: Progress,
    close: bool,
    bytes: u64,
    buffer: Vec<u8>,
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("status", &self.status)
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

impl Exchange {
    pub(super) async fn open(
        wire: Wire,
        head: Vec<u8>,
        checked: ResponseHead,
        origin: Origin,
        mut progress: Progress,
    ) -> Result<Self, Cause> {
        let stream = wire.stream.clone();
        let (reader, track) = MessageReader::new(wire, head, Meter::new(checked.framing));
        let decoded = progress.step(async_h1::client::decode(reader)).await;
        let mut response = decoded
            .map_err(late)?
            .map_err(|error| Cause::Body(error.to_string()))?;
        let mut exchange = Self {
            status: response.status().into(),
            headers: headers(&response),
            state: State::Streaming(response.take_body()),
            track,
            stream,
            origin,
            progress,
            close: checked.close,
            bytes: 0,
            buffer: Vec::new(),
        };
        if checked.framing == Framing::Empty {
            exchange.finish();
        }
        Ok(exchange)
    }

    /// Returns the status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the headers, names in lower case.
    pub fn headers(&self) -> &[Header] {
        &self.headers
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.name == name);
        found.map(|h| h.value.as_str())
    }

    /// Returns the body bytes handed out so far.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the next body bytes, or `None` when the answer is whole; after a failure, the failure
    /// again. A dropped call loses nothing.
    pub async fn chunk(&mut self) -> Result<Option<Vec<u8>>, SendError> {
        let body = match &mut self.state {
            State::Streaming(body) => body,
            State::Whole => return Ok(None),
            State::Failed(error) => return Err(error.clone()),
        };
        self.buffer.resize(PIECE_BYTES, 0);
        let read = self.progress.step(body.read(&mut self.buffer)).await;
        let cause = match read {
            Ok(Ok(0)) if self.is_counted_out() => {
                self.finish();
                return Ok(None);
            }
            Ok(Ok(0)) => Cause::Closed(format!("body cut short after {} bytes", self.bytes)),
            Ok(Ok(count)) => {
                self.bytes += count as u64;
                return Ok(Some(self.buffer[..count].to_vec()));
            }
            Ok(Err(error)) => broken(&error),
            Err(passed) => self.passed(late(passed)).await,
        };
        Err(self.fail(cause))
    }

    /// Reads the rest of the body, at most `limit` bytes.
    pub async fn read_all(&mut self, limit: usize) -> Result<Vec<u8>, SendError> {
        let mut all = Vec::new();
        while let Some(piece) = self.chunk().await? {
            if all.len() + piece.len() > limit {
                return Err(self.fail(Cause::Body(format!("longer than {limit} bytes"))));
            }
            all.extend_from_slice(&piece);
        }
        Ok(all)
    }

    /// Tells whether our own count agrees that the body is at its end.
    fn is_counted_out(&self) -> bool {
        lock(&self.track).meter.is_done()
    }

    /// Ends the answer as whole and gives a clean connection back; one with surplus bytes is
    /// dropped.
    fn finish(&mut self) {
        let clean = lock(&self.track).unread.is_empty();
        if clean && !self.close {
            let stream = self.stream.clone();
            self.origin.client.keep(self.origin.address, stream);
        }
        self.state = State::Whole;
    }

    fn fail(&mut self, cause: Cause) -> SendError {
        let error = SendError::Unknown(cause);
        self.state = State::Failed(error.clone());
        error
    }

    /// Looks whether a fresh connection works after this one went quiet.
    async fn passed(&mut self, cause: Cause) -> Cause {
        match cause {
            Cause::Silent { .. } => Cause::Silent {
                alive: self.origin.client.replace(self.origin.address).await,
            },
            other => other,
        }
    }
}

fn headers(response: &Response) -> Vec<Header> {
    let pairs = response.iter().flat_map(|(name, values)| {
        values.iter().map(move |value| Header {
            name: name.as_str().to_owned(),
            value: value.as_str().to_owned(),
        })
    });
    pairs.collect()
}

fn broken(error: &io::Error) -> Cause {
    match error.kind() {
        io::ErrorKind::InvalidData => Cause::Body(error.to_string()),
        _ => Cause::Closed(error.to_string()),
    }
}
