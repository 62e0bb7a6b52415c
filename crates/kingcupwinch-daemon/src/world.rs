//! The workers of this failure domain as the platform lists them.

use std::net::SocketAddr;
use std::sync::Arc;

use kingcupwinch_coord::hash::shard_of_name;
use kingcupwinch_coord::id::ShardId;
use kingcupwinch_platform::WorkerClient;
use kingcupwinch_policy::{MachineSpec, Resources};
use kingcupwinch_wire::instance_list::{Instance, InstanceState};

/// A worker with the client that reaches it.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Its name in the instance list.
    pub(crate) name: Arc<str>,
    /// Its failure domain.
    pub(crate) domain: Arc<str>,
    /// Its rack.
    pub(crate) rack: Arc<str>,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The shard whose owner dispatches to it.
    pub(crate) shard: ShardId,
    /// What it can hold.
    pub(crate) capacity: Resources,
    /// Its client.
    pub(crate) client: WorkerClient,
}

impl Worker {
    /// Makes a worker from the list's entry, in a domain of `shards` shards.
    pub(crate) fn new(listed: &Instance, shards: u16) -> Self {
        Worker {
            name: Arc::clone(&listed.name),
            domain: Arc::clone(&listed.domain),
            rack: Arc::clone(&listed.rack),
            address: listed.address,
            shard: shard_of_name(&listed.name, shards),
            capacity: capacity_of(listed),
            client: WorkerClient::new(listed.address, listed.capacity.connections),
        }
    }

    /// Returns the machine that the policy knows it as.
    pub(crate) fn as_machine(&self) -> MachineSpec {
        MachineSpec::new(&self.name, &self.domain, &self.rack, self.capacity)
    }

    /// Returns whether the list describes the same worker at the same place.
    pub(crate) fn matches(&self, listed: &Instance) -> bool {
        self.address == listed.address
            && self.rack == listed.rack
            && self.capacity == capacity_of(listed)
    }
}

/// Returns whether the list says that an instance gets nothing new.
pub(crate) fn is_leaving(listed: &Instance) -> bool {
    listed.state == InstanceState::Leaving
}

/// Returns what a listed worker can hold; connections kept for control are no capacity for work.
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
