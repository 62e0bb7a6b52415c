use bytes::Bytes;
use kingcupwinch_coord::dedupe::{Fingerprint, RequestKey};
use kingcupwinch_coord::id::{Attempt, Term, Version};
use kingcupwinch_time::{Span, WallTime};
use prost::Message;

use super::{
    Body, Grant, KeyBegin, KeyDecision, KeyEnd, KeyFinish, KeyLookup, KeyLookupReply, KeyPermit,
    Queued, Stats, StoredResponse, TaskPhase, TaskState, ownership,
};
use crate::DecodeError;
use crate::field::{check_list, crash_count, job_id, require, shard, task_id, uuid};
use crate::pb::sibling as pb;
use crate::pb::sibling::envelope::Body as Wire;

/// The maximum remaining time in a message, in milliseconds: one day.
const MAX_TIME_LEFT_MS: u64 = 24 * 60 * 60 * 1_000;

pub(super) fn body(body: Option<Wire>) -> Result<Body, DecodeError> {
    let body = match require(body, "body")? {
        Wire::Hello(pb::Hello {}) => Body::Hello,
        Wire::Done(pb::Done {}) => Body::Done,
        Wire::Declined(d) => Body::Declined(d.reason.into()),
        Wire::Queued(q) => Body::Queued(Queued {
            class: q.class.into(),
            count: q.count,
        }),
        Wire::Grant(g) => Body::Grant(grant(g)?),
        Wire::KeyBegin(k) => Body::KeyBegin(KeyBegin {
            key: request_key(&k.key)?,
            issued: WallTime::from_millis(k.issued_ms),
            fingerprint: Fingerprint(k.print),
            time_left: time_left(k.left_ms, "key_begin.left_ms")?,
        }),
        Wire::KeyAnswer(k) => Body::KeyDecision(key_answer(k)?),
        Wire::KeyFinish(k) => Body::KeyFinish(key_finish(k)?),
        Wire::KeyLookup(k) => Body::KeyLookup(KeyLookup {
            key: request_key(&k.key)?,
            home: shard(k.home, "key_lookup.home")?,
            term: Term(k.term),
        }),
        Wire::KeyFound(k) => Body::KeyLookupReply(key_found(k)?),
        Wire::ConfigAsk(c) => Body::ConfigRequest(Version(c.from)),
        Wire::ConfigRelay(c) => {
            check_list(&c.records, "config_relay.records")?;
            Body::ConfigRecords(c.records)
        }
        Wire::StartTask(s) => Body::StartTask(s.task),
        Wire::TaskState(t) => Body::TaskState(task_state(&t)?),
        Wire::JobLookup(j) => Body::JobLookup(job_id(&j.job, "job_lookup.job")?),
        Wire::JobCancel(j) => Body::JobCancel(job_id(&j.job, "job_cancel.job")?),
        Wire::JobFound(j) => Body::JobLookupReply(j.state),
        Wire::StatsAsk(pb::StatsAsk {}) => Body::StatsRequest,
        Wire::Stats(s) => Body::Stats(stats(s)),
        Wire::Ownership(o) => Body::Ownership(ownership::decode(o)?),
    };
    Ok(body)
}

fn request_key(bytes: &[u8]) -> Result<RequestKey, DecodeError> {
    uuid(bytes, "key").map(RequestKey)
}

fn time_left(millis: u64, field: &'static str) -> Result<Span, DecodeError> {
    if millis > MAX_TIME_LEFT_MS {
        return Err(DecodeError::OutOfRange(field));
    }
    Ok(Span::from_millis(millis))
}

fn key_permit(permit: pb::KeyPermit) -> Result<KeyPermit, DecodeError> {
    Ok(KeyPermit {
        home: shard(permit.home, "key_permit.home")?,
        term: Term(permit.term),
        attempt: Attempt(permit.attempt),
    })
}

