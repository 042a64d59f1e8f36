//! Generates the Rust code for the schema: `cargo run -p dandelion-rpc --example generate`.

use std::error::Error;
use std::path::Path;

mod generator;

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let code = generator::generate(root)?;
    std::fs::write(root.join(generator::OUTPUT), code)?;
    Ok(())
}
