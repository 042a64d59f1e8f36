//! Errors of the operators' procedures.

use dandelion_protocol::control::ProposeError;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::NameError;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::outcome::Refusal;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::change::format_request_id;

/// Kind of an error. The codes are stable, so that programs can rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// There is no procedure of this name.
    UnknownMethod,
    /// The body or a field of it is not valid.
    InvalidArgument,
    /// The operator's token is missing or wrong.
    Unauthenticated,
    /// The named record does not exist.
    NotFound,
    /// The state was changed since the operator read it.
    Conflict,
    /// The request id was already used for another change.
    IdReused,
    /// Nothing was changed; the control group cannot be reached.
    Unavailable,
    /// The change may or may not take effect.
    Unknown,
    /// The condition was not met before the end of the wait.
    DeadlineExceeded,
    /// The daemon does not support the procedure.
    Unsupported,
    /// A defect of the daemon.
    Internal,
}

impl ErrorCode {
    /// Returns the HTTP status of an error with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidArgument => 400,
            Self::Unauthenticated => 401,
            Self::DeadlineExceeded => 408,
            Self::UnknownMethod | Self::NotFound => 404,
            Self::Conflict | Self::IdReused => 409,
            Self::Unsupported => 501,
            Self::Unavailable => 503,
            Self::Unknown => 504,
            Self::Internal => 500,
        }
    }
}

/// Error of a procedure call; as JSON the body of the response.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[error("{message}; {remedy}")]
pub struct RpcError {
    /// Kind of the error, for programs.
    pub code: ErrorCode,
    /// What happened, for operators.
    pub message: String,
    /// What the operator can do.
    pub remedy: String,
}

impl RpcError {
    /// Creates an error.
    pub fn new(code: ErrorCode, message: &str, remedy: &str) -> Self {
        Self {
            code,
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// Creates the error for a `method` that does not exist.
    pub fn unknown_method(method: &str) -> Self {
        Self::new(
            ErrorCode::UnknownMethod,
            &format!("no procedure is called `{}`", method.escape_default()),
            "use a name listed in schema/dandelion/v1/operator.proto, or upgrade the daemon",
        )
    }

    /// Creates the error for a field that is not valid.
    pub fn invalid(field: &str, reason: &str, remedy: &str) -> Self {
        Self::new(
            ErrorCode::InvalidArgument,
            &format!("field `{field}`: {reason}"),
            remedy,
        )
    }

    /// Creates the error for a required message field that is absent.
    pub fn missing(field: &str) -> Self {
        Self::invalid(field, "it is missing", "add it to the request")
    }

    /// Creates the error for a field that is not a valid identifier.
    pub fn bad_name(field: &str, error: &NameError) -> Self {
        Self::invalid(field, &error.to_string(), "correct the name")
    }

    /// Creates the error for a proposal that the control group did not answer.
    pub fn not_proposed(error: &ProposeError) -> Self {
        let code = match error {
            ProposeError::NoLeader | ProposeError::Overloaded => ErrorCode::Unavailable,
            ProposeError::Unknown => ErrorCode::Unknown,
            ProposeError::TooLong { .. } => ErrorCode::InvalidArgument,
        };
        from_text(code, &error.to_string())
    }
}

impl From<ProposeError> for RpcError {
    fn from(error: ProposeError) -> Self {
        Self::not_proposed(&error)
    }
}

impl From<Rejection> for RpcError {
    fn from(rejection: Rejection) -> Self {
        match &rejection {
            Rejection::Conflict {
                revision,
                winner,
                request,
            } => conflict(*revision, winner, *request),
            Rejection::IdReused {
                request,
                winner,
                revision,
            } => id_reused(*request, winner, *revision),
            Rejection::Invalid { .. } => {
                from_text(ErrorCode::InvalidArgument, &rejection.to_string())
            }
            Rejection::NotFound { .. } => from_text(ErrorCode::NotFound, &rejection.to_string()),
            Rejection::Unreadable { .. } => {
                from_text(ErrorCode::Unsupported, &rejection.to_string())
            }
        }
    }
}

/// Creates the error for a [`Rejection::Conflict`]. The request id is formatted as operators send
/// it.
fn conflict(revision: Revision, winner: &str, request: RequestId) -> RpcError {
    let request = format_request_id(request);
    RpcError::new(
        ErrorCode::Conflict,
        &format!(
            "the state is at revision {revision}, not the expected one: `{winner}` changed it by \
             request {request}"
        ),
        "read it again and resend with a new request id",
    )
}

/// Creates the error for a [`Rejection::IdReused`]. The request id is formatted as operators send
/// it.
fn id_reused(request: RequestId, winner: &str, revision: Revision) -> RpcError {
    let request = format_request_id(request);
    RpcError::new(
        ErrorCode::IdReused,
        &format!(
            "request id {request} already names another change by `{winner}` at revision {revision}"
        ),
        "choose a new request id",
    )
}

impl From<Refusal> for RpcError {
    fn from(refusal: Refusal) -> Self {
        let code = match refusal.status() {
            400 => ErrorCode::InvalidArgument,
            401 => ErrorCode::Unauthenticated,
            404 => ErrorCode::NotFound,
            409 => ErrorCode::Conflict,
            504 => ErrorCode::Unknown,
            _ => ErrorCode::Unavailable,
        };
        Self::new(code, &refusal.message, &refusal.remedy)
    }
}

/// Creates an error from a text whose last clause, after a semicolon, is the remedy.
fn from_text(code: ErrorCode, text: &str) -> RpcError {
    let (message, remedy) = text.rsplit_once("; ").unwrap_or((text, "see the message"));
    RpcError::new(code, message, remedy)
}
