//! The untyped tree that files are merged into, with the place that set each value.

use std::fmt;
use std::sync::Arc;

use indexmap::IndexMap;

/// Where a value was set.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file's name within its folder.
    pub file: Arc<str>,
    /// The line from one, zero where a fault concerns the whole file.
    pub line: u32,
    /// The column from one in characters, zero where a fault concerns the whole file.
    pub column: u32,
}

impl Place {
    /// Makes a place that stands for a whole file.
    pub fn new(file: impl Into<Arc<str>>) -> Self {
        Place {
            file: file.into(),
            line: 0,
            column: 0,
        }
    }

    /// Returns the place of a byte offset in the file's text.
    pub(crate) fn with_offset(&self, text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        Place {
            file: Arc::clone(&self.file),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.file);
        }
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// The entries of a table by key.
pub(crate) type Table = IndexMap<Arc<str>, Node>;

/// A value and the place that set it.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) place: Place,
    pub(crate) value: Value,
}

impl Node {
    /// Makes an empty table.
    pub(crate) fn new_table(place: Place) -> Self {
        Node {
            place,
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
