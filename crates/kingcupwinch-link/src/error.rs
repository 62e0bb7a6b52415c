use std::io;

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_wire::DecodeError;
use quick_error::quick_error;

quick_error! {
    /// Why a message was not sent or has no answer.
    #[derive(Debug)]
    pub enum LinkError {
        /// The address can't be bound.
        Bind(source: io::Error) {
            source(source)
            display("the link's address can't be bound: {source}")
        }
        /// The receiver is not one of the peers.
        NotPeer(to: Incarnation) {
            display("{to} is not a peer")
        }
        /// There is no connection to the peer now.
        Down(to: Incarnation) {
            display("no connection to {to}")
        }
        /// Too much is outstanding to the peer.
        Full(to: Incarnation) {
            display("too much is outstanding to {to}")
        }
        /// The message exceeds the bound on an envelope's size.
        TooLarge(size: usize) {
            display("message of {size} bytes exceeds the bound")
        }
        /// The peer dropped the message, with this HTTP status.
        Dropped(status: u16) {
            display("the peer dropped the message with status {status}")
        }
        /// No answer came before the deadline.
        Timeout {
            display("no answer before the deadline")
        }
        /// The peer took the message and gave no answer.
        NoAnswer {
            display("the peer gave no answer")
        }
        /// The connection failed.
        Broken(source: hyper::Error) {
            source(source)
            display("the connection failed: {source}")
        }
        /// The answer's body could not be read.
        UnreadableBody {
            display("the answer could not be read")
        }
        /// The answer is not a valid envelope.
        Malformed(source: DecodeError) {
            from()
            source(source)
            display("malformed answer: {source}")
        }
        /// The answer belongs to another request, attempt or incarnation.
        Mismatched {
            display("the answer belongs to another request")
        }
    }
}

impl LinkError {
    /// Returns whether the peer certainly did not take the message.
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
