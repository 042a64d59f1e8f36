//! Claims of non-idempotent requests: of all claims with one caller's id, at most one runs.

pub mod caller_id;
pub mod command;
pub mod table;

pub use caller_id::CallerId;
pub use caller_id::CallerIdError;
pub use command::AttemptId;
pub use command::Claim;
pub use command::ClaimBatch;
pub use command::ClaimKey;
pub use command::ClaimReplies;
pub use command::ClaimReply;
pub use command::ClaimResult;
pub use command::ClaimStep;
pub use command::StoredAnswer;
pub use command::request_digest;
pub use table::ClaimsTable;
