//! Messages from outside the group, malformed messages and connections in other protocols.

use bytes::Bytes;
use hyper::StatusCode;
use kingcupwinch_link::{LinkError, LinkEvent, Peer};
use kingcupwinch_wire::sibling::{Body, MAX_ENVELOPE_BYTES};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    ME, OTHER, STRANGER, Side, envelope, pair, post_raw, side, tolerant, wait_for_event,
};

/// Checks that messages between two sides are still delivered.
async fn assert_delivery(a: &Side, b: &mut Side) {
    let sent = a.links.send(OTHER, Body::Done);
    assert!(sent.is_ok(), "{sent:?}");
    let message = b.inbox.messages.recv().await;
    assert_eq!(message.map(|m| m.envelope.body), Some(Body::Done));
}

#[tokio::test]
async fn a_sender_outside_the_group_is_rejected() {
    let (a, mut b) = pair(tolerant()).await;
    let stranger = side(STRANGER, tolerant()).await;
    let target = Peer::new(OTHER, b.links.address());
    stranger.links.set_peers([target]);
    let foreign = LinkEvent::Foreign {
        from: STRANGER,
        to: OTHER,
    };
    wait_for_event(&mut b.inbox, |n| *n == foreign).await;
    assert!(!stranger.links.is_connected(OTHER));
    assert_delivery(&a, &mut b).await;
}

#[rstest]
#[case::stranger(envelope(STRANGER, OTHER, Body::Done).encode(), StatusCode::FORBIDDEN)]
#[case::misdirected(envelope(ME, STRANGER, Body::Done).encode(), StatusCode::FORBIDDEN)]
#[case::empty(Vec::new(), StatusCode::BAD_REQUEST)]
#[case::random_bytes(vec![0xff; 64], StatusCode::BAD_REQUEST)]
#[case::too_large(vec![0; MAX_ENVELOPE_BYTES + 1], StatusCode::PAYLOAD_TOO_LARGE)]
#[tokio::test]
async fn an_invalid_message_is_rejected(#[case] bytes: Vec<u8>, #[case] status: StatusCode) {
    let (a, mut b) = pair(tolerant()).await;
    assert_eq!(post_raw(b.links.address(), bytes).await, status);
    assert_eq!(b.links.counts().dropped, 1);
    assert_delivery(&a, &mut b).await;
}

#[tokio::test]
async fn a_truncated_message_is_rejected_at_every_length() {
    let whole = envelope(ME, OTHER, Body::Declined("full".into())).encode();
    let (a, mut b) = pair(tolerant()).await;
    let address = b.links.address();
    let mut dropped = 0;
    for length in 0..whole.len() {
        let status = post_raw(address, whole[..length].to_vec()).await;
        assert!(status.is_client_error(), "{length} bytes: {status}");
        dropped += 1;
        assert_eq!(b.links.counts().dropped, dropped);
    }
    assert_delivery(&a, &mut b).await;
}

/// Covers a frame of 2^60 bytes in another protocol, an HTTP/1 request and an idle connection.
#[rstest]
#[case::huge_frame(&[0x02, 0x10, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3])]
#[case::http1(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")]
#[case::silence(b"")]
#[tokio::test]
async fn a_connection_in_another_protocol_is_closed(#[case] bytes: &[u8]) {
    let (a, mut b) = pair(tolerant()).await;
    let mut stream = TcpStream::connect(b.links.address()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut received = Vec::new();
    // Both a reset and an orderly end are acceptable.
    let _closed = stream.read_to_end(&mut received).await;
    assert_delivery(&a, &mut b).await;
}

#[tokio::test]
async fn an_oversized_message_is_not_sent() {
    let (a, _b) = pair(tolerant()).await;
    let body = Body::StartTask(Bytes::from(vec![0; MAX_ENVELOPE_BYTES]));
    let error = a.links.send(OTHER, body).unwrap_err();
    assert!(matches!(error, LinkError::TooLarge(_)));
}
