//! HTTP/1.1 with `async-h1`. Client and server verify the framing themselves by counting bytes.

pub mod body;
mod buffer;
pub mod client;
mod framing;
mod head;
pub mod memory;
mod raw_target;
pub mod server;
mod shared_body;
mod wire;

pub use buffer::BodyBuffer;
pub use buffer::BufferBudget;
pub use buffer::BufferError;
pub use buffer::BufferShare;
pub use framing::FramingParser;
pub use head::Framing;
pub use head::HeadError;
pub use head::check_request;
pub use head::check_response;
pub use head::is_hop_header;
pub use raw_target::target;
pub use shared_body::SharedBody;
