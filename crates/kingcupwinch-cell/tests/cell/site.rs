//! A cell with workers that the test plays.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use kingcupwinch_cell::{
    Action, AdviceCallId, AdviceCost, Cell, CellTimers, EndReason, JobId, JobRecord, JobSpec,
    JobState, QueuePolicy, Registration, Resources, RunEnd, RunningTask, StartOrder, StartOutcome,
    StepSpec, StopOrder, TaskName, WorkerKey, WorkerStatus,
};
use kingcupwinch_time::{Span, Time};

/// The longest lease in these tests.
pub(crate) const LEASE: Span = Span::from_millis(6_000);
/// How long an earlier owner may have renewed leases after a claim.
pub(crate) const OVERLAP: Span = Span::from_millis(4_000);

/// How soon after its last answer an entry goes only if its worker left.
pub(crate) const LEFT_WITHIN: Span = Span::from_millis(1_500);

/// What a played worker has.
#[derive(Debug, Default)]
pub(crate) struct Played {
    pub(crate) running: Vec<RunningTask>,
    pub(crate) ended: Vec<RunEnd>,
    pub(crate) ends: u64,
}

/// A cell, its clock and its workers.
pub(crate) struct Site {
    pub(crate) cell: Cell,
    pub(crate) now: Time,
    pub(crate) workers: BTreeMap<WorkerKey, Played>,
    pub(crate) starts: Vec<StartOrder>,
    pub(crate) stops: Vec<StopOrder>,
    pub(crate) asks: Vec<(AdviceCallId, Vec<Arc<str>>)>,
    /// What the log holds.
    pub(crate) records: HashMap<JobId, JobRecord>,
}

pub(crate) fn id(number: u64) -> JobId {
    JobId::parse(&format!("{number:016x}")).unwrap()
}

pub(crate) fn task(job: u64, step: u16, index: u16) -> TaskName {
    TaskName {
        job: id(job),
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn limits() -> CellTimers {
    CellTimers {
        max_lease: LEASE,
        handover_overlap: OVERLAP,
        end_retention: Span::from_secs(120),
        exit_window: LEFT_WITHIN,
    }
}

pub(crate) fn entry(number: usize, cores: u64) -> Registration {
    Registration {
        id: format!("i-{number}").into(),
        address: format!("127.0.0.1:{}", 1_000 + number).into(),
        service: "service".into(),
        domain: "domain-a".into(),
        draining: false,
        capacity: Resources {
            cpu: cores * 1_000,
            memory: 64_000,
            gpu: 0,
        },
        labels: vec!["kind".into(), format!("rack-{}", number / 4).into()],
        started_ms: Some(1),
    }
}

pub(crate) fn step(count: u16, cores: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources {
            cpu: cores * 1_000,
            memory: 100,
            gpu: 0,
        },
        estimate_ms,
        ..StepSpec::default()
    }
}

pub(crate) fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        policy: QueuePolicy {
            queue: "queue".into(),
            service: "service".into(),
            max_attempts: 2,
            stretch: 2.0,
            target_ms: 1_000,
            priority: 1,
            advice: None,
        },
        payload: "text".into(),
        steps,
        schedule: None,
        accepted_ms: 0,
    }
}

pub(crate) fn with_advice(mut spec: JobSpec, call_ms: f64) -> JobSpec {
    spec.policy.advice = Some(AdviceCost {
        call_ms,
        worker_ms: 1.0,
        valid_ms: 2_500.0,
    });
    spec
}

impl Site {
    /// Makes a site of the first owner, with workers of so many cores that were looked at once.
    pub(crate) fn new(workers: usize, cores: u64) -> Self {
        let mut site = Site::of_generation(1);
        for number in 0..workers {
            let key = site
                .cell
                .register_worker(entry(number, cores), false, site.now);
            site.workers.insert(key, Played::default());
        }
        site.cell
            .set_advice_callers(&["desk-0".into(), "desk-1".into()]);
        site.look_all();
        site
    }

    /// Makes a site without workers.
    pub(crate) fn of_generation(generation: u32) -> Self {
        Site {
            cell: Cell::new(limits(), generation),
            now: Time::from_micros(1_000_000_000),
            workers: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            asks: Vec::new(),
            records: HashMap::new(),
        }
    }

    pub(crate) fn pass(&mut self, ms: u64) {
        self.now += Span::from_millis(ms);
    }

