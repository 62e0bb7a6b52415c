//! Load of the instance's network link.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_adapter::ORDERS;
use kingcupwinch_platform::Traffic;
use kingcupwinch_time::Time;
use rustc_hash::FxHashMap;
use slog::o;
use tokio::time::Instant;

use crate::events::Event;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::token_bucket::TokenBucket;

#[cfg(test)]
mod tests;

/// Time between two measurements, and between two log lines of a busy link.
const INTERVAL: Duration = Duration::from_secs(1);
/// Share of the link's bandwidth in one direction from which it is logged as busy: queues form well
/// below the bandwidth, since traffic comes in bursts.
const BUSY_SHARE: f64 = 0.6;
/// Number of purposes that a log line names.
const LOGGED_PURPOSES: usize = 6;
/// Share of the link's bandwidth up to which an owner sends orders itself: the rest is for bursts and for
/// the headers of TCP and IP.
const ORDER_SHARE: f64 = 0.5;
/// Time over which bursts of orders are evened out, in seconds.
const BURST_S: f64 = 0.2;
/// Bytes per second of one Mbit/s.
pub(crate) const BYTES_PER_MBIT: f64 = 125_000.0;

/// Bytes that were sent and received for one purpose in one interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Usage {
    purpose: &'static str,
    sent: u64,
    received: u64,
}

/// Computes the bytes of each interval from running totals.
#[derive(Debug, Default)]
struct LinkMeter {
    totals: FxHashMap<&'static str, (u64, u64)>,
}

impl LinkMeter {
    /// Returns the bytes since the last call, the busiest purposes first.
    fn measure(&mut self, totals: Vec<(&'static str, u64, u64)>) -> Vec<Usage> {
        let mut usage = Vec::with_capacity(totals.len());
        for (purpose, sent, received) in totals {
            let last = self.totals.insert(purpose, (sent, received));
            let (last_sent, last_received) = last.unwrap_or_default();
            usage.push(Usage {
                purpose,
                sent: sent - last_sent,
                received: received - last_received,
            });
        }
        usage.sort_by_key(|usage| std::cmp::Reverse(usage.sent.max(usage.received)));
        usage
    }
}

/// Returns the higher load of both directions, as a share of the link's bandwidth.
fn load(usage: &[Usage], link_mbps: f64, interval: Duration) -> f64 {
    let sent: u64 = usage.iter().map(|usage| usage.sent).sum();
    let received: u64 = usage.iter().map(|usage| usage.received).sum();
    let capacity = link_mbps * BYTES_PER_MBIT * interval.as_secs_f64();
    sent.max(received) as f64 / capacity
}

/// Bytes that an owner may send to workers itself, so that its link is not filled by orders which
/// other instances can send. Everything else that the instance sends is charged to it too.
#[derive(Debug)]
pub(crate) struct OrderBudget {
    bytes: TokenBucket,
    /// Bytes sent for other purposes until the last refill.
    other_sent: u64,
}

impl OrderBudget {
    /// Creates a full budget for a link.
    pub(crate) fn new(link_mbps: f64, now: Time) -> Self {
        let rate = link_mbps * BYTES_PER_MBIT * ORDER_SHARE;
        OrderBudget {
            bytes: TokenBucket::new(rate, BURST_S, now),
            other_sent: 0,
        }
    }

    /// Adds what time has brought, and subtracts what was sent for other purposes; `other_sent` is the
    /// total of the bytes sent for them so far.
    pub(crate) fn refill(&mut self, other_sent: u64, now: Time) {
        let spent = other_sent.saturating_sub(self.other_sent) as f64;
        self.other_sent = other_sent;
        self.bytes.refill(spent, now);
    }

    /// Takes bytes from the budget; returns false if it is used up.
    pub(crate) fn take(&mut self, bytes: usize) -> bool {
        self.bytes.take(bytes as f64)
    }
}

/// Returns the total of the bytes that an instance has sent for other purposes than orders.
pub(crate) fn sent_besides_orders(traffic: &Traffic) -> u64 {
    let totals = traffic.totals().into_iter();
    let others = totals.filter(|(purpose, ..)| *purpose != ORDERS);
    others.map(|(_, sent, _)| sent).sum()
}

/// Counts the bytes of the instance in its metrics, and logs when its link is nearly full.
pub(crate) async fn watch_link(shared: Arc<Shared>) {
    let mut meter = LinkMeter::default();
    let mut measured_at = Instant::now();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let elapsed = measured_at.elapsed();
        measured_at += elapsed;
        let usage = meter.measure(shared.traffic.totals());
        for row in &usage {
            Metrics::count_bytes(&shared.metrics.traffic, row.purpose, row.sent, row.received);
        }
        let Some(link_mbps) = shared.settings.link_mbps else {
            continue;
        };
        let load = load(&usage, link_mbps, elapsed);
        shared.metrics.link_load.set(load);
        if load >= BUSY_SHARE {
            shared.log.write(
                Event::LinkBusy,
                o!("load_percent" => (load * 100.0) as u64, "link_mbps" => link_mbps,
                    "over_ms" => elapsed.as_millis() as u64, "sent/received" => describe(&usage)),
            );
        }
    }
}

/// Lists the bytes of the busiest purposes.
fn describe(usage: &[Usage]) -> String {
    let mut text = String::new();
    for row in usage.iter().take(LOGGED_PURPOSES) {
        let separator = if text.is_empty() { "" } else { ", " };
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "{separator}{} {}/{}",
            row.purpose, row.sent, row.received
        );
    }
    text
}
