//! The trait that every command implements.

use crate::error::CtlError;
use crate::session::Session;

/// A command with its arguments.
pub trait Run {
    /// Runs the command and returns the text for standard output.
    fn run(&self, session: &Session) -> impl Future<Output = Result<String, CtlError>>;
}
