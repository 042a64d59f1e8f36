//! The output formats.

use clap::ValueEnum;

use super::show::Show;

/// Format in which answers are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Plain text and tables.
    Table,
    /// JSON with the schema's field names.
    Json,
}

/// Formats an answer; the text ends with a line break.
pub fn render<A>(format: OutputFormat, answer: &A) -> String
where
    A: Show,
{
    match format {
        OutputFormat::Table => answer.show(),
        OutputFormat::Json => match serde_json::to_string_pretty(answer) {
            Ok(text) => format!("{text}\n"),
            Err(error) => format!("{{\"error\":\"the answer has no JSON form: {error}\"}}\n"),
        },
    }
}
