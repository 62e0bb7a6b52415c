//! Rates of arrival and the draw of true values.

use kingcupwinch_policy::{Cell, ClassKey, CustomerKey, Dimension, Resources};
use kingcupwinch_time::Span;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::scenario::{Scenario, Trouble};
use crate::site::{Site, Stream};

/// The least part of the mean that a run takes.
const FLOOR: f64 = 0.25;
const TOP_SPEED: u32 = 8;

/// Draws a run around a mean: a floor and an exponential rest.
pub(crate) fn spread(mean: Span, rng: &mut ChaCha8Rng) -> Span {
    let rest = -(1.0 - rng.random::<f64>()).ln();
    let factor = FLOOR + (1.0 - FLOOR) * rest;
    Span::from_micros((mean.as_micros() as f64 * factor) as u64 + 1)
}

/// Returns a wrong declaration of a size, no larger than a machine.
pub(crate) fn declared(size: &Resources, factor: f64, capacity: &Resources) -> Resources {
    let dimensions = [Dimension::Millicores, Dimension::Memory];
    dimensions.into_iter().fold(*size, |wrong, d| {
        let amount = (size.get(d) as f64 * factor) as u64;
        wrong.with(d, amount.clamp(1, capacity.get(d)))
    })
}

/// How often each stream's work arrives.
pub(crate) struct Rates {
    /// Arrivals each second by stream.
    pub(crate) per_second: Vec<f64>,
    /// Tasks of one arrival by stream.
    pub(crate) gangs: Vec<u32>,
    /// True speed by machine.
    pub(crate) speeds: Vec<f64>,
    /// The dimension that the mix fills first.
    pub(crate) tight: Dimension,
    /// The capacity of the whole site.
    pub(crate) capacity: Resources,
    classes: Vec<ClassKey>,
    customers: Vec<CustomerKey>,
}

impl Rates {
    pub(crate) fn new(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Self {
        let site = &scenario.site;
        let speeds: Vec<f64> = (0..site.machines)
            .map(|_| match scenario.trouble {
                Trouble::Speeds => f64::from(rng.random_range(1..=TOP_SPEED)),
                _ => 1.0,
            })
            .collect();
        let mean_speed = speeds.iter().sum::<f64>() / speeds.len() as f64;
        let machines = (0..site.machines).map(|m| site.capacity_of(m));
        let capacity = machines.fold(Resources::ZERO, |sum, c| sum.plus(&c));
        let gangs: Vec<u32> = site.streams.iter().map(|s| width(s, scenario)).collect();
        let unscaled: Vec<f64> = site
            .streams
            .iter()
            .zip(&gangs)
            .map(|(s, gang)| {
                let share = s.size.dominant_share(&capacity) * f64::from(*gang);
                s.part / (share * s.run.as_secs_f64())
            })
            .collect();
        let (tight, offered) = tightest(site, &gangs, &unscaled, &capacity);
        let scale = f64::from(scenario.load) / 100.0 / offered * mean_speed;
        let only_urgent = scenario.trouble == Trouble::UrgentOnly;
        let per_second = site
            .streams
            .iter()
            .zip(unscaled)
            .map(|(s, rate)| {
                if only_urgent && !s.is_urgent() {
                    0.0
                } else {
                    rate * scale
                }
            })
            .collect();
        let names = Cell::new(site.plan(), scenario.seed).expect("the site's plan is valid");
        let classes = site
            .streams
            .iter()
            .filter_map(|s| names.class(&s.class.name));
        let customers = (0..site.customers).filter_map(|c| names.customer(&format!("c{c}")));
        Rates {
            per_second,
            gangs,
            speeds,
            tight,
            capacity,
            classes: classes.collect(),
            customers: customers.collect(),
        }
    }

    pub(crate) fn keys(&self, stream: usize, customer: usize) -> (ClassKey, CustomerKey) {
        (self.classes[stream], self.customers[customer])
    }
}

/// Returns the tasks of one arrival.
fn width(stream: &Stream, scenario: &Scenario) -> u32 {
    if stream.gang > 1 && scenario.trouble == Trouble::WideGangs {
        let site = &scenario.site;
        let half = site.capacity.times(site.machines as u64 / 2);
        return u32::try_from(stream.size.times_in(&half)).unwrap_or(u32::MAX);
    }
    stream.gang
}

/// Returns the dimension that is filled most, and how far.
fn tightest(site: &Site, gangs: &[u32], rates: &[f64], capacity: &Resources) -> (Dimension, f64) {
    let offered = |d: Dimension| {
        let streams = site.streams.iter().zip(gangs).zip(rates);
        let busy: f64 = streams
            .map(|((s, gang), rate)| {
                rate * s.run.as_secs_f64() * f64::from(*gang) * s.size.get(d) as f64
            })
            .sum();
        busy / capacity.get(d).max(1) as f64
    };
    let all = Dimension::ALL.into_iter().map(|d| (d, offered(d)));
    all.max_by(|a, b| a.1.total_cmp(&b.1))
        .unwrap_or((Dimension::Slots, 1.0))
}
