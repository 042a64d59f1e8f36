//! Settings of the mesh.

use std::net::SocketAddr;
use std::time::Duration;

use dandelion_protocol::mesh::Hello;

use crate::mesh::auth::Secrets;

/// Settings of a mesh node.
#[derive(Debug, Clone)]
pub struct MeshConfig {
    /// Who this daemon is. Its address is filled in from the bound socket if the port is 0.
    pub hello: Hello,
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Port of daemons that are named by their IP numbers: such a daemon is reached there without
    /// its address being told.
    pub name_port: Option<u16>,
    /// Secrets shared by all daemons of the cell.
    pub secrets: Secrets,
    /// Time limits.
    pub timing: Timing,
}

/// Time limits of mesh connections.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time for connecting, upgrading and authenticating.
    pub handshake: Duration,
    /// Quiet time after which a heartbeat is sent while an answer is awaited. While answers come or
    /// only one-way messages are sent, heartbeats are rarer; unused connections have none.
    pub heartbeat: Duration,
    /// Time without an answer to a heartbeat after which a fresh connection is tried; it replaces
    /// the silent one if it works.
    pub silence: Duration,
    /// Time without an answer to a heartbeat after which a connection is given up in any case; must
    /// be more than four heartbeats. The peer gives up its side as well after this time if it
    /// works on something for us.
    pub dead: Duration,
    /// Time after which a connection with nothing to do is closed.
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
