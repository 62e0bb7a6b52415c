//! Round trips through every encoding, and rejection of corrupt input without a panic.

use bytes::Bytes;
use kingcupwinch_coord::dedupe::{Fingerprint, RequestKey};
use kingcupwinch_coord::id::{
    Attempt, Incarnation, JobId, Offset, RecordId, ShardId, TaskId, Term, Version,
};
use kingcupwinch_coord::ownership::message::{
    Heartbeat, Message, Offer, OfferReply, PromiseOutcome, PromiseReply, PromiseRequest, Relay,
    RelayRequest, Vote, VoteRequest,
};
use kingcupwinch_coord::record::{
    AcceptedJob, Claim, ConfigRecord, CrashCount, HandOver, JobEnd, JobRecord, Member, Origin,
    OwnerRecord, OwnerSnapshot, ShardState, Stamped, TaskCrashes,
};
use kingcupwinch_time::{Span, Time, WallTime};
use kingcupwinch_wire::sibling::{
    Body, Envelope, EnvelopeKind, Grant, KeyBegin, KeyDecision, KeyEnd, KeyFinish, KeyLookup,
    KeyLookupReply, KeyPermit, MAX_ENVELOPE_BYTES, Queued, RequestId, Stats, StoredResponse,
    TaskPhase, TaskState,
};
use kingcupwinch_wire::{
    DecodeError, LogPage, LogRecord, MAX_RECORD_BYTES, decode_config, decode_job, decode_owner,
    decode_page, encode_config, encode_job, encode_owner, encode_page,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use uuid::Uuid;

const CASE_COUNT: u32 = 512;

fn incarnation(n: u128) -> Incarnation {
    Incarnation(Uuid::from_u128(n))
}

fn member(n: u128) -> Member {
    Member {
        incarnation: incarnation(n),
        instance: "entry-1".into(),
        link: "127.0.0.1:1".into(),
        forward: "127.0.0.1:2".into(),
        weight: 3,
    }
}

fn owner_records() -> Vec<OwnerRecord> {
    let shards = vec![(ShardId(1), Term(2)), (ShardId(u16::MAX), Term(u64::MAX))];
    vec![
        OwnerRecord::Join(member(1)),
        OwnerRecord::Leave(incarnation(2)),
        OwnerRecord::Retire(incarnation(3)),
        OwnerRecord::Claim(Claim {
            owner: incarnation(1),
            shards: shards.clone(),
            voters: [incarnation(1), incarnation(2)].into_iter().collect(),
        }),
        OwnerRecord::Release {
            owner: incarnation(1),
            shards: shards.clone(),
        },
        OwnerRecord::HandOver(HandOver {
            from: incarnation(1),
            to: incarnation(2),
            shards,
            voters: [incarnation(2)].into_iter().collect(),
        }),
        OwnerRecord::Snapshot(OwnerSnapshot {
            covers: Offset(9),
            members: vec![member(1), member(2)],
            shards: vec![
                ShardState {
                    shard: ShardId(0),
                    term: Term(4),
                    owner: Some(incarnation(1)),
                    voters: [incarnation(1)].into_iter().collect(),
                },
                ShardState {
                    shard: ShardId(1),
                    term: Term(4),
                    owner: None,
                    voters: [].into_iter().collect(),
                },
            ],
        }),
    ]
}

const CRASHES: CrashCount = CrashCount {
    attempt: Attempt(9),
    total: 3,
    clear: 1,
};

fn job_records() -> Vec<JobRecord> {
    let job = JobId(Uuid::from_u128(7));
    let accepted = AcceptedJob {
        job,
        home: ShardId(3),
        accepted: WallTime::from_millis(5),
        idempotent: true,
        spec: b"{}".as_slice().into(),
    };
    let ends = [
        JobEnd::Done,
        JobEnd::Failed,
        JobEnd::Cancelled,
        JobEnd::Unknown,
    ];
    let crashes = TaskCrashes {
        index: 4,
        count: CRASHES,
    };
    vec![
        JobRecord::Accepted(vec![accepted.clone()]),
        JobRecord::Crashed(vec![(job, crashes)]),
        JobRecord::Ended(ends.map(|end| (job, end)).to_vec()),
        JobRecord::Started(vec![(job, Term(8))]),
        JobRecord::Snapshot {
            covers: Offset(2),
            open: vec![accepted],
            started: vec![(job, Term(8))],
            ended: vec![(job, JobEnd::Done)],
            crashed: vec![(job, crashes)],
        },
    ]
}

/// A snapshot that was written before crashes were counted.
#[test]
fn a_job_snapshot_without_crashes_is_read() {
    let mut bytes = vec![0x0a, 16];
    bytes.extend([7; 16]);
    bytes.extend([0x2a, 2, 0x08, 2]);
    let record = decode_job(&bytes).unwrap();
    assert!(matches!(&record.body, JobRecord::Snapshot { crashed, .. } if crashed.is_empty()));
    assert_eq!(encode_job(&record), bytes);
}

fn config_records() -> Vec<ConfigRecord> {
    let published = ConfigRecord {
        based: Version(1),
        version: Version(2),
        origin: None,
        author: "mart".into(),
        published: WallTime::from_millis(77),
        tree: "{}".into(),
    };
    let snapshot = ConfigRecord {
        origin: Some(Origin {
            id: RecordId(Uuid::from_u128(6)),
            covers: Offset(4),
        }),
        ..published.clone()
    };
    vec![published, snapshot]
}

fn outcome() -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: "text/plain".into(),
        body: Bytes::from_static(b"booked"),
    }
}

