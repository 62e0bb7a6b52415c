//! Faults of a configuration folder, each with its location and cause.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;

use crate::node::Location;

quick_error! {
    /// What is wrong with a value, a file or the folder.
    #[derive(Debug, Clone, PartialEq)]
    pub enum FaultKind {
        /// The folder or a file can't be read.
        Unreadable(cause: Arc<str>) {
            display("can't be read: {cause}")
        }
        /// The folder holds no file to merge.
        Empty {
            display("holds no *.toml file")
        }
        /// The folder holds more files than the limit.
        TooManyFiles(most: usize) {
            display("holds more than {most} *.toml files")
        }
        /// A file, the folder or a record is over its limit of bytes.
        TooLarge(most: usize) {
            display("is larger than {most} bytes")
        }
        /// The merged tree is over the limit of a record.
        RecordTooLarge(most: usize, classes: usize) {
            display("is larger than {most} bytes as a record, with {classes} classes")
        }
        /// The file isn't UTF-8.
        NotUtf8 {
            display("isn't UTF-8 text")
        }
        /// The file isn't TOML, or the record isn't JSON.
        Syntax(cause: Arc<str>) {
            display("syntax: {cause}")
        }
        /// A key that no setting has.
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
        /// A word that isn't one of the choices.
        UnknownChoice(word: Arc<str>, choices: Arc<str>) {
            display("is {word:?}, but must be one of {choices}")
        }
        /// A name with characters outside a-z, 0-9 and the hyphen, or longer than 64.
        InvalidName {
            display("must be named with 1 to 64 of a-z, 0-9 and '-'")
        }
        /// A later file sets a table where an earlier one set a value, or the reverse.
        TypeConflict(now: &'static str, before: &'static str) {
            display("is {now} here, but {before} in an earlier file")
        }
        /// `remove` names an entry that no earlier file set.
        RemoveUnset {
            display("is removed, but no earlier file sets it")
        }
        /// `remove` stands beside other keys or isn't `true`.
        InvalidRemove {
            display("`remove = true` must stand alone in its table")
        }
        /// A setting without a default isn't set.
        Missing {
            display("must be set")
        }
        /// A table with more entries than the limit.
        TooManyEntries(most: usize) {
            display("has more than {most} entries")
        }
        /// A reference to an entry that isn't declared.
        Undeclared(entry_kind: &'static str, name: Arc<str>, nearest: Option<Arc<str>>) {
            display("names the {entry_kind} {name:?}, which is not declared{}", suggestion(nearest.as_deref()))
        }
        /// Two settings contradict each other.
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

/// One fault.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Where the faulty value was set.
    pub location: Location,
    /// The dotted path of the setting, empty for a whole file.
    pub path: Arc<str>,
    /// What is wrong.
    pub kind: FaultKind,
    /// Where the value that it clashes with was set.
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

/// Every fault found in one pass, in the order of their places.
#[derive(Debug, Clone, PartialEq)]
pub struct Faults {
    /// The faults; never empty.
    pub list: Vec<Fault>,
}

impl Faults {
    /// Sorts the faults by location.
    pub(crate) fn new(mut list: Vec<Fault>) -> Self {
        list.sort_by(|a, b| (&a.location, &a.path).cmp(&(&b.location, &b.path)));
        Faults { list }
    }

    /// Makes the only fault of a whole file or folder.
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
