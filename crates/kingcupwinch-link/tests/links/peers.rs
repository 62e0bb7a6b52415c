//! Peers that die, stay silent, stop reading, and answer late or crosswise.

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
    ME, OTHER, STRANGER, any_port, noted, pair, patience, rogue, side, side_at, steady, until, up,
};

#[tokio::test]
async fn a_told_message_arrives() {
    let (a, mut b) = pair(steady()).await;
    a.links
        .send(OTHER, Body::ConfigRequest(Version(7)))
        .unwrap();
    let message = b.inbox.messages.recv().await.unwrap();
    assert_eq!(message.from(), ME);
    assert!(!message.expects_reply());
    assert_eq!(message.envelope.body, Body::ConfigRequest(Version(7)));
}

#[tokio::test]
async fn a_peer_that_dies_is_down_and_comes_back() {
    let (mut a, b) = pair(steady()).await;
    let address = b.links.address();
    drop(b);
    noted(&mut a.inbox, |n| *n == LinkEvent::Down(OTHER)).await;
    let error = a.links.send(OTHER, Body::Done).unwrap_err();
    assert!(matches!(error, LinkError::Down(OTHER)));
    assert!(error.is_not_delivered());

    let mut b = side_at(address, OTHER, steady()).await;
    b.links.set_peers([Peer::new(ME, a.links.address())]);
    up(&a.links, OTHER).await;
    a.links.send(OTHER, Body::Done).unwrap();
    assert_eq!(b.inbox.messages.recv().await.unwrap().from(), ME);
}

#[tokio::test]
async fn a_restarted_peer_with_a_new_incarnation_is_not_taken_for_the_old_one() {
    let (mut a, b) = pair(steady()).await;
    let address = b.links.address();
    drop(b);
    noted(&mut a.inbox, |n| *n == LinkEvent::Down(OTHER)).await;
    let mut b = side_at(address, STRANGER, steady()).await;
    b.links.set_peers([Peer::new(ME, a.links.address())]);
    let foreign = LinkEvent::Foreign {
        from: ME,
        to: OTHER,
    };
    noted(&mut b.inbox, |n| *n == foreign).await;
    assert!(!a.links.is_connected(OTHER));
    a.links.set_peers([Peer::new(STRANGER, address)]);
    up(&a.links, STRANGER).await;
}

#[tokio::test]
async fn a_silent_peer_is_tried_again_and_does_not_hold_up_others() {
    let silent = TcpListener::bind(any_port()).await.unwrap();
    let address = silent.local_addr().unwrap();
    let attempts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&attempts);
    tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = silent.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            kept.push(stream);
        }
    });
    let (a, mut b) = pair(steady()).await;
    let peers = [
        Peer::new(OTHER, b.links.address()),
        Peer::new(STRANGER, address),
    ];
    a.links.set_peers(peers);
    until(|| attempts.load(Ordering::SeqCst) >= 3).await;
    assert!(!a.links.is_connected(STRANGER));
    let error = a
        .links
        .request(STRANGER, Body::StatsRequest, patience())
        .await;
    assert!(matches!(error, Err(LinkError::Down(STRANGER))));
    a.links.send(OTHER, Body::Done).unwrap();
    assert!(b.inbox.messages.recv().await.is_some());
}

/// A peer whose process is paused: it greets, then its only thread stands still.
#[tokio::test]
async fn a_peer_that_never_reads_takes_only_its_credit_and_is_dropped() {
    let (resume, paused) = std::sync::mpsc::channel::<()>();
    let (started, address) = tokio::sync::oneshot::channel();
    let (stands, standing) = tokio::sync::oneshot::channel();
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let mut b = side(OTHER, steady()).await;
            let known = Peer::new(ME, any_port());
            b.links.set_peers([known]);
            started.send(b.links.address()).unwrap();
            // The first message is the order to stand still.
            b.inbox.messages.recv().await.unwrap();
            stands.send(()).unwrap();
            paused.recv().unwrap();
        });
    });
    let settings = LinkSettings {
        message_credit: 8,
        probe_interval: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(100),
        ..steady()
    };
    let mut a = side(ME, settings).await;
    a.links
        .set_peers([Peer::new(OTHER, address.await.unwrap())]);
    // A busy machine may break the link before the order arrives.
    while a.links.send(OTHER, Body::Done).is_err() {
        up(&a.links, OTHER).await;
    }
    standing.await.unwrap();
    let mut taken = 0;
    let refused = loop {
        match a.links.send(OTHER, Body::Done) {
            Ok(()) => taken += 1,
            Err(error) => break error,
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    };
    assert!(refused.is_not_delivered());
    assert!(taken <= 8, "{taken} messages were outstanding");
    noted(&mut a.inbox, |n| *n == LinkEvent::Down(OTHER)).await;
    resume.send(()).unwrap();
    thread.join().unwrap();
}

