//! Waits until a version is in force on the instances.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwinch_wire::api::Status;
use tokio::time::{Instant, sleep};

use crate::operator::OperatorClient;
use crate::settings::Settings;

/// Pause between two rounds of status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Result of waiting for a version.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Rollout {
    /// Number of instances that were queried.
    pub(crate) queried: usize,
    /// Descriptions of the instances that have an older version or whose request failed.
    pub(crate) behind: Vec<String>,
}

/// Queries the instances until each has the version or a newer one, or until `wait` has passed.
pub(crate) async fn wait_in_force(settings: &Settings, version: u64, wait: Duration) -> Rollout {
    let operator = settings.operator_client();
    let deadline = Instant::now() + wait;
    loop {
        let mut behind = Vec::new();
        for address in settings.instances() {
            behind.extend(describe_lag(&operator, *address, version).await);
        }
        if behind.is_empty() || Instant::now() >= deadline {
            return Rollout {
                queried: settings.instances().len(),
                behind,
            };
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Describes an instance that has an older version or whose request failed, `None` otherwise.
async fn describe_lag(
    operator: &OperatorClient,
    address: SocketAddr,
    version: u64,
) -> Option<String> {
    match operator.get_json::<Status>(address, "/v1/status").await {
        Ok(status) if status.version >= version => None,
        Ok(status) => Some(format!(
            "{} at {address} has version {}",
            status.instance, status.version
        )),
        Err(cause) => Some(format!("the request to {address} failed: {cause}")),
    }
}
