//! A play of crashes: simulated workers that crash under some tasks, and their owners.

use std::collections::{HashMap, HashSet};

use kingcupwinch_cell::{
    EndReason, JobSpec, JobState, PollFailure, Registration, RunEnd, StartOrder, StartOutcome,
    StepSpec, TaskName, WorkerKey, WorkerRecord,
};
use kingcupwinch_time::{Span, Time};

use crate::harness::{FakeWorker, Harness, id, registration, task};

/// Starts of a task that crashes every worker: three, and at most two after the third crash.
pub(super) const MAX_STARTS: u32 = 5;
/// How long a crashed worker is away.
pub(super) const DOWN_MS: u64 = 2_000;
pub(super) const ROUND_MS: u64 = 100;
/// Longer than the age from which a run is not suspected.
pub(super) const PROBATION_MS: u64 = 12_000;

/// How a worker comes back after a crash.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Return {
    SameId,
    /// Under another id at the same address.
    OtherId,
    Never,
}

/// A worker machine.
#[derive(Debug)]
pub(super) struct Host {
    /// The number of the registration, and that of the address.
    pub(super) number: usize,
    pub(super) port: usize,
    pub(super) started_ms: u64,
    pub(super) down_until: Option<Time>,
    pub(super) is_replaced: bool,
    pub(super) key: WorkerKey,
}

/// A harness whose workers crash under some tasks, and complete the others.
pub(super) struct Play {
    pub(super) harness: Harness,
    pub(super) hosts: Vec<Host>,
    pub(super) specs: HashMap<u64, JobSpec>,
    pub(super) crashing: HashSet<TaskName>,
    pub(super) returns: Return,
    pub(super) is_response_lost: bool,
    /// How long after their start tasks crash their workers, and the crashes that are due: the number
    /// of the host and the start of its process.
    pub(super) crash_ms: u64,
    pub(super) due: Vec<(Time, usize, u64, TaskName)>,
    /// How long the runs of other tasks take.
    pub(super) run_ms: u64,
    pub(super) started: HashMap<(TaskName, u32), Time>,
    pub(super) starts: HashMap<TaskName, u32>,
    pub(super) generation: u32,
    /// The number of the next worker.
    next_number: usize,
    /// The list of workers in the log.
    pub(super) workers: Vec<WorkerRecord>,
}

impl Play {
    pub(super) fn new(workers: usize, returns: Return) -> Self {
        let harness = Harness::new(workers, 4);
        let host = |(number, key)| Host {
            number,
            port: number,
            started_ms: 1,
            down_until: None,
            is_replaced: false,
            key,
        };
        let hosts = harness.keys().into_iter().enumerate().map(host).collect();
        Play {
            harness,
            hosts,
            specs: HashMap::new(),
            crashing: HashSet::new(),
            returns,
            is_response_lost: false,
            crash_ms: 0,
            due: Vec::new(),
            run_ms: 1_000,
            started: HashMap::new(),
            starts: HashMap::new(),
            generation: 1,
            next_number: 1_000,
            workers: Vec::new(),
        }
    }

    pub(super) fn submit(&mut self, number: u64, spec: JobSpec) {
        self.specs.insert(number, spec.clone());
        self.harness.submit(number, spec);
    }

    /// Submits a job whose first task crashes every worker.
    pub(super) fn submit_crashing(&mut self, number: u64, spec: JobSpec) {
        self.crashing.insert(task(number, 0, 0));
        self.submit(number, spec);
    }

    /// Returns the state of a job, also once its end is no longer kept by the cell.
    pub(super) fn state(&self, number: u64) -> Option<JobState> {
        let record = self.harness.records.get(&id(number));
        let end = record.and_then(|record| record.end);
        end.or_else(|| self.harness.job_state(number))
    }

    pub(super) fn starts(&self, number: u64) -> u32 {
        let starts = self.starts.get(&task(number, 0, 0));
        starts.copied().unwrap_or(0)
    }

    pub(super) fn crash(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let down = match self.returns {
            Return::Never => Span::from_secs(600),
            _ => Span::from_millis(DOWN_MS),
        };
        host.down_until = Some(self.harness.now + down);
        let fake = self.harness.workers.get_mut(&host.key).unwrap();
        let lost = std::mem::take(fake).running;
        for run in lost {
            self.end_gang(run.task);
        }
    }

    /// Ends the runs of a gang that has lost a member.
    fn end_gang(&mut self, lost: TaskName) {
        if !self.step_of(lost).gang {
            return;
        }
        for (worker, name) in self.harness.running() {
            if is_same_step(name, lost) {
                self.harness.end(worker, name, EndReason::GangEnded);
            }
        }
    }

