use std::io;

use kingcupwinch_wire::DecodeError;
use kingcupwinch_wire::worker::Refusal;
use quick_error::quick_error;

quick_error! {
    /// Why no byte of a request was written.
    #[derive(Debug)]
    pub enum NotSentCause {
        /// The connection could not be made.
        Connect(source: io::Error) {
            from()
            source(source)
            display("connecting failed: {source}")
        }
        /// The deadline passed before the request was given to a connection.
        Timeout {
            display("the deadline passed before the request was sent")
        }
        /// A new connection was closed before the request was written.
        Closed(source: hyper::Error) {
            source(source)
            display("the connection closed before the request was written: {source}")
        }
        /// The caller's last check refused it.
        Withheld {
            display("withheld by the last check before the write")
        }
    }
}

quick_error! {
    /// Why the answer to a request that may have been sent is not known.
    #[derive(Debug)]
    pub enum LostCause {
        /// The deadline passed.
        Timeout {
            display("no answer before the deadline")
        }
        /// The connection failed.
        Broken(source: hyper::Error) {
            source(source)
            display("the connection failed: {source}")
        }
        /// The answer's body is too large or failed.
        Body {
            display("the answer's body could not be read")
        }
        /// The answer has an unexpected status.
        Status(status: u16) {
            display("unexpected status {status}")
        }
        /// The answer is not valid JSON of its type.
        Malformed(source: serde_json::Error) {
            source(source)
            display("malformed answer: {source}")
        }
    }
}

quick_error! {
    /// Why a request has no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of it was written.
        NotSent(source: NotSentCause) {
            from()
            source(source)
            display("not sent: {source}")
        }
        /// It may have taken effect.
        Lost(source: LostCause) {
            from()
            source(source)
            display("answer lost: {source}")
        }
    }
}

impl SendError {
    /// Returns whether the peer closed the connection in good order instead of answering, or refused
    /// one, as happens when its process ends. A cut in the network may refuse connections in its
    /// name, so this alone is no proof.
    pub fn is_closed(&self) -> bool {
        match self {
            SendError::NotSent(NotSentCause::Closed(_)) => true,
            SendError::NotSent(NotSentCause::Connect(cause)) => {
                cause.kind() == io::ErrorKind::ConnectionRefused
            }
            SendError::Lost(LostCause::Broken(cause)) => cause.is_incomplete_message(),
            _ => false,
        }
    }
}

quick_error! {
    /// Why an append has no offset.
    #[derive(Debug)]
    pub enum AppendError {
        /// Nothing was appended: the request was not sent.
        NotSent(source: NotSentCause) {
            source(source)
            display("nothing was appended: {source}")
        }
        /// Nothing was appended: the log refused it with this status.
        Refused(status: u16) {
            display("nothing was appended: status {status}")
        }
        /// The record may have been appended.
        Unknown(source: LostCause) {
            source(source)
            display("the record may have been appended: {source}")
        }
    }
}

impl AppendError {
    /// Returns whether the record certainly is not in the log.
    pub fn is_not_appended(&self) -> bool {
        !matches!(self, AppendError::Unknown(_))
    }
}

impl From<SendError> for AppendError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(cause) => AppendError::NotSent(cause),
            SendError::Lost(cause) => AppendError::Unknown(cause),
        }
    }
}

quick_error! {
    /// Why a read of the log gave nothing.
    #[derive(Debug)]
    pub enum ReadError {
        /// The log could not be reached, or is out.
        Unavailable(source: SendError) {
            from()
            from(cause: LostCause) -> (SendError::Lost(cause))
            source(source)
            display("the log can't be read: {source}")
        }
        /// The answer is not a valid page.
        Malformed(source: DecodeError) {
            from()
            source(source)
            display("the log's answer: {source}")
        }
    }
}

quick_error! {
    /// Why the instance list gave nothing.
    #[derive(Debug)]
    pub enum InstanceListError {
        /// The list could not be reached, or is out.
        Unavailable(source: SendError) {
            from()
            from(cause: LostCause) -> (SendError::Lost(cause))
            source(source)
            display("the instance list can't be read: {source}")
        }
    }
}

quick_error! {
    /// Why a worker gave no answer of its own.
    #[derive(Debug)]
    pub enum WorkerError {
        /// The worker refused it; it certainly did not run.
        Refused(reason: Refusal) {
            display("the worker refused: {reason}")
        }
        /// The worker refused it for a reason that is not one of the platform's; it certainly did
        /// not run.
        UnknownRefusal {
            display("the worker refused for an unknown reason")
        }
        /// It was not sent; it certainly did not run.
        NotSent(source: NotSentCause) {
            source(source)
            display("not sent: {source}")
        }
        /// It may have run.
        Unknown(source: LostCause) {
            from()
            source(source)
            display("it may have run: {source}")
        }
    }
}

impl WorkerError {
    /// Returns whether the work certainly did not run.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, WorkerError::Unknown(_))
    }
}

impl From<SendError> for WorkerError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(cause) => WorkerError::NotSent(cause),
            SendError::Lost(cause) => WorkerError::Unknown(cause),
        }
    }
}
