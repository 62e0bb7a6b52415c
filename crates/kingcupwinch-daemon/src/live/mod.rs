//! Live requests from their arrival to the end of their answer.

mod admit;
mod attempt;
mod dispatch;
mod flow;
mod keyed;
pub(crate) mod refuse;

pub(crate) use admit::{Admission, LiveRequest};
pub(crate) use flow::LiveService;
