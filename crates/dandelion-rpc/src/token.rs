//! The operators' token, sent as `authorization: Bearer TOKEN`.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::error::ErrorCode;
use crate::error::RpcError;

const SCHEME: &str = "bearer ";

/// Checks the `authorization` header of a call against the token in the daemon's settings.
///
/// The digests of the tokens are compared in constant time, so that the time reveals neither the
/// content nor the length of the token. Without a token in the settings every call is refused.
pub fn check_token(header: Option<&str>, token: Option<&str>) -> Result<(), RpcError> {
    let Some(token) = token else {
        return Err(RpcError::new(
            ErrorCode::Unauthenticated,
            "this daemon has no operator token",
            "set --operator-token-file on the daemon, or call another one",
        ));
    };
    let sent = header.and_then(bearer_token).unwrap_or_default();
    let equal = digest(sent).ct_eq(&digest(token));
    if bool::from(equal) {
        return Ok(());
    }
    Err(RpcError::new(
        ErrorCode::Unauthenticated,
        "the operator token is missing or wrong",
        "set DANDELION_OPERATOR_TOKEN or --token-file to the token of the daemons",
    ))
}

fn bearer_token(header: &str) -> Option<&str> {
    let scheme = header.get(..SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    Some(header[SCHEME.len()..].trim())
}

fn digest(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}
