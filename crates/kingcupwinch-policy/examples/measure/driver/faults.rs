//! Faults, waves of submissions and samples.

use kingcupwinch_policy::Outcome;
use rand::seq::SliceRandom;

use super::{Driver, Event, LEASE_EXPIRY, REPORT_AGE, SAMPLE_INTERVAL, WAVE_LIFETIME, WAVE_TASKS};
use crate::scenario::Variant;

impl Driver<'_> {
    pub(super) fn lose_machines(&mut self) {
        let mut all: Vec<usize> = (0..self.machines.len()).collect();
        all.shuffle(&mut self.rng);
        all.truncate(self.machines.len() / 5);
        for &index in &all {
            let machine = &mut self.machines[index];
            machine.gone = true;
            self.meter.machine_lost(&machine.capacity, self.now);
            self.scheduler.remove_machine(machine.key, self.now);
        }
        for job in 0..self.jobs.len() {
            let Some(run) = &self.jobs[job].run else {
                continue;
            };
            if !self.machines[self.machine_of[run.place.machine]].gone {
                continue;
            }
            let (current_usage, since) = (self.jobs[job].current_usage(), run.since);
            self.meter
                .stopped_using(self.jobs[job].stream, &current_usage, self.now);
            self.meter.work_lost(&current_usage, since, self.now);
            self.schedule_end(job, LEASE_EXPIRY, Outcome::Lost);
        }
    }

    pub(super) fn send_wave(&mut self) {
        for _ in 0..WAVE_TASKS {
            let (spec, remaining) = self.describe(1);
            if let Ok(key) = self.scheduler.submit(spec, self.now) {
                self.add_job(key, 1, remaining, false);
                self.wave.push(key);
            }
        }
        self.push(self.now + WAVE_LIFETIME, Event::CancelWave);
    }

    pub(super) fn sample(&mut self) {
        let queued: Vec<usize> = (0..self.scenario.site.streams.len())
            .map(|s| self.scheduler.queued(s))
            .collect();
        self.meter.sample(&queued, self.now);
        if self.scenario.variant == Variant::WrongDeclarations {
            for machine in &self.machines {
                self.scheduler
                    .observe(machine.key, machine.used, self.now - REPORT_AGE);
            }
        }
        self.push(self.now + SAMPLE_INTERVAL, Event::Sample);
    }
}
