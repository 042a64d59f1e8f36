//! Command line of the load tool: runs one scenario, or a daemon for one.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Parser;
use dandelion_load::checks;
use dandelion_load::cluster;
use dandelion_load::options::Options;
use dandelion_load::registry;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os();
    if arguments
        .nth(1)
        .is_some_and(|first| first == cluster::DAEMON_ARGUMENT)
    {
        let program = OsString::from("dandelionrun");
        cluster::links::obey_input();
        return dandelion_daemon::run::run_from(std::iter::once(program).chain(arguments));
    }
    match run_scenario(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_scenario(options: &Options) -> anyhow::Result<()> {
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
    if options.check {
        checks::check(scenario.name, &figures)?;
    }
    Ok(())
}
