//! One authenticated WebSocket connection.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::TcpStream;
use dandelion_protocol::codec::decode;
use dandelion_protocol::codec::encode;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::Hello;
use dandelion_protocol::mesh::MAX_MESSAGE_BYTES;
use dandelion_protocol::mesh::MAX_REPLICATION_BYTES;
use dandelion_protocol::mesh::MeshMessage;
use futures::SinkExt;
use futures::StreamExt;
use futures::stream::SplitSink;
use futures::stream::SplitStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::Error as SocketError;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::protocol::frame::Frame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::Data;
use tokio_tungstenite::tungstenite::protocol::frame::coding::OpCode;
use tokio_util::bytes::Bytes;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::mesh::config::MeshConfig;
use crate::mesh::counters::Counters;
use crate::mesh::counters::Family;
use crate::mesh::error::MeshError;
use crate::mesh::handshake::Handshake;
use crate::socket;

/// Bytes read from the socket at a time.
const READ_BUFFER: usize = 16 * 1024;
/// Bytes buffered before they are written to the socket.
const WRITE_BUFFER: usize = 32 * 1024;
/// Most bytes of a message in one WebSocket frame. The buffers of a connection grow to its largest
/// frame on both ends and never shrink: one image of 1 MB per connection stayed allocated for its
/// lifetime.
pub const FRAGMENT: usize = 16 * 1024;

/// A WebSocket over a TCP connection of `async-std`.
pub type Socket = WebSocketStream<Compat<TcpStream>>;

/// An authenticated connection.
#[derive(Debug)]
pub struct Connection {
    pub sink: SplitSink<Socket, Message>,
    pub source: SplitStream<Socket>,
    pub peer: Hello,
}

/// Decodes one mesh message.
pub fn decode_message(bytes: &[u8]) -> Result<MeshMessage, MeshError> {
    Ok(decode(bytes)?)
}

/// Connects to `address`, upgrades to a WebSocket and authenticates the peer as `expected`.
pub async fn dial(
    address: SocketAddr,
    expected: &DaemonId,
    config: &MeshConfig,
    counters: &Counters,
) -> Result<Connection, MeshError> {
    let opened = async_std::future::timeout(config.timing.handshake, async {
        let stream = TcpStream::connect(address).await?;
        socket::set_options(&stream)?;
        let url = format!("ws://{address}/mesh");
        let opened = client_async_with_config(url, stream.compat(), Some(limits())).await;
        let (socket, _response) = opened.map_err(to_mesh_error)?;
        let handshake = Handshake {
            socket,
            config,
            counters,
        };
        handshake.initiate(expected).await
    });
    opened.await.map_err(|_late| MeshError::Timeout)?
}

/// Upgrades an accepted connection to a WebSocket and authenticates its peer.
pub async fn accept(
    stream: TcpStream,
    config: &MeshConfig,
    counters: &Counters,
) -> Result<Connection, MeshError> {
    let opened = async_std::future::timeout(config.timing.handshake, async {
        socket::set_options(&stream)?;
        let opened = accept_async_with_config(stream.compat(), Some(limits())).await;
        let handshake = Handshake {
            socket: opened.map_err(to_mesh_error)?,
            config,
            counters,
        };
        handshake.respond().await
    });
    opened.await.map_err(|_late| MeshError::Timeout)?
}

/// Returns the limits and buffer sizes of a connection.
pub fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_REPLICATION_BYTES))
        .max_frame_size(Some(MAX_REPLICATION_BYTES))
        .read_buffer_size(READ_BUFFER)
        .write_buffer_size(WRITE_BUFFER)
}

/// Returns the most bytes that the encoded message may have.
fn longest(message: &MeshMessage) -> usize {
    match message {
        MeshMessage::Raft(_) | MeshMessage::StoreRaft(_) => MAX_REPLICATION_BYTES,
        _ => MAX_MESSAGE_BYTES,
    }
}

/// Splits an encoded message into WebSocket frames of at most [`FRAGMENT`] bytes, which the receiving
/// side of every release puts together again. A short message is one frame.
pub fn fragments(bytes: Bytes) -> impl Iterator<Item = Message> {
    let count = bytes.len().div_ceil(FRAGMENT).max(1);
    (0..count).map(move |number| {
        if count == 1 {
            return Message::Binary(bytes.clone());
        }
        let start = number * FRAGMENT;
        let end = bytes.len().min(start + FRAGMENT);
        let kind = if number == 0 {
            Data::Binary
        } else {
            Data::Continue
        };
        let is_last = number + 1 == count;
        let part = bytes.slice(start..end);
        Message::Frame(Frame::message(part, OpCode::Data(kind), is_last))
    })
}

/// Reads the next binary message, skipping WebSocket pings and pongs.
pub async fn next_payload<S>(source: &mut S) -> Result<Bytes, MeshError>
where
    S: futures::Stream<Item = Result<Message, SocketError>> + Unpin,
{
    loop {
        match source.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(bytes),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => (),
            Some(Ok(Message::Close(_))) | None => return Err(MeshError::Closed),
            Some(Ok(_)) => return Err(MeshError::Protocol("not a binary message".to_owned())),
            Some(Err(error)) => return Err(to_mesh_error(error)),
        }
    }
}

/// Converts an error of the WebSocket library.
pub fn to_mesh_error(error: SocketError) -> MeshError {
    match error {
        SocketError::Io(error) => MeshError::Io(error),
        SocketError::ConnectionClosed | SocketError::AlreadyClosed => MeshError::Closed,
        other => MeshError::Protocol(other.to_string()),
    }
}

impl Connection {
    /// Wraps an authenticated socket.
    pub fn new(socket: Socket, peer: Hello) -> Self {
        let (sink, source) = socket.split();
        Self { sink, source, peer }
    }
}

/// The write half, which counts what it sends.
#[derive(Debug)]
pub struct FrameWriter {
    pub sink: SplitSink<Socket, Message>,
    pub counters: Arc<Counters>,
}

impl FrameWriter {
    /// Encodes a message into the socket's write buffer.
    pub async fn feed(&mut self, message: &MeshMessage) -> Result<(), MeshError> {
        let bytes = encode(message)?;
        if bytes.len() > longest(message) {
            return Err(MeshError::TooLarge(bytes.len()));
        }
        self.counters.count_sent(Family::of(message), bytes.len());
        for frame in fragments(bytes.into()) {
            self.sink.feed(frame).await.map_err(to_mesh_error)?;
        }
        Ok(())
    }

    /// Writes everything that is buffered.
    pub async fn flush(&mut self) -> Result<(), MeshError> {
        self.sink.flush().await.map_err(to_mesh_error)
    }

    /// Sends a close frame.
    pub async fn close(&mut self) {
        if let Err(error) = self.sink.close().await {
            log::debug!("mesh connection was already closed: {error}");
        }
    }
}

/// The read half, which counts what it receives.
#[derive(Debug)]
pub struct FrameReader {
    pub source: SplitStream<Socket>,
    pub counters: Arc<Counters>,
}

impl FrameReader {
    /// Reads and decodes the next message.
    pub async fn next(&mut self) -> Result<MeshMessage, MeshError> {
        let bytes = next_payload(&mut self.source).await?;
        let message = decode_message(&bytes)?;
        self.counters
            .count_received(Family::of(&message), bytes.len());
        Ok(message)
    }
}
