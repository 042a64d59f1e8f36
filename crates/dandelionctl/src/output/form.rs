//! The form of the output.

use clap::ValueEnum;

use super::show::Show;

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputForm {
    /// Tables for reading.
    Table,
    /// JSON with the schema's field names.
    Json,
}

/// Writes an answer in a form.
pub fn render<A>(form: OutputForm, answer: &A) -> String
where
    A: Show,
{
    match form {
        OutputForm::Table => answer.show(),
        OutputForm::Json => match serde_json::to_string_pretty(answer) {
            Ok(text) => format!("{text}\n"),
            Err(error) => format!("{{\"error\":\"the answer has no JSON form: {error}\"}}\n"),
        },
    }
}
