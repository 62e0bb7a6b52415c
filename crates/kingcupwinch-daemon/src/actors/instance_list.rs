//! Polls the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kingcupwinch_coord::ownership::Event;
use kingcupwinch_platform::InstanceListClient;
use kingcupwinch_wire::instance_list::{Instance, InstanceState, Role};
use slog::o;
use tokio::time::Instant;

use super::ownership::{Ownership, OwnershipEvent};
use super::scheduler::{Scheduler, WorkersListed};
use crate::logging::EventId;
use crate::shared::Shared;

/// Polls the instance list and passes the result to the ownership and scheduler actors.
pub(crate) struct InstanceListPoller {
    /// State shared by every part of the daemon.
    pub(crate) shared: Arc<Shared>,
    /// Client of the platform's instance list.
    pub(crate) list: InstanceListClient,
    /// Receives the entry instances.
    pub(crate) ownership: ActorRef<Ownership>,
    /// Receives the workers.
    pub(crate) scheduler: ActorRef<Scheduler>,
}

impl InstanceListPoller {
    /// Polls until one of the two actors stops.
    pub(crate) async fn run(self) {
        let settings = &self.shared.settings;
        let interval = Duration::from_millis(settings.platform.poll_ms);
        loop {
            let sent = self.shared.now();
            let deadline = Instant::now() + Duration::from_millis(settings.platform.call_ms);
            match self.list.list(&settings.instance.domain, deadline).await {
                Ok(instances) => {
                    let (entries, workers) = split_by_role(instances);
                    let live = names_in_state(&entries, InstanceState::Live);
                    let leaving = names_in_state(&entries, InstanceState::Leaving);
                    let event = Event::InstanceList {
                        sent,
                        live,
                        leaving,
                    };
                    let delivered = self.ownership.tell(OwnershipEvent(event)).await.is_ok();
                    if !delivered || self.scheduler.tell(WorkersListed(workers)).await.is_err() {
                        return;
                    }
                }
                Err(err) => {
                    let fields = o!("error" => err.to_string());
                    self.shared.log.write(EventId::ListUnreadable, fields);
                }
            }
            tokio::time::sleep(interval).await;
        }
    }
}

fn split_by_role(instances: Vec<Instance>) -> (Vec<Instance>, Vec<Instance>) {
    instances
        .into_iter()
        .partition(|instance| instance.role == Role::Entry)
}

fn names_in_state(entries: &[Instance], state: InstanceState) -> Vec<Arc<str>> {
    let of_state = entries.iter().filter(|entry| entry.state == state);
    of_state.map(|entry| Arc::clone(&entry.name)).collect()
}
