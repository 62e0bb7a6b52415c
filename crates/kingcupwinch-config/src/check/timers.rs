//! Checks timers against each other.

use super::collector::FaultCollector;
use crate::tree::Tree;

pub(super) fn check(tree: &Tree, faults: &mut FaultCollector<'_>) {
    let timers = &tree.timers;
    if timers.clock_ms >= timers.window_ms {
        let cause = format!(
            "is {}, not below `window_ms` of {}",
            timers.clock_ms, timers.window_ms
        );
        faults.add_conflict("timers.clock_ms", "timers.window_ms", cause);
    }
}
