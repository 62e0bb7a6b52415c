//! The owner's room in responses between siblings.

use std::sync::Arc;

use hyper::StatusCode;
use hyper::header::HeaderMap;

use super::Siblings;
use crate::http::{HttpResponse, retry_after};
use crate::room::{NoRoom, ROOM_HEADER};
use crate::shared::Shared;

impl Siblings {
    /// Takes what a response tells of the owner's room, if the owner sent it.
    pub(super) fn note_room(&self, address: &Arc<str>, headers: &HeaderMap) {
        let shared = &*self.shared;
        let claim = shared.claim.borrow();
        if claim
            .as_ref()
            .is_some_and(|claim| claim.address == *address)
        {
            shared.room.receive(headers, shared.now());
        }
    }
}

/// Adds how much room is left to a response, if this instance is the owner and has not plenty.
pub(super) fn add_room(shared: &Shared, response: &mut HttpResponse) {
    if shared.owner().is_some()
        && let Some(header) = shared.room.to_header()
    {
        response.headers_mut().insert(ROOM_HEADER, header);
    }
}

/// Builds the response to a sibling whose record has no room. Earlier versions take any client error for
/// a refusal.
pub(super) fn refuse(no_room: NoRoom) -> HttpResponse {
    let mut response = retry_after(StatusCode::TOO_MANY_REQUESTS, no_room.retry_after_s);
    response.headers_mut().insert(ROOM_HEADER, 0.into());
    response
}
