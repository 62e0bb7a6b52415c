//! Request bodies held for a retry, and answers passed on at the reader's pace.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::HeaderMap;
use hyper::body::{Frame, Incoming};
use kingcupwinch_platform::{RequestBody, ResponseBody};
use quick_error::quick_error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;

use crate::settings::Hold;

/// Any error of a body.
pub(crate) type BoxError = kingcupwinch_platform::BodyError;

/// The body of every message that the daemon sends.
pub(crate) type Body = RequestBody;

/// The largest answer that is kept whole, in bytes.
const MAX_COPY_BYTES: usize = 64 * 1024;

quick_error! {
    /// Why a body could not be read.
    #[derive(Debug)]
    pub enum BodyError {
        /// It is larger than the limit.
        TooLarge(limit: u64) {
            display("the body is larger than {limit} bytes")
        }
        /// The peer sent or took nothing for too long.
        Idle {
            display("the peer was idle for too long")
        }
        /// The connection broke.
        Broken(err: hyper::Error) {
            display("the body broke off: {err}")
            source(err)
        }
    }
}

/// Makes a body of bytes at hand.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A request body of which the first part was read before the request was queued.
#[derive(Debug)]
pub(crate) enum Held {
    /// All of it is here, so it can be sent more than once.
    Whole(Bytes),
    /// More follows; it can be sent once.
    Partial {
        /// What was read.
        head: Bytes,
        /// What follows.
        tail: Incoming,
    },
    /// A partial body that was sent.
    Spent,
}

impl Held {
    /// Reads up to the limit that the settings allow to be held.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the declared size is over the limit, the caller is idle, or the
    /// connection breaks.
    pub(crate) async fn read(mut body: Incoming, hold: &Hold) -> Result<Held, BodyError> {
        use hyper::body::Body as _;
        if body.size_hint().lower() > hold.body_bytes {
            return Err(BodyError::TooLarge(hold.body_bytes));
        }
        let mut head = BytesMut::new();
        while head.len() <= hold.request_bytes {
            match next_data(&mut body, hold.idle_ms).await? {
                Some(data) => head.extend_from_slice(&data),
                None => return Ok(Held::Whole(head.freeze())),
            }
        }
        Ok(Held::Partial {
            head: head.freeze(),
            tail: body,
        })
    }

    /// Returns the body to send, or `None` if a partial body was sent before.
    pub(crate) fn take(&mut self, hold: &Hold) -> Option<Body> {
        if let Held::Whole(bytes) = self {
            return Some(full(bytes.clone()));
        }
        match std::mem::replace(self, Held::Spent) {
            Held::Partial { head, tail } => Some(stream_rest(head, tail, hold)),
            Held::Whole(_) | Held::Spent => None,
        }
    }

    /// Returns whether the body can still be sent.
    pub(crate) fn can_send(&self) -> bool {
        !matches!(self, Held::Spent)
    }
}

/// Reads the next piece of data, passing over trailers.
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

/// What is left of a streamed request body.
struct Rest {
    head: Option<Bytes>,
    tail: Incoming,
    room: u64,
    limit: u64,
    idle_ms: u64,
}

impl Rest {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(head) = self.head.take() {
            return Ok(Some(head));
        }
        let Some(data) = next_data(&mut self.tail, self.idle_ms).await? else {
            return Ok(None);
        };
        let size = data.len() as u64;
        self.room = self
            .room
            .checked_sub(size)
            .ok_or(BodyError::TooLarge(self.limit))?;
        Ok(Some(data))
    }
}

