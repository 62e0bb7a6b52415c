//! Records of the configuration stream.

use kingcupwinch_coord::id::{Offset, Version};
use kingcupwinch_coord::record::{ConfigRecord, Origin, Stamped};
use kingcupwinch_time::WallTime;
use prost::Message;

use crate::DecodeError;
use crate::field::{MAX_RECORD_BYTES, check_size, record_id, record_id_bytes};
use crate::pb::records as pb;

/// Decodes a record of the configuration stream.
///
/// # Errors
///
/// Returns a [`DecodeError`] if the bytes exceed [`MAX_RECORD_BYTES`] or are malformed, or if an
/// identifier is invalid.
pub fn decode_config(bytes: &[u8]) -> Result<Stamped<ConfigRecord>, DecodeError> {
    check_size(bytes.len(), MAX_RECORD_BYTES)?;
    let entry = pb::ConfigEntry::decode(bytes)?;
    let origin = entry.origin.as_ref().map(decode_origin);
    let body = ConfigRecord {
        based: Version(entry.based),
        version: Version(entry.version),
        origin: origin.transpose()?,
        author: entry.author.into(),
        published: WallTime::from_millis(entry.published_ms),
        tree: entry.tree.into(),
    };
    Ok(Stamped {
        id: record_id(&entry.id, "id")?,
        body,
    })
}

/// Encodes a record of the configuration stream.
pub fn encode_config(record: &Stamped<ConfigRecord>) -> Vec<u8> {
    let body = &record.body;
    let entry = pb::ConfigEntry {
        id: record_id_bytes(record.id),
        based: body.based.0,
        version: body.version.0,
        origin: body.origin.map(encode_origin),
        author: body.author.to_string(),
        published_ms: body.published.as_millis(),
        tree: body.tree.to_string(),
    };
    entry.encode_to_vec()
}

fn decode_origin(origin: &pb::Origin) -> Result<Origin, DecodeError> {
    Ok(Origin {
        id: record_id(&origin.id, "origin.id")?,
        covers: Offset(origin.covers),
    })
}

fn encode_origin(origin: Origin) -> pb::Origin {
    pb::Origin {
        id: record_id_bytes(origin.id),
        covers: origin.covers.0,
    }
}
