//! Every record is one line in both formats, and events are written to the log file.

use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use dandelion_telemetry::logging;
use dandelion_telemetry::logging::LogFormat;
use dandelion_telemetry::logging::LogSettings;
use flexi_logger::DeferredNow;
use log::Level;
use log::LevelFilter;
use log::Record;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn format_line(value: &str, json: bool) -> String {
    let fields = [("detail", value)];
    let args = format_args!("message");
    let record = Record::builder()
        .level(Level::Warn)
        .target("test")
        .key_values(&fields)
        .args(args)
        .build();
    let mut out = Vec::new();
    let now = &mut DeferredNow::new();
    let written = if json {
        logging::write_json(&mut out, now, &record)
    } else {
        logging::write_text(&mut out, now, &record)
    };
    written.expect("written");
    String::from_utf8(out).expect("text")
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn stays_one_line(value: String) -> bool {
    let text = format_line(&value, false);
    let json: serde_json::Value = serde_json::from_str(&format_line(&value, true)).expect("JSON");
    !text.contains(['\n', '\r']) && json["fields"]["detail"] == value.as_str()
}

#[test]
fn one_line_each() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 6))
        .tests(2_000)
        .quickcheck(stays_one_line as fn(String) -> bool);
}

#[test]
fn events_to_file() {
    let folder = tempfile::tempdir().expect("folder");
    let settings = LogSettings {
        level: LevelFilter::Info,
        format: LogFormat::Json,
        folder: Some(folder.path().to_owned()),
    };
    let log = logging::open(&settings).expect("log opens");
    event!(Event::Started, daemon = "a1", zone = "limmat-1");
    log::debug!("below the level");
    log.flush();
    let file = std::fs::read_dir(folder.path()).expect("folder");
    let file = file.last().expect("one file").expect("entry").path();
    let text = std::fs::read_to_string(file).expect("log file");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 1, "{text}");
    let line: serde_json::Value = serde_json::from_str(lines[0]).expect("JSON");
    assert_eq!(line["event"], Event::Started.number());
    assert_eq!(line["name"], "daemon_started");
    assert_eq!(line["fields"]["zone"], "limmat-1");
}
