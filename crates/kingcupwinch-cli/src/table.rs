//! Text tables with aligned columns.

use std::fmt;

/// Number of spaces between columns.
const COLUMN_GAP: usize = 2;

/// A header and rows of cells.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header.
    pub(crate) fn new<const N: usize>(header: [&str; N]) -> Self {
        Table {
            rows: vec![header.map(str::to_owned).to_vec()],
        }
    }

    /// Adds a row.
    pub(crate) fn push<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.to_vec());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}", width = width + COLUMN_GAP));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
