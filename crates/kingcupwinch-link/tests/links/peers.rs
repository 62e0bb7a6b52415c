//! Peers that stop, do not respond, stop reading, or respond late or out of order.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use kingcupwinch_coord::id::{Attempt, Version};
use kingcupwinch_link::{LinkError, LinkEvent, LinkSettings, Peer};
use kingcupwinch_wire::sibling::{Body, RequestId};
use tokio::net::TcpListener;
use tokio::time::Instant;
use uuid::Uuid;

use crate::support::{
    ME, OTHER, STRANGER, any_port, connected, deadline, pair, scripted_peer, side, side_at,
    tolerant, until, wait_for_event,
};

#[tokio::test]
async fn a_one_way_message_arrives() {
    let (a, mut b) = pair(tolerant()).await;
    a.links
        .send(OTHER, Body::ConfigRequest(Version(7)))
        .unwrap();
    let message = b.inbox.messages.recv().await.unwrap();
    assert_eq!(message.from(), ME);
    assert!(!message.expects_reply());
    assert_eq!(message.envelope.body, Body::ConfigRequest(Version(7)));
}

#[tokio::test]
async fn a_stopped_peer_is_disconnected_and_reconnects() {
    let (mut a, b) = pair(tolerant()).await;
    let address = b.links.address();
    drop(b);
    wait_for_event(&mut a.inbox, |n| *n == LinkEvent::Down(OTHER)).await;
    let error = a.links.send(OTHER, Body::Done).unwrap_err();
    assert!(matches!(error, LinkError::Down(OTHER)));
    assert!(error.is_not_delivered());

    let mut b = side_at(address, OTHER, tolerant()).await;
    b.links.set_peers([Peer::new(ME, a.links.address())]);
    connected(&a.links, OTHER).await;
    a.links.send(OTHER, Body::Done).unwrap();
    assert_eq!(b.inbox.messages.recv().await.unwrap().from(), ME);
}

#[tokio::test]
async fn a_restarted_peer_with_a_new_incarnation_is_not_mistaken_for_the_old_one() {
    let (mut a, b) = pair(tolerant()).await;
    let address = b.links.address();
    drop(b);
    wait_for_event(&mut a.inbox, |n| *n == LinkEvent::Down(OTHER)).await;
    let mut b = side_at(address, STRANGER, tolerant()).await;
    b.links.set_peers([Peer::new(ME, a.links.address())]);
    let foreign = LinkEvent::Foreign {
        from: ME,
        to: OTHER,
    };
    wait_for_event(&mut b.inbox, |n| *n == foreign).await;
    assert!(!a.links.is_connected(OTHER));
    a.links.set_peers([Peer::new(STRANGER, address)]);
    connected(&a.links, STRANGER).await;
}

#[tokio::test]
async fn an_unresponsive_peer_is_retried_and_does_not_block_others() {
    let unresponsive = TcpListener::bind(any_port()).await.unwrap();
    let address = unresponsive.local_addr().unwrap();
    let attempts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&attempts);
    tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = unresponsive.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            streams.push(stream);
        }
    });
    let (a, mut b) = pair(tolerant()).await;
    let peers = [
        Peer::new(OTHER, b.links.address()),
        Peer::new(STRANGER, address),
    ];
    a.links.set_peers(peers);
    until(|| attempts.load(Ordering::SeqCst) >= 3).await;
    assert!(!a.links.is_connected(STRANGER));
    let error = a
        .links
        .request(STRANGER, Body::StatsRequest, deadline())
        .await;
    assert!(matches!(error, Err(LinkError::Down(STRANGER))));
    a.links.send(OTHER, Body::Done).unwrap();
    assert!(b.inbox.messages.recv().await.is_some());
}

/// Simulates a paused process: the peer accepts the hello, then its only thread blocks.
#[tokio::test]
async fn a_paused_peer_receives_only_its_credit_and_is_disconnected() {
    let (resume, paused) = std::sync::mpsc::channel::<()>();
    let (started, address) = tokio::sync::oneshot::channel();
    let (pause, is_paused) = tokio::sync::oneshot::channel();
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let mut b = side(OTHER, tolerant()).await;
            let known = Peer::new(ME, any_port());
            b.links.set_peers([known]);
            started.send(b.links.address()).unwrap();
            // The first message tells the peer to block.
            b.inbox.messages.recv().await.unwrap();
            pause.send(()).unwrap();
            paused.recv().unwrap();
        });
    });
    let settings = LinkSettings {
        message_credit: 8,
        probe_interval: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(100),
        ..tolerant()
    };
    let mut a = side(ME, settings).await;
    a.links
        .set_peers([Peer::new(OTHER, address.await.unwrap())]);
    // On a busy machine the link may break before the message arrives.
    while a.links.send(OTHER, Body::Done).is_err() {
        connected(&a.links, OTHER).await;
    }
    is_paused.await.unwrap();
    let mut sent = 0;
    let error = loop {
        match a.links.send(OTHER, Body::Done) {
            Ok(()) => sent += 1,
            Err(error) => break error,
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    };
    assert!(error.is_not_delivered());
    assert!(sent <= 8, "{sent} messages were outstanding");
    wait_for_event(&mut a.inbox, |n| *n == LinkEvent::Down(OTHER)).await;
    resume.send(()).unwrap();
    thread.join().unwrap();
}

