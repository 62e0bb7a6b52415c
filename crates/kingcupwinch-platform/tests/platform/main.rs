//! The clients against the stand-ins, and against peers that misbehave.

mod certainty;
mod log;
mod patience;
mod pool;
mod roster;
mod support;
mod worker;
