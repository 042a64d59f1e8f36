//! Formats of a log line.

use std::io;
use std::io::Write;

use flexi_logger::DeferredNow;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Serialize;

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// A field of a log line, other than number and name.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Field {
    key: String,
    value: String,
}

/// Event number, event name and other fields of a record; other records have no number and name.
#[derive(Debug, Default)]
struct Fields {
    number: Option<u64>,
    name: Option<String>,
    others: Vec<Field>,
}

impl Fields {
    fn of(record: &Record<'_>) -> Self {
        let mut fields = Self::default();
        let visited = record.key_values().visit(&mut fields);
        debug_assert!(visited.is_ok(), "collecting fields cannot fail");
        fields
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        match key.as_str() {
            "event" => self.number = value.to_u64(),
            "event_name" => self.name = Some(value.to_string()),
            other => self.others.push(Field {
                key: other.to_owned(),
                value: value.to_string(),
            }),
        }
        Ok(())
    }
}

/// Writes a record as text: time, level, event number and name (or else the target), fields,
/// message.
pub fn write_text(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let fields = Fields::of(record);
    write!(
        out,
        "{} {:5}",
        now.now_utc_owned().format(TIME_FORMAT),
        record.level()
    )?;
    match (fields.number, &fields.name) {
        (Some(number), Some(name)) => write!(out, " E{number} {name}")?,
        _ => write!(out, " [{}]", record.target())?,
    }
    for field in &fields.others {
        write!(out, " {}={}", field.key, quoted(&field.value))?;
    }
    write!(out, ": {}", escaped(&record.args().to_string()))
}

#[derive(Debug, Serialize)]
struct JsonLine<'a> {
    at: String,
    level: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    event: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<String>,
    target: &'a str,
    fields: serde_json::Map<String, serde_json::Value>,
    message: String,
}

/// Writes a record as one JSON object.
pub fn write_json(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let fields = Fields::of(record);
    let pairs = fields.others.into_iter();
    let line = JsonLine {
        at: now.now_utc_owned().format(TIME_FORMAT).to_string(),
        level: record.level().as_str(),
        event: fields.number,
        name: fields.name,
        target: record.target(),
        fields: pairs.map(|field| (field.key, field.value.into())).collect(),
        message: record.args().to_string(),
    };
    serde_json::to_writer(out, &line).map_err(io::Error::from)
}

/// Quotes a value unless it reads as a single word.
fn quoted(value: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

/// Escapes control characters, so that a message stays on one line.
fn escaped(message: &str) -> String {
    message
        .chars()
        .flat_map(|c| {
            let control = c.is_control();
            let plain = (!control).then_some(c);
            let escape = control.then(|| c.escape_default());
            plain.into_iter().chain(escape.into_iter().flatten())
        })
        .collect()
}
