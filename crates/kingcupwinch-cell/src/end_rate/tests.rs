//! When a rate is known, and what it says.

use kingcupwinch_time::{Span, Time};

use super::{EndForecast, EndRate};

/// The time of the last of 100 ends, one every 100 ms.
const LAST: Time = Time::from_millis(109_900);

fn forecast(now: Time) -> EndForecast {
    let mut rate = EndRate::default();
    for nth in 0..100 {
        rate.observe(1_000, Time::from_millis(100_000 + 100 * nth));
    }
    let mut forecast = EndForecast::default();
    forecast.add_worker(&rate, now);
    forecast
}

/// A rate from before an outage or a takeover kept tasks waiting for ends that no longer come.
#[test]
fn a_rate_is_unknown_without_recent_ends() {
    assert_eq!(EndForecast::default().wait(1_000.0), None);
    assert!(forecast(LAST).wait(1_000.0).is_some());
    let later = LAST + Span::from_secs(20);
    assert_eq!(forecast(later).wait(1_000.0), None);
    assert_eq!(forecast(later).age(later), Span::from_secs(20));
}

/// Expected ends come before the mean rate, and an overdue run is no expected end.
#[test]
fn expected_ends_count_before_the_rate() {
    let mut forecast = forecast(LAST);
    let by_rate = forecast.wait(10_000.0).unwrap();
    assert!(by_rate >= Span::from_secs(1) && by_rate < Span::from_millis(1_300));
    forecast.add_run(10_000, LAST, LAST);
    assert_eq!(forecast.wait(10_000.0), Some(by_rate));
    forecast.add_run(10_000, LAST + Span::from_millis(300), LAST);
    assert_eq!(forecast.wait(10_000.0), Some(Span::from_millis(375)));
}
