//! Tests that the checks find keys that are served or refused wrongly.

use std::time::Duration;

use kingcupwinch_soak::{Disturbance, Invariant, KeyUse, ObservedKey};
use kingcupwinch_standin::WorkerEventKind;
use rstest::rstest;

use super::{JOB, Scenario};

/// Time within which a version has to be in force, in milliseconds.
const BOUND: u64 = 2_000;

/// Returns a scenario with a key that is added at 5 s and withdrawn at 20 s, and with a response to a
/// request with it.
fn used_at(ms: u64, status: u16) -> Scenario {
    let mut scenario = Scenario::new();
    scenario.keys.keys.push(ObservedKey {
        version: 2,
        added: scenario.at(5_000),
        withdrawal_sent: Some(scenario.at(19_999)),
        withdrawn: Some(scenario.at(20_000)),
    });
    scenario.keys.uses.push(KeyUse {
        instance: 1,
        key: Some(0),
        sent: scenario.at(ms),
        received: scenario.at(ms + 5),
        status,
    });
    scenario.job.accepted = None;
    scenario
}

#[rstest]
#[case::added(5_000 + BOUND + 1, 401, &[Invariant::KeyServed])]
#[case::just_added(5_000 + BOUND, 401, &[])]
#[case::not_known(5_000 + BOUND + 1, 503, &[])]
#[case::during_withdrawal(19_996, 401, &[])]
#[case::withdrawn(20_000 + BOUND + 1, 405, &[Invariant::KeyWithdrawn])]
#[case::just_withdrawn(20_000 + BOUND, 405, &[])]
#[case::withdrawn_and_refused(20_000 + BOUND + 1, 401, &[])]
fn a_key_holds_from_its_version_to_the_next(
    #[case] ms: u64,
    #[case] status: u16,
    #[case] expected: &[Invariant],
) {
    assert_eq!(used_at(ms, status).violations(), expected);
}

#[rstest]
#[case::no_limit(None, 60_000, &[])]
#[case::within(Some(3_000), 23_000, &[])]
#[case::beyond(Some(3_000), 23_001, &[Invariant::KeyWithdrawn])]
fn an_instance_out_of_touch_serves_up_to_the_limit(
    #[case] limit_ms: Option<u64>,
    #[case] ms: u64,
    #[case] expected: &[Invariant],
) {
    let mut scenario = used_at(ms, 405);
    scenario.revoke_limit = limit_ms.map(Duration::from_millis);
    scenario.disturbances.push(Disturbance {
        instance: Some(1),
        from: scenario.start,
        until: None,
    });
    assert_eq!(scenario.violations(), expected);
}

#[test]
fn a_lasting_key_is_never_refused() {
    let mut scenario = used_at(1_000, 405);
    scenario.report_state(1_000, "refused key");
    assert_eq!(scenario.violations(), [Invariant::KeyServed]);
}

#[test]
fn a_forged_key_is_neither_served_nor_run() {
    let mut scenario = used_at(1_000, 405);
    scenario.keys.uses[0].key = None;
    assert_eq!(scenario.violations(), [Invariant::KeyForged]);
    scenario.keys.uses[0].status = 401;
    assert_eq!(scenario.violations(), []);
    scenario.keys.forged_jobs.push(JOB.into());
    scenario.job.id = "00000000000000bb".into();
    scenario.record(1_000, "i-1", 0, 1, WorkerEventKind::Started);
    assert_eq!(scenario.violations(), [Invariant::KeyForged]);
}
