//! Decodes untyped nodes into the typed tree and collects the faults.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::fault::{Fault, FaultKind};
use crate::node::{Node, Table, Value};
use crate::origin::join_path;
use crate::units::{Millis, Share, Weight};

/// Minimum Jaro-Winkler similarity of a name that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Maximum length of the name of a domain, service, class or customer.
const MAX_NAME_CHARS: usize = 64;

/// Maximum number of domains, services, classes, customers or objectives, each.
const MAX_ENTRIES: usize = 1_000;

/// A type that can be decoded from a node.
pub(crate) trait Decode: Sized {
    /// Decodes a node, or adds a fault and returns `None` if its type or range is wrong.
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self>;
}

/// State of decoding: the path of the current node and the faults so far.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    path: String,
    pub(crate) faults: Vec<Fault>,
}

impl Decoder {
    /// Adds a fault of the current node.
    pub(crate) fn fault(&mut self, node: &Node, kind: FaultKind) {
        self.faults.push(Fault {
            location: node.location.clone(),
            path: Arc::from(self.path.as_str()),
            kind,
            conflict: None,
        });
    }

    /// Returns the entries of a table and adds a fault for every key that isn't one of `keys`.
    pub(crate) fn table<'n>(&mut self, node: &'n Node, keys: &[&str]) -> Option<&'n Table> {
        let table = self.entries(node)?;
        for (key, entry) in table {
            if !keys.contains(&key.as_ref()) {
                let nearest = suggest_name(key, keys.iter().copied());
                self.within(key, |cx| cx.fault(entry, FaultKind::UnknownKey(nearest)));
            }
        }
        Some(table)
    }

    /// Adds a fault for each of the required `keys` that a table leaves unset.
    pub(crate) fn require(&mut self, node: &Node, table: &Table, keys: &[&str]) {
        for key in keys.iter().filter(|key| !table.contains_key(**key)) {
            self.within(key, |cx| cx.fault(node, FaultKind::Missing));
        }
    }

    /// Decodes a field of a table, or returns `None` if it is absent or invalid.
    pub(crate) fn field<T: Decode>(&mut self, table: &Table, key: &str) -> Option<T> {
        let node = table.get(key)?;
        self.within(key, |cx| T::decode(node, cx))
    }

    fn entries<'n>(&mut self, node: &'n Node) -> Option<&'n Table> {
        match &node.value {
            Value::Table(table) => Some(table),
            other => {
                self.fault(node, FaultKind::WrongType("a table", other.type_name()));
                None
            }
        }
    }

    fn within<T>(&mut self, key: &str, decode: impl FnOnce(&mut Self) -> T) -> T {
        let length = self.path.len();
        self.path = join_path(&self.path, key);
        let result = decode(self);
        self.path.truncate(length);
        result
    }

    fn wrong_type<T>(&mut self, node: &Node, wanted: &'static str) -> Option<T> {
        let found = node.value.type_name();
        self.fault(node, FaultKind::WrongType(wanted, found));
        None
    }

    fn in_range<T>(&mut self, node: &Node, value: Option<T>, range: &str) -> Option<T> {
        if value.is_none() {
            self.fault(node, FaultKind::OutOfRange(Arc::from(range)));
        }
        value
    }
}

/// Returns the known name that is most similar to `name`, if it is similar enough to suggest.
pub(crate) fn suggest_name<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<Arc<str>> {
    known
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| Arc::from(candidate))
}

/// Returns whether a string is valid as the name of an entry.
fn is_valid_name(name: &str) -> bool {
    let chars = name.bytes();
    let mut allowed = chars.map(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    (1..=MAX_NAME_CHARS).contains(&name.len()) && allowed.all(|ok| ok)
}

fn number(node: &Node) -> Option<f64> {
    match node.value {
        Value::Float(n) => Some(n),
        Value::Integer(n) => Some(n as f64),
        _ => None,
    }
}

impl<T: Decode> Decode for IndexMap<Arc<str>, T> {
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
        let table = cx.entries(node)?;
        if table.len() > MAX_ENTRIES {
            cx.fault(node, FaultKind::TooManyEntries(MAX_ENTRIES));
            return None;
        }
        let mut entries = IndexMap::with_capacity(table.len());
        for (name, child) in table {
            cx.within(name, |cx| {
                if !is_valid_name(name) {
                    cx.fault(child, FaultKind::InvalidName);
                }
                if let Some(entry) = T::decode(child, cx) {
                    entries.insert(Arc::clone(name), entry);
                }
            });
        }
        entries.sort_keys();
        Some(entries)
    }
}

impl<T: Decode> Decode for Vec<T> {
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
        let Value::List(list) = &node.value else {
            return cx.wrong_type(node, "a list");
        };
        let items = list.iter().filter_map(|item| T::decode(item, cx));
        Some(items.collect())
    }
}

impl<T: Decode> Decode for Option<T> {
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
        T::decode(node, cx).map(Some)
    }
}

