//! Prints the computed part of `docs/CAPACITY.md` from the measured slopes.

use anyhow::Context;
use dandelion_load::capacity;

/// Path of the measured slopes, relative to the root of the workspace.
const SLOPES: &str = "docs/capacity-slopes.json";

fn main() -> anyhow::Result<()> {
    let text = std::fs::read_to_string(SLOPES)
        .with_context(|| format!("cannot read {SLOPES}; run this in the workspace's root"))?;
    let slopes = capacity::read_slopes(&text)?;
    print!("{}", capacity::render(&slopes)?);
    Ok(())
}
