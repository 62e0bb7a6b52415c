//! Waits until a version is in force on the instances.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwinch_wire::api::Status;
use tokio::time::{Instant, sleep};

use crate::operator::OperatorClient;
use crate::settings::Settings;

/// The pause between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where a version is not in force yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Rollout {
    /// Instances that were queried.
    pub(crate) queried: usize,
    /// Instances that are behind or did not answer, each with what is known of it.
    pub(crate) behind: Vec<String>,
}

/// Asks every known instance until each has the version or a newer one, or the wait is over.
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

/// Returns how an instance is behind, none where it isn't.
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
        Err(cause) => Some(format!("{address} did not answer: {cause}")),
    }
}
