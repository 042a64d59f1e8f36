//! What every command can do.

use crate::error::CtlError;
use crate::session::Session;

/// A command.
pub trait Run {
    /// Runs the command and returns what it prints.
    fn run(&self, session: &Session) -> impl Future<Output = Result<String, CtlError>>;
}
