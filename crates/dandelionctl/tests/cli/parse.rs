//! Parsing of command lines without the environment variables of the test process.

use clap::CommandFactory;
use clap::FromArgMatches;
use clap::builder::Resettable;
use dandelionctl::Cli;

/// Parses a command line from its words alone; environment variables are ignored.
pub fn parse(words: &[&str]) -> Result<Cli, clap::Error> {
    let command = Cli::command().mut_args(|arg| arg.env(Resettable::Reset));
    let matches = command.try_get_matches_from(words)?;
    Cli::from_arg_matches(&matches)
}
