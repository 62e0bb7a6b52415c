//! Tests which leases an owner grants, and which ones it expects of earlier owners.

use kingcupwinch_cell::LeaseBounds;
use kingcupwinch_time::{Span, Time};

use super::{LeaseLimits, LeaseRecord, MAX_LEASE, TERM_LEASE};

const ALLOWED: Span = Span::from_secs(10);

fn limits_after(record: Option<LeaseRecord>) -> LeaseLimits {
    LeaseLimits::new(5, ALLOWED, None, record)
}

#[test]
fn a_record_of_the_direct_predecessor_bounds_the_inherited_leases() {
    let before = LeaseLimits::new(4, ALLOWED, None, None);
    let limits = limits_after(Some(before.to_record()));
    assert_eq!(limits.inherited, MAX_LEASE);
    let now = Time::from_millis(60_000);
    assert_eq!(limits.record_due(now + Span::from_secs(4), now), now);
}

/// An owner in between, perhaps of an earlier version, may have granted the longest lease that the
/// platform allows, and its successor must not start a task anew before it has expired.
#[test]
fn without_a_record_of_the_direct_predecessor_the_longest_allowed_lease_is_expected() {
    let record = LeaseLimits::new(3, ALLOWED, None, None).to_record();
    for record in [None, Some(record)] {
        let limits = limits_after(record);
        assert_eq!(limits.inherited, ALLOWED);
        let now = Time::from_millis(60_000);
        let due = limits.record_due(now, now);
        assert!(due >= now + ALLOWED, "longer leases may be held until then");
    }
}

/// A long-running task on a lost worker has to run again 9 s after its last run, also where the
/// platform allows longer leases.
#[test]
fn granted_leases_leave_time_to_start_a_lost_task_again() {
    assert!(limits_after(None).granted <= Span::from_secs(9) - Span::from_secs(2));
    let allowed = Span::from_secs(6);
    assert!(LeaseLimits::new(1, allowed, None, None).granted < allowed);
}

/// Guards against a wait for the longest lease that the platform allows, where the owner before was lost
/// before it recorded its own.
#[test]
fn the_bounds_of_a_claim_hold_without_a_record() {
    let bounds = LeaseLimits::own_bounds(ALLOWED);
    let limits = LeaseLimits::new(5, ALLOWED, Some(bounds), None);
    assert_eq!(limits.inherited, MAX_LEASE);
    assert_eq!(limits.inherited_bounds, Some(bounds));
    let now = Time::from_millis(60_000);
    assert_eq!(limits.record_due(now, now), now);
    assert!(bounds.expiry_after(now) <= now + Span::from_secs(9));
}

/// Owners of earlier versions keep to no bound, and neither does a claim after one of theirs. The record
/// of an owner that has outlasted their leases does.
#[test]
fn the_bounds_hold_again_after_an_owner_of_an_earlier_version() {
    let limits = limits_after(None);
    assert_eq!(limits.inherited_bounds, None);
    let earlier: LeaseRecord = serde_json::from_str(r#"{"generation":4,"lease_ms":7000}"#).unwrap();
    assert_eq!(limits_after(Some(earlier)).inherited_bounds, None);
    let record = LeaseLimits::new(4, ALLOWED, None, None).to_record();
    let bounds = LeaseBounds {
        grant_ms: MAX_LEASE.as_millis(),
        term_ms: TERM_LEASE.as_millis(),
    };
    assert_eq!(limits_after(Some(record)).inherited_bounds, Some(bounds));
}
