//! Settings of the mesh.

use std::net::SocketAddr;
use std::time::Duration;

use dandelion_protocol::mesh::Hello;

use crate::mesh::auth::Secrets;

/// Settings of a mesh node.
#[derive(Debug, Clone)]
pub struct MeshConfig {
    /// Identity of this daemon as sent to peers. Its address is set to that of the bound socket if
    /// the port in `listen` is 0.
    pub hello: Hello,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Mesh port of daemons that are named by their IP numbers, at which they are dialled before
    /// their addresses are known. `None` dials only peers with known addresses.
    pub name_port: Option<u16>,
    /// Secrets shared by all daemons of the cell.
    pub secrets: Secrets,
    /// Time limits of connections to and from peers.
    pub timing: Timing,
}

/// Time limits of mesh connections.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time for connecting, the WebSocket upgrade and authentication together.
    pub handshake: Duration,
    /// Time without a message from the peer after which a heartbeat is sent while an answer is
    /// awaited. Heartbeats are rarer while messages keep coming or only one-way messages are sent;
    /// unused connections have none.
    pub heartbeat: Duration,
    /// Time without an answer to a heartbeat after which a fresh connection is dialled; it replaces
    /// the silent one if the handshake succeeds.
    pub silence: Duration,
    /// Time without an answer to a heartbeat after which a connection is closed in any case; must
    /// be more than four heartbeats. An accepted connection is closed after the same time without a
    /// message while work for the peer is running.
    pub dead: Duration,
    /// Time after which an unused connection is closed.
    pub idle: Duration,
    /// First delay between attempts to connect; it doubles up to `max_delay`.
    pub min_delay: Duration,
    /// Longest delay between attempts to connect.
    pub max_delay: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            handshake: Duration::from_secs(2),
            heartbeat: Duration::from_secs(1),
            silence: Duration::from_secs(2),
            dead: Duration::from_secs(10),
            idle: Duration::from_mins(1),
            min_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(2),
        }
    }
}
