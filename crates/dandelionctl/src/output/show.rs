//! Answers as text.

use comfy_table::Table;
use comfy_table::presets;
use serde::Serialize;

/// An answer that can be shown.
pub trait Show: Serialize {
    /// Writes it as text that ends with a line break.
    fn show(&self) -> String;
}

/// A table under construction.
#[derive(Debug)]
pub struct Grid {
    table: Table,
}

impl Grid {
    /// Makes a table with the given column names.
    pub fn new(columns: &[&str]) -> Self {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING);
        table.set_header(columns);
        Self { table }
    }

    /// Adds a row.
    #[must_use]
    pub fn row(mut self, cells: &[&dyn ToString]) -> Self {
        self.table
            .add_row(cells.iter().map(|cell| cell.to_string()));
        self
    }

    /// Adds a row for each record.
    #[must_use]
    pub fn rows<R, F>(mut self, records: &[R], cells: F) -> Self
    where
        F: Fn(&R) -> Vec<String>,
    {
        for record in records {
            self.table.add_row(cells(record));
        }
        self
    }

    /// Writes the table.
    pub fn text(&self) -> String {
        let table = self.table.to_string();
        let mut text = String::with_capacity(table.len());
        for line in table.lines() {
            text.push_str(line.strip_prefix(' ').unwrap_or(line).trim_end());
            text.push('\n');
        }
        text
    }
}
