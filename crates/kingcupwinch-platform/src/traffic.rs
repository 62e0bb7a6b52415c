//! Counts of the bytes that connections carry.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that were sent and received for one purpose, without the headers of TCP and IP.
#[derive(Debug, Default)]
pub struct ByteCounter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteCounter {
    /// Returns the number of bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Counters of all purposes for which an instance has connections.
#[derive(Debug, Default)]
pub struct Traffic {
    counters: Mutex<BTreeMap<&'static str, Arc<ByteCounter>>>,
}

impl Traffic {
    /// Returns the counter of a purpose.
    pub fn counter(&self, purpose: &'static str) -> Arc<ByteCounter> {
        Arc::clone(self.lock().entry(purpose).or_default())
    }

    /// Returns each purpose with the bytes sent and received so far.
    pub fn totals(&self) -> Vec<(&'static str, u64, u64)> {
        let counters = self.lock();
        let total = |(purpose, counter): (&&'static str, &Arc<ByteCounter>)| {
            (*purpose, counter.sent(), counter.received())
        };
        counters.iter().map(total).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, Arc<ByteCounter>>> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub struct Counted<S> {
    stream: S,
    counter: Arc<ByteCounter>,
}

impl<S> Counted<S> {
    /// Counts the bytes of a stream.
    pub fn new(stream: S, counter: Arc<ByteCounter>) -> Self {
        Counted { stream, counter }
    }

    fn count_sent(&self, sent: usize) -> usize {
        self.counter.sent.fetch_add(sent as u64, Ordering::Relaxed);
        sent
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = (buf.filled().len() - before) as u64;
        self.counter.received.fetch_add(received, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        Poll::Ready(Ok(self.count_sent(sent)))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        Poll::Ready(Ok(self.count_sent(sent)))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
