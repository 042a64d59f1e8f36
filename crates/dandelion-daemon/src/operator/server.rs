//! Dispatches the generated trait of the operators' procedures to the modules that implement them.

use dandelion_fleet::orders::OrderCommand;
use dandelion_protocol::config::ConfigCommand;
use dandelion_rpc::Operator;
use dandelion_rpc::RpcError;
use dandelion_rpc::convert;
use dandelion_rpc::generated as rpc;

use crate::core::Handle;
use crate::operator::cell;
use crate::operator::changes;
use crate::operator::fleet;
use crate::operator::jobs;
use crate::operator::lists;
use crate::operator::usage;

type Answer<T> = Result<T, RpcError>;

/// Server of the operators' procedures on this daemon.
#[derive(Debug, Clone)]
pub struct OperatorServer {
    core: Handle,
}

impl OperatorServer {
    /// Wraps the shared state.
    pub fn new(core: Handle) -> Self {
        Self { core }
    }

    async fn change(
        &self,
        change: Option<rpc::Change>,
        command: ConfigCommand,
    ) -> Answer<rpc::ChangeAnswer> {
        changes::configure(&self.core, change.as_ref(), &command).await
    }
}

impl Operator for OperatorServer {
    async fn put_team(&self, request: rpc::PutTeamRequest) -> Answer<rpc::ChangeAnswer> {
        let team = convert::require("team", request.team.as_ref())?.try_into()?;
        self.change(request.change, ConfigCommand::PutTeam(team))
            .await
    }

    async fn remove_team(&self, request: rpc::NameRequest) -> Answer<rpc::ChangeAnswer> {
        let id = convert::parse_name("name", &request.name)?;
        self.change(request.change, ConfigCommand::RemoveTeam(id))
            .await
    }

    async fn list_teams(&self, _: rpc::ListRequest) -> Answer<rpc::ListTeamsAnswer> {
        Ok(lists::teams(&self.core))
    }

    async fn grant_key(&self, request: rpc::GrantKeyRequest) -> Answer<rpc::GrantKeyAnswer> {
        changes::grant(&self.core, &request).await
    }

    async fn withdraw_key(&self, request: rpc::NameRequest) -> Answer<rpc::ChangeAnswer> {
        changes::withdraw(&self.core, &request).await
    }

    async fn list_keys(&self, request: rpc::ListKeysRequest) -> Answer<rpc::ListKeysAnswer> {
        Ok(lists::keys(&self.core, &request))
    }

    async fn put_service(&self, request: rpc::PutServiceRequest) -> Answer<rpc::ChangeAnswer> {
        let service = convert::require("service", request.service.as_ref())?.try_into()?;
        self.change(request.change, ConfigCommand::PutService(service))
            .await
    }

    async fn remove_service(&self, request: rpc::NameRequest) -> Answer<rpc::ChangeAnswer> {
        let id = convert::parse_name("name", &request.name)?;
        self.change(request.change, ConfigCommand::RemoveService(id))
            .await
    }

    async fn list_services(&self, _: rpc::ListRequest) -> Answer<rpc::ListServicesAnswer> {
        Ok(lists::services(&self.core))
    }

    async fn put_job(&self, request: rpc::PutJobRequest) -> Answer<rpc::ChangeAnswer> {
        let job = convert::require("job", request.job.as_ref())?.try_into()?;
        self.change(request.change, ConfigCommand::PutJob(job))
            .await
    }

    async fn end_job(&self, request: rpc::NameRequest) -> Answer<rpc::ChangeAnswer> {
        let id = convert::parse_name("name", &request.name)?;
        self.change(request.change, ConfigCommand::EndJob(id)).await
    }

    async fn list_jobs(&self, _: rpc::ListRequest) -> Answer<rpc::ListJobsAnswer> {
        Ok(lists::jobs(&self.core))
    }

    async fn get_job(&self, request: rpc::GetJobRequest) -> Answer<rpc::GetJobAnswer> {
        jobs::show(&self.core, &request)
    }

