//! A bounded pool of HTTP/1.1 connections to one address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use crate::body::{RequestBody, ResponseBody};
use crate::error::{LostCause, NotSentCause, SendError};
use crate::traffic::{ByteCounter, Counted};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a connection to become ready again after its response has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection pool that never has more connections open than its limit.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    host: HeaderValue,
    counter: Arc<ByteCounter>,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
    released: Notify,
}

/// What a connection has carried before. A connection ends with the process that it leads to, so
/// one that has carried a response still leads to the process that responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionHistory {
    /// No response yet.
    Unanswered,
    /// At least one complete response.
    Answered,
}

/// An open connection, closed on drop.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
    is_new: bool,
    history: ConnectionHistory,
    /// When it was opened or last carried a response.
    responded_at: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection in use; dropping it without [`PooledConnection::release`] closes it.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    connection: Connection,
    pool: Arc<Pool>,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr, limit: usize) -> Arc<Self> {
        Pool::with_counter(address, limit, Arc::default())
    }

    pub(crate) fn with_counter(
        address: SocketAddr,
        limit: usize,
        counter: Arc<ByteCounter>,
    ) -> Arc<Self> {
        let host = HeaderValue::from_str(&address.to_string());
        Arc::new(Pool {
            address,
            host: host.unwrap_or_else(|_| HeaderValue::from_static("")),
            counter,
            permits: Arc::new(Semaphore::new(limit)),
            idle: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Sends a request and waits until `deadline` for the head of its response. `check` may modify
    /// the request immediately before each write and withholds it by returning false.
    pub(crate) async fn send(
        self: &Arc<Self>,
        mut request: Request<RequestBody>,
        deadline: Instant,
        mut check: impl FnMut(&mut Request<RequestBody>, ConnectionHistory) -> bool,
    ) -> Result<Response<ResponseBody>, SendError> {
        let host = self.host.clone();
        request.headers_mut().insert(HOST, host);
        loop {
            let mut connection = self.acquire(deadline).await?;
            if !check(&mut request, connection.history) {
                self.put_back(connection);
                return Err(NotSentCause::Withheld.into());
            }
            let sent = Instant::now();
            let response = connection.sender.try_send_request(request);
            let Ok(response) = timeout_at(deadline, response).await else {
                self.close_idle_since(sent);
                return Err(LostCause::Timeout.into());
            };
            let mut error = match response {
                Ok(response) => {
                    let pool = Arc::clone(self);
                    let pooled = PooledConnection { connection, pool };
                    return Ok(response.map(|incoming| ResponseBody::new(incoming, pooled)));
                }
                Err(error) => error,
            };
            // hyper returns the request only if it has not started to write it.
            match error.take_message() {
                None => return Err(LostCause::Broken(error.into_error()).into()),
                Some(_) if connection.is_new => {
                    return Err(NotSentCause::Closed(error.into_error()).into());
                }
                Some(unsent) => request = unsent,
            }
        }
    }

    /// Closes the idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle().clear();
    }

    /// Closes the idle connections that have carried no response since a time. What silenced one
    /// connection may have silenced them as well, and each would cost another call.
    fn close_idle_since(&self, time: Instant) {
        self.idle()
            .retain(|connection| connection.responded_at >= time);
    }

    async fn acquire(&self, deadline: Instant) -> Result<Connection, NotSentCause> {
        loop {
            if let Some(connection) = self.pop_idle() {
                return Ok(connection);
            }
            tokio::select! {
                biased;
                () = self.released.notified() => {}
                permit = Arc::clone(&self.permits).acquire_owned() => {
                    let Ok(permit) = permit else {
                        return Err(NotSentCause::Timeout);
                    };
                    return self.open(permit, deadline).await;
                }
                () = tokio::time::sleep_until(deadline) => return Err(NotSentCause::Timeout),
            }
        }
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle();
        loop {
            let connection = idle.pop()?;
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
    }

    async fn open(
        &self,
        permit: OwnedSemaphorePermit,
        deadline: Instant,
    ) -> Result<Connection, NotSentCause> {
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connected = timeout_at(connect_deadline, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(|_| NotSentCause::Timeout)??;
        stream.set_nodelay(true)?;
        let stream = Counted::new(stream, Arc::clone(&self.counter));
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(NotSentCause::Closed)?;
        let task = tokio::spawn(async move {
            // The request on the connection reports the error.
            let _ended = connection.await;
            drop(permit);
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            is_new: true,
            history: ConnectionHistory::Unanswered,
            responded_at: Instant::now(),
        })
    }

    fn put_back(&self, mut connection: Connection) {
        connection.is_new = false;
        self.idle().push(connection);
        self.released.notify_one();
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PooledConnection {
    /// Returns the connection to the pool as soon as it can carry another request.
    pub(crate) fn release(self) {
        let PooledConnection {
            mut connection,
            pool,
        } = self;
        connection.history = ConnectionHistory::Answered;
        connection.responded_at = Instant::now();
        if connection.sender.is_ready() {
            pool.put_back(connection);
            return;
        }
        tokio::spawn(async move {
            let ready = tokio::time::timeout(RELEASE_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                pool.put_back(connection);
            }
        });
    }
}
