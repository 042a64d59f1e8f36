//! The command line as a whole.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use dandelion_rpc::secret::Secret;

use crate::commands::Run;
use crate::commands::TopCommand;
use crate::error::CtlError;
use crate::output::OutputForm;
use crate::session::Session;

/// Drives dandelionrun by remote procedure calls.
#[derive(Debug, Parser)]
#[command(
    name = "dandelionctl",
    version,
    after_help = "Exit status: 0 done, 1 refused, 2 unusable flag, variable or file, 3 no answer. \
                  After status 3 a change may or may not be in force: run the same command again \
                  with the same --request-id."
)]
pub struct Cli {
    /// Flags of every command.
    #[command(flatten)]
    pub options: Options,
    /// The command.
    #[command(subcommand)]
    pub command: TopCommand,
}

impl Cli {
    /// Runs the command and returns what it prints.
    pub async fn run(&self) -> Result<String, CtlError> {
        let session = Session::open(&self.options)?;
        let outcome = self.command.run(&session).await;
        outcome.map_err(|error| error.with_request(session.sent()))
    }
}

/// Flags of every command.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Connection and output")]
pub struct Options {
    /// Address of a daemon; further ones are tried if it does not answer
    #[arg(
        long,
        global = true,
        env = "DANDELION_DAEMON",
        value_name = "IP:PORT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7080"
    )]
    pub daemon: Vec<SocketAddr>,
    /// Your name, kept in the history of changes
    #[arg(long, global = true, env = "DANDELION_OPERATOR", value_name = "NAME")]
    pub operator: Option<String>,
    /// Token of the operators
    #[arg(
        long,
        global = true,
        env = "DANDELION_OPERATOR_TOKEN",
        value_name = "TOKEN",
        hide_env_values = true
    )]
    pub token: Option<Secret>,
    /// File with the token of the operators
    #[arg(
        long,
        global = true,
        env = "DANDELION_OPERATOR_TOKEN_FILE",
        value_name = "PATH"
    )]
    pub token_file: Option<PathBuf>,
    /// Form of the output
    #[arg(
        long,
        global = true,
        env = "DANDELION_OUTPUT",
        value_name = "FORM",
        default_value = "table"
    )]
    pub output: OutputForm,
    /// Identity of the change, to run a command again after a lost answer
    #[arg(long, global = true, value_name = "HEX")]
    pub request_id: Option<String>,
    /// Revision that you saw; the change is refused if the state moved on
    #[arg(long, global = true, value_name = "REVISION")]
    pub expected_revision: Option<u64>,
    /// Longest wait for one answer, in milliseconds
    #[arg(
        long,
        global = true,
        env = "DANDELION_TIMEOUT_MS",
        value_name = "MS",
        default_value = "15000"
    )]
    pub timeout_ms: u64,
    /// Longest wait until a change is in force everywhere, in milliseconds; 0 does not wait
    #[arg(
        long,
        global = true,
        env = "DANDELION_SETTLE_MS",
        value_name = "MS",
        default_value = "3000"
    )]
    pub settle_ms: u64,
    /// Times that a request is sent again after a lost answer
    #[arg(
        long,
        global = true,
        env = "DANDELION_RESENDS",
        value_name = "COUNT",
        default_value = "6"
    )]
    pub resends: u32,
}
