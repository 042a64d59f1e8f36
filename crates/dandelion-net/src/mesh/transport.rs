//! One authenticated WebSocket connection.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::TcpStream;
use dandelion_protocol::codec::decode;
use dandelion_protocol::codec::encode;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::Hello;
use dandelion_protocol::mesh::MESH_VERSION;
use dandelion_protocol::mesh::MeshMessage;
use futures::SinkExt;
use futures::StreamExt;
use futures::stream::SplitSink;
use futures::stream::SplitStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::Error as SocketError;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::mesh::auth::Greeting;
use crate::mesh::auth::Proof;
use crate::mesh::auth::Transcript;
use crate::mesh::auth::Welcome;
use crate::mesh::config::MeshConfig;
use crate::mesh::counters::Counters;
use crate::mesh::counters::Family;
use crate::mesh::error::MeshError;
use crate::socket;

/// Longest message, in bytes.
const MAX_MESSAGE: usize = 16 * 1024 * 1024;
/// Longest handshake message, in bytes.
const MAX_GREETING: usize = 4096;
/// Bytes gathered before they are written to the socket.
const WRITE_BUFFER: usize = 32 * 1024;

type Socket = WebSocketStream<Compat<TcpStream>>;

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

/// Connects to `expected` at `address`.
pub async fn dial(
    address: SocketAddr,
    expected: &DaemonId,
    config: &MeshConfig,
) -> Result<Connection, MeshError> {
    let opened = async_std::future::timeout(config.timing.handshake, async {
        let stream = TcpStream::connect(address).await?;
        socket::tune(&stream)?;
        let url = format!("ws://{address}/mesh");
        let (socket, _response) = client_async_with_config(url, stream.compat(), Some(limits()))
            .await
            .map_err(from_socket)?;
        greet(socket, expected, config).await
    });
    opened.await.map_err(|_late| MeshError::Timeout)?
}

/// Authenticates a connection that came in.
pub async fn accept(stream: TcpStream, config: &MeshConfig) -> Result<Connection, MeshError> {
    let opened = async_std::future::timeout(config.timing.handshake, async {
        socket::tune(&stream)?;
        let socket = accept_async_with_config(stream.compat(), Some(limits()))
            .await
            .map_err(from_socket)?;
        welcome(socket, config).await
    });
    opened.await.map_err(|_late| MeshError::Timeout)?
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
        .write_buffer_size(WRITE_BUFFER)
}

async fn greet(
    mut socket: Socket,
    expected: &DaemonId,
    config: &MeshConfig,
) -> Result<Connection, MeshError> {
    let greeting = Greeting::new(config.hello.clone())?;
    send_value(&mut socket, &greeting).await?;
    let welcome: Welcome = receive_value(&mut socket).await?;
    let peer = &welcome.greeting.hello;
    check_hello(peer, config)?;
    let transcript = Transcript::new(&greeting, &welcome.greeting)?;
    let proof = transcript.answer(&config.secrets, &welcome.proofs)?;
    if peer.daemon != *expected {
        return Err(MeshError::WrongPeer {
            expected: expected.clone(),
            got: peer.daemon.clone(),
        });
    }
    send_value(&mut socket, &Proof { proof }).await?;
    Ok(Connection::new(socket, welcome.greeting.hello))
}

async fn welcome(mut socket: Socket, config: &MeshConfig) -> Result<Connection, MeshError> {
    let theirs: Greeting = receive_value(&mut socket).await?;
    check_hello(&theirs.hello, config)?;
    let greeting = Greeting::new(config.hello.clone())?;
    let transcript = Transcript::new(&theirs, &greeting)?;
    let proofs = transcript.welcome(&config.secrets);
    send_value(&mut socket, &Welcome { greeting, proofs }).await?;
    let answer: Proof = receive_value(&mut socket).await?;
    transcript.check(&config.secrets, &answer.proof)?;
    Ok(Connection::new(socket, theirs.hello))
}

fn check_hello(hello: &Hello, config: &MeshConfig) -> Result<(), MeshError> {
    if hello.version != MESH_VERSION {
        return Err(MeshError::WrongVersion(hello.version));
    }
    if hello.cell != config.hello.cell {
        return Err(MeshError::WrongCell(hello.cell));
    }
    Ok(())
}

async fn send_value<T>(socket: &mut Socket, value: &T) -> Result<(), MeshError>
where
    T: Serialize,
{
    let message = Message::binary(encode(value)?);
    socket.send(message).await.map_err(from_socket)
}

async fn receive_value<T>(socket: &mut Socket) -> Result<T, MeshError>
where
    T: DeserializeOwned,
{
    let bytes = next_payload(socket).await?;
    if bytes.len() > MAX_GREETING {
        return Err(MeshError::Protocol("greeting is too long".to_owned()));
    }
    Ok(decode(&bytes)?)
}

async fn next_payload<S>(source: &mut S) -> Result<tokio_util::bytes::Bytes, MeshError>
where
    S: futures::Stream<Item = Result<Message, SocketError>> + Unpin,
{
    loop {
        match source.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(bytes),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => (),
            Some(Ok(Message::Close(_))) | None => return Err(MeshError::Closed),
            Some(Ok(_)) => return Err(MeshError::Protocol("not a binary message".to_owned())),
            Some(Err(error)) => return Err(from_socket(error)),
        }
    }
}

fn from_socket(error: SocketError) -> MeshError {
    match error {
        SocketError::Io(error) => MeshError::Io(error),
        SocketError::ConnectionClosed | SocketError::AlreadyClosed => MeshError::Closed,
        other => MeshError::Protocol(other.to_string()),
    }
}

impl Connection {
    fn new(socket: Socket, peer: Hello) -> Self {
        let (sink, source) = socket.split();
        Self { sink, source, peer }
    }
}

/// The writing half, which counts what it sends.
#[derive(Debug)]
pub struct Outlet {
    pub sink: SplitSink<Socket, Message>,
    pub counters: Arc<Counters>,
}

impl Outlet {
    /// Queues a message in the socket's buffer.
    pub async fn feed(&mut self, message: &MeshMessage) -> Result<(), MeshError> {
        let bytes = encode(message)?;
        self.counters.count_sent(Family::of(message), bytes.len());
        let fed = self.sink.feed(Message::binary(bytes)).await;
        fed.map_err(from_socket)
    }

    /// Writes everything that is queued.
    pub async fn flush(&mut self) -> Result<(), MeshError> {
        self.sink.flush().await.map_err(from_socket)
    }

    /// Says goodbye.
    pub async fn close(&mut self) {
        if let Err(error) = self.sink.close().await {
            log::debug!("mesh connection was already gone: {error}");
        }
    }
}

/// The reading half, which counts what it receives.
#[derive(Debug)]
pub struct Inlet {
    pub source: SplitStream<Socket>,
    pub counters: Arc<Counters>,
}

impl Inlet {
    /// Reads the next message.
    pub async fn next(&mut self) -> Result<MeshMessage, MeshError> {
        let bytes = next_payload(&mut self.source).await?;
        let message = decode_message(&bytes)?;
        self.counters
            .count_received(Family::of(&message), bytes.len());
        Ok(message)
    }
}
