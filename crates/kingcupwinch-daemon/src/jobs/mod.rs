//! Jobs: their names, their tasks, and what becomes of them.

mod finals;
mod name;
mod service;
mod work;

pub(crate) use finals::Finals;
pub(crate) use name::{JobName, TaskName};
pub(crate) use service::{JobService, RUNS};
pub(crate) use work::{News, TaskPlace, Work, ended_status};
