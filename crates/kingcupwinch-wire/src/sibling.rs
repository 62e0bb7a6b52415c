//! Messages between the instances of one failure domain.

mod body;
mod decode;
mod encode;
mod envelope;
mod ownership;

pub use body::{
    Body, Grant, KeyAnswer, KeyBegin, KeyEnd, KeyFinish, KeyFound, KeyLookup, KeyOutcome,
    KeyPermit, Queued, Stats, TaskPhase, TaskState,
};
pub use envelope::{Envelope, Kind, MAX_ENVELOPE_BYTES, RequestId};
