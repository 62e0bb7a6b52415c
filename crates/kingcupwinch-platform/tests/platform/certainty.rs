//! Classification of failed requests: only a request of which no byte was written counts as not
//! sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use http_body_util::{BodyExt, Collected};
use kingcupwinch_platform::{LostCause, NotSentCause, WorkerClient, WorkerError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::support::{SERVICE, any_port, deadline, request, token, until};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// The action of a scripted worker for a request on a connection.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Reads the complete request and responds.
    Answer,
    /// Reads the complete request and closes the connection without a response.
    ReadAndClose,
    /// Closes the connection before a request arrives.
    Close,
}

/// A worker that runs a list of steps for each connection in turn.
struct Scripted {
    address: SocketAddr,
    requests: Arc<AtomicU32>,
    closed: mpsc::UnboundedReceiver<()>,
}

async fn scripted(connections: &'static [&'static [Step]]) -> Scripted {
    let listener = TcpListener::bind(any_port()).await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let requests = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&requests);
    let (closes, closed) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        for steps in connections {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            follow(stream, steps, &counted).await;
            let _ignored = closes.send(());
        }
    });
    Scripted {
        address,
        requests,
        closed,
    }
}

async fn follow(mut stream: TcpStream, steps: &[Step], requests: &AtomicU32) {
    for step in steps {
        if matches!(step, Step::Close) {
            return;
        }
        let mut read = Vec::new();
        while !read.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else {
                return;
            };
            read.push(byte);
        }
        requests.fetch_add(1, Ordering::SeqCst);
        if matches!(step, Step::ReadAndClose) || stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

async fn call(client: &WorkerClient) -> Result<(), WorkerError> {
    let answer = client
        .run(SERVICE, request("a", ""), deadline(), || Some(token(1)))
        .await?;
    let whole = answer.into_body().collect().await;
    assert_eq!(
        whole.map(Collected::to_bytes).ok().as_deref(),
        Some(&b"ok"[..])
    );
    Ok(())
}

#[tokio::test]
async fn a_request_on_a_refused_connection_is_not_sent() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = call(&WorkerClient::new(address, 3)).await.unwrap_err();
    assert!(matches!(
        error,
        WorkerError::NotSent(NotSentCause::Connect(_))
    ));
}

/// Guards against resending a request that goes out on a pooled connection just as the worker
/// closes it.
#[tokio::test]
async fn a_request_read_on_a_pooled_connection_that_then_closes_may_have_run() {
    let worker = scripted(&[&[Step::Answer, Step::ReadAndClose], &[Step::Answer]]).await;
    let client = WorkerClient::new(worker.address, 3);
    call(&client).await.unwrap();
    let error = call(&client).await.unwrap_err();
    assert!(matches!(error, WorkerError::Unknown(LostCause::Broken(_))));
    assert_eq!(
        worker.requests.load(Ordering::SeqCst),
        2,
        "the request was resent"
    );
}

#[tokio::test]
async fn a_request_read_on_a_new_connection_that_then_closes_may_have_run() {
    let worker = scripted(&[&[Step::ReadAndClose], &[Step::Answer]]).await;
    let client = WorkerClient::new(worker.address, 3);
    let error = call(&client).await.unwrap_err();
    assert!(!error.is_not_run());
    assert_eq!(
        worker.requests.load(Ordering::SeqCst),
        1,
        "the request was resent"
    );
}

/// A pooled connection that has closed is replaced, and the request runs once.
#[tokio::test]
async fn a_pooled_connection_that_has_closed_is_replaced() {
    let mut worker = scripted(&[&[Step::Answer, Step::Close], &[Step::Answer]]).await;
    let client = WorkerClient::new(worker.address, 3);
    call(&client).await.unwrap();
    worker.closed.recv().await.unwrap();
    let mut attempts = 1;
    // The close may race with the next request, whose outcome is then correctly unknown.
    while let Err(error) = call(&client).await {
        assert!(!error.is_not_run(), "{error}");
        attempts += 1;
    }
    until(|| worker.requests.load(Ordering::SeqCst) == 2).await;
    assert!(attempts <= 2);
}
