//! Parses TOML files and JSON records into untyped nodes.

use std::sync::Arc;

use toml_edit::{Array, Document, InlineTable, Item, Key, TomlError};

use crate::fault::{Fault, FaultKind};
use crate::node::{Location, Node, Table, Value};

/// Length of the prefix of a line, in bytes, in which columns are counted in characters.
const MAX_CHAR_COUNT_BYTES: usize = 1_024;

/// Parses a TOML file into a table.
///
/// # Errors
///
/// Returns the first syntax error of the file.
pub(crate) fn parse_toml(file: &str, text: &str) -> Result<Table, Fault> {
    let source = Source::new(file, text);
    let document = Document::parse(text).map_err(|e| syntax_fault(&source, &e))?;
    Ok(source.table(document.as_table()))
}

fn syntax_fault(source: &Source<'_>, error: &TomlError) -> Fault {
    let first_line = error.message().lines().next().unwrap_or_default();
    Fault {
        location: source.location(error.span().map(|span| span.start)),
        path: Arc::from(""),
        kind: FaultKind::Syntax(Arc::from(first_line)),
        conflict: None,
    }
}

/// Text of a file, with an index of its lines.
struct Source<'a> {
    whole_file: Location,
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> Source<'a> {
    fn new(file: &str, text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(i, _)| i + 1);
        Source {
            whole_file: Location::new(file),
            text,
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// Returns the location of a byte offset, or that of the whole file without an offset.
    fn location(&self, offset: Option<usize>) -> Location {
        let Some(offset) = offset else {
            return self.whole_file.clone();
        };
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line.saturating_sub(1)];
        let column = self.columns(start, offset) + 1;
        Location {
            file: Arc::clone(&self.whole_file.file),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }

    /// Counts characters, but bytes far into a line: counting characters for every value of a
    /// long line would take quadratic time.
    fn columns(&self, start: usize, offset: usize) -> usize {
        let length = offset - start;
        if length > MAX_CHAR_COUNT_BYTES {
            return length;
        }
        let before = self.text.get(start..offset);
        before.map_or(length, |text| text.chars().count())
    }

    fn table(&self, table: &toml_edit::Table) -> Table {
        let entries = table.iter().filter_map(|(name, item)| {
            let key = table.key(name)?;
            Some((Arc::from(name), self.entry(key, item)?))
        });
        entries.collect()
    }

    fn inline_table(&self, table: &InlineTable) -> Value {
        let entries = table.iter().filter_map(|(name, value)| {
            let key = table.key(name)?;
            let location = self.location(key.span().map(|s| s.start));
            Some((Arc::from(name), self.node(location, value)))
        });
        Value::Table(entries.collect())
    }

    fn entry(&self, key: &Key, item: &Item) -> Option<Node> {
        let location = self.location(key.span().map(|s| s.start));
        match item {
            Item::None => None,
            Item::Value(value) => Some(self.node(location, value)),
            Item::Table(table) => Some(Node {
                location,
                value: Value::Table(self.table(table)),
            }),
            Item::ArrayOfTables(tables) => {
                let nodes = tables.iter().map(|table| Node {
                    location: self.location(table.span().map(|s| s.start)),
                    value: Value::Table(self.table(table)),
                });
                Some(Node {
                    location,
                    value: Value::List(nodes.collect()),
                })
            }
        }
    }

    fn node(&self, location: Location, value: &toml_edit::Value) -> Node {
        let value = match value {
            toml_edit::Value::String(text) => Value::Text(Arc::from(text.value().as_str())),
            toml_edit::Value::Integer(n) => Value::Integer(*n.value()),
            toml_edit::Value::Float(n) => Value::Float(*n.value()),
            toml_edit::Value::Boolean(b) => Value::Bool(*b.value()),
            toml_edit::Value::Datetime(_) => Value::Date,
            toml_edit::Value::Array(list) => self.list(list),
            toml_edit::Value::InlineTable(table) => self.inline_table(table),
        };
        Node { location, value }
    }

    fn list(&self, list: &Array) -> Value {
        let nodes = list.iter().map(|value| {
            let location = self.location(value.span().map(|s| s.start));
            self.node(location, value)
        });
        Value::List(nodes.collect())
    }
}

/// Converts a JSON value into a node; members that are null count as absent.
pub(crate) fn node_from_json(record: &Location, json: &serde_json::Value) -> Node {
    let value = match json {
        serde_json::Value::Null => Value::Table(Table::new()),
        serde_json::Value::Bool(b) => Value::Bool(*b),
        serde_json::Value::Number(n) => match n.as_i64() {
            Some(n) => Value::Integer(n),
            None => Value::Float(n.as_f64().unwrap_or(f64::NAN)),
        },
        serde_json::Value::String(text) => Value::Text(Arc::from(text.as_str())),
        serde_json::Value::Array(list) => {
            Value::List(list.iter().map(|v| node_from_json(record, v)).collect())
        }
        serde_json::Value::Object(members) => {
            let present = members.iter().filter(|(_, v)| !v.is_null());
            let entries = present.map(|(k, v)| (Arc::from(k.as_str()), node_from_json(record, v)));
            Value::Table(entries.collect())
        }
    };
    Node {
        location: record.clone(),
        value,
    }
}
