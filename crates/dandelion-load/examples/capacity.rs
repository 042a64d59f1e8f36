//! Prints the computed part of `docs/CAPACITY.md` from the measured slopes.

use anyhow::Context;
use dandelion_load::capacity;

/// Path of the slopes from the root of the workspace.
const SLOPES: &str = "docs/capacity-slopes.json";

fn main() -> anyhow::Result<()> {
    let text = std::fs::read_to_string(SLOPES)
        .with_context(|| format!("{SLOPES} cannot be read; run this at the workspace's root"))?;
    let slopes = capacity::read_slopes(&text)?;
    print!("{}", capacity::render(&slopes)?);
    Ok(())
}