impl Decode for Arc<str> {
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
        let Value::Text(text) = &node.value else {
            return cx.wrong_type(node, "a string");
        };
        if !is_valid_name(text) {
            cx.fault(node, FaultKind::InvalidName);
            return None;
        }
        Some(Arc::clone(text))
    }
}

impl Decode for bool {
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
        match node.value {
            Value::Bool(b) => Some(b),
            _ => cx.wrong_type(node, "true or false"),
        }
    }
}

macro_rules! decode_integer {
    ($($name:ty),*) => {$(
        impl Decode for $name {
            fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
                let Value::Integer(n) = node.value else {
                    return cx.wrong_type(node, "a whole number");
                };
                let range = format!("a whole number from 0 to {}", <$name>::MAX);
                cx.in_range(node, <$name>::try_from(n).ok(), &range)
            }
        }
    )*};
}

decode_integer!(u8, u16, u32);

impl Decode for Millis {
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
        let Value::Integer(n) = node.value else {
            return cx.wrong_type(node, Millis::RANGE);
        };
        let length = u64::try_from(n).ok().and_then(Millis::new);
        cx.in_range(node, length, Millis::RANGE)
    }
}

impl Decode for Share {
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
        let Some(n) = number(node) else {
            return cx.wrong_type(node, Share::RANGE);
        };
        cx.in_range(node, Share::new(n), Share::RANGE)
    }
}

impl Decode for Weight {
    fn decode(node: &Node, cx: &mut Decoder) -> Option<Self> {
        let Some(n) = number(node) else {
            return cx.wrong_type(node, Weight::RANGE);
        };
        cx.in_range(node, Weight::new(n), Weight::RANGE)
    }
}

/// Declares a table of settings: the struct, its defaults, its decoding and its serialization.
///
/// Serialization leaves out settings that equal their default, except those named by `requires`.
macro_rules! settings {
    ($(#[$meta:meta])* struct $name:ident $(requires $required:literal)? {
        $($(#[$field_meta:meta])* $field:ident: $type:ty = $default:expr,)*
    }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq)]
        pub struct $name {
            $($(#[$field_meta])* pub $field: $type,)*
        }

        impl $name {
            const KEYS: &[&str] = &[$(stringify!($field)),*];
            const REQUIRED: &[&str] = &[$($required)?];
        }

        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $default,)* }
            }
        }

        impl $crate::decode::Decode for $name {
            fn decode(
                node: &$crate::node::Node,
                cx: &mut $crate::decode::Decoder,
            ) -> Option<Self> {
                let table = cx.table(node, $name::KEYS)?;
                cx.require(node, table, $name::REQUIRED);
                Some($name {
                    $($field: cx.field(table, stringify!($field)).unwrap_or_else(|| $default),)*
                })
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                use serde::ser::SerializeMap;

                let mut map = serializer.serialize_map(None)?;
                $(
                    let key = stringify!($field);
                    if self.$field != $default || $name::REQUIRED.contains(&key) {
                        map.serialize_entry(key, &self.$field)?;
                    }
                )*
                map.end()
            }
        }

        impl $crate::values::CollectValues for $name {
            fn collect_values(&self, path: &str, values: &mut $crate::values::SettingValues) {
                $(
                    let field_path = $crate::origin::join_path(path, stringify!($field));
                    self.$field.collect_values(&field_path, values);
                )*
            }
        }
    };
}

/// Declares a setting with a fixed set of choices.
macro_rules! choices {
    ($(#[$meta:meta])* enum $name:ident {
        $($(#[$variant_meta:meta])* $variant:ident = $word:literal,)*
    }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        #[derive(serde::Serialize)]
        pub enum $name {
            $($(#[$variant_meta])* #[serde(rename = $word)] $variant,)*
        }

        impl $crate::values::CollectValues for $name {
            fn collect_values(&self, path: &str, values: &mut $crate::values::SettingValues) {
                $crate::values::insert(path, self.as_str(), values);
            }
        }

        impl $name {
            /// Returns the choice as written in the settings.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $($name::$variant => $word,)*
                }
            }
        }

        impl $crate::decode::Decode for $name {
            fn decode(
                node: &$crate::node::Node,
                cx: &mut $crate::decode::Decoder,
            ) -> Option<Self> {
                $crate::decode::decode_choice(node, cx, &[$(($word, $name::$variant)),*])
            }
        }
    };
}

pub(crate) use {choices, settings};

/// Decodes a string into one of the choices.
pub(crate) fn decode_choice<T: Copy>(
    node: &Node,
    cx: &mut Decoder,
    choices: &[(&str, T)],
) -> Option<T> {
    let Value::Text(text) = &node.value else {
        return cx.wrong_type(node, "a string");
    };
    let found = choices.iter().find(|(word, _)| *word == text.as_ref());
    if found.is_none() {
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let kind = FaultKind::UnknownChoice(Arc::clone(text), Arc::from(words.join(", ")));
        cx.fault(node, kind);
    }
    found.map(|(_, choice)| *choice)
}
