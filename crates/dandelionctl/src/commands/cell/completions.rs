//! Prints the completion script of a shell.

use clap::Args;
use clap::CommandFactory;
use clap_complete::Shell;

use crate::cli::Cli;
use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Prints the completion script of a shell.
#[derive(Debug, Args)]
pub struct Completions {
    /// Shell that reads the script
    pub shell: Shell,
}

impl Run for Completions {
    async fn run(&self, _session: &Session) -> Result<String, CtlError> {
        let mut script = Vec::new();
        let mut command = Cli::command();
        clap_complete::generate(self.shell, &mut command, "dandelionctl", &mut script);
        String::from_utf8(script).map_err(|error| CtlError::Malformed(error.to_string()))
    }
}
