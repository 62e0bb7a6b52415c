//! Tests which duplicates of a job's acceptance are deleted.

use kingcupwinch_adapter::Partition;
use kingcupwinch_cell::JobId;

use super::Origins;
use crate::layout::IntakeKey;

fn id() -> JobId {
    JobId::parse("00000000000000a1").unwrap()
}

fn partition(number: u32) -> Partition {
    Partition::new("keyed.intake", number)
}

/// Returns the partitions that are cleared when acceptances are read from these, in order.
fn deleted(read: &[u32]) -> Vec<u32> {
    let mut origins = Origins::default();
    let key = IntakeKey::Accepted(id());
    let add = |number: &u32| origins.add(key, partition(*number));
    let deleted = read.iter().filter_map(add);
    deleted.map(|duplicate| duplicate.number).collect()
}

/// Callers' jobs are appended twice while the owner is slow, and each takeover read both.
#[test]
fn all_duplicates_but_the_highest_are_deleted() {
    assert_eq!(deleted(&[6, 2]), [2]);
    assert_eq!(deleted(&[2, 6]), [2]);
    assert_eq!(deleted(&[2, 6, 4, 2]), [2, 4, 2]);
    let repeated = deleted(&[6, 6]);
    assert!(repeated.is_empty(), "the owner reads its own appends back");
}

/// The deletions of an earlier owner may be carried out late. Together with those of a later owner, which
/// has read the partitions in another order, they must leave an acceptance.
#[test]
fn two_owners_never_delete_all_duplicates() {
    let orders = [
        [1, 3, 6],
        [1, 6, 3],
        [3, 1, 6],
        [3, 6, 1],
        [6, 1, 3],
        [6, 3, 1],
    ];
    for (first, second) in orders
        .iter()
        .flat_map(|a| orders.iter().map(move |b| (a, b)))
    {
        for count in 1..=3 {
            let mut gone = deleted(&first[..count]);
            gone.extend(deleted(second));
            assert!(!gone.contains(&6), "{first:?} {second:?}");
        }
    }
}

/// A cancellation is no acceptance, and both are deleted when the job ends.
#[test]
fn a_cancellation_does_not_stand_for_the_acceptance() {
    let mut origins = Origins::default();
    assert_eq!(origins.add(IntakeKey::Accepted(id()), partition(2)), None);
    assert_eq!(origins.add(IntakeKey::Cancelled(id()), partition(6)), None);
    assert_eq!(origins.remove(id())[..], [partition(2), partition(6)]);
    assert!(origins.remove(id()).is_empty());
}
