use std::fmt;

use bytes::Bytes;
use kingcupwinch_coord::id::{Attempt, Incarnation};
use prost::Message;
use uuid::Uuid;

use super::{Body, decode, encode};
use crate::DecodeError;
use crate::field::{check_size, incarnation, incarnation_bytes, uuid, uuid_bytes};
use crate::pb::sibling as pb;

/// The maximum size of an encoded envelope, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 1 << 20;

/// The ID of a request between siblings, shared by all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Uuid);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The role of an envelope in a message exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EnvelopeKind {
    /// A message without a response.
    OneWay,
    /// A request; its response carries the same request ID and attempt.
    Request,
    /// The response to a request.
    Response,
}

/// A message with its addressing and request correlation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The sender.
    pub from: Incarnation,
    /// The intended receiver.
    pub to: Incarnation,
    /// The request ID that correlates requests and responses.
    pub request: RequestId,
    /// The attempt that correlates requests and responses.
    pub attempt: Attempt,
    /// The envelope's role in the exchange.
    pub kind: EnvelopeKind,
    /// The message.
    pub body: Body,
}

impl Envelope {
    /// Encodes the envelope.
    pub fn encode(&self) -> Vec<u8> {
        let envelope = pb::Envelope {
            from: incarnation_bytes(self.from),
            to: incarnation_bytes(self.to),
            request: uuid_bytes(self.request.0),
            attempt: self.attempt.0,
            kind: encode_kind(self.kind).into(),
            body: Some(encode::body(&self.body)),
        };
        envelope.encode_to_vec()
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the bytes exceed [`MAX_ENVELOPE_BYTES`] or are malformed, or if
    /// a field is missing or out of range.
    pub fn decode(bytes: Bytes) -> Result<Self, DecodeError> {
        check_size(bytes.len(), MAX_ENVELOPE_BYTES)?;
        let envelope = pb::Envelope::decode(bytes)?;
        let kind = decode_kind(envelope.kind())?;
        Ok(Envelope {
            from: incarnation(&envelope.from, "from")?,
            to: incarnation(&envelope.to, "to")?,
            request: RequestId(uuid(&envelope.request, "request")?),
            attempt: Attempt(envelope.attempt),
            kind,
            body: decode::body(envelope.body)?,
        })
    }
}

fn encode_kind(kind: EnvelopeKind) -> pb::Kind {
    match kind {
        EnvelopeKind::OneWay => pb::Kind::Tell,
        EnvelopeKind::Request => pb::Kind::Ask,
        EnvelopeKind::Response => pb::Kind::Answer,
    }
}

fn decode_kind(kind: pb::Kind) -> Result<EnvelopeKind, DecodeError> {
    match kind {
        pb::Kind::Unspecified => Err(DecodeError::OutOfRange("kind")),
        pb::Kind::Tell => Ok(EnvelopeKind::OneWay),
        pb::Kind::Ask => Ok(EnvelopeKind::Request),
        pb::Kind::Answer => Ok(EnvelopeKind::Response),
    }
}
