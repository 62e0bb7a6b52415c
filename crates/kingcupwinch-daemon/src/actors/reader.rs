//! Reads a stream of the log continuously and passes every page to an actor.

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

/// Maximum number of records in one page.
const MAX_PAGE_RECORDS: u32 = 1_000;

/// Upper limit of the backoff after a failed read.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Initial backoff after a failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The offset that an actor wants to read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Reply)]
pub(crate) struct NextOffset(pub(crate) Offset);

/// A page of the stream that an actor follows; the actor replies with [`NextOffset`].
#[derive(Debug)]
pub(crate) struct PageRead {
    /// Time at which the read request was sent.
    pub(crate) sent: Time,
    /// The page.
    pub(crate) page: LogPage,
}

/// Reports that a read of the stream failed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadFailed;

/// Reads one stream of the log with long polls.
#[derive(Debug, Clone)]
pub(crate) struct StreamReader {
    /// State shared by every part of the daemon.
    pub(crate) shared: Arc<Shared>,
    /// Client of the platform's log service.
    pub(crate) log: LogClient,
    /// Name of the stream.
    pub(crate) stream: Arc<str>,
    /// Maximum time that a read waits for a new record.
    pub(crate) wait: Span,
}

impl StreamReader {
    /// Reads from `offset` onwards until the actor stops.
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
                    let delivered = actor.tell(ReadFailed).await.is_ok();
                    tokio::time::sleep(with_jitter(backoff)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    delivered
                }
            };
            if !alive {
                return;
            }
        }
    }
}

/// Returns a random duration between half of `backoff` and all of it.
fn with_jitter(backoff: Duration) -> Duration {
    rand::rng().random_range(backoff / 2..=backoff)
}
