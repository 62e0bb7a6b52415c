//! Request bodies buffered for a retry, and answers relayed as fast as the caller reads.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::HeaderMap;
use hyper::body::{Frame, Incoming};
use kingcupwinch_platform::{RequestBody, ResponseBody, discard_body};
use quick_error::quick_error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

use super::body_memory::{BodyMemory, Charge};
use crate::settings::Hold;

/// Error type of bodies.
pub(crate) type BoxError = kingcupwinch_platform::BodyError;

/// Body type of every message that the daemon sends.
pub(crate) type Body = RequestBody;

/// Time for which the rest of a refused body is dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames of a body after which others have their turn.
const FRAMES_PER_TURN: u32 = 32;

/// Maximum size of an answer that is copied for storage, in bytes.
const MAX_COPY_BYTES: usize = 64 * 1024;

quick_error! {
    /// The reason for which a body could not be read.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is larger than the limit, in bytes.
        TooLarge(limit: u64) {
            display("the body is larger than {limit} bytes")
        }
        /// The peer sent or read nothing for too long.
        Idle {
            display("the peer was idle for too long")
        }
        /// The buffered part took too long to arrive.
        Slow {
            display("the body took too long")
        }
        /// Other bodies use up the memory for them.
        NoMemory {
            display("there is no memory for the body now")
        }
        /// The connection broke.
        Broken(err: hyper::Error) {
            display("the body ended early: {err}")
            source(err)
        }
    }
}

/// Creates a body from bytes in memory.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A request body whose first part was read before the request was queued.
#[derive(Debug)]
pub(crate) enum BufferedBody {
    /// The whole body, which can be sent more than once.
    Whole {
        /// The body.
        bytes: Bytes,
        /// Its memory, which is released with it.
        _charge: Charge,
    },
    /// A body with a part still to be read, which can be sent only once.
    Partial {
        /// The part already read.
        head: Bytes,
        /// The rest of the body.
        tail: Incoming,
    },
    /// A partial body that was already sent.
    Spent,
}

impl BufferedBody {
    /// Reads a body up to the buffer limit of the settings.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the declared size is over the limit, the caller is idle or too slow,
    /// there is no memory for the body, or the connection breaks.
    pub(crate) async fn read(
        mut body: Incoming,
        hold: &Hold,
        memory: &BodyMemory,
    ) -> Result<BufferedBody, BodyError> {
        let head = read_head(&mut body, hold, memory).await;
        match head {
            Ok(Head::Whole(head, charge)) => Ok(BufferedBody::Whole {
                bytes: head.freeze(),
                _charge: charge,
            }),
            Ok(Head::Partial(head)) => Ok(BufferedBody::Partial {
                head: head.freeze(),
                tail: body,
            }),
            Err(err) => {
                tokio::spawn(timeout(DISCARD_TIMEOUT, discard_body(body)));
                Err(err)
            }
        }
    }

    /// Returns the body to send, or `None` if a partial body was already sent.
    pub(crate) fn take(&mut self, hold: &Hold) -> Option<Body> {
        if let BufferedBody::Whole { bytes, .. } = self {
            return Some(full(bytes.clone()));
        }
        match std::mem::replace(self, BufferedBody::Spent) {
            BufferedBody::Partial { head, tail } => Some(stream_rest(head, tail, hold)),
            BufferedBody::Whole { .. } | BufferedBody::Spent => None,
        }
    }

    /// Returns whether the body can still be sent.
    pub(crate) fn can_send(&self) -> bool {
        !matches!(self, BufferedBody::Spent)
    }
}

/// The part of a body that was buffered.
enum Head {
    /// The whole body, with its memory.
    Whole(BytesMut, Charge),
    /// A part, which is sent on at once.
    Partial(BytesMut),
}

async fn read_head(
    body: &mut Incoming,
    hold: &Hold,
    memory: &BodyMemory,
) -> Result<Head, BodyError> {
    use hyper::body::Body as _;
    if body.size_hint().lower() > hold.body_bytes {
        return Err(BodyError::TooLarge(hold.body_bytes));
    }
    let until = Instant::now() + Duration::from_millis(hold.buffer_ms);
    let (mut head, mut charge, mut frames) = (BytesMut::new(), memory.charge(), 0);
    while head.len() <= hold.request_bytes {
        let next = timeout_at(until, next_data(body, hold.idle_ms)).await;
        match next.map_err(|_| BodyError::Slow)?? {
            Some(data) => head.extend_from_slice(&data),
            None => return Ok(Head::Whole(head, charge)),
        }
        if !charge.raise(head.capacity()) {
            return Err(BodyError::NoMemory);
        }
        frames += 1;
        if frames % FRAMES_PER_TURN == 0 {
            yield_now().await;
        }
    }
    Ok(Head::Partial(head))
}

/// Reads the next chunk of data, skipping trailers.
async fn next_data(body: &mut Incoming, idle_ms: u64) -> Result<Option<Bytes>, BodyError> {
    loop {
        let next = timeout(Duration::from_millis(idle_ms), body.frame()).await;
        let Some(frame) = next.map_err(|_| BodyError::Idle)? else {
            return Ok(None);
        };
        if let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() {
            return Ok(Some(data));
        }
    }
}

/// The remaining part of a streamed request body.
struct BodyRemainder {
    head: Option<Bytes>,
    tail: Incoming,
    budget: u64,
    limit: u64,
    idle_ms: u64,
}

