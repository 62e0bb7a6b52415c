//! Polls the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kingcupwinch_coord::ownership::Event;
use kingcupwinch_platform::InstanceListClient;
use kingcupwinch_wire::instance_list::{Instance, InstanceState, Role};
use slog::o;
use tokio::time::Instant;

use super::ownership::{Observe, Ownership};
use super::scheduler::{Listed, Scheduler};
use crate::logging::EventId;
use crate::shared::Shared;

/// Polls the list for the actors that need it.
pub(crate) struct RosterPoll {
    /// What every part shares.
    pub(crate) shared: Arc<Shared>,
    /// The instance list.
    pub(crate) list: InstanceListClient,
    /// Hears of entry instances.
    pub(crate) ownership: ActorRef<Ownership>,
    /// Hears of workers.
    pub(crate) scheduler: ActorRef<Scheduler>,
}

impl RosterPoll {
    /// Polls until one of the actors stops.
    pub(crate) async fn run(self) {
        let settings = &self.shared.settings;
        let pause = Duration::from_millis(settings.platform.poll_ms);
        loop {
            let sent = self.shared.now();
            let deadline = Instant::now() + Duration::from_millis(settings.platform.call_ms);
            match self.list.list(&settings.instance.domain, deadline).await {
                Ok(instances) => {
                    let (entries, workers) = split(instances);
                    let live = names(&entries, InstanceState::Live);
                    let leaving = names(&entries, InstanceState::Leaving);
                    let event = Event::InstanceList {
                        sent,
                        live,
                        leaving,
                    };
                    let heard = self.ownership.tell(Observe(event)).await.is_ok();
                    if !heard || self.scheduler.tell(Listed(workers)).await.is_err() {
                        return;
                    }
                }
                Err(err) => {
                    let fields = o!("error" => err.to_string());
                    self.shared.log.write(EventId::ListUnreadable, fields);
                }
            }
            tokio::time::sleep(pause).await;
        }
    }
}

fn split(instances: Vec<Instance>) -> (Vec<Instance>, Vec<Instance>) {
    instances
        .into_iter()
        .partition(|instance| instance.role == Role::Entry)
}

fn names(entries: &[Instance], state: InstanceState) -> Vec<Arc<str>> {
    let of_state = entries.iter().filter(|entry| entry.state == state);
    of_state.map(|entry| Arc::clone(&entry.name)).collect()
}
