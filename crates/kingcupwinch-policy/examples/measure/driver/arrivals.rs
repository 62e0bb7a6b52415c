//! Arrivals, and what they truly are.

use kingcupwinch_policy::{GangSpec, TaskKey, TaskSpec};
use kingcupwinch_time::{Span, Time};
use rand::Rng;

use super::load::{self, spread};
use super::{BURST, BURST_FACTOR, DECLARED, DECLARED_NOISE, Driver, Event, FAULT_AFTER, Job};
use crate::scenario::Trouble;

impl Driver<'_> {
    /// Submits the work that runs in the steady state.
    pub(super) fn fill(&mut self, stream: usize) {
        let run = self.scenario.site.streams[stream].run.as_secs_f64();
        let count = (self.rates.per_second[stream] * run) as usize;
        for _ in 0..count {
            let done = self.rng.random::<f64>();
            self.arrive(stream, 1.0 - done);
        }
    }

    pub(super) fn plan_arrival(&mut self, stream: usize) {
        let mut rate = self.rates.per_second[stream];
        let burst = Time::ZERO + self.scenario.warm + FAULT_AFTER;
        let urgent = self.scenario.site.streams[stream].is_urgent();
        let during = self.now >= burst && self.now < burst + BURST;
        if self.scenario.trouble == Trouble::Burst && urgent && during {
            rate *= BURST_FACTOR;
        }
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let at = self.now + Span::from_micros((wait * 1e6) as u64);
        self.push(at, Event::Arrive(stream));
    }

    /// Submits work of a stream of which this part is left to run.
    pub(super) fn arrive(&mut self, stream: usize, part: f64) {
        let (spec, whole) = self.describe(stream);
        let left = Span::from_micros((whole.as_micros() as f64 * part) as u64 + 1);
        let count = self.rates.gangs[stream];
        self.meter.submitted(stream, self.now);
        if count > 1 {
            let gang = GangSpec::new(spec, count);
            match self.scheduler.submit_gang(gang, self.now) {
                Ok(ticket) => ticket
                    .tasks
                    .into_iter()
                    .enumerate()
                    .for_each(|(i, t)| self.know(t, stream, left, i == 0)),
                Err(_) => self.meter.refused(stream, self.now),
            }
            return;
        }
        match self.scheduler.submit(spec, self.now) {
            Ok(key) => self.know(key, stream, left, true),
            Err(_) => self.meter.refused(stream, self.now),
        }
    }

    /// Draws a task: as declared, and its true run.
    pub(super) fn describe(&mut self, stream: usize) -> (TaskSpec, Span) {
        let s = &self.scenario.site.streams[stream];
        let left = spread(s.run, &mut self.rng);
        let (mut size, mut run) = (s.size, s.run);
        if self.scenario.trouble == Trouble::Declarations {
            let noise = 1.0 + DECLARED_NOISE * (2.0 * self.rng.random::<f64>() - 1.0);
            let factor = DECLARED[stream % DECLARED.len()] * noise;
            run = Span::from_micros((run.as_micros() as f64 * factor) as u64);
            size = load::declared(&size, factor, &self.scenario.site.capacity);
        }
        let customers = self.scenario.site.customers;
        let customer = (self.rng.random::<f64>().powi(2) * customers as f64) as usize;
        let (class, customer) = self.rates.keys(stream, customer);
        let spec = TaskSpec::new(class, customer, size, run).with_idempotent(s.idempotent);
        (spec, left)
    }

    pub(super) fn know(&mut self, key: TaskKey, stream: usize, left: Span, counted: bool) {
        self.job_of.insert(key, self.jobs.len());
        self.jobs.push(Job {
            stream,
            arrived: self.now,
            size: self.scenario.site.streams[stream].size,
            left,
            counted,
            started: false,
            run: None,
        });
    }
}
