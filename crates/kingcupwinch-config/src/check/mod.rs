//! Checks of a merged tree that span more than one setting.

mod references;
mod report;
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
use report::Report;

/// The most bytes of a published tree; a record of the log has room for it and its envelope.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// The name that stands for the file of a published tree.
const RECORD_NAME: &str = "record";

/// Decodes a merged node and runs every check on it.
pub(crate) fn check_node(root: &Node, origins: &Origins, faults: &mut Vec<Fault>) -> Tree {
    let mut decoder = Decoder::default();
    let tree = Tree::decode(root, &mut decoder).unwrap_or_default();
    faults.append(&mut decoder.faults);
    let mut report = Report::new(origins, faults);
    references::check(&tree, &mut report);
    shares::check(&tree, &mut report);
    sizes::check(&tree, &mut report);
    timers::check(&tree, &mut report);
    let json = tree.to_canonical_json();
    if json.len() > MAX_RECORD_BYTES {
        report.fault(
            "",
            FaultKind::RecordTooLarge(MAX_RECORD_BYTES, tree.classes.len()),
        );
    }
    tree
}

impl Tree {
    /// Reads a published tree and runs the same checks as on a folder.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found.
    pub fn from_json(json: &str) -> Result<Self, Faults> {
        if json.len() > MAX_RECORD_BYTES {
            return Err(record_fault(FaultKind::TooLarge(MAX_RECORD_BYTES)));
        }
        let value: serde_json::Value = serde_json::from_str(json)
            .map_err(|e| record_fault(FaultKind::Syntax(Arc::from(e.to_string()))))?;
        let root = node_from_json(&Location::new(RECORD_NAME), &value);
        let mut faults = Vec::new();
        let origins = Origins::with_root(&root);
        let tree = check_node(&root, &origins, &mut faults);
        if faults.is_empty() {
            Ok(tree)
        } else {
            Err(Faults::new(faults))
        }
    }
}

fn record_fault(kind: FaultKind) -> Faults {
    Faults::with_file(RECORD_NAME, kind)
}
