//! Faults of a configuration, each with its location and cause.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;

use crate::node::Location;

quick_error! {
    /// Kind of a fault of a value, a file or the folder.
    #[derive(Debug, Clone, PartialEq)]
    pub enum FaultKind {
        /// The folder or a file can't be read.
        Unreadable(cause: Arc<str>) {
            display("can't be read: {cause}")
        }
        /// The folder has no `*.toml` file.
        Empty {
            display("holds no *.toml file")
        }
        /// The folder has more files than the limit.
        TooManyFiles(limit: usize) {
            display("holds more than {limit} *.toml files")
        }
        /// A file, the folder or a record exceeds its limit in bytes.
        TooLarge(limit: usize) {
            display("is larger than {limit} bytes")
        }
        /// The merged tree exceeds the size limit of a record, in bytes.
        RecordTooLarge(limit: usize, classes: usize) {
            display("is larger than {limit} bytes as a record, with {classes} classes")
        }
        /// The file isn't UTF-8.
        NotUtf8 {
            display("isn't UTF-8 text")
        }
        /// The file isn't TOML, or the record isn't JSON.
        Syntax(cause: Arc<str>) {
            display("syntax: {cause}")
        }
        /// A key that is not a setting, with the most similar setting.
        UnknownKey(nearest: Option<Arc<str>>) {
            display("is not a setting{}", suggestion(nearest.as_deref()))
        }
        /// A value of the wrong type.
        WrongType(wanted: &'static str, found: &'static str) {
            display("must be {wanted}, not {found}")
        }
        /// A value outside its range.
        OutOfRange(wanted: Arc<str>) {
            display("must be {wanted}")
        }
        /// A string that isn't one of the choices.
        UnknownChoice(value: Arc<str>, choices: Arc<str>) {
            display("is {value:?}, but must be one of {choices}")
        }
        /// A name that is empty, longer than 64, or has characters other than a-z, 0-9 and '-'.
        InvalidName {
            display("must be named with 1 to 64 of a-z, 0-9 and '-'")
        }
        /// A later file sets a table where an earlier one set a value, or the reverse.
        TypeConflict(now: &'static str, before: &'static str) {
            display("is {now} here, but {before} in an earlier file")
        }
        /// `remove` applies to an entry that no earlier file sets.
        RemoveUnset {
            display("is removed, but no earlier file sets it")
        }
        /// `remove` has other keys beside it or isn't `true`.
        InvalidRemove {
            display("`remove = true` must stand alone in its table")
        }
        /// A required setting isn't set.
        Missing {
            display("must be set")
        }
        /// A table has more entries than the limit.
        TooManyEntries(limit: usize) {
            display("has more than {limit} entries")
        }
        /// A reference to an entry that isn't declared, with the most similar name.
        Undeclared(entry_kind: &'static str, name: Arc<str>, nearest: Option<Arc<str>>) {
            display("names the {entry_kind} {name:?}, which is not declared{}", suggestion(nearest.as_deref()))
        }
        /// A value that is invalid in itself or conflicts with another setting.
        Inconsistent(cause: Arc<str>) {
            display("{cause}")
        }
    }
}

fn suggestion(nearest: Option<&str>) -> String {
    match nearest {
        Some(name) => format!("; did you mean `{name}`?"),
        None => String::new(),
    }
}

/// A fault of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Location of the faulty value.
    pub location: Location,
    /// Dotted path of the setting, empty for a whole file.
    pub path: Arc<str>,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Location of the conflicting value, if there is one.
    pub conflict: Option<Location>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.location)?;
        if !self.path.is_empty() {
            write!(f, "{} ", self.path)?;
        }
        write!(f, "{}", self.kind)?;
        match &self.conflict {
            Some(location) => write!(f, " (the other is set at {location})"),
            None => Ok(()),
        }
    }
}

/// All faults of a configuration, ordered by location.
#[derive(Debug, Clone, PartialEq)]
pub struct Faults {
    /// Faults, never empty.
    pub list: Vec<Fault>,
}

impl Faults {
    /// Sorts the faults by location and path.
    pub(crate) fn new(mut list: Vec<Fault>) -> Self {
        list.sort_by(|a, b| (&a.location, &a.path).cmp(&(&b.location, &b.path)));
        Faults { list }
    }

    /// Returns the single fault of a whole file or folder.
    pub(crate) fn for_file(file: &str, kind: FaultKind) -> Self {
        Faults {
            list: vec![Fault {
                location: Location::new(file),
                path: Arc::from(""),
                kind,
                conflict: None,
            }],
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.list.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
