//! Live requests from their arrival to the end of their answer.

mod admit;
mod attempt;
mod dispatch;
mod flow;
mod keyed;
mod message;
pub(crate) mod refuse;

pub(crate) use admit::{Admission, LiveRequest, find_customer};
pub(crate) use dispatch::not_started_reason;
pub(crate) use flow::LiveService;
