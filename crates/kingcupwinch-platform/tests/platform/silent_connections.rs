//! Connections that carry nothing any more, without being closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::{Method, StatusCode};
use kingcupwinch_platform::{HttpClient, LostCause, Reply, SendError, full_body, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;
use tokio::time::Instant;

const CONNECTIONS: usize = 4;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A server whose first connections answer one request each, and are silent from then on. In the first
/// rounds it answers only once all connections of a client carry a request.
struct Server {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

impl Server {
    async fn start(silent: usize, rounds: usize) -> Self {
        let barrier = Arc::new(Barrier::new(CONNECTIONS));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&accepted);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let number = count.fetch_add(1, Ordering::SeqCst);
                let most = if number < silent { 1 } else { usize::MAX };
                let rounds = if number < CONNECTIONS { rounds } else { 0 };
                tokio::spawn(answer(stream, most, rounds, Arc::clone(&barrier)));
            }
        });
        Server { address, accepted }
    }
}

async fn answer(mut stream: TcpStream, most: usize, rounds: usize, barrier: Arc<Barrier>) {
    let mut received = 0;
    let mut buffer = [0; 4_096];
    // The client sends one request at a time.
    while let Ok(length) = stream.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        if received < rounds {
            barrier.wait().await;
        }
        if received < most {
            stream.write_all(RESPONSE).await.unwrap();
        }
        received += 1;
    }
}

async fn call(client: &HttpClient, timeout: Duration) -> Result<StatusCode, SendError> {
    let deadline = Instant::now() + timeout;
    let request = request(Method::GET, "/", full_body(""));
    let response = client.send(request, deadline).await?;
    Ok(Reply::read(response, deadline).await?.status)
}

/// Opens all connections of a client and has each carry a response.
async fn warmed_up(server: &Server) -> HttpClient {
    let client = HttpClient::new(server.address, CONNECTIONS);
    let calls = (0..CONNECTIONS).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { call(&client, Duration::from_secs(5)).await })
    });
    for call in calls.collect::<Vec<_>>() {
        assert_eq!(call.await.unwrap().unwrap(), StatusCode::OK);
    }
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNECTIONS);
    client
}

/// Most connections of an instance died without a word, and its calls failed one after the other until
/// each of them had been tried.
#[tokio::test]
async fn one_lost_response_makes_the_idle_connections_suspect() {
    let server = Server::start(CONNECTIONS, 1).await;
    let client = warmed_up(&server).await;
    let lost = call(&client, Duration::from_millis(200)).await;
    assert!(matches!(lost, Err(SendError::Lost(LostCause::Timeout))));
    let next = call(&client, Duration::from_secs(5)).await;
    assert_eq!(next.unwrap(), StatusCode::OK);
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNECTIONS + 1);
}

/// A connection that has answered since the lost request was sent is in order.
#[tokio::test]
async fn a_connection_that_has_answered_meanwhile_is_kept() {
    let server = Server::start(1, 2).await;
    let client = warmed_up(&server).await;
    let calls = (0..CONNECTIONS).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { call(&client, Duration::from_secs(2)).await })
    });
    let mut lost = 0;
    for call in calls.collect::<Vec<_>>() {
        lost += usize::from(call.await.unwrap().is_err());
    }
    assert_eq!(lost, 1);
    let next = call(&client, Duration::from_secs(5)).await;
    assert_eq!(next.unwrap(), StatusCode::OK);
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNECTIONS);
}
