//! Tests of the measurement of the link's load.

use std::time::Duration;

use kingcupwinch_time::{Span, Time};

use super::{LinkMeter, OrderBudget, Usage, describe, load};

#[test]
fn usage_is_what_was_added_since_the_last_measurement() {
    let mut meter = LinkMeter::default();
    meter.measure(vec![("orders", 100, 20), ("polls", 10, 50)]);
    let usage = meter.measure(vec![("orders", 130, 20), ("polls", 15, 950)]);
    let row = |purpose, sent, received| Usage {
        purpose,
        sent,
        received,
    };
    assert_eq!(usage, [row("polls", 5, 900), row("orders", 30, 0)]);
    assert_eq!(describe(&usage), "polls 5/900, orders 30/0");
}

/// A link carries its bandwidth in each direction at the same time.
#[test]
fn the_load_is_that_of_the_busier_direction() {
    let usage = [
        Usage {
            purpose: "orders",
            sent: 250_000,
            received: 10_000,
        },
        Usage {
            purpose: "polls",
            sent: 50_000,
            received: 150_000,
        },
    ];
    let load = load(&usage, 2.0, Duration::from_secs(2));
    assert!((load - 0.6).abs() < 1e-9, "{load}");
}

/// Sends 90 orders of 1.7 KB a second for four seconds; returns the bytes sent in the last two, when the
/// initial budget is used up.
fn bytes_sent_directly(link_mbps: f64, other_bytes_per_s: u64) -> usize {
    let start = Time::from_millis(1_000);
    let mut budget = OrderBudget::new(link_mbps, start);
    let mut sent = 0;
    for number in 0..360 {
        let elapsed = Span::from_micros(number * 1_000_000 / 90);
        budget.refill(
            other_bytes_per_s * elapsed.as_millis() / 1_000,
            start + elapsed,
        );
        if budget.take(1_700) && number >= 180 {
            sent += 1_700;
        }
    }
    sent
}

/// The orders of a quiet day fill a link of 2 Mbit/s with what else it carries.
#[test]
fn orders_take_what_other_traffic_leaves_of_half_the_link() {
    assert_eq!(bytes_sent_directly(20.0, 110_000), 180 * 1_700);
    let idle = bytes_sent_directly(2.0, 0);
    assert!((220_000..=275_000).contains(&idle), "{idle}");
    let busy = bytes_sent_directly(2.0, 110_000);
    assert!((10_000..=55_000).contains(&busy), "{busy}");
    assert_eq!(bytes_sent_directly(2.0, 200_000), 0);
}

/// After a burst of other traffic, orders must not be held back for longer than the burst lasted.
#[test]
fn a_budget_recovers_soon_after_a_burst() {
    let start = Time::from_millis(1_000);
    let mut budget = OrderBudget::new(2.0, start);
    budget.refill(5_000_000, start + Span::from_millis(10));
    assert!(!budget.take(1_700));
    budget.refill(5_000_000, start + Span::from_millis(300));
    assert!(budget.take(1_700));
}
