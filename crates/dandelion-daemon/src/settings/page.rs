//! The settings page of the documentation, generated from the flags.

use std::fmt::Write;

use clap::Arg;
use clap::CommandFactory;

use crate::settings::args::Settings;

const INTRODUCTION: &str = "# Settings of dandelionrun

Every setting is a flag and an environment variable; the flag goes first. Settings are checked
before anything starts: one that cannot be used ends the process with status 2 and a message that
names the setting, its value and the remedy. Lists are separated by commas or by repeated flags.
This page is written by `cargo run -p dandelion-daemon --example settings > docs/SETTINGS.md`.
";

/// Returns the page as Markdown, with one table for each help heading.
pub fn settings_page() -> String {
    let command = Settings::command();
    let mut page = INTRODUCTION.to_owned();
    let mut heading = String::new();
    for arg in command.get_arguments() {
        let Some(section) = arg.get_help_heading() else {
            continue;
        };
        if section != heading {
            section.clone_into(&mut heading);
            page.push_str(&section_header(section));
        }
        page.push_str(&row(arg));
    }
    page
}

fn section_header(section: &str) -> String {
    format!(
        "\n## {section}\n\n| flag | environment variable | default | meaning |\n\
         | --- | --- | --- | --- |\n"
    )
}

fn row(arg: &Arg) -> String {
    let flag = arg.get_long().unwrap_or_default();
    let value = arg
        .get_value_names()
        .and_then(|names| names.first())
        .map_or("", |name| name.as_str());
    let variable = arg.get_env().map(|name| name.to_string_lossy());
    let default = arg.get_default_values().first();
    let default = default.map_or(String::new(), |text| {
        format!("`{}`", text.to_string_lossy())
    });
    let meaning = arg.get_help().map(ToString::to_string);
    let mut row = String::new();
    let written = writeln!(
        row,
        "| `--{flag} {value}` | `{}` | {default} | {} |",
        variable.unwrap_or_default(),
        meaning.unwrap_or_default()
    );
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
    row
}
