//! Runs one case of the review: `standin CASE ROOT RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run.

mod cases;
mod kit;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("standin CASE ROOT RECORD");
        std::process::exit(2);
    };
    let record = kit::Record::create(Path::new(record));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    std::process::exit(cases::run(case, Path::new(root), record, trouble));
}
