//! Requests for a job, made to the owner or to the log.

use std::sync::Arc;

use kingcupwinch_cell::{JobId, JobState, JobView};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{OwnerReply, STATE_PATH, Siblings};
use crate::owner::GetJobState;

/// Response of the owner to a request for a job's state.
#[derive(Serialize, Deserialize)]
pub(super) struct StateResponse {
    #[serde(rename = "shown")]
    state: Option<JobState>,
    /// Customer of the job. Earlier versions don't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    customer: Option<Arc<str>>,
}

impl From<Option<JobView>> for StateResponse {
    fn from(view: Option<JobView>) -> Self {
        StateResponse {
            state: view.as_ref().map(|view| view.state),
            customer: view.and_then(|view| view.customer),
        }
    }
}

impl StateResponse {
    pub(super) fn into_view(self) -> Option<JobView> {
        let customer = self.customer;
        self.state.map(|state| JobView { state, customer })
    }
}

impl Siblings {
    /// Returns a job from the owner, or from the log while the owner is unreachable.
    pub(crate) async fn job(&self, id: JobId, deadline: Instant) -> OwnerReply<Option<JobView>> {
        loop {
            if let OwnerReply::Value(view) = self.job_at_owner(id, deadline).await {
                return OwnerReply::Value(view);
            }
            if let Some(view) = self.states.get(&self.shared, id).await {
                return OwnerReply::Value(Some(view));
            }
            if !self.wait_for_retry(deadline).await {
                return OwnerReply::NoOwner;
            }
        }
    }

    /// Returns a job from the owner, which is asked once.
    pub(crate) async fn job_at_owner(
        &self,
        id: JobId,
        deadline: Instant,
    ) -> OwnerReply<Option<JobView>> {
        if let Some(view) = self.ask_local_owner(GetJobState(id)).await {
            return OwnerReply::Value(view);
        }
        let path = format!("{STATE_PATH}{id}");
        let response = self
            .ask_remote_owner::<StateResponse>(&path, deadline)
            .await;
        response.map_or(OwnerReply::NoOwner, |response| {
            OwnerReply::Value(response.into_view())
        })
    }
}
