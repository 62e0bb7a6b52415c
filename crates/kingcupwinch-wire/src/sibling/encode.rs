use super::{
    Body, KeyDecision, KeyEnd, KeyFinish, KeyLookupReply, KeyPermit, Stats, StoredResponse,
    TaskPhase, TaskState, ownership,
};
use crate::field::{job_id_bytes, task_id_bytes, uuid_bytes};
use bytes::Bytes;
use prost::Message;

use crate::pb::sibling as pb;
use crate::pb::sibling::envelope::Body as Wire;

pub(super) fn body(body: &Body) -> Wire {
    match body {
        Body::Hello => Wire::Hello(pb::Hello {}),
        Body::Done => Wire::Done(pb::Done {}),
        Body::Declined(reason) => Wire::Declined(declined(reason)),
        Body::Queued(q) => Wire::Queued(pb::Queued {
            class: q.class.to_string(),
            count: q.count,
        }),
        Body::Grant(g) => Wire::Grant(pb::Grant {
            class: g.class.to_string(),
            count: g.count,
            until_ms: g.time_left.as_millis(),
        }),
        Body::KeyBegin(k) => Wire::KeyBegin(pb::KeyBegin {
            key: uuid_bytes(k.key.0),
            issued_ms: k.issued.as_millis(),
            print: k.fingerprint.0,
            left_ms: k.time_left.as_millis(),
        }),
        Body::KeyDecision(k) => Wire::KeyAnswer(key_answer(k)),
        Body::KeyFinish(k) => Wire::KeyFinish(key_finish(k)),
        Body::KeyLookup(k) => Wire::KeyLookup(pb::KeyLookup {
            key: uuid_bytes(k.key.0),
            home: u32::from(k.home.0),
            term: k.term.0,
        }),
        Body::KeyLookupReply(found) => Wire::KeyFound(key_found(found)),
        Body::ConfigRequest(from) => Wire::ConfigAsk(pb::ConfigAsk { from: from.0 }),
        Body::ConfigRecords(records) => Wire::ConfigRelay(pb::ConfigRelay {
            records: records.clone(),
        }),
        Body::StartTask(task) => Wire::StartTask(pb::StartTask { task: task.clone() }),
        Body::TaskState(t) => Wire::TaskState(task_state(t)),
        Body::JobLookup(job) => Wire::JobLookup(pb::JobLookup {
            job: job_id_bytes(*job),
        }),
        Body::JobCancel(job) => Wire::JobCancel(pb::JobCancel {
            job: job_id_bytes(*job),
        }),
        Body::JobLookupReply(state) => Wire::JobFound(pb::JobFound {
            state: state.clone(),
        }),
        Body::StatsRequest => Wire::StatsAsk(pb::StatsAsk {}),
        Body::Stats(s) => Wire::Stats(stats(s)),
        Body::Ownership(message) => Wire::Ownership(ownership::encode(message)),
    }
}

fn declined(reason: &str) -> pb::Declined {
    pb::Declined {
        reason: reason.to_owned(),
    }
}

fn key_answer(answer: &KeyDecision) -> pb::KeyAnswer {
    use pb::key_answer::Decision;
    let decision = match answer {
        KeyDecision::Run(permit) => Decision::Run(key_permit(*permit)),
        KeyDecision::Running => Decision::Running(pb::Done {}),
        KeyDecision::Ended(o) => Decision::Ended(o.clone()),
        KeyDecision::Unknown => Decision::Unknown(pb::Done {}),
        KeyDecision::Refused(reason) => Decision::Refused(declined(reason)),
    };
    pb::KeyAnswer {
        decision: Some(decision),
    }
}

fn key_finish(finish: &KeyFinish) -> pb::KeyFinish {
    use pb::key_finish::End;
    let end = match &finish.end {
        KeyEnd::Ran(o) => End::Ran(o.clone()),
        KeyEnd::NotRun => End::NotRun(pb::Done {}),
        KeyEnd::Unknown => End::Unknown(pb::Done {}),
    };
    pb::KeyFinish {
        key: uuid_bytes(finish.key.0),
        permit: Some(key_permit(finish.permit)),
        end: Some(end),
    }
}

fn key_permit(permit: KeyPermit) -> pb::KeyPermit {
    pb::KeyPermit {
        home: u32::from(permit.home.0),
        term: permit.term.0,
        attempt: permit.attempt.0,
    }
}

fn key_found(found: &KeyLookupReply) -> pb::KeyFound {
    use pb::key_found::Finding;
    let finding = match found {
        KeyLookupReply::Ran(response) => Finding::Ran(response.clone()),
        KeyLookupReply::Running => Finding::Running(pb::Done {}),
        KeyLookupReply::Unproved => Finding::Unproved(pb::Done {}),
    };
    pb::KeyFound {
        finding: Some(finding),
    }
}

impl StoredResponse {
    /// Encodes the response for storage by a key's home.
    pub fn encode(&self) -> Bytes {
        let outcome = pb::KeyOutcome {
            status: u32::from(self.status),
            content_type: self.content_type.to_string(),
            body: self.body.clone(),
        };
        outcome.encode_to_vec().into()
    }
}

fn task_state(state: &TaskState) -> pb::TaskState {
    pb::TaskState {
        task: task_id_bytes(state.task),
        attempt: state.attempt.0,
        phase: task_phase(state.phase).into(),
        crashes: state.crashes.map(|count| pb::TaskCrashes {
            attempt: count.attempt.0,
            total: count.total.into(),
            clear: count.clear.into(),
        }),
    }
}

fn task_phase(phase: TaskPhase) -> pb::TaskPhase {
    match phase {
        TaskPhase::Waiting => pb::TaskPhase::Waiting,
        TaskPhase::Running => pb::TaskPhase::Running,
        TaskPhase::Done => pb::TaskPhase::Done,
        TaskPhase::Failed => pb::TaskPhase::Failed,
        TaskPhase::Stopped => pb::TaskPhase::Stopped,
        TaskPhase::NotRun => pb::TaskPhase::NotRun,
        TaskPhase::Unknown => pb::TaskPhase::Unknown,
        TaskPhase::Moved => pb::TaskPhase::Moved,
    }
}

fn stats(stats: &Stats) -> pb::Stats {
    pb::Stats {
        waiting: stats.waiting,
        running: stats.running,
        slots: stats.slots,
        workers: stats.workers,
        version: stats.version.0,
    }
}
