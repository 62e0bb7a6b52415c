//! Loads, merges and checks the configuration folder of a cluster.
//!
//! Operators declare domains, services, classes, customers and objectives in a folder of TOML
//! files. The files are merged in the order of their names: tables are merged by key, lists and
//! scalars are replaced. [`load_folder`] returns the typed [`Tree`] or all faults of the folder.
//! The tree is published as canonical JSON; [`Tree::from_json`] runs the same checks on it, so
//! that all readers of a published record agree on whether it is valid.
//!
//! ```
//! use kingcupwinch_config::{Tree, load_texts};
//!
//! let base = ("10-base.toml", "[domains.north]\nregion = \"coast\"\nslots = 8");
//! let later = ("20-more.toml", "[domains.north]\nslots = 16");
//! let loaded = load_texts([base, later])?;
//! assert_eq!(loaded.tree.domains["north"].slots, 16);
//! assert_eq!(loaded.origins.location("domains.north.slots").unwrap().line, 2);
//!
//! let json = loaded.tree.to_canonical_json();
//! assert_eq!(Tree::from_json(&json)?, loaded.tree);
//! # Ok::<(), kingcupwinch_config::Faults>(())
//! ```

mod check;
mod decode;
mod fault;
mod folder;
mod merge;
mod node;
mod origin;
mod parse;
mod tree;
mod units;
mod values;

pub use check::MAX_RECORD_BYTES;
pub use fault::{Fault, FaultKind, Faults};
pub use folder::{
    MAX_FILE_BYTES, MAX_FILES, MAX_FOLDER_BYTES, SkipReason, SkippedEntry, load_folder, load_texts,
};
pub use node::Location;
pub use origin::{LoadedConfig, Origins};
pub use tree::{
    Class, ClassKind, Contract, Customer, Domain, Limits, Objective, RetryPolicy, Service,
    TaskSize, Timers, Tree, Weights,
};
pub use units::{Millis, Share, Weight};
pub use values::SettingValues;
