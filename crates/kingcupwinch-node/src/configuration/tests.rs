//! Tests of what a copy of the configuration shows, and of the reads that keep it up to date.

use std::sync::Arc;

use kingcupwinch_adapter::QueueTable;
use kingcupwinch_standin::{StandinStore, publish_queues};
use kingcupwinch_time::{Span, Time};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

use super::follower::Follower;
use super::{Configuration, Version};
use crate::test_support::shared;

const BOUND: Span = Span::from_millis(2_000);
const START: Time = Time::from_millis(10_000);

fn version(number: u64, offset: u64) -> Version {
    let table = QueueTable {
        version: number,
        ..QueueTable::default()
    };
    Version {
        table: Arc::new(table),
        offset,
    }
}

fn confirmed(number: u64, offset: u64, at: Time) -> Configuration {
    let configuration = Configuration::new(BOUND);
    assert!(configuration.apply(version(number, offset)));
    assert!(configuration.confirm(at));
    configuration
}

fn is_confirmed(configuration: &Configuration, now: Time) -> bool {
    configuration.is_confirmed(&configuration.snapshot(), now)
}

#[test]
fn a_copy_that_was_never_confirmed_shows_nothing() {
    let configuration = Configuration::new(BOUND);
    configuration.apply(version(3, 7));
    assert!(!is_confirmed(&configuration, START));
}

/// An instance that had not read the log for longer than the bound denied a route that was there.
#[test]
fn a_copy_older_than_the_bound_does_not_show_that_a_route_is_absent() {
    let configuration = confirmed(3, 7, START);
    assert!(is_confirmed(&configuration, START + BOUND));
    let late = START + BOUND + Span::from_micros(1);
    assert!(!is_confirmed(&configuration, late));
    configuration.confirm(late);
    assert!(is_confirmed(&configuration, late));
}

/// A version that could not be decoded was skipped, and the copy counted as the latest.
#[test]
fn a_version_that_is_not_decoded_leaves_the_copy_unconfirmed() {
    let configuration = confirmed(3, 7, START);
    configuration.skip(8);
    let later = START + BOUND + Span::from_millis(1);
    assert!(!configuration.confirm(later));
    assert!(!is_confirmed(&configuration, later));
    assert!(configuration.apply(version(6, 9)));
    assert!(configuration.confirm(later));
    assert!(is_confirmed(&configuration, later));
}

#[test]
fn an_earlier_read_does_not_shorten_a_confirmation() {
    let configuration = confirmed(3, 7, START + BOUND);
    configuration.confirm(START);
    assert!(is_confirmed(&configuration, START + BOUND + BOUND));
}

#[test]
fn an_older_version_does_not_replace_a_newer_one() {
    let configuration = confirmed(6, 9, START);
    assert!(!configuration.apply(version(3, 7)));
    assert!(!configuration.apply(version(6, 11)));
    assert_eq!(configuration.snapshot().number(), Some(6));
}

/// A connection died without a word, and the reads after it waited for it, one after the other.
#[tokio::test]
async fn a_read_without_a_response_does_not_keep_another_from_being_sent() {
    let store = StandinStore::new();
    publish_queues(&store, 1, &[]);
    let (address, _server) = store.start(0).await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = listener.local_addr().unwrap();
    tokio::spawn(async move {
        // The first two connections are accepted and carry nothing. They are not closed.
        let mut silent = Vec::new();
        while let Ok((mut client, _)) = listener.accept().await {
            if silent.len() < 2 {
                silent.push(client);
                continue;
            }
            let mut server = TcpStream::connect(address).await.unwrap();
            tokio::spawn(async move {
                // Ends when the follower closes the connection.
                let _ = copy_bidirectional(&mut client, &mut server).await;
            });
        }
    });
    let shared = shared(proxy);
    let mut follower = Follower::new(Arc::clone(&shared));
    let mut most = 0;
    while !shared.configuration.is_loaded() {
        follower.step().await;
        most = most.max(follower.reads_in_flight());
    }
    assert!(most >= 2, "the silent reads must still be in flight");
    let copy = shared.configuration.snapshot();
    assert_eq!((copy.number(), copy.offset()), (Some(1), Some(0)));
    assert!(copy.confirmed_at.is_some());
}
