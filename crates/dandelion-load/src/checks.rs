//! Counts that a promise forbids, by scenario.

use anyhow::bail;
use serde_json::Value;

/// Returns the figures of a scenario that must be zero on every machine.
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
        "silent" => &["ejected_wrongly"],
        "charge" => &["reports_by_two", "tokens_doubled", "windows_differing"],
        "issuer" => &["orders_by_two", "orders_outside_lease"],
        "spot" => &["interactive_failed_share", "orders_doubled"],
        _ => &[],
    }
}

/// Fails if a forbidden count is missing or not zero.
pub fn check(scenario: &str, figures: &Value) -> anyhow::Result<()> {
    for name in forbidden(scenario) {
        let count = figures[name].as_f64();
        if count != Some(0.0) {
            bail!("{scenario}: {name} is {}, not 0", figures[name]);
        }
    }
    Ok(())
}
