//! Binary of the operators' command line.

use std::process::ExitCode;

use clap::Parser;
use dandelionctl::Cli;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match async_std::task::block_on(cli.run()) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
