//! Untyped tree of merged values, each with the location that set it.

use std::fmt;
use std::sync::Arc;

use indexmap::IndexMap;

/// Position in a file at which a value was set.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Name of the file within its folder.
    pub file: Arc<str>,
    /// Line, counted from 1; 0 stands for the whole file.
    pub line: u32,
    /// Column in characters, counted from 1; 0 stands for the whole file.
    pub column: u32,
}

impl Location {
    /// Returns the location of a whole file.
    pub fn new(file: impl Into<Arc<str>>) -> Self {
        Location {
            file: file.into(),
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// Entries of a table by key, in the order of their first definition.
pub(crate) type Table = IndexMap<Arc<str>, Node>;

/// A value and the location at which it was set.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) location: Location,
    pub(crate) value: Value,
}

impl Node {
    /// Returns an empty table.
    pub(crate) fn new_table(location: Location) -> Self {
        Node {
            location,
            value: Value::Table(Table::new()),
        }
    }
}

/// An untyped value.
#[derive(Debug, Clone)]
pub(crate) enum Value {
    Table(Table),
    List(Vec<Node>),
    Text(Arc<str>),
    Integer(i64),
    Float(f64),
    Bool(bool),
    Date,
}

impl Value {
    /// Returns the type of the value with its article, for messages.
    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            Value::Table(_) => "a table",
            Value::List(_) => "a list",
            Value::Text(_) => "a string",
            Value::Integer(_) => "an integer",
            Value::Float(_) => "a float",
            Value::Bool(_) => "a boolean",
            Value::Date => "a date",
        }
    }
}
