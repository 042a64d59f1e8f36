//! Validation of the identity and author of a change.

use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;

use crate::error::RpcError;
use crate::generated::Change;

/// Longest operator name, in bytes.
pub const MAX_OPERATOR_BYTES: usize = 64;

/// Validated identity and author of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Author {
    /// Identity of the change, the same in every resend.
    pub request: RequestId,
    /// Name of the operator.
    pub operator: String,
    /// Revision that the operator read, if the change is only valid for that one.
    pub expected: Option<Revision>,
}

impl Author {
    /// Validates the part of a request that all changes have in common.
    pub fn check(change: Option<&Change>) -> Result<Self, RpcError> {
        let change = change.ok_or_else(|| RpcError::missing("change"))?;
        Ok(Self {
            request: parse_request_id(&change.request_id)?,
            operator: check_operator(&change.operator)?.to_owned(),
            expected: change.expected_revision.map(Revision),
        })
    }
}

/// Formats a request id as 32 hexadecimal digits.
pub fn format_request_id(id: RequestId) -> String {
    format!("{:032x}", id.0)
}

/// Parses a request id of 1 to 32 hexadecimal digits that are not all zero.
pub fn parse_request_id(text: &str) -> Result<RequestId, RpcError> {
    let digits = text.len() <= 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = if digits {
        u128::from_str_radix(text, 16).unwrap_or(0)
    } else {
        0
    };
    if number == 0 {
        return Err(RpcError::invalid(
            "change.request_id",
            &format!("`{}` is not a request id", text.escape_default()),
            "send 1 to 32 hexadecimal digits that are not all zero, new for each change",
        ));
    }
    Ok(RequestId(number))
}

fn check_operator(name: &str) -> Result<&str, RpcError> {
    let printable = name.chars().all(|c| !c.is_control());
    if name.is_empty() || name.len() > MAX_OPERATOR_BYTES || !printable {
        return Err(RpcError::invalid(
            "change.operator",
            &format!("`{}` is not an operator's name", name.escape_default()),
            "send 1 to 64 printable characters",
        ));
    }
    Ok(name)
}
