//! Reads a stream of the log on and on, and hands every page to an actor.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::message::Message;
use kameo::{Actor, Reply};
use kingcupwinch_coord::id::Offset;
use kingcupwinch_platform::LogClient;
use kingcupwinch_time::{Span, Time};
use kingcupwinch_wire::LogPage;
use rand::Rng;
use slog::o;
use tokio::time::Instant;

use crate::logging::EventId;
use crate::shared::Shared;

/// The most records of one page.
const MAX_PAGE_RECORDS: u32 = 1_000;

/// The longest pause after a failed read.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// The first pause after a failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The offset that an actor wants to read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Reply)]
pub(crate) struct NextOffset(pub(crate) Offset);

/// A page of the stream that an actor follows; the reply is [`NextOffset`].
#[derive(Debug)]
pub(crate) struct PageRead {
    /// When the read was sent.
    pub(crate) sent: Time,
    /// What was read.
    pub(crate) page: LogPage,
}

/// A read of the stream failed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadFailed;

/// A stream of the log and how long a read of it waits for something new.
#[derive(Debug, Clone)]
pub(crate) struct StreamReader {
    /// What every part shares.
    pub(crate) shared: Arc<Shared>,
    /// The log service.
    pub(crate) log: LogClient,
    /// The stream's name.
    pub(crate) stream: Arc<str>,
    /// How long a read waits for the first record.
    pub(crate) wait: Span,
}

impl StreamReader {
    /// Reads from `offset` on until the actor stops.
    pub(crate) async fn run<A>(self, actor: ActorRef<A>, mut offset: Offset)
    where
        A: Actor + Message<PageRead, Reply = NextOffset> + Message<ReadFailed, Reply = ()>,
    {
        let mut backoff = MIN_BACKOFF;
        loop {
            let sent = self.shared.now();
            let call = Duration::from_millis(self.shared.settings.platform.call_ms);
            let deadline = Instant::now() + Duration::from(self.wait) + call;
            let page = self
                .log
                .read(&self.stream, offset, MAX_PAGE_RECORDS, self.wait, deadline)
                .await;
            let alive = match page {
                Ok(page) => {
                    backoff = MIN_BACKOFF;
                    self.shared
                        .metrics
                        .log_records
                        .inc_by(page.records.len() as u64);
                    let next = actor.ask(PageRead { sent, page }).await;
                    next.map(|NextOffset(next)| offset = next).is_ok()
                }
                Err(err) => {
                    let fields =
                        o!("stream" => self.stream.to_string(), "error" => err.to_string());
                    self.shared.log.write(EventId::LogUnreadable, fields);
                    let told = actor.tell(ReadFailed).await.is_ok();
                    tokio::time::sleep(with_jitter(backoff)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    told
                }
            };
            if !alive {
                return;
            }
        }
    }
}

/// Returns a random length between half of `backoff` and all of it.
fn with_jitter(backoff: Duration) -> Duration {
    rand::rng().random_range(backoff / 2..=backoff)
}
