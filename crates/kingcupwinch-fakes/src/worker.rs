//! Stand-in workers and the history of the work started on them.

mod counts;
mod engine;
mod history;
mod live;
mod report;
mod response;
mod run;
mod service;
mod spec;

pub use counts::Counts;
pub use engine::WorkerEngine;
pub use history::{History, Start, StartIndex};
pub use response::live_response;
pub use service::FakeWorker;
pub use spec::{LiveStart, WorkerFaults, WorkerSpec};
