//! Mutual authentication by HMAC-SHA256 over both greetings under a shared secret.

use std::fmt;

use dandelion_protocol::codec::encode;
use dandelion_protocol::mesh::Hello;
use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;
use sha2::Sha256;
use zeroize::Zeroizing;

use crate::mesh::error::MeshError;

/// Shortest accepted secret, in bytes.
const MIN_SECRET: usize = 32;
/// Size of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

/// A secret shared by the daemons of a cell.
#[derive(Clone)]
pub struct Secret(Zeroizing<Vec<u8>>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Makes a secret from at least 32 bytes; fewer are refused.
    pub fn new(bytes: &[u8]) -> Result<Self, MeshError> {
        if bytes.len() < MIN_SECRET {
            return Err(MeshError::WeakSecret(bytes.len()));
        }
        Ok(Self(Zeroizing::new(bytes.to_vec())))
    }
}

/// The secret in use and, during a rotation, another one that is valid as well.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// The secret in use; preferred over `other` with a peer that knows both.
    pub current: Secret,
    /// Also valid: the next secret before a change, the previous one after it. `None` outside of a
    /// rotation.
    pub other: Option<Secret>,
}

impl Secrets {
    fn iter(&self) -> impl Iterator<Item = &Secret> {
        std::iter::once(&self.current).chain(&self.other)
    }
}

/// First handshake message of each side: its identity and a fresh nonce.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    pub hello: Hello,
    pub nonce: ByteBuf,
}

impl Greeting {
    pub fn new(hello: Hello) -> Result<Self, MeshError> {
        let mut nonce = vec![0; NONCE_BYTES];
        getrandom::fill(&mut nonce).map_err(|error| MeshError::Random(error.to_string()))?;
        Ok(Self {
            hello,
            nonce: ByteBuf::from(nonce),
        })
    }
}

/// The accepting side's reply: its greeting, with a proof under each secret that it accepts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    pub greeting: Greeting,
    pub proofs: Vec<ByteBuf>,
}

/// The dialling side's proof under a secret that both sides know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    pub proof: ByteBuf,
}

/// The side that makes a proof. It is part of the MAC, so that a proof can't be reflected.
#[derive(Debug, Clone, Copy)]
enum Side {
    Dial,
    Accept,
}

/// Both greetings of one handshake, encoded; every proof is a MAC over them.
#[derive(Debug)]
pub struct Transcript(Vec<u8>);

impl Transcript {
    pub fn new(dialer: &Greeting, accepter: &Greeting) -> Result<Self, MeshError> {
        Ok(Self(encode(&[dialer, accepter])?))
    }

    /// Returns the proofs of the accepting side, one for each secret.
    pub fn accept_proofs(&self, secrets: &Secrets) -> Vec<ByteBuf> {
        let prove = |secret| self.prove(secret, Side::Accept);
        secrets.iter().map(prove).collect()
    }

    /// Finds a secret under which the accepting side has a valid proof, and returns the proof of
    /// the dialling side under it.
    pub fn dial_proof(&self, secrets: &Secrets, proofs: &[ByteBuf]) -> Result<ByteBuf, MeshError> {
        let known = secrets
            .iter()
            .find(|secret| proofs.iter().any(|p| self.verify(secret, Side::Accept, p)));
        let secret = known.ok_or(MeshError::Unauthenticated)?;
        Ok(self.prove(secret, Side::Dial))
    }

    /// Verifies the proof of the dialling side under any of the secrets.
    pub fn verify_dial(&self, secrets: &Secrets, proof: &ByteBuf) -> Result<(), MeshError> {
        let known = secrets.iter().any(|s| self.verify(s, Side::Dial, proof));
        known.then_some(()).ok_or(MeshError::Unauthenticated)
    }

    fn prove(&self, secret: &Secret, side: Side) -> ByteBuf {
        ByteBuf::from(self.mac(secret, side).finalize().into_bytes().to_vec())
    }

    fn verify(&self, secret: &Secret, side: Side, proof: &ByteBuf) -> bool {
        self.mac(secret, side).verify_slice(proof).is_ok()
    }

    fn mac(&self, secret: &Secret, side: Side) -> Hmac<Sha256> {
        let label: &[u8] = match side {
            Side::Dial => b"dandelion mesh dial",
            Side::Accept => b"dandelion mesh accept",
        };
        let mac = Hmac::<Sha256>::new_from_slice(&secret.0);
        let mut mac = mac.expect("HMAC accepts keys of any length");
        mac.update(label);
        mac.update(&self.0);
        mac
    }
}
