//! Counts that must be zero, by scenario: each would show that a guarantee was violated.

use anyhow::bail;
use serde_json::Value;

/// Returns the names of a scenario's figures that must be zero, independent of the machine.
pub fn forbidden(scenario: &str) -> &'static [&'static str] {
    match scenario {
        "path" => &[
            "admitted_wrongly",
            "answers_wrong",
            "ran_twice",
            "samples_doubled",
            "samples_wrong",
            "usage_conflicts",
        ],
        "rollout" => &[
            "batches_changed_on_resend",
            "budget_overspent",
            "samples_doubled",
            "samples_lost",
            "samples_stale",
            "samples_unpublished_version",
            "samples_wrong_text",
        ],
        "once" => &["cut_answers", "false_not_run", "ran_twice", "wrong_caller"],
        "races" => &["conflicts_unnamed", "doubled", "lost", "none_won"],
        "takeover" => &[
            "double_leaders",
            "doubled_revisions",
            "lost_changes",
            "reverted",
        ],
        "withdraw" => &["cut_off_served_after", "served_after", "streams_whole"],
        "drain" => &["cut"],
        "poison" => &["innocents_refused"],
        "quarantine" => &[
            "added_routes_starved",
            "innocents_refused",
            "late_runs_over_bound",
        ],
        "losses" => &["refused", "unread_jobs", "unread_teams"],
        "copies" => &["jobs_unfinished", "unread_after", "unread_before"],
        "leaving" => &["late_after_answer", "late_after_report", "not_served_again"],
        "evacuation" => &[
            "jobs_unfinished",
            "late_requests",
            "lost",
            "not_served_again",
            "not_served_before",
            "orders_refused",
            "orders_unacknowledged",
        ],
        "software" => &[
            "few_went_on",
            "jobs_unfinished",
            "streams_mixed",
            "streams_wrong",
            "texts_mixed",
            "texts_wrong",
        ],
        "score" => &[
            "jobs_unfinished",
            "lost",
            "regenerated",
            "scored_early",
            "terminated_wrongly",
            "unscored_listed",
        ],
        "spoiled" => &["broken_as_whole", "errors_as_success", "passed_unsealed"],
        "statuses" => &[
            "false_not_run",
            "not_served_after",
            "once_repeated",
            "passed_on",
        ],
        "stranded" => &[
            "answers_wrong",
            "cuts_starved",
            "false_not_run",
            "over_attempts",
            "streams_doubled",
            "suspected_wrongly",
            "unclear_without_links",
            "unserved_after",
        ],
        "limits" => &["false_not_run", "over_limit", "phases_with_room_unused"],
        "cold" => &[
            "phases_unreported",
            "services_unused_all_cold",
            "windows_over_bound",
        ],
        "silent" => &["ejected_wrongly"],
        "charge" => &["reports_by_two", "tokens_doubled", "windows_differing"],
        "issuer" => &[
            "answers_broken",
            "orders_by_two",
            "orders_changed",
            "orders_outside_lease",
            "stops_with_inflight",
            "upstreams_started_twice",
        ],
        "stopping" => &["cut", "failed", "false_not_run", "unclean_exits"],
        "spot" => &["interactive_failed_share", "orders_doubled"],
        _ => forbidden_by_length(scenario),
    }
}

/// Returns the same for scenarios of long jobs and bodies.
fn forbidden_by_length(scenario: &str) -> &'static [&'static str] {
    match scenario {
        "bodies" => &["entries_over_bound", "not_served", "wrong_bodies"],
        "long_jobs" => &[
            "ends_unacknowledged",
            "jobs_unfinished",
            "long_unclear",
            "long_unfinished",
        ],
        _ => &[],
    }
}

/// Fails if a forbidden count is missing or not zero. Figures may be nested: the count is checked
/// in each part that has it.
pub fn check(scenario: &str, figures: &Value) -> anyhow::Result<()> {
    for name in forbidden(scenario) {
        let mut counts = Vec::new();
        collect(name, figures, &mut counts);
        if counts.is_empty() {
            bail!("{scenario}: {name} is missing");
        }
        if let Some(nonzero) = counts.iter().find(|c| c.as_f64() != Some(0.0)) {
            bail!("{scenario}: {name} is {nonzero}, not 0");
        }
    }
    Ok(())
}

fn collect<'a>(name: &str, figures: &'a Value, counts: &mut Vec<&'a Value>) {
    let Value::Object(fields) = figures else {
        return;
    };
    for (field, value) in fields {
        if field == name {
            counts.push(value);
        }
        collect(name, value, counts);
    }
}
