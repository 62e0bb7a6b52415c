//! A stream that reports its progress.

use std::io::{Error, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection::Connection;
use super::progress::Phase;

/// A stream of a connection. Nothing is read while the peer does not take what is written.
pub(crate) struct TrackedStream<S> {
    stream: S,
    connection: Arc<Connection>,
}

impl<S> TrackedStream<S> {
    /// Reports the progress of a stream to its connection.
    pub(crate) fn new(stream: S, connection: Arc<Connection>) -> Self {
        TrackedStream { stream, connection }
    }

    fn note_write(&self, written: Poll<Result<usize, Error>>) -> Poll<Result<usize, Error>> {
        let connection = &self.connection;
        connection.set_blocked(written.is_pending());
        let is_progress = matches!(written, Poll::Ready(Ok(count)) if count > 0);
        if is_progress && connection.phase() == Phase::Writing {
            let timeouts = connection.listener.timeouts();
            connection.advance(|progress, now| progress.on_write(now, &timeouts));
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        ready!(self.connection.poll_writable(cx));
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let is_next = matches!(self.connection.phase(), Phase::New | Phase::Idle);
        if is_next && buf.filled().len() > before {
            let timeouts = self.connection.listener.timeouts();
            self.connection
                .advance(|progress, now| progress.on_read(now, &timeouts));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        // hyper flushes once its buffer is empty.
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if self.connection.phase() == Phase::Writing {
            let timeouts = self.connection.listener.timeouts();
            self.connection
                .advance(|progress, now| progress.on_flush(now, &timeouts));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