fn grant(g: pb::Grant) -> Result<Grant, DecodeError> {
    Ok(Grant {
        class: g.class.into(),
        count: g.count,
        time_left: time_left(g.until_ms, "grant.until_ms")?,
    })
}

fn key_answer(k: pb::KeyAnswer) -> Result<KeyDecision, DecodeError> {
    use pb::key_answer::Decision;
    let answer = match require(k.decision, "key_answer.decision")? {
        Decision::Run(permit) => KeyDecision::Run(key_permit(permit)?),
        Decision::Running(pb::Done {}) => KeyDecision::Running,
        Decision::Ended(o) => KeyDecision::Ended(o),
        Decision::Unknown(pb::Done {}) => KeyDecision::Unknown,
        Decision::Refused(d) => KeyDecision::Refused(d.reason.into()),
    };
    Ok(answer)
}

fn key_finish(k: pb::KeyFinish) -> Result<KeyFinish, DecodeError> {
    use pb::key_finish::End;
    let end = match require(k.end, "key_finish.end")? {
        End::Ran(o) => KeyEnd::Ran(o),
        End::NotRun(pb::Done {}) => KeyEnd::NotRun,
        End::Unknown(pb::Done {}) => KeyEnd::Unknown,
    };
    Ok(KeyFinish {
        key: request_key(&k.key)?,
        permit: key_permit(require(k.permit, "key_finish.permit")?)?,
        end,
    })
}

fn key_found(k: pb::KeyFound) -> Result<KeyLookupReply, DecodeError> {
    use pb::key_found::Finding;
    let found = match require(k.finding, "key_found.finding")? {
        Finding::Ran(response) => KeyLookupReply::Ran(response),
        Finding::Running(pb::Done {}) => KeyLookupReply::Running,
        Finding::Unproved(pb::Done {}) => KeyLookupReply::Unproved,
    };
    Ok(found)
}

impl StoredResponse {
    /// Decodes a response stored by a key's home.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the bytes are malformed or the HTTP status is out of range.
    pub fn decode(bytes: Bytes) -> Result<Self, DecodeError> {
        let o = pb::KeyOutcome::decode(bytes)?;
        let status = u16::try_from(o.status).ok();
        let status = status.filter(|s| (100..=999).contains(s));
        Ok(StoredResponse {
            status: status.ok_or(DecodeError::OutOfRange("key_outcome.status"))?,
            content_type: o.content_type.into(),
            body: o.body,
        })
    }
}

fn task_state(t: &pb::TaskState) -> Result<TaskState, DecodeError> {
    Ok(TaskState {
        task: task_id(&t.task, "task_state.task")?,
        attempt: Attempt(t.attempt),
        phase: task_phase(t.phase())?,
        crashes: t
            .crashes
            .map(|c| crash_count(c.attempt, c.total, c.clear))
            .transpose()?,
    })
}

fn task_phase(phase: pb::TaskPhase) -> Result<TaskPhase, DecodeError> {
    match phase {
        pb::TaskPhase::Unspecified => Err(DecodeError::OutOfRange("task_state.phase")),
        pb::TaskPhase::Waiting => Ok(TaskPhase::Waiting),
        pb::TaskPhase::Running => Ok(TaskPhase::Running),
        pb::TaskPhase::Done => Ok(TaskPhase::Done),
        pb::TaskPhase::Failed => Ok(TaskPhase::Failed),
        pb::TaskPhase::Stopped => Ok(TaskPhase::Stopped),
        pb::TaskPhase::NotRun => Ok(TaskPhase::NotRun),
        pb::TaskPhase::Unknown => Ok(TaskPhase::Unknown),
        pb::TaskPhase::Moved => Ok(TaskPhase::Moved),
    }
}

fn stats(s: pb::Stats) -> Stats {
    Stats {
        waiting: s.waiting,
        running: s.running,
        slots: s.slots,
        workers: s.workers,
        version: Version(s.version),
    }
}
