//! Faults of an answer; the request itself is executed.

use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::RpcResponse;

/// Fault of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The answer is sent unchanged.
    None,
    /// The connection is closed without an answer.
    Lost,
    /// The body is one byte shorter than its Content-Length.
    Truncated,
    /// The body has neither Content-Length nor chunked encoding.
    Unframed,
    /// The answer is an error: the control leader was lost and the outcome is unknown.
    Unknown,
}

impl Fault {
    /// Returns the bytes that are written to the connection for `answer`.
    pub fn bytes(self, answer: &RpcResponse) -> Vec<u8> {
        match self {
            Self::None => framed(answer, 0),
            Self::Lost => Vec::new(),
            Self::Truncated => framed(answer, 1),
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
    encode(answer, &length)
}

fn unframed(answer: &RpcResponse) -> Vec<u8> {
    encode(answer, "")
}

fn encode(answer: &RpcResponse, length: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {} Answer\r\ncontent-type: {}\r\n{length}connection: close\r\n\r\n",
        answer.status, answer.content_type
    );
    [head.as_bytes(), &answer.body].concat()
}
