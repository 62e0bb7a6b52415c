//! Turns TOML text and JSON records into untyped nodes.

use std::sync::Arc;

use toml_edit::{Array, Document, InlineTable, Item, Key, TomlError};

use crate::fault::{Fault, FaultKind};
use crate::node::{Node, Place, Table, Value};

/// Parses one file into a table node.
///
/// # Errors
///
/// Returns the first syntax fault of the file.
pub(crate) fn parse_toml(file: &str, text: &str) -> Result<Table, Fault> {
    let whole = Place::new(file);
    let document = Document::parse(text).map_err(|e| syntax_fault(&whole, text, &e))?;
    let source = Source { whole, text };
    Ok(source.table(document.as_table()))
}

fn syntax_fault(whole: &Place, text: &str, error: &TomlError) -> Fault {
    let place = match error.span() {
        Some(span) => whole.with_offset(text, span.start),
        None => whole.clone(),
    };
    let first_line = error.message().lines().next().unwrap_or_default();
    Fault {
        place,
        path: Arc::from(""),
        kind: FaultKind::Syntax(Arc::from(first_line)),
        clash: None,
    }
}

/// The text under conversion.
struct Source<'a> {
    whole: Place,
    text: &'a str,
}

impl Source<'_> {
    fn place(&self, offset: Option<usize>) -> Place {
        match offset {
            Some(offset) => self.whole.with_offset(self.text, offset),
            None => self.whole.clone(),
        }
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
            let place = self.place(key.span().map(|s| s.start));
            Some((Arc::from(name), self.node(place, value)))
        });
        Value::Table(entries.collect())
    }

    fn entry(&self, key: &Key, item: &Item) -> Option<Node> {
        let place = self.place(key.span().map(|s| s.start));
        match item {
            Item::None => None,
            Item::Value(value) => Some(self.node(place, value)),
            Item::Table(table) => Some(Node {
                place,
                value: Value::Table(self.table(table)),
            }),
            Item::ArrayOfTables(tables) => {
                let nodes = tables.iter().map(|table| Node {
                    place: self.place(table.span().map(|s| s.start)),
                    value: Value::Table(self.table(table)),
                });
                Some(Node {
                    place,
                    value: Value::List(nodes.collect()),
                })
            }
        }
    }

    fn node(&self, place: Place, value: &toml_edit::Value) -> Node {
        let value = match value {
            toml_edit::Value::String(text) => Value::Text(Arc::from(text.value().as_str())),
            toml_edit::Value::Integer(n) => Value::Integer(*n.value()),
            toml_edit::Value::Float(n) => Value::Float(*n.value()),
            toml_edit::Value::Boolean(b) => Value::Bool(*b.value()),
            toml_edit::Value::Datetime(_) => Value::Date,
            toml_edit::Value::Array(list) => self.list(list),
            toml_edit::Value::InlineTable(table) => self.inline_table(table),
        };
        Node { place, value }
    }

    fn list(&self, list: &Array) -> Value {
        let nodes = list.iter().map(|value| {
            let place = self.place(value.span().map(|s| s.start));
            self.node(place, value)
        });
        Value::List(nodes.collect())
    }
}

/// Turns a JSON value into a node; members that are null count as absent.
pub(crate) fn node_from_json(record: &Place, json: &serde_json::Value) -> Node {
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
        place: record.clone(),
        value,
    }
}