#[tokio::test]
async fn crossed_answers_reach_their_own_askers() {
    const ASKS: u64 = 20;
    let (a, mut b) = pair(steady()).await;
    let links = Arc::new(a.links);
    let asks: Vec<_> = (0..ASKS)
        .map(|n| {
            let links = Arc::clone(&links);
            tokio::spawn(async move {
                let asked = Body::ConfigRequest(Version(n));
                (n, links.request(OTHER, asked, patience()).await.unwrap())
            })
        })
        .collect();
    let mut held = Vec::new();
    while held.len() < usize::try_from(ASKS).unwrap() {
        held.push(b.inbox.messages.recv().await.unwrap());
    }
    for message in held.into_iter().rev() {
        let body = message.envelope.body.clone();
        message.reply(body);
    }
    for ask in asks {
        let (n, answer) = ask.await.unwrap();
        assert_eq!(answer, Body::ConfigRequest(Version(n)));
    }
}

#[tokio::test]
async fn a_late_answer_is_dropped_and_counted() {
    let (a, mut b) = pair(steady()).await;
    let soon = Instant::now() + Duration::from_millis(20);
    let request = RequestId(Uuid::from_u128(77));
    let asked = Body::ConfigRequest(Version(1));
    let first = a.links.retry(OTHER, request, Attempt(1), asked, soon);
    assert!(matches!(first.await, Err(LinkError::Timeout)));
    let late = b.inbox.messages.recv().await.unwrap();

    let asked = Body::ConfigRequest(Version(2));
    let second = a.links.retry(OTHER, request, Attempt(2), asked, patience());
    let answering = async {
        let message = b.inbox.messages.recv().await.unwrap();
        // The asker has given up on the first attempt; its stream must be gone by then.
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
async fn an_answer_to_another_request_is_dropped() {
    let address = rogue(|mut asked| {
        asked.request = RequestId(Uuid::from_u128(123_456));
        Some(asked)
    });
    let a = side(ME, steady()).await;
    a.links.set_peers([Peer::new(OTHER, address.await)]);
    up(&a.links, OTHER).await;
    let answer = a.links.request(OTHER, Body::StatsRequest, patience()).await;
    assert!(matches!(answer, Err(LinkError::Mismatched)));
    assert_eq!(a.links.counts().mismatched, 1);
}

#[tokio::test]
async fn a_message_that_is_not_answered_says_so() {
    let (a, mut b) = pair(steady()).await;
    let ask = a.links.request(OTHER, Body::StatsRequest, patience());
    let drop_it = async { drop(b.inbox.messages.recv().await.unwrap()) };
    let (answer, ()) = tokio::join!(ask, drop_it);
    let error = answer.unwrap_err();
    assert!(matches!(error, LinkError::NoAnswer));
    assert!(!error.is_not_delivered());
}

#[tokio::test]
async fn a_full_inbox_refuses() {
    let settings = LinkSettings {
        inbox_size: 1,
        ..steady()
    };
    let (a, mut b) = pair(settings).await;
    a.links.send(OTHER, Body::Done).unwrap();
    until(|| b.links.counts().received == 1).await;
    let error = a.links.request(OTHER, Body::StatsRequest, patience()).await;
    assert!(error.unwrap_err().is_not_delivered());
    noted(&mut b.inbox, |n| *n == LinkEvent::InboxFull(ME)).await;
    assert_eq!(b.links.counts().dropped, 1);
}

#[tokio::test]
async fn only_peers_are_sent_to() {
    let a = side(ME, steady()).await;
    let error = a.links.send(OTHER, Body::Done).unwrap_err();
    assert!(matches!(error, LinkError::NotPeer(OTHER)));
    a.links.set_peers([Peer::new(ME, a.links.address())]);
    let error = a.links.send(ME, Body::Done).unwrap_err();
    assert!(matches!(error, LinkError::NotPeer(ME)));
}