    async fn drain_upstream(
        &self,
        request: rpc::DrainUpstreamRequest,
    ) -> Answer<rpc::ChangeAnswer> {
        let command = lists::drain_command(&self.core, &request)?;
        self.change(request.change, command).await
    }

    async fn list_upstreams(
        &self,
        request: rpc::ListUpstreamsRequest,
    ) -> Answer<rpc::ListUpstreamsAnswer> {
        Ok(lists::upstreams(&self.core, &request))
    }

    async fn list_poisoned(&self, _: rpc::ListRequest) -> Answer<rpc::ListPoisonedAnswer> {
        Ok(lists::poisoned(&self.core))
    }

    async fn unpoison(&self, request: rpc::UnpoisonRequest) -> Answer<rpc::ChangeAnswer> {
        let command = lists::unpoison_command(&request)?;
        self.change(request.change, command).await
    }

    async fn evacuate_zone(&self, request: rpc::NameRequest) -> Answer<rpc::ChangeAnswer> {
        changes::order_zone(&self.core, &request, true).await
    }

    async fn restore_zone(&self, request: rpc::NameRequest) -> Answer<rpc::ChangeAnswer> {
        changes::order_zone(&self.core, &request, false).await
    }

    async fn list_zones(&self, _: rpc::ListRequest) -> Answer<rpc::ListZonesAnswer> {
        Ok(lists::zones(&self.core))
    }

    async fn status(&self, request: rpc::StatusRequest) -> Answer<rpc::StatusAnswer> {
        Ok(cell::status(&self.core, &request).await)
    }

    async fn control_status(&self, _: rpc::ListRequest) -> Answer<rpc::ControlStatusAnswer> {
        cell::control_status(&self.core)
    }

    async fn add_voter(&self, request: rpc::VoterRequest) -> Answer<rpc::ChangeAnswer> {
        cell::add_voter(&self.core, &request).await
    }

    async fn remove_voter(&self, request: rpc::NameRequest) -> Answer<rpc::ChangeAnswer> {
        cell::remove_voter(&self.core, &request).await
    }

    async fn replace_voter(&self, request: rpc::ReplaceVoterRequest) -> Answer<rpc::ChangeAnswer> {
        cell::replace_voter(&self.core, &request).await
    }

    async fn export_snapshot(&self, _: rpc::ListRequest) -> Answer<rpc::ExportSnapshotAnswer> {
        cell::export_snapshot(&self.core)
    }

    async fn history(&self, request: rpc::HistoryRequest) -> Answer<rpc::HistoryAnswer> {
        Ok(cell::history(&self.core, &request))
    }

    async fn explain(&self, request: rpc::ExplainRequest) -> Answer<rpc::ExplainAnswer> {
        cell::explain(&self.core, &request)
    }

    async fn fleet_plan(&self, _: rpc::ListRequest) -> Answer<rpc::FleetPlanAnswer> {
        fleet::show(&self.core)
    }

    async fn fleet_pause(&self, request: rpc::FleetPauseRequest) -> Answer<rpc::ChangeAnswer> {
        let limits = fleet::limits(&self.core, |limits| limits.paused = request.paused)?;
        let command = OrderCommand::SetLimits(limits);
        changes::change_limits(&self.core, request.change.as_ref(), &command).await
    }

    async fn fleet_limits(&self, request: rpc::FleetLimitsRequest) -> Answer<rpc::ChangeAnswer> {
        let bounds = convert::require("bounds", request.bounds.as_ref())?;
        let limits = fleet::limits(&self.core, |limits| fleet::set_bounds(limits, bounds))?;
        let command = OrderCommand::SetLimits(limits);
        changes::change_limits(&self.core, request.change.as_ref(), &command).await
    }

    async fn usage_show(&self, request: rpc::UsageShowRequest) -> Answer<rpc::UsageShowAnswer> {
        usage::show(&self.core, &request)
    }

    async fn usage_explain(&self, request: rpc::UsageExplainRequest) -> Answer<rpc::ExplainAnswer> {
        usage::explain(&self.core, request)
    }
}
