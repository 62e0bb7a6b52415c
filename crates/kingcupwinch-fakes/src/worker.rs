//! Workers, and the ledger of all that was started on them.

mod answer;
mod counts;
mod engine;
mod ledger;
mod live;
mod report;
mod run;
mod service;
mod spec;

pub use answer::live_answer;
pub use counts::Counts;
pub use engine::WorkerEngine;
pub use ledger::{Ledger, Place, Start};
pub use service::FakeWorker;
pub use spec::{Conduct, LiveStart, WorkerSpec};