fn bodies() -> Vec<Body> {
    let key = RequestKey(Uuid::from_u128(5));
    let permit = KeyPermit {
        home: ShardId(3),
        term: Term(8),
        attempt: Attempt(1),
    };
    let mut bodies = vec![
        Body::Hello,
        Body::Done,
        Body::Declined("full".into()),
        Body::Queued(Queued {
            class: "checks".into(),
            count: 4,
        }),
        Body::Grant(Grant {
            class: "checks".into(),
            count: 2,
            time_left: Span::from_millis(50),
        }),
        Body::KeyBegin(KeyBegin {
            key,
            issued: WallTime::from_millis(9),
            fingerprint: Fingerprint(77),
            time_left: Span::from_millis(400),
        }),
        Body::KeyLookup(KeyLookup {
            key,
            home: ShardId(3),
            term: Term(8),
        }),
        Body::KeyLookupReply(KeyLookupReply::Ran(outcome().encode())),
        Body::KeyLookupReply(KeyLookupReply::Running),
        Body::KeyLookupReply(KeyLookupReply::Unproved),
        Body::ConfigRequest(Version(3)),
        Body::ConfigRecords(vec![Bytes::from_static(b"a"), Bytes::from_static(b"b")]),
        Body::StartTask(Bytes::from_static(b"{}")),
        Body::JobLookup(JobId(Uuid::from_u128(1))),
        Body::JobCancel(JobId(Uuid::from_u128(1))),
        Body::JobLookupReply(None),
        Body::JobLookupReply(Some(Bytes::from_static(b"{}"))),
        Body::StatsRequest,
        Body::Stats(Stats {
            waiting: 1,
            running: 2,
            slots: 3,
            workers: 4,
            version: Version(5),
        }),
    ];
    let answers = [
        KeyDecision::Run(permit),
        KeyDecision::Running,
        KeyDecision::Ended(outcome().encode()),
        KeyDecision::Unknown,
        KeyDecision::Refused("not fresh".into()),
    ];
    bodies.extend(answers.map(Body::KeyDecision));
    let ends = [
        KeyEnd::Ran(outcome().encode()),
        KeyEnd::NotRun,
        KeyEnd::Unknown,
    ];
    bodies.extend(ends.map(|end| Body::KeyFinish(KeyFinish { key, permit, end })));
    let phases = [
        TaskPhase::Waiting,
        TaskPhase::Running,
        TaskPhase::Done,
        TaskPhase::Failed,
        TaskPhase::Stopped,
        TaskPhase::NotRun,
        TaskPhase::Unknown,
        TaskPhase::Moved,
    ];
    bodies.extend(phases.map(|phase| {
        Body::TaskState(TaskState {
            task: TaskId(Uuid::from_u128(2)),
            attempt: Attempt(1),
            phase,
            crashes: (phase == TaskPhase::Waiting).then_some(CRASHES),
        })
    }));
    bodies.extend(ownership().into_iter().map(Body::Ownership));
    bodies
}

