//! JSON documents of the platform's instance list.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What an instance is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It runs the scheduler.
    Entry,
    /// It runs work.
    Worker,
}

/// Whether an instance stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It stays.
    Live,
    /// It finishes what runs and goes.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// What it is for.
    pub role: Role,
    /// Whether it stays.
    pub state: InstanceState,
    /// Its address.
    pub address: SocketAddr,
    /// What a worker can hold; of no meaning for other roles.
    #[serde(flatten)]
    pub capacity: Capacity,
}

/// What a worker can hold at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Capacity {
    /// Pieces of work.
    pub slots: u32,
    /// Connections.
    pub connections: u32,
    /// Processor in thousandths of a core.
    pub millicores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// The services it runs.
    pub services: Vec<Arc<str>>,
}

/// The answer of the instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// The instances.
    pub instances: Vec<Instance>,
}
