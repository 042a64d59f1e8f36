//! The computed part of the capacity page agrees with the measured slopes.

use dandelion_load::capacity;
use dandelion_load::fit::Line;
use dandelion_load::fit::Point;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../../../docs/capacity-slopes.json");

#[test]
fn page_agrees() {
    let (_, after) = PAGE
        .split_once(capacity::BEGIN)
        .expect("the page has the begin marker");
    let (shown, _) = after
        .split_once(capacity::END)
        .expect("the page has the end marker");
    let slopes = capacity::read_slopes(SLOPES).expect("the slopes are valid");
    let computed = capacity::render(&slopes).expect("the slopes can be rendered");
    assert_eq!(shown.trim(), computed.trim());
}

#[test]
fn line_fitted() {
    let point = |size: f64, value: f64| Point { size, value };
    let line = Line::fit(&[point(1.0, 5.0), point(2.0, 7.0), point(4.0, 11.0)]);
    assert!((line.at(10.0) - 23.0).abs() < 1e-9, "{line:?}");
    assert!(line.spread < 1e-9, "{line:?}");
    let level = Line::fit(&[point(3.0, 2.0), point(3.0, 4.0)]);
    assert!((level.at(100.0) - 3.0).abs() < 1e-9, "{level:?}");
}
