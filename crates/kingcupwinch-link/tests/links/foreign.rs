//! What arrives from outside the group, or is no message at all.

use bytes::Bytes;
use hyper::StatusCode;
use kingcupwinch_link::{LinkError, LinkEvent, Peer};
use kingcupwinch_wire::sibling::{Body, MAX_ENVELOPE_BYTES};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{ME, OTHER, STRANGER, Side, envelope, noted, pair, post_raw, side, steady};

/// Checks that the links between two sides still work.
async fn undisturbed(a: &Side, b: &mut Side) {
    let sent = a.links.send(OTHER, Body::Done);
    assert!(sent.is_ok(), "{sent:?}");
    let message = b.inbox.messages.recv().await;
    assert_eq!(message.map(|m| m.envelope.body), Some(Body::Done));
}

#[tokio::test]
async fn a_stranger_is_not_let_in() {
    let (a, mut b) = pair(steady()).await;
    let stranger = side(STRANGER, steady()).await;
    let target = Peer::new(OTHER, b.links.address());
    stranger.links.set_peers([target]);
    let foreign = LinkEvent::Foreign {
        from: STRANGER,
        to: OTHER,
    };
    noted(&mut b.inbox, |n| *n == foreign).await;
    assert!(!stranger.links.is_connected(OTHER));
    undisturbed(&a, &mut b).await;
}

#[rstest]
#[case::stranger(envelope(STRANGER, OTHER, Body::Done).encode(), StatusCode::FORBIDDEN)]
#[case::misdirected(envelope(ME, STRANGER, Body::Done).encode(), StatusCode::FORBIDDEN)]
#[case::empty(Vec::new(), StatusCode::BAD_REQUEST)]
#[case::noise(vec![0xff; 64], StatusCode::BAD_REQUEST)]
#[case::too_large(vec![0; MAX_ENVELOPE_BYTES + 1], StatusCode::PAYLOAD_TOO_LARGE)]
#[tokio::test]
async fn a_foreign_message_is_dropped(#[case] bytes: Vec<u8>, #[case] status: StatusCode) {
    let (a, mut b) = pair(steady()).await;
    assert_eq!(post_raw(b.links.address(), bytes).await, status);
    assert_eq!(b.links.counts().dropped, 1);
    undisturbed(&a, &mut b).await;
}

#[tokio::test]
async fn a_truncated_message_is_dropped_at_every_length() {
    let whole = envelope(ME, OTHER, Body::Declined("full".into())).encode();
    let (a, mut b) = pair(steady()).await;
    let address = b.links.address();
    let mut dropped = 0;
    for length in 0..whole.len() {
        let status = post_raw(address, whole[..length].to_vec()).await;
        assert!(status.is_client_error(), "{length} bytes: {status}");
        dropped += 1;
        assert_eq!(b.links.counts().dropped, dropped);
    }
    undisturbed(&a, &mut b).await;
}

/// A frame of 2^60 bytes in another protocol, a request of HTTP/1, and nothing at all.
#[rstest]
#[case::huge_frame(&[0x02, 0x10, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3])]
#[case::http1(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")]
#[case::silence(b"")]
#[tokio::test]
async fn a_connection_in_another_protocol_is_closed(#[case] bytes: &[u8]) {
    let (a, mut b) = pair(steady()).await;
    let mut stream = TcpStream::connect(b.links.address()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // A reset is as good as an orderly end.
    let _closed = stream.read_to_end(&mut answer).await;
    undisturbed(&a, &mut b).await;
}

#[tokio::test]
async fn an_oversized_message_is_not_sent() {
    let (a, _b) = pair(steady()).await;
    let body = Body::StartTask(Bytes::from(vec![0; MAX_ENVELOPE_BYTES]));
    let error = a.links.send(OTHER, body).unwrap_err();
    assert!(matches!(error, LinkError::TooLarge(_)));
}
