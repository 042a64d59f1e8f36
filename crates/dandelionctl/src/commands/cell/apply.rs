//! Makes the configuration of the cell equal to a file.

use std::path::PathBuf;

use clap::Args;

use crate::apply;
use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Makes teams, services and jobs equal to a TOML file, after showing the difference.
#[derive(Debug, Args)]
pub struct Apply {
    /// File with `[[team]]`, `[[service]]` and `[[job]]` tables
    pub file: PathBuf,
    /// Apply without asking for confirmation
    #[arg(long)]
    pub yes: bool,
    /// Show the difference without applying it
    #[arg(long, conflicts_with = "yes")]
    pub dry_run: bool,
    /// Also remove teams and services and end jobs that the file does not list
    #[arg(long)]
    pub prune: bool,
}

impl Run for Apply {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let desired = apply::read_file(&self.file)?;
        let current = apply::read_cell(session).await?;
        let plan = apply::plan(&current.config, &desired, self.prune);
        if plan.steps.is_empty() {
            return Ok(format!("{}no difference\n", plan.text()));
        }
        if self.dry_run {
            return Ok(plan.text());
        }
        if !self.yes {
            apply::confirm(&plan.text())?;
        }
        let done = apply::execute(session, &desired, self.prune, current, &plan).await?;
        let shown = if self.yes { plan.text() } else { String::new() };
        Ok(shown + &session.show_change(done).await)
    }
}
