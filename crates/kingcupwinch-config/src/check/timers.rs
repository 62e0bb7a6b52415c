//! Checks of lengths of time against each other.

use super::report::Report;
use crate::tree::Tree;

pub(super) fn check(tree: &Tree, report: &mut Report<'_>) {
    let timers = &tree.timers;
    if timers.clock_ms >= timers.window_ms {
        let cause = format!(
            "is {}, not below `window_ms` of {}",
            timers.clock_ms, timers.window_ms
        );
        report.contradiction("timers.clock_ms", "timers.window_ms", cause);
    }
}
