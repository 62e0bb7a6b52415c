//! The workers of this failure domain as listed by the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use kingcupwinch_coord::hash::shard_of_name;
use kingcupwinch_coord::id::ShardId;
use kingcupwinch_platform::WorkerClient;
use kingcupwinch_policy::{MachineSpec, Resources};
use kingcupwinch_wire::instance_list::{Instance, InstanceState};

/// A worker and the client that connects to it.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Name in the instance list.
    pub(crate) name: Arc<str>,
    /// Failure domain.
    pub(crate) domain: Arc<str>,
    /// Rack.
    pub(crate) rack: Arc<str>,
    /// Address that the worker listens on.
    pub(crate) address: SocketAddr,
    /// Shard whose owner dispatches to the worker.
    pub(crate) shard: ShardId,
    /// Capacity available for work.
    pub(crate) capacity: Resources,
    /// Client for the worker.
    pub(crate) client: WorkerClient,
    retired: AtomicBool,
}

impl Worker {
    /// Creates a worker from its entry in the list, in a failure domain with `shards` shards.
    pub(crate) fn new(listed: &Instance, shards: u16) -> Self {
        Worker {
            name: Arc::clone(&listed.name),
            domain: Arc::clone(&listed.domain),
            rack: Arc::clone(&listed.rack),
            address: listed.address,
            shard: shard_of_name(&listed.name, shards),
            capacity: capacity_of(listed),
            client: WorkerClient::new(listed.address, listed.capacity.connections),
            retired: AtomicBool::new(false),
        }
    }

    /// Ends the use of this entry: nothing more is started on the worker through it.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    /// Returns whether the use of this entry has ended.
    pub(crate) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    /// Returns the policy's specification of the worker.
    pub(crate) fn machine_spec(&self) -> MachineSpec {
        MachineSpec::new(&self.name, &self.domain, &self.rack, self.capacity)
    }

    /// Returns whether the list entry still has the same address, rack and capacity.
    pub(crate) fn matches(&self, listed: &Instance) -> bool {
        self.address == listed.address
            && self.rack == listed.rack
            && self.capacity == capacity_of(listed)
    }
}

/// Returns whether the list marks an instance as leaving, so that it gets no new work.
pub(crate) fn is_leaving(listed: &Instance) -> bool {
    listed.state == InstanceState::Leaving
}

/// Returns a listed worker's capacity for work. Connections reserved for control calls are
/// excluded.
pub(crate) fn capacity_of(listed: &Instance) -> Resources {
    let capacity = &listed.capacity;
    let control = u32::try_from(kingcupwinch_platform::CONTROL_CONNECTIONS).unwrap_or(u32::MAX);
    let connections = capacity.connections.saturating_sub(control).max(1);
    Resources::new(
        u64::from(capacity.millicores),
        u64::from(capacity.memory_mb),
    )
    .with_accelerators(u64::from(capacity.accelerators))
    .with_slots(u64::from(capacity.slots))
    .with_connections(u64::from(connections))
}