    /// Crashes some of the workers that are up.
    pub(super) fn crash_many(&mut self, count: usize) {
        let up = |index: &usize| self.hosts[*index].down_until.is_none();
        let crashed: Vec<usize> = (0..self.hosts.len()).filter(up).take(count).collect();
        for index in crashed {
            self.crash(index);
        }
    }

    /// Crashes the worker of a run.
    pub(super) fn crash_first(&mut self) {
        let worker = self.harness.running()[0].0;
        let index = self.hosts.iter().position(|host| host.key == worker);
        self.crash(index.unwrap());
    }

    /// Crashes the workers on which jobs run.
    pub(super) fn crash_workers_of(&mut self, numbers: &[u64]) {
        let ids: Vec<_> = numbers.iter().map(|number| id(*number)).collect();
        let running = self.harness.running().into_iter();
        let running = running.filter(|(_, task)| ids.contains(&task.job));
        let workers: HashSet<WorkerKey> = running.map(|(worker, _)| worker).collect();
        for index in 0..self.hosts.len() {
            if workers.contains(&self.hosts[index].key) {
                self.crash(index);
            }
        }
    }

    /// Returns whether a task of a job runs.
    pub(super) fn is_running(&self, number: u64) -> bool {
        let running = self.harness.running();
        running.iter().any(|(_, task)| task.job == id(number))
    }

    pub(super) fn entry(host: &Host) -> Registration {
        let mut entry = registration(host.number, 4);
        entry.address = registration(host.port, 4).address;
        entry.started_ms = Some(host.started_ms);
        entry
    }

