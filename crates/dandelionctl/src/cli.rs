//! Top level of the command line: the flags of every command, and the command.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use dandelion_rpc::secret::Secret;

use crate::commands::Run;
use crate::commands::TopCommand;
use crate::error::CtlError;
use crate::output::OutputFormat;
use crate::session::Session;

/// Operates a cell of dandelionrun daemons.
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
    /// Command to run.
    #[command(subcommand)]
    pub command: TopCommand,
}

impl Cli {
    /// Runs the command and returns what it prints.
    pub async fn run(&self) -> Result<String, CtlError> {
        let session = Session::open(&self.options)?;
        let outcome = self.command.run(&session).await;
        outcome.map_err(|error| error.with_request(session.sent_id()))
    }
}

/// Flags of every command.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Connection and output")]
pub struct Options {
    /// Addresses of daemons, separated by commas; they are tried in order until one answers
    #[arg(
        long,
        global = true,
        env = "DANDELION_DAEMON",
        value_name = "IP:PORT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7080"
    )]
    pub daemon: Vec<SocketAddr>,
    /// Your name, recorded in the history of changes
    #[arg(long, global = true, env = "DANDELION_OPERATOR", value_name = "NAME")]
    pub operator: Option<String>,
    /// Operator token
    #[arg(
        long,
        global = true,
        env = "DANDELION_OPERATOR_TOKEN",
        value_name = "TOKEN",
        hide_env_values = true
    )]
    pub token: Option<Secret>,
    /// File with the operator token
    #[arg(
        long,
        global = true,
        env = "DANDELION_OPERATOR_TOKEN_FILE",
        value_name = "PATH"
    )]
    pub token_file: Option<PathBuf>,
    /// Output format
    #[arg(
        long,
        global = true,
        env = "DANDELION_OUTPUT",
        value_name = "FORM",
        default_value = "table"
    )]
    pub output: OutputFormat,
    /// Request id of the change; use the same id to repeat a command whose answer was lost
    #[arg(long, global = true, value_name = "HEX")]
    pub request_id: Option<String>,
    /// Revision that you saw; the change is refused if there is a newer one
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
    /// Longest wait until every daemon has applied a change, in milliseconds; 0 does not wait
    #[arg(
        long,
        global = true,
        env = "DANDELION_SETTLE_MS",
        value_name = "MS",
        default_value = "3000"
    )]
    pub settle_ms: u64,
    /// Number of times that an unanswered request is sent again
    #[arg(
        long,
        global = true,
        env = "DANDELION_RESENDS",
        value_name = "COUNT",
        default_value = "6"
    )]
    pub resends: u32,
}
