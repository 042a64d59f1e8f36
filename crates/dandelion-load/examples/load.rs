//! Runs one scenario of the load tool.

use clap::Parser;
use dandelion_load::options::Options;
use dandelion_load::registry;

fn main() -> anyhow::Result<()> {
    let options = Options::parse();
    if options.list {
        for scenario in registry::SCENARIOS {
            println!("{:<10} {}", scenario.name, scenario.about);
        }
        return Ok(());
    }
    let name = options.scenario.as_deref().unwrap_or_default();
    let scenario = registry::find(name)?;
    if !options.json {
        println!(
            "{}: {} (seed {})",
            scenario.name, scenario.about, options.seed
        );
    }
    let figures = (scenario.run)(options.seed)?;
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}
