use std::hash::Hasher;

use bytes::Bytes;
use twox_hash::XxHash64;

/// Returns the response body of a worker for a live request: a line made of the request's ID and a
/// hash of its body, repeated up to `size` bytes and at least once.
pub fn live_response(request: &str, body: &[u8], size: usize) -> Bytes {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(body);
    let sum = hasher.finish();
    let line = format!("{request} {} {sum:016x}\n", body.len());
    let size = size.max(line.len());
    line.bytes().cycle().take(size).collect()
}
