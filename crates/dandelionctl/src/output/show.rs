//! Formatting of answers as plain text.

use comfy_table::Table;
use comfy_table::presets;
use serde::Serialize;

/// An answer that can be printed as plain text or as JSON.
pub trait Show: Serialize {
    /// Formats the answer as plain text that ends with a line break.
    fn show(&self) -> String;
}

/// Builder of a table in plain text.
#[derive(Debug)]
pub struct Grid {
    table: Table,
}

impl Grid {
    /// Creates a table with the given column names and no rows.
    pub fn new(columns: &[&str]) -> Self {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING);
        table.set_header(columns);
        Self { table }
    }

    /// Adds a row of one cell for each column.
    #[must_use]
    pub fn row(mut self, cells: &[&dyn ToString]) -> Self {
        self.table
            .add_row(cells.iter().map(|cell| cell.to_string()));
        self
    }

    /// Adds a row for each record; `cells` returns its cells.
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

    /// Formats the table, without the padding around its lines.
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