    /// Brings back the workers whose time has come.
    pub(super) fn revive(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if host.is_replaced || host.down_until.is_none_or(|at| at > self.harness.now) {
                continue;
            }
            if self.returns == Return::OtherId {
                host.is_replaced = true;
                let (port, old) = (host.port, host.number);
                let number = self.next_number;
                self.next_number += 1;
                let mut host = Host {
                    number,
                    port,
                    started_ms: 1,
                    down_until: None,
                    is_replaced: false,
                    key: WorkerKey::default(),
                };
                let now = self.harness.now;
                host.key = self
                    .harness
                    .cell
                    .register_worker(Self::entry(&host), false, now);
                self.harness.workers.insert(host.key, FakeWorker::default());
                self.hosts.push(host);
                let old = registration(old, 4).id;
                self.harness.cell.mark_unlisted(&old, now);
            } else {
                host.down_until = None;
                host.started_ms += 1;
                let entry = Self::entry(host);
                self.harness
                    .cell
                    .register_worker(entry, false, self.harness.now);
            }
        }
    }

    pub(super) fn poll(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.down_until.is_none() {
                self.harness.poll_started(host.key, host.started_ms);
                continue;
            }
            let key = host.key;
            self.harness.cell.next_poll(key, self.harness.now);
            let failure = if host.is_replaced {
                let sent = self.harness.now;
                self.harness.advance(1);
                let address = registration(host.port, 4).address.parse().unwrap();
                PollFailure::Replaced { address, sent }
            } else {
                PollFailure::Unresponsive
            };
            self.harness.cell.poll_failed(host.key, failure);
        }
        self.workers = self.harness.cell.worker_records();
    }

    fn step_of(&self, name: TaskName) -> &StepSpec {
        let number = u64::from_str_radix(&name.job.to_string(), 16).unwrap();
        &self.specs[&number].steps[usize::from(name.step)]
    }

    /// Returns whether all members of a gang run, or did until this round.
    fn is_gang_complete(&self, name: TaskName) -> bool {
        let is_done = |end: &RunEnd| is_same_step(end.task, name) && end.reason == EndReason::Done;
        let mut workers = self.harness.workers.values();
        let members = self.harness.running().into_iter();
        let members = members.filter(|(_, other)| is_same_step(*other, name));
        members.count() == usize::from(self.step_of(name).count)
            || workers.any(|fake| fake.ended.iter().any(is_done))
    }

    /// Has the runs make progress, and ends those that are done.
    pub(super) fn work(&mut self) {
        let now = self.harness.now;
        for (key, name) in self.harness.running() {
            let is_long_running = self.step_of(name).long_running;
            let is_complete = !self.step_of(name).gang || self.is_gang_complete(name);
            let fake = self.harness.workers.get_mut(&key).unwrap();
            let run = fake.running.iter_mut().find(|run| run.task == name);
            let run = run.unwrap();
            let age = now.since(self.started[&(name, run.run)]).as_millis();
            if is_long_running {
                run.percent = 100;
            } else if age >= self.run_ms {
                let reason = if is_complete {
                    EndReason::Done
                } else {
                    EndReason::GangIncomplete
                };
                self.harness.end(key, name, reason);
            } else {
                run.percent = (age * 99 / self.run_ms) as u8;
            }
        }
    }

    pub(super) fn start(&mut self, order: &StartOrder) {
        let index = self.hosts.iter().position(|host| host.key == order.worker);
        let index = index.unwrap();
        if self.hosts[index].down_until.is_some() {
            self.harness
                .cell
                .start_answered(order, StartOutcome::Lost, self.harness.now);
            return;
        }
        *self.starts.entry(order.task).or_default() += 1;
        self.started
            .insert((order.task, order.run), self.harness.now);
        let is_crashing = self.crashing.contains(&order.task);
        let outcome = if is_crashing && self.is_response_lost {
            StartOutcome::Lost
        } else {
            StartOutcome::Started
        };
        self.harness.start_with_lost_response(order);
        self.harness
            .cell
            .start_answered(order, outcome, self.harness.now);
        if is_crashing && self.crash_ms == 0 {
            self.crash(index);
        } else if is_crashing {
            let host = &self.hosts[index];
            let at = self.harness.now + Span::from_millis(self.crash_ms);
            self.due
                .push((at, host.number, host.started_ms, order.task));
        }
    }

    /// Crashes the workers whose time has come, unless the task that does it was stopped.
    pub(super) fn crash_due(&mut self) {
        let now = self.harness.now;
        for (_, number, started_ms, name) in self
            .due
            .extract_if(.., |due| due.0 <= now)
            .collect::<Vec<_>>()
        {
            let is_process = |host: &Host| {
                let fake = &self.harness.workers[&host.key];
                (host.number, host.started_ms) == (number, started_ms)
                    && host.down_until.is_none()
                    && fake.running.iter().any(|run| run.task == name)
            };
            if let Some(index) = self.hosts.iter().position(is_process) {
                self.crash(index);
            }
        }
    }

    pub(super) fn decide(&mut self) {
        self.harness.decide();
        for order in std::mem::take(&mut self.harness.stops) {
            let is_up = |host: &&Host| host.key == order.worker && host.down_until.is_none();
            if self.hosts.iter().any(|host| is_up(&host)) {
                self.harness.stop(&order);
            }
        }
        for order in std::mem::take(&mut self.harness.starts) {
            self.start(&order);
        }
    }

    pub(super) fn round(&mut self) {
        self.harness.advance(ROUND_MS);
        self.revive();
        self.crash_due();
        self.work();
        self.poll();
        self.decide();
    }

    pub(super) fn run(&mut self, ms: u64) {
        let end = self.harness.now + Span::from_millis(ms);
        while self.harness.now < end {
            self.round();
        }
    }

    /// Replaces the owner by a later one, which knows what is in the log and the directory.
    pub(super) fn hand_over(&mut self) {
        self.generation += 1;
        let mut harness = Harness::of_generation(self.generation);
        harness.now = self.harness.now;
        harness.records = std::mem::take(&mut self.harness.records);
        let now = harness.now;
        for host in self.hosts.iter_mut().filter(|host| !host.is_replaced) {
            let fake = self.harness.workers.remove(&host.key).unwrap();
            host.key = harness.cell.register_worker(Self::entry(host), true, now);
            harness.workers.insert(host.key, fake);
        }
        for record in &self.workers {
            let key = harness.cell.register_lost_worker(record, now);
            harness.workers.entry(key).or_default();
            let is_host = |host: &&mut Host| registration(host.number, 4).id == record.id;
            if let Some(host) = self.hosts.iter_mut().find(is_host) {
                host.key = key;
            }
        }
        let numbers = 0..self.hosts.len();
        let known: HashSet<WorkerKey> = harness.keys().into_iter().collect();
        let gone = numbers.filter(|index| !known.contains(&self.hosts[*index].key));
        for index in gone.collect::<Vec<_>>().into_iter().rev() {
            self.hosts.remove(index);
        }
        let mut specs: Vec<_> = self.specs.iter().collect();
        specs.sort_by_key(|(number, _)| **number);
        for (number, spec) in specs {
            let record = harness.records.get(&id(*number));
            harness
                .cell
                .restore(id(*number), Some(spec.clone()), record, Span::ZERO, now);
        }
        self.harness = harness;
    }

    #[track_caller]
    pub(super) fn assert_given_up(&self, number: u64) {
        assert_eq!(
            self.state(number),
            Some(JobState::Failed),
            "{} starts",
            self.starts(number)
        );
        let starts = self.starts(number);
        assert!((3..=MAX_STARTS).contains(&starts), "{starts} starts");
    }

    #[track_caller]
    pub(super) fn assert_completed(&self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            let state = self.state(number);
            assert_eq!(state, Some(JobState::Completed), "job {number}");
        }
    }
}

fn is_same_step(a: TaskName, b: TaskName) -> bool {
    (a.job, a.occurrence, a.step) == (b.job, b.occurrence, b.step)
}
