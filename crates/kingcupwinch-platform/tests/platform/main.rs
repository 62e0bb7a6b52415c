//! The clients against the stand-ins, and against peers that misbehave.

mod adaptive_timeout;
mod certainty;
mod instance_list;
mod log;
mod pool;
mod support;
mod worker;
