//! The events page of the documentation, written from the catalogue.

use std::fmt::Write;

use super::catalogue::Event;

const INTRODUCTION: &str = "# Events

Events are numbered and keep their number and name for good. A line of the log gives the time,
level, number, name and fields; `--log-format json` gives one JSON object a line. Hundreds: 100
start and stop, 200 control, 300 mesh and HTTP, 400 routing, 500 rollouts, 600 fleet, 700 usage,
800 keys and operators. This page is written by
`cargo run -p dandelion-telemetry --example events > docs/EVENTS.md`.

| number | level | name | meaning | remedy |
| --- | --- | --- | --- | --- |
";

/// Writes the page.
pub fn events_page() -> String {
    let mut page = INTRODUCTION.to_owned();
    for event in Event::ALL {
        let written = writeln!(
            page,
            "| {} | {} | `{}` | {} | {} |",
            event.number(),
            event.level().as_str().to_lowercase(),
            event.name(),
            event.meaning(),
            event.remedy()
        );
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
    }
    page
}
