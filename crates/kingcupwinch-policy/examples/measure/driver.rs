//! Event loop of the simulation: feeds arrivals, ends and faults from a heap to a scheduler.

mod arrivals;
mod faults;
mod figures;
mod load;
mod runs;

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Instant;

use kingcupwinch_policy::{
    Cell, Decision, Dimension, MachineKey, MachineSpec, Outcome, Placement, Resources, TaskKey,
};
use kingcupwinch_time::{Span, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;

pub(crate) use self::figures::Figures;
use self::figures::Meter;
use self::load::Rates;
use crate::baseline::{Baseline, Selection};
use crate::scenario::{Scenario, SchedulerKind, Variant};
use crate::scheduler::{Policy, Scheduler};

/// Time from a decision until the worker runs the task.
pub(crate) const DISPATCH_LATENCY: Span = Span::from_millis(1);
/// Time that a worker takes to throttle a task.
const THROTTLE_TIME: Span = Span::from_millis(20);
/// Time that a worker takes to checkpoint a task.
const CHECKPOINT_TIME: Span = Span::from_millis(500);
/// Time that a worker takes to stop a task.
const STOP_TIME: Span = Span::from_millis(50);
/// Duration of a run on a machine that fails every task.
const FAIL_TIME: Span = Span::from_millis(5);
/// Time from the loss of a machine until the leases on it have expired.
const LEASE_EXPIRY: Span = Span::from_secs(2);
/// Time from the end of the warm-up to a fault.
const FAULT_AFTER: Span = Span::from_secs(60);
/// Duration of a burst of arrivals.
const BURST_TIME: Span = Span::from_secs(30);
const BURST_FACTOR: f64 = 10.0;
const WAVE_TASKS: usize = 100_000;
/// Time from the arrival of a wave to its cancellation.
const WAVE_LIFETIME: Span = Span::from_secs(10);
const SAMPLE_INTERVAL: Span = Span::from_secs(1);
/// Age of a usage report.
const REPORT_AGE: Span = Span::from_secs(1);
/// Ratio of declared to true values per stream.
const DECLARED_RATIOS: [f64; 4] = [0.5, 0.2, 10.0, 4.0];
const DECLARED_NOISE: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(usize),
    End {
        job: usize,
        version: u32,
        outcome: Outcome,
    },
    Throttled {
        job: usize,
        version: u32,
    },
    Sample,
    LoseMachines,
    Wave,
    CancelWave,
}

/// A scheduled event, ordered by time and then by the order of scheduling.
struct ScheduledEvent {
    time: Time,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.time, self.sequence).cmp(&(other.time, other.sequence))
    }
}

/// The simulated state of a run.
struct Run {
    place: Placement,
    since: Time,
    /// When its progress was last updated.
    updated: Time,
    /// Progress per second relative to a machine of speed 1.
    pace: f64,
    /// The percentage of its processor share that the run gives back.
    throttle: u8,
    version: u32,
}

/// The simulated state of a task.
struct Job {
    stream: usize,
    arrived: Time,
    size: Resources,
    /// Remaining run time on a machine of speed 1.
    remaining: Span,
    /// Whether it represents its arrival in the figures; one task of a gang does.
    counted: bool,
    started: bool,
    run: Option<Run>,
}

impl Job {
    /// Returns the resources that the task really uses now.
    fn current_usage(&self) -> Resources {
        let percent = self.run.as_ref().map_or(0, |r| u64::from(r.throttle));
        let share = self.size.get(Dimension::Millicores);
        self.size
            .with(Dimension::Millicores, share - share * percent / 100)
    }
}

struct Machine {
    key: MachineKey,
    speed: f64,
    fails: bool,
    gone: bool,
    capacity: Resources,
    used: Resources,
}

struct Driver<'a> {
    scenario: &'a Scenario,
    scheduler: Box<dyn Scheduler>,
    rates: Rates,
    machines: Vec<Machine>,
    machine_of: SecondaryMap<MachineKey, usize>,
    jobs: Vec<Job>,
    job_of: SecondaryMap<TaskKey, usize>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    version: u32,
    wave: Vec<TaskKey>,
    meter: Meter,
    rng: ChaCha8Rng,
    now: Time,
    /// Number of decision rounds by their duration in nanoseconds.
    round_times: BTreeMap<u64, u64>,
}

/// Runs one scenario and returns its figures.
pub(crate) fn run(scenario: &Scenario) -> Figures {
    let mut driver = Driver::new(scenario);
    driver.prepare();
    driver.run();
    driver.finish()
}

