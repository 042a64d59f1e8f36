//! An answer in progress: the head, then body pieces, verified up to the end.

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

use crate::http::buffer::BodyBuffer;
use crate::http::buffer::BufferError;
use crate::http::client::error::Cause;
use crate::http::client::error::SendError;
use crate::http::client::pool::Carried;
use crate::http::client::pool::Channel;
use crate::http::client::send::Client;
use crate::http::client::send::timeout_cause;
use crate::http::framing::FramingParser;
use crate::http::head::Framing;
use crate::http::head::ResponseHead;
use crate::http::wire::BufferedConnection;
use crate::http::wire::MessageReader;
use crate::http::wire::ReaderState;
use crate::lock::lock;
use crate::step_timer::StepTimer;

/// Most body bytes returned at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// The pool that an exchange's connection came from and is returned to, and its address there.
#[derive(Debug)]
pub(super) struct Origin {
    pub client: Client,
    pub address: SocketAddr,
    /// Process at the other end, if known.
    pub peer: Option<u64>,
    /// Requests that were sent on the connection, this one included.
    pub carried: Carried,
    /// Whether the connection is returned to the pool after the answer.
    pub pooled: bool,
    /// Whether a probe may follow if the connection goes silent.
    pub probe: bool,
}

/// Progress of reading the body.
enum State {
    Streaming(Body),
    Complete,
    Failed(SendError),
}

/// An answer whose head was received. Dropping it before its end closes the connection.
pub struct Exchange {
    status: u16,
    headers: Vec<Header>,
    state: State,
    reader_state: Arc<Mutex<ReaderState>>,
    stream: TcpStream,
    origin: Origin,
    timer: StepTimer,
    close: bool,
    bytes: u64,
    /// Length of the body, if the head announced it.
    announced: Option<u64>,
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
        conn: BufferedConnection,
        head: Vec<u8>,
        checked: ResponseHead,
        origin: Origin,
        mut timer: StepTimer,
    ) -> Result<Self, Cause> {
        let stream = conn.stream.clone();
        let (reader, reader_state) =
            MessageReader::new(conn, head, FramingParser::new(checked.framing));
        let decoded = timer.step(async_h1::client::decode(reader)).await;
        let mut response = decoded
            .map_err(timeout_cause)?
            .map_err(|error| Cause::Body(error.to_string()))?;
        let mut exchange = Self {
            status: response.status().into(),
            headers: headers(&response),
            state: State::Streaming(response.take_body()),
            reader_state,
            stream,
            origin,
            timer,
            close: checked.close,
            bytes: 0,
            announced: match checked.framing {
                Framing::Counted(length) => Some(length),
                Framing::Empty | Framing::Chunked => None,
            },
            buffer: Vec::new(),
        };
        if checked.framing == Framing::Empty {
            exchange.finish();
        }
        Ok(exchange)
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the headers, with their names in lower case.
    pub fn headers(&self) -> &[Header] {
        &self.headers
    }

    /// Returns the first value of a header, given by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.name == name);
        found.map(|h| h.value.as_str())
    }

    /// Returns the number of body bytes returned so far.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the next body bytes, or `None` when the answer is complete. After a failure it
    /// returns the same error again. Dropping the future loses no bytes.
    pub async fn chunk(&mut self) -> Result<Option<Vec<u8>>, SendError> {
        let body = match &mut self.state {
            State::Streaming(body) => body,
            State::Complete => return Ok(None),
            State::Failed(error) => return Err(error.clone()),
        };
        self.buffer.resize(PIECE_BYTES, 0);
        let read = self.timer.step(body.read(&mut self.buffer)).await;
        let cause = match read {
            Ok(Ok(0)) if self.is_body_complete() => {
                self.finish();
                return Ok(None);
            }
            Ok(Ok(0)) => Cause::Closed(format!("body cut short after {} bytes", self.bytes)),
            Ok(Ok(count)) => {
                self.bytes += count as u64;
                return Ok(Some(self.buffer[..count].to_vec()));
            }
            Ok(Err(error)) => body_cause(&error),
            Err(elapsed) => self.probe_silent(timeout_cause(elapsed)).await,
        };
        Err(self.fail(cause))
    }

    /// Reads the rest of the body, at most `limit` bytes.
    pub async fn read_all(&mut self, limit: usize) -> Result<Vec<u8>, SendError> {
        let mut buffer = BodyBuffer::new(limit);
        self.read_into(&mut buffer).await?;
        Ok(buffer.take())
    }

    /// Reads the rest of the body into a buffer.
    pub async fn read_into(&mut self, buffer: &mut BodyBuffer) -> Result<(), SendError> {
        let limit = buffer.limit();
        if self.announced.is_some_and(|length| length > limit as u64) {
            let error = BufferError::TooLong(limit);
            return Err(self.fail(Cause::Body(error.to_string())));
        }
        while let Some(piece) = self.chunk().await? {
            if let Err(error) = buffer.push(&piece) {
                return Err(self.fail(Cause::Body(error.to_string())));
            }
        }
        Ok(())
    }

    /// Returns whether the framing parser agrees with the decoder that the body has ended.
    fn is_body_complete(&self) -> bool {
        lock(&self.reader_state).parser.is_done()
    }

    /// Marks the answer as complete and returns its connection to the pool, unless it has surplus
    /// bytes or the upstream closes it.
    fn finish(&mut self) {
        if self.is_clean() && self.origin.pooled {
            let channel = Channel {
                stream: self.stream.clone(),
                peer: self.origin.peer,
                carried: std::mem::take(&mut self.origin.carried),
            };
            self.origin.client.release(self.origin.address, channel);
        }
        self.state = State::Complete;
    }

    /// Returns whether the connection can carry another request once the answer is complete: there
    /// are no surplus bytes, and the upstream doesn't close it.
    pub(super) fn is_clean(&self) -> bool {
        !self.close && lock(&self.reader_state).buffered.is_empty()
    }

    fn fail(&mut self, cause: Cause) -> SendError {
        let error = SendError::Unknown(cause);
        self.state = State::Failed(error.clone());
        error
    }

    /// Probes a fresh connection if this one went silent.
    async fn probe_silent(&mut self, cause: Cause) -> Cause {
        match cause {
            Cause::Silent { .. } if self.origin.probe => Cause::Silent {
                alive: self
                    .origin
                    .client
                    .probe_and_purge(self.origin.address)
                    .await,
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

fn body_cause(error: &io::Error) -> Cause {
    match error.kind() {
        io::ErrorKind::InvalidData => Cause::Body(error.to_string()),
        _ => Cause::Closed(error.to_string()),
    }
}
