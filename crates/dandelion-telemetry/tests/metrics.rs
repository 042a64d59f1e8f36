//! Values of the metrics, and the limit on the labels of teams.

use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_telemetry::Metrics;

fn team(index: usize) -> TeamId {
    format!("team-{index}").parse().expect("valid")
}

fn observe(metrics: &Metrics, index: usize) {
    let handle = metrics.team(Some(&team(index)), Class::Interactive);
    handle.begin();
    handle.queued(Millis(3));
    handle.first_token(Millis(40));
    handle.end(Millis(250), 17);
}

fn count_series(text: &str) -> usize {
    let prefix = "dandelion_request_seconds_count{";
    text.lines().filter(|line| line.starts_with(prefix)).count()
}

#[test]
fn bounded_teams() {
    let metrics = Metrics::open(4).expect("opens");
    for index in 0..100 {
        observe(&metrics, index);
    }
    let text = metrics.render().expect("renders");
    assert_eq!(count_series(&text), 5, "{text}");
    let other = r#"dandelion_request_seconds_count{class="interactive",team="other"} 96"#;
    assert!(text.contains(other), "{text}");
}

#[test]
fn forgotten_team() {
    let metrics = Metrics::open(1).expect("opens");
    observe(&metrics, 0);
    metrics.forget_team(&team(0));
    observe(&metrics, 1);
    let text = metrics.render().expect("renders");
    assert!(!text.contains("team-0"));
    assert!(text.contains("team-1"));
}

#[test]
fn histogram_values() {
    let metrics = Metrics::open(4).expect("opens");
    observe(&metrics, 0);
    let text = metrics.render().expect("renders");
    for line in [
        r#"dandelion_request_seconds_sum{class="interactive",team="team-0"} 0.25"#,
        r#"dandelion_first_token_seconds_sum{class="interactive",team="team-0"} 0.04"#,
        r#"dandelion_queue_seconds_sum{class="interactive",team="team-0"} 0.003"#,
        r#"dandelion_answer_tokens_sum{class="interactive",team="team-0"} 17"#,
        r#"dandelion_inflight{class="interactive",team="team-0"} 0"#,
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}

#[test]
fn name_twice() {
    let metrics = Metrics::open(4).expect("opens");
    let counter = metrics
        .counter("orders_total", "Orders sent.")
        .expect("new");
    counter.inc();
    let error = metrics.counter("orders_total", "Orders sent.");
    let error = error.expect_err("name is taken").to_string();
    assert!(error.contains("one valid name"), "{error}");
    let text = metrics.render().expect("renders");
    assert!(text.contains("dandelion_orders_total 1"));
}
