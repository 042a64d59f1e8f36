//! Operator procedures: the schema, the code generated from it, dispatch and the client.

pub mod base64_text;
pub mod change;
pub mod client;
pub mod codec;
pub mod convert;
pub mod dispatch;
pub mod error;
pub mod generated;
pub mod secret;
pub mod token;

pub use change::Author;
pub use client::ClientError;
pub use client::Transport;
pub use client::TransportError;
pub use codec::BodyCodec;
pub use dispatch::RpcResponse;
pub use dispatch::dispatch;
pub use error::ErrorCode;
pub use error::RpcError;
pub use generated::Operator;
pub use generated::OperatorClient;
