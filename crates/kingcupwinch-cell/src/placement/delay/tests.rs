//! The edge cases of the decision to wait.

use kingcupwinch_time::{Span, Time};
use rstest::rstest;

use super::{DelayDecision, PlaceChoice, StartCause};

const NOW: Time = Time::from_millis(100_000);

fn after(ms: u64) -> Time {
    NOW + Span::from_millis(ms)
}

/// Builds a choice between 1.7 s here and 0.7 s in a better place, which is free after 0.1 s on average.
/// The objective leaves 1.3 s to wait before a start here.
fn choice() -> PlaceChoice {
    PlaceChoice {
        here: Span::from_millis(1_700),
        better: Span::from_millis(700),
        expected_wait: Some(Span::from_millis(100)),
        objective: after(3_000),
        late_limit: after(9_000),
        until: None,
        usable_until: None,
    }
}

/// A wait lasts as long as a quarter of the gain at most, and never beyond what the objective, the late limit, the
/// ticket or the stored deadline allows.
#[rstest]
#[case::part_of_the_gain(choice(), 250)]
#[case::objective(PlaceChoice { objective: after(1_900), ..choice() }, 200)]
#[case::only_the_better_place_is_in_time(PlaceChoice { objective: after(1_500), ..choice() }, 800)]
#[case::late_here(
    PlaceChoice { objective: after(1_500), late_limit: after(2_000), ..choice() }, 300)]
#[case::worthless_here(
    PlaceChoice { objective: after(100), late_limit: after(1_200), ..choice() }, 500)]
#[case::ticket(PlaceChoice { usable_until: Some(after(200)), ..choice() }, 200)]
#[case::stored_deadline(PlaceChoice { until: Some(after(50)), ..choice() }, 50)]
fn a_wait_has_a_deadline(#[case] choice: PlaceChoice, #[case] ms: u64) {
    assert_eq!(choice.decide(NOW), DelayDecision::Wait(after(ms)));
}

/// A task that can't gain, or of which nobody knows whether it would, was kept waiting.
#[rstest]
#[case::unknown_rate(
    PlaceChoice { expected_wait: None, ..choice() }, StartCause::UnknownRate)]
#[case::no_gain(
    PlaceChoice { better: Span::from_millis(1_700), ..choice() }, StartCause::NoGain)]
#[case::wait_too_long_for_the_gain(
    PlaceChoice { expected_wait: Some(Span::from_millis(250)), ..choice() }, StartCause::LongWait)]
#[case::unlikely_to_be_in_time(
    PlaceChoice {
        objective: after(1_500), expected_wait: Some(Span::from_millis(900)), ..choice()
    },
    StartCause::LongWait)]
#[case::no_slack(PlaceChoice { objective: after(1_700), ..choice() }, StartCause::NoSlack)]
#[case::late_already(PlaceChoice { objective: after(0), ..choice() }, StartCause::Late)]
#[case::worthless_already(
    PlaceChoice { objective: after(0), late_limit: after(500), ..choice() }, StartCause::Late)]
#[case::expired(PlaceChoice { until: Some(NOW), ..choice() }, StartCause::Expired)]
fn a_task_starts_where_a_wait_does_not_pay(#[case] choice: PlaceChoice, #[case] cause: StartCause) {
    assert_eq!(choice.decide(NOW), DelayDecision::Start(cause));
}

/// A gang of which the spread form runs 1.5 times as long waits for one rack like a task for a worker.
#[rstest]
#[case::rack_soon(500, DelayDecision::Wait(after(625)))]
#[case::rack_late(700, DelayDecision::Start(StartCause::LongWait))]
fn a_gang_waits_for_one_rack(#[case] wait_ms: u64, #[case] expected: DelayDecision) {
    let gang = PlaceChoice {
        here: Span::from_millis(7_500),
        better: Span::from_millis(5_000),
        expected_wait: Some(Span::from_millis(wait_ms)),
        objective: after(12_000),
        late_limit: after(36_000),
        ..choice()
    };
    assert_eq!(gang.decide(NOW), expected);
}
