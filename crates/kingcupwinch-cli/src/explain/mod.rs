//! What the logs of instances tell about jobs: the timeline of one, and where the time of all goes.

mod event;
mod job;
mod summary;

pub(crate) use event::LogReader;
pub(crate) use job::Timeline;
pub(crate) use summary::{QueueSummary, summarize};
