//! Checks of lengths of time against each other.

use super::report::Report;
use crate::tree::Tree;
use crate::units::Millis;

/// Heartbeats that must fit into a lease or promise, so that one lost message ends neither.
const HEARTBEATS_PER_LEASE: u64 = 4;

pub(super) fn check(tree: &Tree, report: &mut Report<'_>) {
    let timers = &tree.timers;
    let heartbeat = timers.heartbeat_ms.get();
    for (setting, length) in [
        ("lease_ms", timers.lease_ms),
        ("promise_ms", timers.promise_ms),
    ] {
        if heartbeat * HEARTBEATS_PER_LEASE > length.get() {
            let cause = format!(
                "is {}, more than a quarter of `{setting}` of {length}",
                timers.heartbeat_ms
            );
            report.contradiction("timers.heartbeat_ms", &format!("timers.{setting}"), cause);
        }
    }
    check_order(
        report,
        ("clock_ms", timers.clock_ms),
        ("window_ms", timers.window_ms),
    );
}

fn check_order(report: &mut Report<'_>, less: (&str, Millis), more: (&str, Millis)) {
    if less.1 >= more.1 {
        let cause = format!("is {}, not below `{}` of {}", less.1, more.0, more.1);
        let path = format!("timers.{}", less.0);
        report.contradiction(&path, &format!("timers.{}", more.0), cause);
    }
}
