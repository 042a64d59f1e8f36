//! Faults of an answer; the request itself is carried out.

use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::RpcResponse;

/// What goes wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The connection is closed without an answer.
    Lost,
    /// The body is one byte shorter than its length.
    Cut,
    /// The body has no length and is not chunked.
    Unframed,
    /// The daemon lost its leader before the answer.
    Unknown,
}

impl Fault {
    /// Returns what is written for `answer`.
    pub fn bytes(self, answer: &RpcResponse) -> Vec<u8> {
        match self {
            Self::None => framed(answer, 0),
            Self::Lost => Vec::new(),
            Self::Cut => framed(answer, 1),
            Self::Unframed => unframed(answer),
            Self::Unknown => {
                let error = RpcError::new(ErrorCode::Unknown, "the leader was lost", "resend");
                framed(&RpcResponse::refused(&error), 0)
            }
        }
    }
}

fn framed(answer: &RpcResponse, missing: usize) -> Vec<u8> {
    let length = format!("content-length: {}\r\n", answer.body.len() + missing);
    written(answer, &length)
}

fn unframed(answer: &RpcResponse) -> Vec<u8> {
    written(answer, "")
}

fn written(answer: &RpcResponse, length: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {} Answer\r\ncontent-type: {}\r\n{length}connection: close\r\n\r\n",
        answer.status, answer.content_type
    );
    [head.as_bytes(), &answer.body].concat()
}