fn ownership() -> Vec<Message> {
    let asked_at = Time::from_micros(1_234_567);
    let age = Some(Span::from_micros(89));
    let shards = vec![(ShardId(1), Term(2))];
    let records = owner_records().into_iter().map(stamped);
    let records: Vec<_> = (4..).map(Offset).zip(records.map(Some)).collect();
    let relay = Relay {
        asked_at,
        age,
        next: Offset(12),
        snapshot: None,
        records,
    };
    let snapshot_only = Relay {
        age: None,
        snapshot: Some(OwnerSnapshot {
            covers: Offset(3),
            members: vec![member(1)],
            shards: Vec::new(),
        }),
        records: vec![(Offset(3), None)],
        ..relay.clone()
    };
    let mut messages = vec![
        Message::Heartbeat(Heartbeat {
            applied: Offset(4),
            age,
        }),
        Message::Heartbeat(Heartbeat {
            applied: Offset(4),
            age: None,
        }),
        Message::RelayRequest(RelayRequest {
            asked_at,
            from: None,
        }),
        Message::RelayRequest(RelayRequest {
            asked_at,
            from: Some(Offset(0)),
        }),
        Message::Relay(relay),
        Message::Relay(snapshot_only),
        Message::PromiseRequest(PromiseRequest {
            asked_at,
            applied: Offset(4),
        }),
        Message::VoteRequest(VoteRequest {
            owner: incarnation(1),
            shards: shards.clone(),
        }),
        Message::Vote(Vote {
            owner: incarnation(1),
            shards: shards.clone(),
        }),
        Message::Offer(Offer { asked_at, shards }),
        Message::OfferReply(OfferReply {
            asked_at,
            accepted: true,
        }),
    ];
    let outcomes = [
        PromiseOutcome::Granted,
        PromiseOutcome::Behind,
        PromiseOutcome::VotedAgainst,
    ];
    messages.extend(outcomes.map(|o| {
        Message::PromiseReply(PromiseReply {
            asked_at,
            outcome: o,
        })
    }));
    messages
}

fn envelope(body: Body) -> Envelope {
    Envelope {
        from: incarnation(1),
        to: incarnation(2),
        request: RequestId(Uuid::from_u128(3)),
        attempt: Attempt(4),
        kind: EnvelopeKind::Request,
        body,
    }
}

fn stamped<T>(body: T) -> Stamped<T> {
    Stamped {
        id: RecordId(Uuid::from_u128(99)),
        body,
    }
}

fn page() -> LogPage {
    LogPage {
        first: Offset(3),
        next: Offset(6),
        tail: Offset(9),
        records: vec![
            LogRecord {
                offset: Offset(3),
                bytes: Bytes::from_static(b"x"),
            },
            LogRecord {
                offset: Offset(5),
                bytes: Bytes::from_static(b"y"),
            },
        ],
    }
}

#[test]
fn records_round_trip() {
    for body in owner_records() {
        let record = stamped(body);
        assert_eq!(decode_owner(&encode_owner(&record)), Ok(record));
    }
    for body in job_records() {
        let record = stamped(body);
        assert_eq!(decode_job(&encode_job(&record)), Ok(record));
    }
    for body in config_records() {
        let record = stamped(body);
        assert_eq!(decode_config(&encode_config(&record)), Ok(record));
    }
    assert_eq!(decode_page(encode_page(&page()).into()), Ok(page()));
}

