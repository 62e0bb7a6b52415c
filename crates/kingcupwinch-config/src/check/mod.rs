//! Checks of a merged tree that go beyond the type and range of a single setting.

mod collector;
mod references;
mod shares;
mod sizes;
mod timers;

use std::sync::Arc;

use crate::decode::{Decode, Decoder};
use crate::fault::{Fault, FaultKind, Faults};
use crate::node::{Location, Node};
use crate::origin::Origins;
use crate::parse::node_from_json;
use crate::tree::Tree;
use collector::FaultCollector;

/// Maximum size of a published tree in bytes; a log record holds the tree and its envelope.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// File name used in the faults of a published tree.
const RECORD_NAME: &str = "record";

/// Decodes a merged node and runs all checks, appending the faults to `faults`.
pub(crate) fn check_node(root: &Node, origins: &Origins, faults: &mut Vec<Fault>) -> Tree {
    let mut decoder = Decoder::default();
    let tree = Tree::decode(root, &mut decoder).unwrap_or_default();
    faults.append(&mut decoder.faults);
    let mut collector = FaultCollector::new(origins, faults);
    references::check(&tree, &mut collector);
    shares::check(&tree, &mut collector);
    sizes::check(&tree, &mut collector);
    timers::check(&tree, &mut collector);
    let json = tree.to_canonical_json();
    if json.len() > MAX_RECORD_BYTES {
        collector.add(
            "",
            FaultKind::RecordTooLarge(MAX_RECORD_BYTES, tree.classes.len()),
        );
    }
    tree
}

impl Tree {
    /// Parses a published tree and runs the same checks as on a folder.
    ///
    /// # Errors
    ///
    /// Returns all faults of the tree.
    pub fn from_json(json: &str) -> Result<Self, Faults> {
        if json.len() > MAX_RECORD_BYTES {
            return Err(record_fault(FaultKind::TooLarge(MAX_RECORD_BYTES)));
        }
        let value: serde_json::Value = serde_json::from_str(json)
            .map_err(|e| record_fault(FaultKind::Syntax(Arc::from(e.to_string()))))?;
        let root = node_from_json(&Location::new(RECORD_NAME), &value);
        let mut faults = Vec::new();
        let origins = Origins::root_only(&root);
        let tree = check_node(&root, &origins, &mut faults);
        if faults.is_empty() {
            Ok(tree)
        } else {
            Err(Faults::new(faults))
        }
    }
}

fn record_fault(kind: FaultKind) -> Faults {
    Faults::for_file(RECORD_NAME, kind)
}
