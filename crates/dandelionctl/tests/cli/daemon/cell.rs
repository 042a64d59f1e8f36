//! The operators' procedures of the fake daemon, on a configuration in memory.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelion_rpc::Author;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::Operator;
use dandelion_rpc::RpcError;
use dandelion_rpc::generated::Change;
use dandelion_rpc::generated::ChangeAnswer;
use dandelion_rpc::generated::ControlStatusAnswer;
use dandelion_rpc::generated::DrainUpstreamRequest;
use dandelion_rpc::generated::ExplainAnswer;
use dandelion_rpc::generated::ExplainRequest;
use dandelion_rpc::generated::ExportSnapshotAnswer;
use dandelion_rpc::generated::FleetLimitsRequest;
use dandelion_rpc::generated::FleetPauseRequest;
use dandelion_rpc::generated::FleetPlanAnswer;
use dandelion_rpc::generated::GetJobAnswer;
use dandelion_rpc::generated::GetJobRequest;
use dandelion_rpc::generated::GrantKeyAnswer;
use dandelion_rpc::generated::GrantKeyRequest;
use dandelion_rpc::generated::HistoryAnswer;
use dandelion_rpc::generated::HistoryRequest;
use dandelion_rpc::generated::ListJobsAnswer;
use dandelion_rpc::generated::ListKeysAnswer;
use dandelion_rpc::generated::ListKeysRequest;
use dandelion_rpc::generated::ListPoisonedAnswer;
use dandelion_rpc::generated::ListRequest;
use dandelion_rpc::generated::ListServicesAnswer;
use dandelion_rpc::generated::ListTeamsAnswer;
use dandelion_rpc::generated::ListUpstreamsAnswer;
use dandelion_rpc::generated::ListUpstreamsRequest;
use dandelion_rpc::generated::ListZonesAnswer;
use dandelion_rpc::generated::NameRequest;
use dandelion_rpc::generated::PutJobRequest;
use dandelion_rpc::generated::PutServiceRequest;
use dandelion_rpc::generated::PutTeamRequest;
use dandelion_rpc::generated::ReplaceVoterRequest;
use dandelion_rpc::generated::StatusAnswer;
use dandelion_rpc::generated::StatusRequest;
use dandelion_rpc::generated::Team;
use dandelion_rpc::generated::UnpoisonRequest;
use dandelion_rpc::generated::UsageExplainRequest;
use dandelion_rpc::generated::UsageShowAnswer;
use dandelion_rpc::generated::UsageShowRequest;
use dandelion_rpc::generated::VoterRequest;
use dandelionctl::apply::FileConfig;

/// Configuration of the fake cell, with the request ids of its changes.
#[derive(Debug, Default)]
pub struct State {
    /// Records in force.
    pub config: FileConfig,
    /// Revision of the last change.
    pub revision: u64,
    /// Digests of granted secrets.
    pub digests: Vec<String>,
    /// Operators, one for each accepted change.
    pub operators: Vec<String>,
    /// Teams that another operator puts just before the next change.
    pub concurrent: Vec<Team>,
    /// Outdated copy that lists return instead of the state.
    pub stale: Option<Stale>,
    /// Whether changes are answered before every daemon has applied them.
    pub lags: bool,
    answers: BTreeMap<u128, u64>,
}

/// An outdated copy of the configuration.
#[derive(Debug, Clone)]
pub struct Stale {
    /// Records that lists return.
    pub config: FileConfig,
    /// Revision that lists return.
    pub revision: u64,
    /// Number of lists that still return this copy.
    pub reads: u32,
}

/// Implementation of the operators' procedures.
#[derive(Debug, Default)]
pub struct FakeCell(Mutex<State>);

impl FakeCell {
    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic before")
    }

    fn change<F>(&self, change: Option<&Change>, apply: F) -> Result<ChangeAnswer, RpcError>
    where
        F: FnOnce(&mut State),
    {
        let author = Author::check(change)?;
        let mut state = self.state();
        if let Some(revision) = state.answers.get(&author.request.0) {
            return Ok(state.answer(*revision));
        }
        for team in std::mem::take(&mut state.concurrent) {
            put(&mut state.config.teams, team, |team| &team.id);
            state.revision += 1;
        }
        let expected = author
            .expected
            .map_or(state.revision, |expected| expected.0);
        if expected != state.revision {
            let message = format!("the state is at revision {}", state.revision);
            return Err(RpcError::new(
                ErrorCode::Conflict,
                &message,
                "read it again",
            ));
        }
        apply(&mut state);
        state.revision += 1;
        state.operators.push(author.operator);
        let revision = state.revision;
        state.answers.insert(author.request.0, revision);
        Ok(state.answer(revision))
    }
}

