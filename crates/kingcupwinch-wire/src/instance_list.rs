//! JSON documents of the platform's instance list.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The instance runs the scheduler.
    Entry,
    /// The instance runs requests and tasks.
    Worker,
}

/// The lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance stays in service.
    Live,
    /// The instance finishes its running work and then shuts down.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: Arc<str>,
    /// The instance's failure domain.
    pub domain: Arc<str>,
    /// The instance's rack.
    pub rack: Arc<str>,
    /// The instance's role.
    pub role: Role,
    /// The instance's lifecycle state.
    pub state: InstanceState,
    /// The address that the instance listens on.
    pub address: SocketAddr,
    /// The capacity of a worker; meaningless for other roles.
    #[serde(flatten)]
    pub capacity: Capacity,
}

/// The limits on what a worker holds at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Capacity {
    /// Requests and tasks that can run concurrently.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// CPU capacity in thousandths of a core.
    pub millicores: u32,
    /// Memory capacity in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Names of the services that the worker runs.
    pub services: Vec<Arc<str>>,
}

/// The response of the instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// The listed instances.
    pub instances: Vec<Instance>,
}
