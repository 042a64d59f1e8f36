//! Sets the limits of upstream orders; an absent limit is lifted.

use clap::Args;
use dandelion_rpc::generated::FleetBounds;
use dandelion_rpc::generated::FleetLimitsRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Sets the limits of upstream orders; an absent limit is lifted.
#[derive(Debug, Args)]
pub struct Limits {
    /// Cost ceiling in thousandths of the platform's unit an hour
    #[arg(long)]
    pub max_cost: Option<u64>,
    /// Starts a minute
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
