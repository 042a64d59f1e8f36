//! Grants a key and shows its secret once.

use clap::Args;
use dandelion_rpc::generated::GrantKeyRequest;
use dandelion_rpc::generated::Key;
use dandelion_rpc::secret;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;
use crate::session::random_bytes;

/// Grants a key and shows its secret once.
#[derive(Debug, Args)]
pub struct Grant {
    /// Name of the key
    pub key: String,
    /// Team that the key belongs to
    #[arg(long)]
    pub team: String,
    /// Service that the key gives access to; all services if absent
    #[arg(long = "service")]
    pub services: Vec<String>,
    /// Time at which the key expires, in milliseconds since the Unix epoch; never if absent
    #[arg(long)]
    pub expires_ms: Option<u64>,
    /// SHA-256 digest of your own secret, as hexadecimal digits; if absent, a secret is generated
    #[arg(long)]
    pub digest: Option<String>,
}

impl Run for Grant {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let new_secret = match self.digest {
            Some(_) => None,
            None => Some(secret::format_secret(&random_bytes()?)),
        };
        let digest = self.digest.clone().or_else(|| {
            let digest = secret::digest_secret(new_secret.as_deref()?);
            Some(hex::encode(digest))
        });
        let request = self.request(session, digest.unwrap_or_default())?;
        let mut answer = session.client().grant_key(&request).await?;
        let change = session
            .wait_applied(answer.change.unwrap_or_default())
            .await;
        let Some(new_secret) = new_secret else {
            return Ok(session.show(&change));
        };
        answer.change = Some(change);
        answer.secret = new_secret;
        Ok(session.show(&answer))
    }
}

impl Grant {
    fn request(&self, session: &Session, digest: String) -> Result<GrantKeyRequest, CtlError> {
        Ok(GrantKeyRequest {
            change: session.change()?,
            key: Some(Key {
                id: self.key.clone(),
                team: self.team.clone(),
                scopes: self.services.clone(),
                expires_ms: self.expires_ms,
            }),
            secret_digest: digest,
        })
    }
}
