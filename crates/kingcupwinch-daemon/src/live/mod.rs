//! Live requests from their arrival to the end of their answer.

mod admit;
mod dispatch;
mod flow;

pub(crate) use admit::{Admission, LiveRequest};
pub(crate) use flow::LiveService;
