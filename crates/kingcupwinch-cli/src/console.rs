//! Output streams of a command and the output format.

use std::fmt;
use std::io::{self, Write};

use anstyle::{AnsiColor, Style};
use serde::Serialize;

use crate::table::Table;

/// Output format of a command.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text and tables for people.
    #[default]
    Table,
    /// A single JSON document for programs.
    Json,
}

/// The output and error streams of a command.
pub struct Console<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    has_colour: bool,
    format: Format,
}

impl fmt::Debug for Console<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Console")
            .field("has_colour", &self.has_colour)
            .field("format", &self.format)
            .finish_non_exhaustive()
    }
}

impl<'a> Console<'a> {
    /// Creates a console for tables without colour.
    pub fn new(out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Console {
            out,
            err,
            has_colour: false,
            format: Format::Table,
        }
    }

    /// Sets whether the output is coloured.
    #[must_use]
    pub fn with_colour(mut self, has_colour: bool) -> Self {
        self.has_colour = has_colour;
        self
    }

    /// Sets the output format.
    pub(crate) fn set_format(&mut self, format: Format) {
        self.format = format;
    }

    /// Returns whether the output format is JSON.
    pub(crate) fn is_json(&self) -> bool {
        self.format == Format::Json
    }

    /// Writes a line to the output.
    pub(crate) fn line(&mut self, text: impl fmt::Display) -> io::Result<()> {
        writeln!(self.out, "{text}")
    }

    /// Writes bytes to the output unchanged.
    pub(crate) fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.out.write_all(bytes)
    }

    /// Writes a note to the error stream.
    pub(crate) fn note(&mut self, text: impl fmt::Display) -> io::Result<()> {
        writeln!(self.err, "{text}")
    }

    /// Writes an error message to the error stream.
    pub(crate) fn error(&mut self, text: impl fmt::Display) -> io::Result<()> {
        let label = self.paint("error:", AnsiColor::Red);
        writeln!(self.err, "{label} {text}")
    }

    /// Writes a document to the output as JSON.
    pub(crate) fn json(&mut self, document: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer_pretty(&mut self.out, document)?;
        writeln!(self.out)
    }

    /// Writes a table to the output.
    pub(crate) fn table(&mut self, table: &Table) -> io::Result<()> {
        write!(self.out, "{table}")
    }

    /// Returns a word in bold colour, or unchanged if colour is off.
    pub(crate) fn paint(&self, word: &str, colour: AnsiColor) -> String {
        if !self.has_colour {
            return word.to_owned();
        }
        let style = Style::new().fg_color(Some(colour.into())).bold();
        format!("{style}{word}{style:#}")
    }
}
