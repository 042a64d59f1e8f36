//! The one error shape of the operators' procedures.

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

/// Stable code of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// No procedure of this name.
    UnknownMethod,
    /// The body or a field of it is not valid.
    InvalidArgument,
    /// The operator's token is missing or wrong.
    Unauthenticated,
    /// The named record does not exist.
    NotFound,
    /// The state moved on since the operator read it.
    Conflict,
    /// The request id names another change.
    IdReused,
    /// Nothing was changed; the control group cannot be reached.
    Unavailable,
    /// The change may or may not take effect.
    Unknown,
    /// The wait ended before the condition held.
    DeadlineExceeded,
    /// The daemon does not carry out this procedure.
    Unsupported,
    /// A defect of the daemon.
    Internal,
}

impl ErrorCode {
    /// Returns the HTTP status that carries the code.
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

/// Why a procedure was refused, as shown in JSON.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[error("{message}; {remedy}")]
pub struct RpcError {
    /// Stable code.
    pub code: ErrorCode,
    /// What happened.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

impl RpcError {
    /// Makes an error.
    pub fn new(code: ErrorCode, message: &str, remedy: &str) -> Self {
        Self {
            code,
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// No procedure is called `method`.
    pub fn unknown_method(method: &str) -> Self {
        Self::new(
            ErrorCode::UnknownMethod,
            &format!("no procedure is called `{}`", method.escape_default()),
            "use a name listed in schema/dandelion/v1/operator.proto, or upgrade the daemon",
        )
    }

    /// A field of the request is not valid.
    pub fn invalid(field: &str, reason: &str, remedy: &str) -> Self {
        Self::new(
            ErrorCode::InvalidArgument,
            &format!("field `{field}`: {reason}"),
            remedy,
        )
    }

    /// A message field that the procedure needs is absent.
    pub fn missing(field: &str) -> Self {
        Self::invalid(field, "it is missing", "add it to the request")
    }

    /// A field is not a valid identifier.
    pub fn bad_name(field: &str, error: &NameError) -> Self {
        Self::invalid(field, &error.to_string(), "correct the name")
    }

    /// The control group is not reachable or gave no answer.
    pub fn not_proposed(error: &ProposeError) -> Self {
        let code = match error {
            ProposeError::NoLeader | ProposeError::Overloaded => ErrorCode::Unavailable,
            ProposeError::Unknown => ErrorCode::Unknown,
        };
        split(code, &error.to_string())
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
            Rejection::Invalid { .. } => split(ErrorCode::InvalidArgument, &rejection.to_string()),
            Rejection::NotFound { .. } => split(ErrorCode::NotFound, &rejection.to_string()),
            Rejection::Unreadable { .. } => split(ErrorCode::Unsupported, &rejection.to_string()),
        }
    }
}

/// Names the winner of a race; the request id is written as operators send it.
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

/// Splits a message whose last clause is the remedy.
fn split(code: ErrorCode, text: &str) -> RpcError {
    let (message, remedy) = text.rsplit_once("; ").unwrap_or((text, "see the message"));
    RpcError::new(code, message, remedy)
}
