//! Command lines without the variables of the caller's shell.

use clap::CommandFactory;
use clap::FromArgMatches;
use clap::builder::Resettable;
use dandelionctl::Cli;

/// Reads a command line from its words alone.
pub fn parse(words: &[&str]) -> Result<Cli, clap::Error> {
    let command = Cli::command().mut_args(|arg| arg.env(Resettable::Reset));
    let matches = command.try_get_matches_from(words)?;
    Cli::from_arg_matches(&matches)
}