impl<'a> Driver<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut site = scenario.site.clone();
        if scenario.variant == Variant::CancelWave {
            site.streams
                .iter_mut()
                .for_each(|s| s.class.max_queued = 2 * WAVE_TASKS);
        }
        match scenario.variant {
            Variant::WaitingOnly => site.weights.packing = 0.0,
            Variant::PackingOnly => site.weights.waiting = 0.0,
            _ => {}
        }
        let class_names: Vec<&str> = site.streams.iter().map(|s| &*s.class.name).collect();
        let baseline = |selection| -> Box<dyn Scheduler> {
            Box::new(Baseline::new(selection, class_names.len(), scenario.seed))
        };
        let scheduler: Box<dyn Scheduler> = match scenario.kind {
            SchedulerKind::Policy => {
                let cell = Cell::new(site.plan(), scenario.seed).expect("the site's plan is valid");
                Box::new(Policy::new(cell, &class_names))
            }
            SchedulerKind::Fifo => baseline(Selection::Random),
            SchedulerKind::LeastLoaded => baseline(Selection::LeastLoaded),
        };
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let rates = Rates::new(scenario, &mut rng);
        Driver {
            scenario,
            scheduler,
            meter: Meter::new(scenario, &rates),
            rates,
            machines: Vec::new(),
            machine_of: SecondaryMap::new(),
            jobs: Vec::new(),
            job_of: SecondaryMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            version: 0,
            wave: Vec::new(),
            rng,
            now: Time::ZERO,
            round_times: BTreeMap::new(),
        }
    }

    fn prepare(&mut self) {
        let site = &self.scenario.site;
        for index in 0..site.machines {
            let rack = index / site.rack;
            let zone = format!("zone{}", rack % site.zones);
            let capacity = site.capacity_of(index);
            let spec = MachineSpec::new(&format!("m{index}"), &zone, &format!("r{rack}"), capacity);
            let key = self
                .scheduler
                .add_machine(spec, self.now)
                .expect("the site's machines are valid");
            self.machine_of.insert(key, index);
            self.machines.push(Machine {
                key,
                speed: self.rates.speeds[index],
                fails: false,
                gone: false,
                capacity,
                used: Resources::ZERO,
            });
        }
        let warm_up = Time::ZERO + self.scenario.warm_up;
        match self.scenario.variant {
            Variant::MachineLoss => self.push(
                warm_up + FAULT_AFTER.min(self.scenario.warm_up),
                Event::LoseMachines,
            ),
            Variant::CancelWave => self.push(warm_up + FAULT_AFTER, Event::Wave),
            Variant::FailingMachines => self
                .machines
                .iter_mut()
                .take(2)
                .for_each(|m| m.fails = true),
            _ => {}
        }
        self.push(Time::ZERO, Event::Sample);
        for stream in 0..site.streams.len() {
            if self.rates.per_second[stream] > 0.0 {
                self.schedule_arrival(stream);
            }
            if self.scenario.filled {
                self.fill(stream);
            }
        }
    }

    fn run(&mut self) {
        let end = Time::ZERO + self.scenario.end;
        let mut out = Vec::new();
        while let Some(time) = self.events.peek().map(|e| e.0.time) {
            if time > end {
                return;
            }
            let wakeup = self.scheduler.next_deadline().filter(|w| *w < time);
            self.now = wakeup.map_or(time, |w| w.max(self.now + Span::from_micros(1)).min(time));
            while let Some(event) = self.due() {
                self.handle(event);
            }
            let start = Instant::now();
            self.scheduler.decide(self.now, &mut out);
            if self.now > Time::ZERO {
                let nanos = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
                *self.round_times.entry(nanos).or_insert(0) += 1;
            }
            for decision in out.drain(..) {
                self.apply(decision);
            }
        }
    }

    fn due(&mut self) -> Option<Event> {
        if self.events.peek()?.0.time > self.now {
            return None;
        }
        self.events.pop().map(|e| e.0.event)
    }

    fn finish(mut self) -> Figures {
        let end = Time::ZERO + self.scenario.end;
        let runs = self.jobs.iter().filter(|j| j.run.is_some());
        let running = runs.count();
        if self.scenario.filled {
            self.print_round_times(running);
        }
        let placement_attempts = self.scheduler.placement_attempts();
        let retries = self.scheduler.retries();
        self.meter.advance(end);
        self.meter
            .figures(self.scenario, placement_attempts, retries)
    }

    /// Prints the duration of the decision rounds, which varies between runs.
    fn print_round_times(&self, running: usize) {
        let total: u64 = self.round_times.values().sum();
        let quantile = |part: f64| {
            let mut seen = 0;
            let target = (total as f64 * part) as u64;
            let found = self.round_times.iter().find(|(_, count)| {
                seen += **count;
                seen >= target
            });
            found.map_or(0, |(nanos, _)| *nanos)
        };
        let name = self.scenario.name();
        eprintln!(
            "{name}: {running} running, {total} rounds, ns each: p50 {} p99 {} p99.9 {} max {}",
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            quantile(1.0),
        );
    }

    fn push(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(Reverse(ScheduledEvent {
            time,
            sequence,
            event,
        }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => {
                self.arrive(stream, 1.0);
                self.schedule_arrival(stream);
            }
            Event::End {
                job,
                version,
                outcome,
            } => self.end(job, version, outcome),
            Event::Throttled { job, version } => {
                if let Some(place) = self.current_run(job, version) {
                    self.scheduler.throttled(place, self.now);
                }
            }
            Event::Sample => self.sample(),
            Event::LoseMachines => self.lose_machines(),
            Event::Wave => self.send_wave(),
            Event::CancelWave => {
                for key in std::mem::take(&mut self.wave) {
                    self.scheduler.cancel(key, self.now);
                }
            }
        }
    }

    fn apply(&mut self, decision: Decision) {
        match decision {
            Decision::Start(place) => self.start(place),
            Decision::StartGang { places, .. } => places.into_iter().for_each(|p| self.start(p)),
            Decision::Throttle { target, percent } => self.throttle(target, percent),
            Decision::Checkpoint(place) => {
                self.interrupt(place, CHECKPOINT_TIME, Outcome::Checkpointed);
            }
            Decision::Stop(place) => self.interrupt(place, STOP_TIME, Outcome::Stopped),
            Decision::GiveUp { task, .. } => {
                let job = &self.jobs[self.job_of[task]];
                if job.counted {
                    self.meter.refused(job.stream, job.arrived);
                }
            }
        }
    }
}

fn run_time(remaining: Span, pace: f64) -> Span {
    Span::from_micros((remaining.as_micros() as f64 / pace).ceil() as u64)
}
