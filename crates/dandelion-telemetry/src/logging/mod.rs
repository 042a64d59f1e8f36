//! Set-up of the log and the formats of its lines.

mod format;
mod open;
mod queue;

pub use format::write_json;
pub use format::write_text;
pub use open::LogError;
pub use open::LogFormat;
pub use open::LogHandle;
pub use open::LogSettings;
pub use open::open;
pub use queue::LineFormatter;
pub use queue::LineQueue;
