//! Stand-ins and scripts of the review's cases. Usage: `review-4 CASE ROOT FOLDER`.

mod caller;
mod cases;
mod cell;
mod http;
mod record;
mod replica;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-4 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let outcome = cases::run(case, &PathBuf::from(root), &PathBuf::from(folder), trouble);
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
