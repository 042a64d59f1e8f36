//! Operator requests to a test cell.

use std::net::SocketAddr;
use std::time::Duration;

use dandelion_rpc::ClientError;
use dandelion_rpc::OperatorClient;
use dandelion_rpc::generated as rpc;
use dandelion_rpc::secret::Secret;
use dandelionctl::transport::HttpTransport;
use rand::Rng;

use crate::cluster::daemons::TOKEN;

/// Most resends of one request after lost answers.
const RESENDS: u32 = 10;

/// An operator of a test cell.
#[derive(Debug, Clone)]
pub struct CellOperator {
    transport: HttpTransport,
}

impl CellOperator {
    /// Creates an operator that tries the daemons in order.
    pub fn new(daemons: &[SocketAddr]) -> Self {
        Self {
            transport: HttpTransport {
                daemons: daemons.to_vec(),
                token: Some(Secret::from(TOKEN.to_owned())),
                timeout: Duration::from_secs(8),
                resends: RESENDS,
            },
        }
    }

    /// Returns a client for all operator procedures.
    pub fn client(&self) -> OperatorClient<HttpTransport> {
        OperatorClient::new(self.transport.clone())
    }

    /// Returns the header of a new change, with a random request id and no expected revision.
    pub fn change(&self) -> Option<rpc::Change> {
        Some(rpc::Change {
            request_id: format!("{:032x}", rand::rng().random::<u128>()),
            operator: "load".to_owned(),
            expected_revision: None,
        })
    }

    /// Creates a team of weight 1 without limits.
    pub async fn put_team(&self, id: &str) -> Result<rpc::ChangeAnswer, ClientError> {
        let team = rpc::Team {
            id: id.to_owned(),
            weight: 1,
            max_inflight: None,
            token_rate: None,
        };
        let request = rpc::PutTeamRequest {
            change: self.change(),
            team: Some(team),
        };
        self.client().put_team(&request).await
    }

    /// Grants a key that doesn't expire and returns its secret.
    pub async fn grant_key(&self, id: &str, team: &str) -> Result<String, ClientError> {
        let key = rpc::Key {
            id: id.to_owned(),
            team: team.to_owned(),
            scopes: Vec::new(),
            expires_ms: None,
        };
        let request = rpc::GrantKeyRequest {
            change: self.change(),
            key: Some(key),
            secret_digest: String::new(),
        };
        Ok(self.client().grant_key(&request).await?.secret)
    }

    /// Creates a service with a timeout of 30 seconds, for which no upstreams are ordered.
    pub async fn put_service(
        &self,
        id: &str,
        kind: &str,
        open: bool,
        idempotent: bool,
    ) -> Result<rpc::ChangeAnswer, ClientError> {
        let service = rpc::Service {
            id: id.to_owned(),
            kind: kind.to_owned(),
            open,
            idempotent,
            timeout_ms: 30_000,
            floor: 0,
            ceiling: 0,
        };
        let request = rpc::PutServiceRequest {
            change: self.change(),
            service: Some(service),
        };
        self.client().put_service(&request).await
    }

    /// Creates a rollout job.
    pub async fn put_job(&self, job: rpc::Job) -> Result<rpc::ChangeAnswer, ClientError> {
        let request = rpc::PutJobRequest {
            change: self.change(),
            job: Some(job),
        };
        self.client().put_job(&request).await
    }
}
