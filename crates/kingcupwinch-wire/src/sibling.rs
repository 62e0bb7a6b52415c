//! Messages between the instances of one failure domain.

mod body;
mod decode;
mod encode;
mod envelope;
mod ownership;

pub use body::{
    Body, Grant, KeyBegin, KeyDecision, KeyEnd, KeyFinish, KeyLookup, KeyLookupReply, KeyPermit,
    Queued, Stats, StoredResponse, TaskPhase, TaskState,
};
pub use envelope::{Envelope, EnvelopeKind, MAX_ENVELOPE_BYTES, RequestId};
