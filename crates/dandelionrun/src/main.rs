//! Binary of the dandelionrun daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    dandelion_daemon::run::main()
}