    pub(crate) fn submit(&mut self, number: u64, spec: JobSpec) {
        self.cell.submit(id(number), spec, self.now);
    }

    /// Decides on a fast log, and sorts what comes out; the workers hear nothing of it yet.
    pub(crate) fn decide(&mut self) {
        self.decide_unrecorded();
        self.keep_records();
    }

    /// Decides while the log does not answer.
    pub(crate) fn decide_unrecorded(&mut self) {
        let actions = self.cell.decide(self.now);
        self.sort(actions);
    }

    fn sort(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(order) => self.starts.push(order),
                Action::Stop(order) => self.stops.push(order),
                Action::RequestAdvice { call, workers, .. } => self.asks.push((call, workers)),
            }
        }
    }

    /// Decides, and has the workers carry out everything at once.
    pub(crate) fn run_orders(&mut self) {
        self.decide();
        for order in std::mem::take(&mut self.stops) {
            self.stop(&order);
        }
        for order in std::mem::take(&mut self.starts) {
            self.start(&order);
        }
    }

    /// A worker starts a run, and its answer arrives.
    pub(crate) fn start(&mut self, order: &StartOrder) {
        self.start_unheard(order);
        self.cell
            .start_answered(order, StartOutcome::Started, self.now);
    }

    /// A worker starts a run, and its answer is lost.
    pub(crate) fn start_unheard(&mut self, order: &StartOrder) {
        let played = self.workers.get_mut(&order.worker).unwrap();
        played.running.push(RunningTask {
            task: order.task,
            run: order.run,
            checkpoint: None,
            percent: 0,
        });
    }

    /// A worker stops a run, and its answer arrives.
    pub(crate) fn stop(&mut self, order: &StopOrder) {
        let played = self.workers.get_mut(&order.worker).unwrap();
        let is_there = |entry: &RunningTask| entry.task == order.task && entry.run == order.run;
        if played.running.iter().any(is_there) {
            self.end(order.worker, order.task, EndReason::Stopped);
        }
        self.cell.stop_answered(order, self.now);
    }

    /// A worker's run of a task ends.
    pub(crate) fn end(&mut self, worker: WorkerKey, task: TaskName, how: EndReason) {
        let played = self.workers.get_mut(&worker).unwrap();
        let place = played.running.iter().position(|run| run.task == task);
        let run = played.running.remove(place.unwrap());
        played.ends += 1;
        played.ended.push(RunEnd {
            sequence: played.ends,
            task,
            run: run.run,
            reason: how,
            checkpoint: None,
        });
    }

    /// Ends every run of every worker.
    pub(crate) fn end_all(&mut self, how: EndReason) {
        for key in self.keys() {
            let tasks: Vec<TaskName> = self.workers[&key].running.iter().map(|r| r.task).collect();
            for task in tasks {
                self.end(key, task, how);
            }
        }
    }

    pub(crate) fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().copied().collect()
    }

    pub(crate) fn look_all(&mut self) {
        for key in self.keys() {
            self.look(key);
        }
    }

    /// Looks at a worker, which answers at once.
    pub(crate) fn look(&mut self, key: WorkerKey) {
        let order = self.cell.next_poll(key, self.now).unwrap();
        let played = self.workers.get_mut(&key).unwrap();
        played
            .ended
            .retain(|end| end.sequence > order.acked_through);
        let look = WorkerStatus {
            clock_ms: self.now.as_micros() / 1_000,
            started_ms: Some(1),
            running: played.running.clone(),
            ended: played.ended.clone(),
        };
        let sent = self.now;
        self.pass(1);
        self.cell.poll_answered(key, sent, look, self.now);
    }

    /// Keeps the records that are due in the log.
    pub(crate) fn keep_records(&mut self) {
        let records = self.cell.take_records(self.now);
        self.records.extend(records.progress);
        self.cell.records_appended(records.batch, self.now);
        let actions = self.cell.take_actions();
        self.sort(actions);
    }

    pub(crate) fn shown(&self, number: u64) -> Option<JobState> {
        self.cell.job_state(id(number))
    }

    /// Returns where each running task is.
    pub(crate) fn running(&self) -> Vec<(WorkerKey, TaskName)> {
        let rows = self.workers.iter();
        rows.flat_map(|(key, played)| played.running.iter().map(|run| (*key, run.task)))
            .collect()
    }
}
