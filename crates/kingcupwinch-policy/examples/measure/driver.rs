//! The event loop: arrivals, ends and faults from a heap, fed to a scheduler.

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
use crate::baseline::{Baseline, Choice};
use crate::scenario::{Scenario, Trouble, Who};
use crate::scheduler::{Policy, Scheduler};

/// The time from a decision until the worker runs the task.
pub(crate) const LINK: Span = Span::from_millis(1);
/// How long a worker takes to throttle a task.
const THROTTLE_TIME: Span = Span::from_millis(20);
/// How long a worker takes to checkpoint a task.
const CHECKPOINT_TIME: Span = Span::from_millis(500);
/// How long a worker takes to stop a task.
const STOP_TIME: Span = Span::from_millis(50);
/// How long a run lasts on a machine that fails everything.
const FAIL_TIME: Span = Span::from_millis(5);
/// The time from a machine's loss until the leases on it have lapsed.
const LEASE: Span = Span::from_secs(2);
/// When a fault happens after the warm-up.
const FAULT_AFTER: Span = Span::from_secs(60);
/// How long a burst lasts.
const BURST: Span = Span::from_secs(30);
const BURST_FACTOR: f64 = 10.0;
const WAVE: usize = 100_000;
/// The time from a wave's arrival to its cancellation.
const WAVE_LIFE: Span = Span::from_secs(10);
const SAMPLE_EVERY: Span = Span::from_secs(1);
/// How old a usage report is.
const REPORT_LAG: Span = Span::from_secs(1);
/// Declared over true values by stream.
const DECLARED: [f64; 4] = [0.5, 0.2, 10.0, 4.0];
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
    Lose,
    Wave,
    CancelWave,
}

/// An event in the heap, ordered by time and then by the order of planning.
struct Planned {
    time: Time,
    sequence: u64,
    event: Event,
}

impl PartialEq for Planned {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Planned {}

impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Planned {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.time, self.sequence).cmp(&(other.time, other.sequence))
    }
}

/// A run as it truly is.
struct Run {
    place: Placement,
    since: Time,
    /// When its progress was last brought up to date.
    marked: Time,
    /// Work done each second, against a machine of speed 1.
    pace: f64,
    /// The part of its processor share that it gives back, in percent.
    throttle: u8,
    version: u32,
}

/// A task as it truly is.
struct Job {
    stream: usize,
    arrived: Time,
    size: Resources,
    left: Span,
    /// Whether it stands for its arrival in the counts; of a gang, one task does.
    counted: bool,
    started: bool,
    run: Option<Run>,
}

impl Job {
    /// Returns what it truly uses now.
    fn using(&self) -> Resources {
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
    events: BinaryHeap<Reverse<Planned>>,
    sequence: u64,
    version: u32,
    wave: Vec<TaskKey>,
    meter: Meter,
    rng: ChaCha8Rng,
    now: Time,
    /// Processor time of rounds in nanoseconds, and how many took it.
    costs: BTreeMap<u64, u64>,
}

/// Runs one scenario.
pub(crate) fn run(scenario: &Scenario) -> Figures {
    let mut driver = Driver::new(scenario);
    driver.prepare();
    driver.go();
    driver.finish()
}

impl<'a> Driver<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut site = scenario.site.clone();
        if scenario.trouble == Trouble::CancelWave {
            site.streams
                .iter_mut()
                .for_each(|s| s.class.max_queued = 2 * WAVE);
        }
        match scenario.trouble {
            Trouble::WaitingOnly => site.weights.packing = 0.0,
            Trouble::PackingOnly => site.weights.waiting = 0.0,
            _ => {}
        }
        let names: Vec<&str> = site.streams.iter().map(|s| &*s.class.name).collect();
        let baseline = |choice| -> Box<dyn Scheduler> {
            Box::new(Baseline::new(choice, names.len(), scenario.seed))
        };
        let scheduler: Box<dyn Scheduler> = match scenario.who {
            Who::Policy => {
                let cell = Cell::new(site.plan(), scenario.seed).expect("the site's plan is valid");
                Box::new(Policy::new(cell, &names))
            }
            Who::Fifo => baseline(Choice::Random),
            Who::LeastLoaded => baseline(Choice::LeastLoaded),
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
            costs: BTreeMap::new(),
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
        let warm = Time::ZERO + self.scenario.warm;
        match self.scenario.trouble {
            Trouble::Loss => self.push(warm + FAULT_AFTER.min(self.scenario.warm), Event::Lose),
            Trouble::CancelWave => self.push(warm + FAULT_AFTER, Event::Wave),
            Trouble::BlackHoles => self
                .machines
                .iter_mut()
                .take(2)
                .for_each(|m| m.fails = true),
            _ => {}
        }
        self.push(Time::ZERO, Event::Sample);
        for stream in 0..site.streams.len() {
            if self.rates.per_second[stream] > 0.0 {
                self.plan_arrival(stream);
            }
            if self.scenario.filled {
                self.fill(stream);
            }
        }
    }

    fn go(&mut self) {
        let end = Time::ZERO + self.scenario.end;
        let mut out = Vec::new();
        while let Some(time) = self.events.peek().map(|e| e.0.time) {
            if time > end {
                return;
            }
            let wake = self.scheduler.next_deadline().filter(|w| *w < time);
            self.now = wake.map_or(time, |w| w.max(self.now + Span::from_micros(1)).min(time));
            while let Some(event) = self.due() {
                self.handle(event);
            }
            let began = Instant::now();
            self.scheduler.decide(self.now, &mut out);
            if self.now > Time::ZERO {
                let cost = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
                *self.costs.entry(cost).or_insert(0) += 1;
            }
            for decision in out.drain(..) {
                self.carry_out(decision);
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
            self.print_costs(running);
        }
        let steps = self.scheduler.steps();
        let retries = self.scheduler.retries();
        self.meter.advance(end);
        self.meter.figures(self.scenario, steps, retries)
    }

    /// Prints the processor time of rounds, which isn't the same on every run.
    fn print_costs(&self, running: usize) {
        let total: u64 = self.costs.values().sum();
        let quantile = |part: f64| {
            let mut seen = 0;
            let target = (total as f64 * part) as u64;
            let found = self.costs.iter().find(|(_, count)| {
                seen += **count;
                seen >= target
            });
            found.map_or(0, |(cost, _)| *cost)
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
        self.events.push(Reverse(Planned {
            time,
            sequence,
            event,
        }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => {
                self.arrive(stream, 1.0);
                self.plan_arrival(stream);
            }
            Event::End {
                job,
                version,
                outcome,
            } => self.end(job, version, outcome),
            Event::Throttled { job, version } => {
                if let Some(place) = self.present(job, version) {
                    self.scheduler.throttled(place, self.now);
                }
            }
            Event::Sample => self.sample(),
            Event::Lose => self.lose(),
            Event::Wave => self.send_wave(),
            Event::CancelWave => {
                for key in std::mem::take(&mut self.wave) {
                    self.scheduler.cancel(key, self.now);
                }
            }
        }
    }

    fn carry_out(&mut self, decision: Decision) {
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

fn span_at(left: Span, pace: f64) -> Span {
    Span::from_micros((left.as_micros() as f64 / pace).ceil() as u64)
}
