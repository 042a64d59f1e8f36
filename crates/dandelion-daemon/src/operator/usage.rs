//! Operators' procedures on usage windows.

use dandelion_fleet::usage::UsageTable;
use dandelion_fleet::usage::table::FrozenWindow;
use dandelion_protocol::usage::Class;
use dandelion_protocol::usage::TeamCounts;
use dandelion_protocol::usage::WindowId;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::generated as rpc;

use crate::core::Handle;
use crate::operator::cell::needs_control;

/// Lists the retained frozen windows in a range, with the rows of one team or of all.
pub fn show(
    core: &Handle,
    request: &rpc::UsageShowRequest,
) -> Result<rpc::UsageShowAnswer, RpcError> {
    let replica = core.control.replica().ok_or_else(needs_control)?;
    let last = request.to_window.unwrap_or(u64::MAX);
    let range = request.from_window..=last;
    let read = replica.read::<UsageTable, _, _>(|table| {
        let matching = table
            .frozen()
            .filter(|w| range.contains(&w.figures.window.0));
        matching.map(|w| window(w, &request.team)).collect()
    });
    Ok(rpc::UsageShowAnswer {
        windows: read.unwrap_or_default(),
    })
}

fn window(frozen: &FrozenWindow, team: &str) -> rpc::UsageWindow {
    let figures = &frozen.figures;
    let usage = figures.usage.iter().map(|c| row(figures.window, c, false));
    let late = figures.late.iter().map(|c| row(figures.window, c, true));
    let rows = usage.chain(late);
    let state = match frozen.accepted_at {
        Some(_) => "accepted",
        None => "frozen",
    };
    rpc::UsageWindow {
        window: figures.window.0,
        state: state.to_owned(),
        rows: rows.filter(|r| team.is_empty() || r.team == team).collect(),
    }
}

fn row(window: WindowId, counted: &TeamCounts, late: bool) -> rpc::UsageRow {
    let class = match counted.class {
        Class::Interactive => "interactive",
        Class::Rollout => "rollout",
    };
    rpc::UsageRow {
        window: window.0,
        team: counted.team.to_string(),
        class: class.to_owned(),
        requests: counted.counts.requests,
        prompt_tokens: counted.counts.prompt_tokens,
        output_tokens: counted.counts.output_tokens,
        busy_ms: counted.counts.busy_ms,
        late,
    }
}

/// Explains when a window was frozen, which daemons had closed it, and whether it was accepted.
pub fn explain(
    core: &Handle,
    request: rpc::UsageExplainRequest,
) -> Result<rpc::ExplainAnswer, RpcError> {
    let replica = core.control.replica().ok_or_else(needs_control)?;
    let id = WindowId(request.window);
    let read = replica.read::<UsageTable, _, _>(|table| table.frozen_window(id).map(lines));
    let lines = read.flatten().ok_or_else(|| {
        RpcError::new(
            ErrorCode::NotFound,
            &format!("window {} is not frozen or no longer kept", request.window),
            "list the windows with `dandelionctl usage show`",
        )
    })?;
    Ok(rpc::ExplainAnswer { lines })
}

fn lines(frozen: &FrozenWindow) -> Vec<rpc::ExplainLine> {
    let closers: Vec<String> = frozen.closed_by.iter().map(ToString::to_string).collect();
    let late = frozen.figures.late.len();
    let accepted = frozen.accepted_at.map(|at| rpc::ExplainLine {
        at_ms: at.0,
        text: "accepted by the platform".to_owned(),
    });
    let closed = rpc::ExplainLine {
        at_ms: frozen.frozen_at.0,
        text: format!("frozen; closed by then: {}", closers.join(", ")),
    };
    let late = rpc::ExplainLine {
        at_ms: frozen.frozen_at.0,
        text: format!("{late} rows of earlier windows came late"),
    };
    [closed, late].into_iter().chain(accepted).collect()
}
