use kingcupwinch_coord::id::{Attempt, Version};
use kingcupwinch_time::{Span, WallTime};

use super::{
    Body, Grant, KeyAnswer, KeyBegin, KeyEnd, KeyFinish, KeyOutcome, Queued, RequestId, Stats,
    TaskPhase, TaskState, ownership,
};
use crate::DecodeError;
use crate::field::{check_list, job_id, require, task_id, uuid};
use crate::pb::sibling as pb;
use crate::pb::sibling::envelope::Body as Wire;

/// The longest time left in a message, in milliseconds: one day.
const MAX_LEFT_MS: u64 = 24 * 60 * 60 * 1_000;

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
            key: k.key.into(),
            issued: WallTime::from_millis(k.issued_ms),
            request: request(&k.request)?,
        }),
        Wire::KeyAnswer(k) => Body::KeyAnswer(key_answer(k)?),
        Wire::KeyFinish(k) => Body::KeyFinish(key_finish(k)?),
        Wire::KeyLookup(k) => Body::KeyLookup(k.key.into()),
        Wire::KeyFound(k) => Body::KeyFound(k.outcome.map(key_outcome).transpose()?),
        Wire::ConfigAsk(c) => Body::ConfigAsk(Version(c.from)),
        Wire::ConfigRelay(c) => {
            check_list(&c.records, "config_relay.records")?;
            Body::ConfigRelay(c.records)
        }
        Wire::StartTask(s) => Body::StartTask(s.task),
        Wire::TaskState(t) => Body::TaskState(task_state(&t)?),
        Wire::JobLookup(j) => Body::JobLookup(job_id(&j.job, "job_lookup.job")?),
        Wire::JobFound(j) => Body::JobFound(j.state),
        Wire::StatsAsk(pb::StatsAsk {}) => Body::StatsAsk,
        Wire::Stats(s) => Body::Stats(stats(s)),
        Wire::Ownership(o) => Body::Ownership(ownership::decode(o)?),
    };
    Ok(body)
}

fn request(bytes: &[u8]) -> Result<RequestId, DecodeError> {
    uuid(bytes, "request").map(RequestId)
}

fn grant(g: pb::Grant) -> Result<Grant, DecodeError> {
    if g.until_ms > MAX_LEFT_MS {
        return Err(DecodeError::OutOfRange("grant.until_ms"));
    }
    Ok(Grant {
        class: g.class.into(),
        count: g.count,
        left: Span::from_millis(g.until_ms),
    })
}

fn key_answer(k: pb::KeyAnswer) -> Result<KeyAnswer, DecodeError> {
    use pb::key_answer::Decision;
    let answer = match require(k.decision, "key_answer.decision")? {
        Decision::Run(pb::Done {}) => KeyAnswer::Run,
        Decision::Running(pb::Done {}) => KeyAnswer::Running,
        Decision::Ended(o) => KeyAnswer::Ended(key_outcome(o)?),
        Decision::Unknown(pb::Done {}) => KeyAnswer::Unknown,
        Decision::Refused(d) => KeyAnswer::Refused(d.reason.into()),
    };
    Ok(answer)
}

fn key_finish(k: pb::KeyFinish) -> Result<KeyFinish, DecodeError> {
    use pb::key_finish::End;
    let end = match require(k.end, "key_finish.end")? {
        End::Outcome(o) => KeyEnd::Answered(key_outcome(o)?),
        End::NotRun(pb::Done {}) => KeyEnd::NotRun,
        End::Unknown(pb::Done {}) => KeyEnd::Unknown,
    };
    Ok(KeyFinish {
        key: k.key.into(),
        request: request(&k.request)?,
        end,
    })
}

fn key_outcome(o: pb::KeyOutcome) -> Result<KeyOutcome, DecodeError> {
    let status = u16::try_from(o.status).ok();
    let status = status.filter(|s| (100..=999).contains(s));
    Ok(KeyOutcome {
        status: status.ok_or(DecodeError::OutOfRange("key_outcome.status"))?,
        content_type: o.content_type.into(),
        body: o.body,
    })
}

fn task_state(t: &pb::TaskState) -> Result<TaskState, DecodeError> {
    Ok(TaskState {
        task: task_id(&t.task, "task_state.task")?,
        attempt: Attempt(t.attempt),
        phase: task_phase(t.phase())?,
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