impl State {
    fn listed(&mut self) -> (FileConfig, u64) {
        match &mut self.stale {
            Some(stale) if stale.reads > 0 => {
                stale.reads -= 1;
                (stale.config.clone(), stale.revision)
            }
            _ => (self.config.clone(), self.revision),
        }
    }

    fn answer(&self, revision: u64) -> ChangeAnswer {
        ChangeAnswer {
            revision,
            daemons_applied: if self.lags { 1 } else { 3 },
            daemons_total: 3,
        }
    }
}

fn put<R, F>(records: &mut Vec<R>, record: R, name: F)
where
    F: Fn(&R) -> &String,
{
    records.retain(|known| name(known) != name(&record));
    records.push(record);
}

macro_rules! empty_answers {
    ($($name:ident($request:ident) -> $answer:ident;)*) => {
        $(async fn $name(&self, _: $request) -> Result<$answer, RpcError> {
            Ok($answer::default())
        })*
    };
}

impl Operator for FakeCell {
    async fn put_team(&self, request: PutTeamRequest) -> Result<ChangeAnswer, RpcError> {
        let record = request.team.unwrap_or_default();
        self.change(request.change.as_ref(), |state| {
            put(&mut state.config.teams, record, |known| &known.id);
        })
    }

    async fn list_teams(&self, _: ListRequest) -> Result<ListTeamsAnswer, RpcError> {
        let (config, revision) = self.state().listed();
        Ok(ListTeamsAnswer {
            revision,
            teams: config.teams,
        })
    }

    async fn remove_team(&self, request: NameRequest) -> Result<ChangeAnswer, RpcError> {
        self.change(request.change.as_ref(), |state| {
            state.config.teams.retain(|known| known.id != request.name);
        })
    }

    async fn put_service(&self, request: PutServiceRequest) -> Result<ChangeAnswer, RpcError> {
        let record = request.service.unwrap_or_default();
        self.change(request.change.as_ref(), |state| {
            put(&mut state.config.services, record, |known| &known.id);
        })
    }

    async fn list_services(&self, _: ListRequest) -> Result<ListServicesAnswer, RpcError> {
        let (config, revision) = self.state().listed();
        Ok(ListServicesAnswer {
            revision,
            services: config.services,
        })
    }

    async fn remove_service(&self, request: NameRequest) -> Result<ChangeAnswer, RpcError> {
        self.change(request.change.as_ref(), |state| {
            state
                .config
                .services
                .retain(|known| known.id != request.name);
        })
    }

    async fn put_job(&self, request: PutJobRequest) -> Result<ChangeAnswer, RpcError> {
        let record = request.job.unwrap_or_default();
        self.change(request.change.as_ref(), |state| {
            put(&mut state.config.jobs, record, |known| &known.id);
        })
    }

    async fn list_jobs(&self, _: ListRequest) -> Result<ListJobsAnswer, RpcError> {
        let (config, revision) = self.state().listed();
        Ok(ListJobsAnswer {
            revision,
            jobs: config.jobs,
        })
    }

    async fn end_job(&self, request: NameRequest) -> Result<ChangeAnswer, RpcError> {
        self.change(request.change.as_ref(), |state| {
            let jobs = state.config.jobs.iter_mut();
            for job in jobs.filter(|job| job.id == request.name) {
                job.ended = true;
            }
        })
    }

    async fn grant_key(&self, request: GrantKeyRequest) -> Result<GrantKeyAnswer, RpcError> {
        let change = self.change(request.change.as_ref(), |state| {
            state.digests.push(request.secret_digest.clone());
        })?;
        Ok(GrantKeyAnswer {
            change: Some(change),
            secret: String::new(),
        })
    }

    async fn status(&self, request: StatusRequest) -> Result<StatusAnswer, RpcError> {
        let revision = self.state().revision;
        Ok(StatusAnswer {
            revision,
            daemons_applied: 3,
            daemons_total: 3,
            reached: request
                .wait_revision
                .is_none_or(|wanted| wanted <= revision),
            ..StatusAnswer::default()
        })
    }

    empty_answers! {
        withdraw_key(NameRequest) -> ChangeAnswer;
        list_keys(ListKeysRequest) -> ListKeysAnswer;
        get_job(GetJobRequest) -> GetJobAnswer;
        drain_upstream(DrainUpstreamRequest) -> ChangeAnswer;
        list_upstreams(ListUpstreamsRequest) -> ListUpstreamsAnswer;
        list_poisoned(ListRequest) -> ListPoisonedAnswer;
        unpoison(UnpoisonRequest) -> ChangeAnswer;
        evacuate_zone(NameRequest) -> ChangeAnswer;
        restore_zone(NameRequest) -> ChangeAnswer;
        list_zones(ListRequest) -> ListZonesAnswer;
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