impl BodyRemainder {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(head) = self.head.take() {
            return Ok(Some(head));
        }
        let Some(data) = next_data(&mut self.tail, self.idle_ms).await? else {
            return Ok(None);
        };
        let size = data.len() as u64;
        self.budget = self
            .budget
            .checked_sub(size)
            .ok_or(BodyError::TooLarge(self.limit))?;
        Ok(Some(data))
    }
}

fn stream_rest(head: Bytes, tail: Incoming, hold: &Hold) -> Body {
    let budget = hold.body_bytes.saturating_sub(head.len() as u64);
    let remainder = BodyRemainder {
        head: Some(head),
        tail,
        budget,
        limit: hold.body_bytes,
        idle_ms: hold.idle_ms,
    };
    let frames = unfold(Some(remainder), |state| async move {
        let mut remainder = state?;
        match remainder.next().await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(remainder))),
            Ok(None) => None,
            Err(err) => Some((Err(BoxError::from(err)), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Relays a worker's answer to the caller.
///
/// A separate task reads the worker's side to the end and buffers up to `hold.answer_bytes`, so
/// that neither a slow reader nor one that disconnects occupies the worker's slot for longer than
/// the work takes. `observer` is notified when the worker's side has ended.
pub(crate) fn relay_answer<O: AnswerObserver>(
    answer: ResponseBody,
    hold: &Hold,
    observer: O,
) -> Body {
    let (sender, receiver) = mpsc::unbounded_channel();
    let budget = Arc::new(Semaphore::new(hold.answer_bytes));
    let copy = observer.wants_copy().then(BytesMut::new);
    let pump = Pump {
        answer,
        budget,
        sender: Some(sender),
        hold: *hold,
        copy,
    };
    tokio::spawn(pump.run(observer));
    let frames = unfold(receiver, |mut receiver| async move {
        let part: AnswerPart = receiver.recv().await?;
        Some((part.into_frame(), receiver))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// The end of the worker's side of an answer.
#[derive(Debug, Clone)]
pub(crate) struct AnswerEnd {
    /// Whether the answer is complete.
    pub(crate) whole: bool,
    /// The whole body, if a copy was requested and the body was small enough.
    pub(crate) copy: Option<Bytes>,
}

/// Observes the end of a worker's answer.
pub(crate) trait AnswerObserver: Send + 'static {
    /// Returns whether a copy of the body is needed.
    fn wants_copy(&self) -> bool;

    /// Called when the worker's side has ended, complete or broken off.
    fn ended(self, end: AnswerEnd);
}

/// A part of an answer that is queued for the caller.
enum AnswerPart {
    Data(Bytes, OwnedSemaphorePermit),
    Trailers(HeaderMap),
    Broken(BodyError),
}

impl AnswerPart {
    /// Converts the part to a frame for the connection and releases its buffer budget.
    fn into_frame(self) -> Result<Frame<Bytes>, BoxError> {
        match self {
            AnswerPart::Data(data, _budget) => Ok(Frame::data(data)),
            AnswerPart::Trailers(trailers) => Ok(Frame::trailers(trailers)),
            AnswerPart::Broken(err) => Err(err.into()),
        }
    }
}

struct Pump {
    answer: ResponseBody,
    budget: Arc<Semaphore>,
    sender: Option<mpsc::UnboundedSender<AnswerPart>>,
    hold: Hold,
    copy: Option<BytesMut>,
}

impl Pump {
    async fn run<O: AnswerObserver>(mut self, observer: O) {
        loop {
            match self.answer.frame().await {
                Some(Ok(frame)) => self.forward_frame(frame).await,
                Some(Err(err)) => {
                    self.send(AnswerPart::Broken(BodyError::Broken(err)));
                    return observer.ended(AnswerEnd {
                        whole: false,
                        copy: None,
                    });
                }
                None => {
                    let copy = self.copy.map(BytesMut::freeze);
                    return observer.ended(AnswerEnd { whole: true, copy });
                }
            }
        }
    }

    async fn forward_frame(&mut self, frame: Frame<Bytes>) {
        match frame.into_data() {
            Ok(data) => self.forward_data(data).await,
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    self.send(AnswerPart::Trailers(trailers));
                }
            }
        }
    }

    /// Appends to the copy, or drops the copy if it gets too large.
    fn keep_copy(&mut self, data: &Bytes) {
        let Some(copy) = &mut self.copy else { return };
        if copy.len() + data.len() > MAX_COPY_BYTES {
            self.copy = None;
        } else {
            copy.extend_from_slice(data);
        }
    }

    /// Waits for buffer budget. A reader that reads nothing for too long loses its connection.
    async fn forward_data(&mut self, data: Bytes) {
        self.keep_copy(&data);
        let Some(sender) = &self.sender else { return };
        let size = data.len().min(self.hold.answer_bytes);
        let permits = u32::try_from(size).unwrap_or(u32::MAX);
        let budget = Arc::clone(&self.budget).acquire_many_owned(permits);
        let idle = Duration::from_millis(self.hold.idle_ms);
        let budget = tokio::select! {
            budget = timeout(idle, budget) => budget,
            () = sender.closed() => {
                self.sender = None;
                return;
            }
        };
        match budget {
            Ok(Ok(budget)) => self.send(AnswerPart::Data(data, budget)),
            Ok(Err(_)) | Err(_) => {
                self.send(AnswerPart::Broken(BodyError::Idle));
                self.sender = None;
            }
        }
    }

    fn send(&mut self, part: AnswerPart) {
        let disconnected = self
            .sender
            .as_ref()
            .is_some_and(|sender| sender.send(part).is_err());
        if disconnected {
            self.sender = None;
        }
    }
}
