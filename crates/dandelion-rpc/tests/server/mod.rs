//! A server without state, for the tests of dispatch.

use dandelion_protocol::config;
use dandelion_rpc::Author;
use dandelion_rpc::Operator;
use dandelion_rpc::RpcError;
use dandelion_rpc::convert;
use dandelion_rpc::generated::ChangeAnswer;
use dandelion_rpc::generated::PutTeamRequest;

/// Answers `PutTeam` with the team's weight, and everything else with an empty answer.
#[derive(Debug)]
pub struct Echo;

macro_rules! empty_answers {
    ($($name:ident($request:ident) -> $answer:ident;)*) => {
        $(async fn $name(
            &self,
            _: dandelion_rpc::generated::$request,
        ) -> Result<dandelion_rpc::generated::$answer, RpcError> {
            Ok(Default::default())
        })*
    };
}

impl Operator for Echo {
    async fn put_team(&self, request: PutTeamRequest) -> Result<ChangeAnswer, RpcError> {
        Author::check(request.change.as_ref())?;
        let team = config::Team::try_from(convert::require("team", request.team.as_ref())?)?;
        Ok(ChangeAnswer {
            revision: u64::from(team.weight),
            ..ChangeAnswer::default()
        })
    }

    empty_answers! {
        remove_team(NameRequest) -> ChangeAnswer;
        list_teams(ListRequest) -> ListTeamsAnswer;
        grant_key(GrantKeyRequest) -> GrantKeyAnswer;
        withdraw_key(NameRequest) -> ChangeAnswer;
        list_keys(ListKeysRequest) -> ListKeysAnswer;
        put_service(PutServiceRequest) -> ChangeAnswer;
        remove_service(NameRequest) -> ChangeAnswer;
        list_services(ListRequest) -> ListServicesAnswer;
        put_job(PutJobRequest) -> ChangeAnswer;
        end_job(NameRequest) -> ChangeAnswer;
        list_jobs(ListRequest) -> ListJobsAnswer;
        get_job(GetJobRequest) -> GetJobAnswer;
        drain_upstream(DrainUpstreamRequest) -> ChangeAnswer;
        list_upstreams(ListUpstreamsRequest) -> ListUpstreamsAnswer;
        list_poisoned(ListRequest) -> ListPoisonedAnswer;
        unpoison(UnpoisonRequest) -> ChangeAnswer;
        evacuate_zone(NameRequest) -> ChangeAnswer;
        restore_zone(NameRequest) -> ChangeAnswer;
        list_zones(ListRequest) -> ListZonesAnswer;
        status(StatusRequest) -> StatusAnswer;
        control_status(ListRequest) -> ControlStatusAnswer;
        add_voter(VoterRequest) -> ChangeAnswer;
        remove_voter(NameRequest) -> ChangeAnswer;
        replace_voter(ReplaceVoterRequest) -> ChangeAnswer;
        export_snapshot(ListRequest) -> ExportSnapshotAnswer;
        history(HistoryRequest) -> HistoryAnswer;
        explain(ExplainRequest) -> ExplainAnswer;
        fleet_plan(ListRequest) -> FleetPlanAnswer;
        fleet_pause(FleetPauseRequest) -> ChangeAnswer;
        fleet_limits(FleetLimitsRequest) -> ChangeAnswer;
        usage_show(UsageShowRequest) -> UsageShowAnswer;
        usage_explain(UsageExplainRequest) -> ExplainAnswer;
    }
}