#[tokio::test]
async fn responses_out_of_order_reach_their_requesters() {
    const REQUEST_COUNT: u64 = 20;
    let (a, mut b) = pair(tolerant()).await;
    let links = Arc::new(a.links);
    let requests: Vec<_> = (0..REQUEST_COUNT)
        .map(|n| {
            let links = Arc::clone(&links);
            tokio::spawn(async move {
                let body = Body::ConfigRequest(Version(n));
                (n, links.request(OTHER, body, deadline()).await.unwrap())
            })
        })
        .collect();
    let mut held = Vec::new();
    while held.len() < usize::try_from(REQUEST_COUNT).unwrap() {
        held.push(b.inbox.messages.recv().await.unwrap());
    }
    for message in held.into_iter().rev() {
        let body = message.envelope.body.clone();
        message.reply(body);
    }
    for request in requests {
        let (n, answer) = request.await.unwrap();
        assert_eq!(answer, Body::ConfigRequest(Version(n)));
    }
}

#[tokio::test]
async fn a_late_response_is_discarded_and_counted() {
    let (a, mut b) = pair(tolerant()).await;
    let soon = Instant::now() + Duration::from_millis(20);
    let request = RequestId(Uuid::from_u128(77));
    let body = Body::ConfigRequest(Version(1));
    let first = a.links.retry(OTHER, request, Attempt(1), body, soon);
    assert!(matches!(first.await, Err(LinkError::Timeout)));
    let late = b.inbox.messages.recv().await.unwrap();

    let body = Body::ConfigRequest(Version(2));
    let second = a.links.retry(OTHER, request, Attempt(2), body, deadline());
    let answering = async {
        let message = b.inbox.messages.recv().await.unwrap();
        // The requester gave up the first attempt; wait until its stream is closed.
        until(|| late.is_abandoned()).await;
        late.reply(Body::ConfigRequest(Version(1)));
        let body = message.envelope.body.clone();
        message.reply(body);
    };
    let (answer, ()) = tokio::join!(second, answering);
    assert_eq!(answer.unwrap(), Body::ConfigRequest(Version(2)));
    assert_eq!(b.links.counts().late_answers, 1);
}

#[tokio::test]
async fn a_response_to_another_request_is_discarded() {
    let address = scripted_peer(|mut envelope| {
        envelope.request = RequestId(Uuid::from_u128(123_456));
        Some(envelope)
    });
    let a = side(ME, tolerant()).await;
    a.links.set_peers([Peer::new(OTHER, address.await)]);
    connected(&a.links, OTHER).await;
    let answer = a.links.request(OTHER, Body::StatsRequest, deadline()).await;
    assert!(matches!(answer, Err(LinkError::Mismatched)));
    assert_eq!(a.links.counts().mismatched, 1);
}

#[tokio::test]
async fn a_request_without_a_reply_fails() {
    let (a, mut b) = pair(tolerant()).await;
    let request = a.links.request(OTHER, Body::StatsRequest, deadline());
    let drop_request = async { drop(b.inbox.messages.recv().await.unwrap()) };
    let (answer, ()) = tokio::join!(request, drop_request);
    let error = answer.unwrap_err();
    assert!(matches!(error, LinkError::NoResponse));
    assert!(!error.is_not_delivered());
}

#[tokio::test]
async fn a_full_inbox_rejects_messages() {
    let settings = LinkSettings {
        inbox_size: 1,
        ..tolerant()
    };
    let (a, mut b) = pair(settings).await;
    a.links.send(OTHER, Body::Done).unwrap();
    until(|| b.links.counts().received == 1).await;
    let error = a.links.request(OTHER, Body::StatsRequest, deadline()).await;
    assert!(error.unwrap_err().is_not_delivered());
    wait_for_event(&mut b.inbox, |n| *n == LinkEvent::InboxFull(ME)).await;
    assert_eq!(b.links.counts().dropped, 1);
}

#[tokio::test]
async fn messages_are_sent_only_to_peers() {
    let a = side(ME, tolerant()).await;
    let error = a.links.send(OTHER, Body::Done).unwrap_err();
    assert!(matches!(error, LinkError::NotPeer(OTHER)));
    a.links.set_peers([Peer::new(ME, a.links.address())]);
    let error = a.links.send(ME, Body::Done).unwrap_err();
    assert!(matches!(error, LinkError::NotPeer(ME)));
}