fn stream_rest(head: Bytes, tail: Incoming, hold: &Hold) -> Body {
    let room = hold.body_bytes.saturating_sub(head.len() as u64);
    let rest = Rest {
        head: Some(head),
        tail,
        room,
        limit: hold.body_bytes,
        idle_ms: hold.idle_ms,
    };
    let frames = unfold(Some(rest), |state| async move {
        let mut rest = state?;
        match rest.next().await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(rest))),
            Ok(None) => None,
            Err(err) => Some((Err(BoxError::from(err)), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Passes a worker's answer on to the caller.
///
/// A task of its own reads the worker's side to the end, so neither a slow reader nor one that
/// hangs up keeps the worker's slot for longer than the work takes, up to `hold.answer_bytes` held
/// at once. `done` is dropped when the worker's side has ended.
pub(crate) fn relay_answer<G: Relayed>(answer: ResponseBody, hold: &Hold, done: G) -> Body {
    let (sender, receiver) = mpsc::unbounded_channel();
    let room = Arc::new(Semaphore::new(hold.answer_bytes));
    let copy = done.wants_copy().then(BytesMut::new);
    let pump = Pump {
        answer,
        room,
        sender: Some(sender),
        hold: *hold,
        copy,
    };
    tokio::spawn(pump.run(done));
    let frames = unfold(receiver, |mut receiver| async move {
        let piece: Piece = receiver.recv().await?;
        Some((piece.open(), receiver))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// How the worker's side of an answer ended.
#[derive(Debug, Clone)]
pub(crate) struct AnswerEnd {
    /// Whether it ended whole.
    pub(crate) whole: bool,
    /// The whole body where a copy was wanted and it was small enough.
    pub(crate) copy: Option<Bytes>,
}

/// Hears how a worker's answer ended.
pub(crate) trait Relayed: Send + 'static {
    /// Returns whether a copy of the body is wanted.
    fn wants_copy(&self) -> bool;

    /// The worker's side ended, whole or broken off.
    fn ended(self, end: AnswerEnd);
}

/// A part of an answer on its way to the caller.
enum Piece {
    Data(Bytes, OwnedSemaphorePermit),
    Trailers(HeaderMap),
    Broken(BodyError),
}

impl Piece {
    /// Gives the part up to the connection and frees its room.
    fn open(self) -> Result<Frame<Bytes>, BoxError> {
        match self {
            Piece::Data(data, _room) => Ok(Frame::data(data)),
            Piece::Trailers(trailers) => Ok(Frame::trailers(trailers)),
            Piece::Broken(err) => Err(err.into()),
        }
    }
}

struct Pump {
    answer: ResponseBody,
    room: Arc<Semaphore>,
    sender: Option<mpsc::UnboundedSender<Piece>>,
    hold: Hold,
    copy: Option<BytesMut>,
}

impl Pump {
    async fn run<G: Relayed>(mut self, done: G) {
        loop {
            match self.answer.frame().await {
                Some(Ok(frame)) => self.pass(frame).await,
                Some(Err(err)) => {
                    self.send(Piece::Broken(BodyError::Broken(err)));
                    return done.ended(AnswerEnd {
                        whole: false,
                        copy: None,
                    });
                }
                None => {
                    let copy = self.copy.map(BytesMut::freeze);
                    return done.ended(AnswerEnd { whole: true, copy });
                }
            }
        }
    }

    async fn pass(&mut self, frame: Frame<Bytes>) {
        match frame.into_data() {
            Ok(data) => self.pass_data(data).await,
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    self.send(Piece::Trailers(trailers));
                }
            }
        }
    }

    /// Keeps a copy as long as it is small enough.
    fn keep_copy(&mut self, data: &Bytes) {
        let Some(copy) = &mut self.copy else { return };
        if copy.len() + data.len() > MAX_COPY_BYTES {
            self.copy = None;
        } else {
            copy.extend_from_slice(data);
        }
    }

    /// Waits for room; a reader that takes nothing for too long loses its connection.
    async fn pass_data(&mut self, data: Bytes) {
        self.keep_copy(&data);
        let Some(sender) = &self.sender else { return };
        let size = data.len().min(self.hold.answer_bytes);
        let permits = u32::try_from(size).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.room).acquire_many_owned(permits);
        let idle = Duration::from_millis(self.hold.idle_ms);
        let room = tokio::select! {
            room = timeout(idle, room) => room,
            () = sender.closed() => {
                self.sender = None;
                return;
            }
        };
        match room {
            Ok(Ok(room)) => self.send(Piece::Data(data, room)),
            Ok(Err(_)) | Err(_) => {
                self.send(Piece::Broken(BodyError::Idle));
                self.sender = None;
            }
        }
    }

    fn send(&mut self, piece: Piece) {
        let gone = self
            .sender
            .as_ref()
            .is_some_and(|sender| sender.send(piece).is_err());
        if gone {
            self.sender = None;
        }
    }
}
