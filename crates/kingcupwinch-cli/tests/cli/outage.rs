//! Tests a log outage in the middle of a publication.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use kingcupwinch_cli::Exit;
use kingcupwinch_coord::id::Offset;
use kingcupwinch_wire::{LogPage, LogRecord, encode_page};
use tokio::net::TcpListener;

use crate::common::{example, run_command};

/// A log that appends a record, drops the response, and is then unavailable until it is restored.
#[derive(Debug, Default)]
struct OutageLog {
    records: Vec<Bytes>,
    is_out: bool,
}

type Shared = Arc<Mutex<OutageLog>>;

async fn start(log: &Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let log = Arc::clone(log);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let log = Arc::clone(&log);
            let service = service_fn(move |request| answer(Arc::clone(&log), request));
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn answer(log: Shared, request: Request<Incoming>) -> io::Result<Response<Full<Bytes>>> {
    let is_append = request.method() == Method::POST;
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let mut log = log.lock().expect("the lock is not poisoned");
    if log.is_out {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(response);
    }
    if is_append {
        log.records.push(body);
        log.is_out = true;
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    Ok(Response::new(Full::from(encode_page(&page(&log.records)))))
}

fn page(records: &[Bytes]) -> LogPage {
    let tail = Offset(records.len() as u64);
    let records = records.iter().zip(0..).map(|(bytes, offset)| LogRecord {
        offset: Offset(offset),
        bytes: bytes.clone(),
    });
    LogPage {
        first: Offset(0),
        next: tail,
        tail,
        records: records.collect(),
    }
}

/// Returns the record id in an error message.
fn record_id(text: &str) -> &str {
    let after = text
        .split("--record ")
        .nth(1)
        .expect("the message has a record id");
    after.split('`').next().expect("the record id has an end")
}

#[tokio::test]
async fn an_unknown_outcome_is_read_back_later_and_the_record_is_sent_once() {
    let log = Shared::default();
    let address = start(&log).await;
    let folder = example("event-sound-hire");
    let line = format!("kingcupwinch publish {folder} --on 0 --wait-ms 100 --log {address}");

    let published = run_command(&line).await;
    assert_eq!(published.exit, Exit::Pending, "{}", published.err);
    let id = record_id(&published.err);

    let history = format!("kingcupwinch history --record {id} --log {address}");
    assert_eq!(run_command(&history).await.exit, Exit::Unreachable);
    log.lock().expect("the lock is not poisoned").is_out = false;
    let outcome = run_command(&history).await;
    assert_eq!(outcome.exit, Exit::Success, "{}", outcome.err);
    assert!(
        outcome.out.ends_with("it made version 1\n"),
        "{}",
        outcome.out
    );
    assert_eq!(
        log.lock().expect("the lock is not poisoned").records.len(),
        1
    );
}
