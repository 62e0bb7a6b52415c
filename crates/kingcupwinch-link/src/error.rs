use std::io;

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_wire::DecodeError;
use quick_error::quick_error;

quick_error! {
    /// Errors of sending a message or waiting for its response.
    #[derive(Debug)]
    pub enum LinkError {
        /// The listener's address can't be bound.
        Bind(source: io::Error) {
            source(source)
            display("can't bind the link's address: {source}")
        }
        /// The receiver is not one of the peers.
        NotPeer(to: Incarnation) {
            display("{to} is not a peer")
        }
        /// The peer is not connected.
        Down(to: Incarnation) {
            display("no connection to {to}")
        }
        /// The limit on outstanding messages or bytes to the peer is reached.
        Full(to: Incarnation) {
            display("the limit on outstanding messages to {to} is reached")
        }
        /// The encoded message exceeds the envelope size limit; the value is in bytes.
        TooLarge(size: usize) {
            display("message of {size} bytes exceeds the size limit")
        }
        /// The peer rejected the message with this HTTP status.
        Dropped(status: u16) {
            display("the peer rejected the message with status {status}")
        }
        /// The deadline passed before a response arrived.
        Timeout {
            display("no response before the deadline")
        }
        /// The peer accepted the message and sent no response.
        NoResponse {
            display("the peer sent no response")
        }
        /// The connection failed.
        Broken(source: hyper::Error) {
            source(source)
            display("the connection failed: {source}")
        }
        /// The response body could not be read.
        UnreadableBody {
            display("the response body can't be read")
        }
        /// The response is not a valid envelope.
        Malformed(source: DecodeError) {
            from()
            source(source)
            display("malformed response: {source}")
        }
        /// The response belongs to another request, attempt or incarnation.
        Mismatched {
            display("the response belongs to another request")
        }
    }
}

impl LinkError {
    /// Returns whether the peer certainly did not accept the message.
    pub fn is_not_delivered(&self) -> bool {
        matches!(
            self,
            LinkError::NotPeer(_)
                | LinkError::Down(_)
                | LinkError::Full(_)
                | LinkError::TooLarge(_)
                | LinkError::Dropped(_)
        )
    }
}