#[test]
fn envelopes_round_trip() {
    for body in bodies() {
        let sent = envelope(body);
        assert_eq!(Envelope::decode(sent.encode().into()), Ok(sent));
    }
}

#[rstest]
#[case::empty(b"", DecodeError::Missing("body"))]
#[case::no_id(&[0x1a, 0x00], DecodeError::BadId("leave"))]
fn incomplete_records_are_rejected(#[case] bytes: &[u8], #[case] error: DecodeError) {
    assert_eq!(decode_owner(bytes), Err(error));
}

#[test]
fn oversized_input_is_rejected_before_parsing() {
    let bytes = vec![0xff; MAX_RECORD_BYTES + 1];
    let error = DecodeError::TooLarge(MAX_RECORD_BYTES + 1, MAX_RECORD_BYTES);
    assert_eq!(decode_owner(&bytes), Err(error.clone()));
    assert_eq!(decode_job(&bytes), Err(error.clone()));
    assert_eq!(decode_config(&bytes), Err(error));
    let bytes = vec![0xff; MAX_ENVELOPE_BYTES + 1];
    let error = DecodeError::TooLarge(MAX_ENVELOPE_BYTES + 1, MAX_ENVELOPE_BYTES);
    assert_eq!(Envelope::decode(bytes.into()), Err(error));
}

#[test]
fn offsets_out_of_order_are_rejected() {
    let mut unordered = page();
    unordered.records.swap(0, 1);
    let error = DecodeError::OutOfRange("records.offset");
    assert_eq!(decode_page(encode_page(&unordered).into()), Err(error));
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: CASE_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// Runs every decoder; a value that one accepts must survive a round trip.
fn decode_all(bytes: &[u8]) {
    if let Ok(record) = decode_owner(bytes) {
        assert_eq!(decode_owner(&encode_owner(&record)), Ok(record));
    }
    if let Ok(record) = decode_job(bytes) {
        assert_eq!(decode_job(&encode_job(&record)), Ok(record));
    }
    if let Ok(record) = decode_config(bytes) {
        assert_eq!(decode_config(&encode_config(&record)), Ok(record));
    }
    let bytes = Bytes::copy_from_slice(bytes);
    if let Ok(page) = decode_page(bytes.clone()) {
        assert_eq!(decode_page(encode_page(&page).into()), Ok(page));
    }
    if let Ok(envelope) = Envelope::decode(bytes) {
        assert_eq!(Envelope::decode(envelope.encode().into()), Ok(envelope));
    }
}

#[test]
fn corrupt_input_never_panics() {
    let mut valid: Vec<Vec<u8>> = Vec::new();
    valid.extend(
        owner_records()
            .into_iter()
            .map(|r| encode_owner(&stamped(r))),
    );
    valid.extend(job_records().into_iter().map(|r| encode_job(&stamped(r))));
    valid.extend(
        config_records()
            .into_iter()
            .map(|r| encode_config(&stamped(r))),
    );
    valid.extend(bodies().into_iter().map(|b| envelope(b).encode()));
    valid.push(encode_page(&page()));
    let strategy = (
        prop::sample::select(valid),
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<prop::sample::Index>(),
    );
    let checked = runner().run(&strategy, |(mut bytes, at, byte, cut)| {
        let at = at.index(bytes.len());
        bytes[at] = byte;
        decode_all(&bytes);
        bytes.truncate(cut.index(bytes.len()));
        decode_all(&bytes);
        Ok(())
    });
    checked.unwrap();
}

#[test]
fn random_bytes_never_panic() {
    let strategy = prop::collection::vec(any::<u8>(), 0..256);
    let checked = runner().run(&strategy, |bytes| {
        decode_all(&bytes);
        Ok(())
    });
    checked.unwrap();
}

#[test]
fn stored_response_round_trips() {
    let outcome = outcome();
    assert_eq!(StoredResponse::decode(outcome.encode()), Ok(outcome));
    assert!(StoredResponse::decode(Bytes::from_static(b"\x08\x05")).is_err());
}
