use std::io;

use kingcupwinch_wire::DecodeError;
use kingcupwinch_wire::worker::Refusal;
use quick_error::quick_error;

quick_error! {
    /// Causes for which no byte of a request was written.
    #[derive(Debug)]
    pub enum NotSentCause {
        /// Connecting failed.
        Connect(source: io::Error) {
            from()
            source(source)
            display("connecting failed: {source}")
        }
        /// The deadline passed before a connection was available.
        Timeout {
            display("the deadline passed before the request was sent")
        }
        /// A new connection closed before the request was written.
        Closed(source: hyper::Error) {
            source(source)
            display("the connection closed before the request was written: {source}")
        }
        /// The caller's check before the write withheld the request.
        Withheld {
            display("withheld by the check before the write")
        }
    }
}

quick_error! {
    /// Causes for which the response to a possibly sent request is unknown.
    #[derive(Debug)]
    pub enum LostCause {
        /// The deadline passed.
        Timeout {
            display("no response before the deadline")
        }
        /// The connection failed.
        Broken(source: hyper::Error) {
            source(source)
            display("the connection failed: {source}")
        }
        /// The response body is too large or failed.
        Body {
            display("the response body can't be read")
        }
        /// The response has an unexpected status.
        Status(status: u16) {
            display("unexpected status {status}")
        }
        /// The response is not valid JSON of the expected type.
        Malformed(source: serde_json::Error) {
            source(source)
            display("malformed response: {source}")
        }
    }
}

quick_error! {
    /// Errors of sending a request or receiving its response.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of the request was written.
        NotSent(source: NotSentCause) {
            from()
            source(source)
            display("not sent: {source}")
        }
        /// The response was lost; the request may have taken effect.
        Lost(source: LostCause) {
            from()
            source(source)
            display("response lost: {source}")
        }
    }
}

impl SendError {
    /// Returns whether the peer refused the connection or closed it cleanly without a response, as
    /// happens when its process ends. This alone does not prove that the process has ended, since a
    /// network fault can also refuse connections.
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
    /// Errors of appending a record.
    #[derive(Debug)]
    pub enum AppendError {
        /// The record was not appended because the request was not sent.
        NotSent(source: NotSentCause) {
            source(source)
            display("nothing was appended: {source}")
        }
        /// The record was not appended because the log rejected the request with this status.
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
    /// Returns whether the record certainly was not appended.
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
    /// Errors of reading the log.
    #[derive(Debug)]
    pub enum ReadError {
        /// The log could not be reached or did not serve the request.
        Unavailable(source: SendError) {
            from()
            from(cause: LostCause) -> (SendError::Lost(cause))
            source(source)
            display("the log can't be read: {source}")
        }
        /// The response is not a valid page.
        Malformed(source: DecodeError) {
            from()
            source(source)
            display("malformed response of the log: {source}")
        }
    }
}

quick_error! {
    /// Errors of reading the instance list.
    #[derive(Debug)]
    pub enum InstanceListError {
        /// The list could not be reached or did not serve the request.
        Unavailable(source: SendError) {
            from()
            from(cause: LostCause) -> (SendError::Lost(cause))
            source(source)
            display("the instance list can't be read: {source}")
        }
    }
}

quick_error! {
    /// Errors of calling a worker.
    #[derive(Debug)]
    pub enum WorkerError {
        /// The worker refused the work, which did not run.
        Refused(reason: Refusal) {
            display("the worker refused: {reason}")
        }
        /// The worker refused the work for an unknown reason; the work did not run.
        UnknownRefusal {
            display("the worker refused for an unknown reason")
        }
        /// The work was not sent and did not run.
        NotSent(source: NotSentCause) {
            source(source)
            display("not sent: {source}")
        }
        /// The response was lost; the work may have run.
        Unknown(source: LostCause) {
            from()
            source(source)
            display("the work may have run: {source}")
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
