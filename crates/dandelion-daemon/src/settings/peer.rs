//! Daemons named in the settings.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use dandelion_protocol::ids::DaemonId;

/// A daemon with its mesh address, written `name@ip:port`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the daemon.
    pub id: DaemonId,
    /// Address on which it accepts mesh connections.
    pub address: SocketAddr,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.address)
    }
}

impl FromStr for Peer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let Some((name, address)) = text.split_once('@') else {
            return Err("the `@` between name and address is missing".to_owned());
        };
        Ok(Self {
            id: name.parse().map_err(|e| format!("{e}"))?,
            address: address.parse().map_err(|e| format!("`{address}`: {e}"))?,
        })
    }
}
