//! Sets the limits of upstream orders; a limit that is not given is removed.

use clap::Args;
use dandelion_rpc::generated::FleetBounds;
use dandelion_rpc::generated::FleetLimitsRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Sets the limits of upstream orders; a limit that is not given is removed.
#[derive(Debug, Args)]
pub struct Limits {
    /// Cost ceiling in thousandths of the platform's unit per hour
    #[arg(long)]
    pub max_cost: Option<u64>,
    /// Limit on upstream starts per minute
    #[arg(long)]
    pub starts_minute: Option<u32>,
}

impl Run for Limits {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = FleetLimitsRequest {
            change: session.change()?,
            bounds: Some(FleetBounds {
                max_cost: self.max_cost,
                starts_minute: self.starts_minute,
            }),
        };
        let answer = session.client().fleet_limits(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
