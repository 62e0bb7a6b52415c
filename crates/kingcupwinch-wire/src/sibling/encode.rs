use super::{
    Body, KeyAnswer, KeyEnd, KeyFinish, KeyOutcome, Stats, TaskPhase, TaskState, ownership,
};
use crate::field::{job_id_bytes, task_id_bytes, uuid_bytes};
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
            until_ms: g.left.as_millis(),
        }),
        Body::KeyBegin(k) => Wire::KeyBegin(pb::KeyBegin {
            key: k.key.to_string(),
            issued_ms: k.issued.as_millis(),
            request: uuid_bytes(k.request.0),
        }),
        Body::KeyAnswer(k) => Wire::KeyAnswer(key_answer(k)),
        Body::KeyFinish(k) => Wire::KeyFinish(key_finish(k)),
        Body::KeyLookup(key) => Wire::KeyLookup(pb::KeyLookup {
            key: key.to_string(),
        }),
        Body::KeyFound(outcome) => Wire::KeyFound(pb::KeyFound {
            outcome: outcome.as_ref().map(key_outcome),
        }),
        Body::ConfigAsk(from) => Wire::ConfigAsk(pb::ConfigAsk { from: from.0 }),
        Body::ConfigRelay(records) => Wire::ConfigRelay(pb::ConfigRelay {
            records: records.clone(),
        }),
        Body::StartTask(task) => Wire::StartTask(pb::StartTask { task: task.clone() }),
        Body::TaskState(t) => Wire::TaskState(task_state(t)),
        Body::JobLookup(job) => Wire::JobLookup(pb::JobLookup {
            job: job_id_bytes(*job),
        }),
        Body::JobFound(state) => Wire::JobFound(pb::JobFound {
            state: state.clone(),
        }),
        Body::StatsAsk => Wire::StatsAsk(pb::StatsAsk {}),
        Body::Stats(s) => Wire::Stats(stats(s)),
        Body::Ownership(message) => Wire::Ownership(ownership::encode(message)),
    }
}

fn declined(reason: &str) -> pb::Declined {
    pb::Declined {
        reason: reason.to_owned(),
    }
}

fn key_answer(answer: &KeyAnswer) -> pb::KeyAnswer {
    use pb::key_answer::Decision;
    let decision = match answer {
        KeyAnswer::Run => Decision::Run(pb::Done {}),
        KeyAnswer::Running => Decision::Running(pb::Done {}),
        KeyAnswer::Ended(o) => Decision::Ended(key_outcome(o)),
        KeyAnswer::Unknown => Decision::Unknown(pb::Done {}),
        KeyAnswer::Refused(reason) => Decision::Refused(declined(reason)),
    };
    pb::KeyAnswer {
        decision: Some(decision),
    }
}

fn key_finish(finish: &KeyFinish) -> pb::KeyFinish {
    use pb::key_finish::End;
    let end = match &finish.end {
        KeyEnd::Answered(o) => End::Outcome(key_outcome(o)),
        KeyEnd::NotRun => End::NotRun(pb::Done {}),
        KeyEnd::Unknown => End::Unknown(pb::Done {}),
    };
    pb::KeyFinish {
        key: finish.key.to_string(),
        request: uuid_bytes(finish.request.0),
        end: Some(end),
    }
}

fn key_outcome(outcome: &KeyOutcome) -> pb::KeyOutcome {
    pb::KeyOutcome {
        status: u32::from(outcome.status),
        content_type: outcome.content_type.to_string(),
        body: outcome.body.clone(),
    }
}

fn task_state(state: &TaskState) -> pb::TaskState {
    pb::TaskState {
        task: task_id_bytes(state.task),
        attempt: state.attempt.0,
        phase: task_phase(state.phase).into(),
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
