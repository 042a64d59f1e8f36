//! Bounds that the queue model must meet with each of these seeds.

#[path = "../examples/model/parts/mod.rs"]
mod parts;

use serde_json::Value;

const SEEDS: [u64; 4] = [4, 8, 10, 15];

fn figure(report: &Value, path: &str) -> f64 {
    let found = report.pointer(path).and_then(Value::as_f64);
    found.unwrap_or_else(|| panic!("no {path} in {report}"))
}

#[test]
fn fairness() {
    for seed in SEEDS {
        let report = parts::fairness::measure(seed);
        assert!(figure(&report, "/worst_team_share") >= 0.9, "{report}");
        assert!(
            figure(&report, "/baseline_worst_team_share") < 0.9,
            "{report}"
        );
        let own = figure(&report, "/interactive_p99_ms");
        assert!(own < figure(&report, "/baseline_p99_ms"), "{report}");
        assert!(figure(&report, "/false_not_run") < 1.0, "{report}");
    }
}

#[test]
fn overload() {
    for seed in SEEDS {
        let report = parts::overload::measure(seed);
        assert!(figure(&report, "/goodput_ratio") >= 0.9, "{report}");
        assert!(figure(&report, "/baseline_goodput_ratio") < 0.9, "{report}");
        assert!(figure(&report, "/refused_at_capacity") < 0.05, "{report}");
        assert!(figure(&report, "/false_not_run") < 1.0, "{report}");
    }
}

#[test]
fn classes() {
    for seed in SEEDS {
        let report = parts::classes::measure(seed);
        assert!(figure(&report, "/interactive_good") >= 0.99, "{report}");
        assert!(figure(&report, "/rollouts_done") >= 0.99, "{report}");
        let own = figure(&report, "/interactive_p99_ms");
        assert!(own * 2.0 < figure(&report, "/baseline_p99_ms"), "{report}");
        assert!(figure(&report, "/false_not_run") < 1.0, "{report}");
    }
}

#[test]
fn poison() {
    for seed in SEEDS {
        let report = parts::poison::measure(seed);
        assert!(
            figure(&report, "/upstreams_lost_per_poison") <= 2.0,
            "{report}"
        );
        assert!(figure(&report, "/innocents_refused") < 1.0, "{report}");
    }
}

#[test]
fn affinity() {
    for seed in SEEDS {
        let report = parts::affinity::measure(seed);
        let gained = figure(&report, "/hit_rate") / figure(&report, "/baseline_hit_rate");
        assert!(gained >= 2.0, "{report}");
        assert!(figure(&report, "/load_spread") <= 1.25, "{report}");
        let slower = figure(&report, "/p99_ms") / figure(&report, "/baseline_p99_ms");
        assert!(slower <= 1.1, "{report}");
    }
}

#[test]
fn routing() {
    for seed in SEEDS {
        let report = parts::routing::measure(seed);
        for case in ["/even", "/skewed"] {
            let owner = figure(&report, &format!("{case}/by_owner/mean_wait_ms"));
            let lease = figure(&report, &format!("{case}/by_lease/mean_wait_ms"));
            assert!(owner < lease, "{case} {report}");
        }
    }
}

#[test]
fn spread() {
    let report = parts::spread::measure();
    let zone = report.as_array().and_then(|sizes| sizes.last());
    let zone = zone.unwrap_or_else(|| panic!("{report}"));
    let moved = figure(zone, "/moved_when_one_leaves");
    assert!(moved <= 3.0 * 555.0 / 72.0, "{report}");
    assert!(
        figure(zone, "/most_at_one_owner") <= 3.0 * 555.0 / 72.0,
        "{report}"
    );
    assert!(
        figure(zone, "/digest_bytes_each_s_both_ways") <= 2048.0,
        "{report}"
    );
}
