//! The check of forbidden counts fails on a nonzero or missing count, also in a nested part, and
//! the `spot` model passes it.

use dandelion_load::checks;
use dandelion_load::registry;
use serde_json::Value;
use serde_json::json;

#[test]
fn zero_passes() {
    let figures = json!({ "conflicts_unnamed": 0, "doubled": 0, "lost": 0, "none_won": 0 });
    checks::check("races", &figures).unwrap();
}

#[test]
fn one_fails() {
    let figures = json!({ "conflicts_unnamed": 0, "doubled": 0, "lost": 1, "none_won": 0 });
    let error = checks::check("races", &figures).unwrap_err();
    assert_eq!(error.to_string(), "races: lost is 1, not 0");
}

#[test]
fn missing_fails() {
    let error =
        checks::check("races", &json!({ "conflicts_unnamed": 0, "doubled": 0 })).unwrap_err();
    assert_eq!(error.to_string(), "races: lost is missing");
}

#[test]
fn part_fails() {
    let part = |cut: u64| json!({ "cut": cut });
    checks::check("drain", &json!({ "first": part(0), "second": part(0) })).unwrap();
    let wrong = json!({ "first": part(0), "second": part(3) });
    let error = checks::check("drain", &wrong).unwrap_err();
    assert_eq!(error.to_string(), "drain: cut is 3, not 0");
}

#[test]
fn model_passes() {
    let scenario = registry::find("spot").unwrap();
    let figures: Value = (scenario.run)(1).unwrap();
    checks::check("spot", &figures).unwrap();
    assert!(figures["cost_ratio"].as_f64().unwrap() <= 0.6);
    assert!(figures["cheap_share"].as_f64().unwrap() >= 0.8);
}
