//! The exchange of greetings and proofs that opens every mesh connection.

use dandelion_protocol::codec::decode;
use dandelion_protocol::codec::encode;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::Hello;
use dandelion_protocol::mesh::MESH_VERSION;
use futures::SinkExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_tungstenite::tungstenite::Message;

use crate::mesh::auth::Greeting;
use crate::mesh::auth::Proof;
use crate::mesh::auth::Transcript;
use crate::mesh::auth::Welcome;
use crate::mesh::config::MeshConfig;
use crate::mesh::counters::Counters;
use crate::mesh::counters::Family;
use crate::mesh::error::MeshError;
use crate::mesh::transport::Connection;
use crate::mesh::transport::Socket;
use crate::mesh::transport::next_payload;
use crate::mesh::transport::to_mesh_error;

/// Longest handshake message, in bytes.
const MAX_GREETING: usize = 4096;

/// A connection that is not authenticated yet.
pub struct Handshake<'a> {
    pub socket: Socket,
    pub config: &'a MeshConfig,
    pub counters: &'a Counters,
}

impl Handshake<'_> {
    /// Runs the dialling side; the peer must be `expected`.
    pub async fn initiate(mut self, expected: &DaemonId) -> Result<Connection, MeshError> {
        let secrets = &self.config.secrets;
        let greeting = Greeting::new(self.config.hello.clone())?;
        self.send(&greeting).await?;
        let welcome: Welcome = self.receive().await?;
        let peer = welcome.greeting.hello.clone();
        self.check_hello(&peer)?;
        let transcript = Transcript::new(&greeting, &welcome.greeting)?;
        let proof = transcript.dial_proof(secrets, &welcome.proofs)?;
        if peer.daemon != *expected {
            return Err(MeshError::WrongPeer {
                expected: expected.clone(),
                got: peer.daemon,
            });
        }
        self.send(&Proof { proof }).await?;
        Ok(Connection::new(self.socket, peer))
    }

    /// Runs the accepting side.
    pub async fn respond(mut self) -> Result<Connection, MeshError> {
        let secrets = &self.config.secrets;
        let peer_greeting: Greeting = self.receive().await?;
        self.check_hello(&peer_greeting.hello)?;
        let greeting = Greeting::new(self.config.hello.clone())?;
        let transcript = Transcript::new(&peer_greeting, &greeting)?;
        let proofs = transcript.accept_proofs(secrets);
        self.send(&Welcome { greeting, proofs }).await?;
        let answer: Proof = self.receive().await?;
        transcript.verify_dial(secrets, &answer.proof)?;
        Ok(Connection::new(self.socket, peer_greeting.hello))
    }

    fn check_hello(&self, hello: &Hello) -> Result<(), MeshError> {
        if hello.version != MESH_VERSION {
            return Err(MeshError::WrongVersion(hello.version));
        }
        if hello.cell != self.config.hello.cell {
            return Err(MeshError::WrongCell(hello.cell));
        }
        Ok(())
    }

    async fn send<T>(&mut self, value: &T) -> Result<(), MeshError>
    where
        T: Serialize,
    {
        let bytes = encode(value)?;
        self.counters.count_sent(Family::Link, bytes.len());
        let sent = self.socket.send(Message::binary(bytes)).await;
        sent.map_err(to_mesh_error)
    }

    async fn receive<T>(&mut self) -> Result<T, MeshError>
    where
        T: DeserializeOwned,
    {
        let bytes = next_payload(&mut self.socket).await?;
        if bytes.len() > MAX_GREETING {
            return Err(MeshError::Protocol("greeting is too long".to_owned()));
        }
        self.counters.count_received(Family::Link, bytes.len());
        Ok(decode(&bytes)?)
    }
}
