//! The scheduler's state as shown to operators.

use std::sync::Arc;

use kameo::Reply;
use kameo::message::{Context, Message};
use kingcupwinch_policy::{Dimension, MachineState};
use kingcupwinch_wire::api::{QueueStatus, WorkerState, WorkerStatus};

use super::Scheduler;
use super::owned_worker::OwnedWorker;

/// Asks for the workers and queues of this instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GetStatus;

/// The workers and queues of this instance.
#[derive(Debug, Clone, Reply)]
pub(crate) struct SchedulerStatus {
    /// The workers of owned shards, sorted by name.
    pub(crate) workers: Vec<WorkerStatus>,
    /// The queues, in the configuration's order.
    pub(crate) queues: Vec<QueueStatus>,
    /// Number of live requests that wait or run.
    pub(crate) live: usize,
}

impl Scheduler {
    fn inspect(&self) -> SchedulerStatus {
        let mut workers: Vec<_> = self
            .workers
            .values()
            .map(|owned| self.worker_status(owned))
            .collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        let config = self.shared.config.load_full();
        let queues = config
            .tree
            .classes
            .keys()
            .map(|name| self.queue_status(name));
        SchedulerStatus {
            workers,
            queues: queues.collect(),
            live: self.live.len(),
        }
    }

    fn worker_status(&self, owned: &OwnedWorker) -> WorkerStatus {
        let worker = &owned.worker;
        let slots = worker.capacity.get(Dimension::Slots);
        let used = self.cell.machine_used(owned.machine).unwrap_or_default();
        WorkerStatus {
            name: Arc::clone(&worker.name),
            rack: Arc::clone(&worker.rack),
            shard: worker.shard.0,
            state: self.worker_state(owned),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
            busy: u32::try_from(used.get(Dimension::Slots)).unwrap_or(u32::MAX),
        }
    }

    fn worker_state(&self, owned: &OwnedWorker) -> WorkerState {
        if owned.inherited.is_some() {
            return WorkerState::Inherited;
        }
        match self.cell.machine_state(owned.machine) {
            Some(MachineState::Active) => WorkerState::Live,
            Some(MachineState::Quarantined) => WorkerState::Quarantined,
            Some(MachineState::Leaving | MachineState::Gone) | None => WorkerState::Leaving,
        }
    }

    fn queue_status(&self, name: &Arc<str>) -> QueueStatus {
        let key = self.cell.class(name);
        let waiting = key.map_or(0, |key| self.cell.queued(key));
        let running = key.map_or(0, |key| self.cell.running(key));
        QueueStatus {
            class: Arc::clone(name),
            waiting: u64::try_from(waiting).unwrap_or(u64::MAX),
            running: u64::from(running),
        }
    }
}

impl Message<GetStatus> for Scheduler {
    type Reply = SchedulerStatus;

    async fn handle(
        &mut self,
        _inspect: GetStatus,
        _ctx: &mut Context<Self, SchedulerStatus>,
    ) -> SchedulerStatus {
        self.inspect()
    }
}
