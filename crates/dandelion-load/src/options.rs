//! Command line of the load tool.

use clap::Parser;

/// Runs one scenario and prints its figures as one JSON object on the last line.
#[derive(Debug, Clone, Parser)]
#[command(name = "load")]
pub struct Options {
    /// Name of the scenario to run.
    #[arg(required_unless_present = "list")]
    pub scenario: Option<String>,
    /// Lists the scenarios.
    #[arg(long)]
    pub list: bool,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Fails if one of the scenario's counts that must be zero is not.
    #[arg(long)]
    pub check: bool,
    /// Prints nothing but the JSON object.
    #[arg(long)]
    pub json: bool,
}
