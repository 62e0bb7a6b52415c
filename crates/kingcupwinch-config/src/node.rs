//! The untyped tree that files are merged into, with the location that set each value.

use std::fmt;
use std::sync::Arc;

use indexmap::IndexMap;

/// Where a value was set.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file's name within its folder.
    pub file: Arc<str>,
    /// The line from one, zero where a fault concerns the whole file.
    pub line: u32,
    /// The column from one in characters, zero where a fault concerns the whole file.
    pub column: u32,
}

impl Location {
    /// Makes a location that stands for a whole file.
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

/// The entries of a table by key.
pub(crate) type Table = IndexMap<Arc<str>, Node>;

/// A value and the location that set it.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) location: Location,
    pub(crate) value: Value,
}

impl Node {
    /// Makes an empty table.
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
    /// Returns the name of the value's type for messages.
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
