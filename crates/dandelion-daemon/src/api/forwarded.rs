//! Requests of trainers and operators that another daemon forwarded.

use dandelion_protocol::mesh::ReplyBody;
use dandelion_rpc::dispatch;

use crate::core::Handle;
use crate::operator::OperatorServer;
use crate::rollouts;

/// Answers a request that another daemon has authorized and forwarded.
pub async fn forwarded(core: &Handle, path: &str, content_type: &str, body: Vec<u8>) -> ReplyBody {
    if !dispatch::is_procedure(path) {
        return rollouts::forwarded(core, path, body).await;
    }
    let server = OperatorServer::new(core.clone());
    let answer = dispatch::dispatch(&server, path, content_type, &body).await;
    ReplyBody::Forwarded {
        status: answer.status,
        content_type: answer.content_type.to_owned(),
        body: answer.body,
    }
}
