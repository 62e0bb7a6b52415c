//! Records of the job streams.

use bytes::Bytes;
use kingcupwinch_coord::id::{JobId, Offset, Term};
use kingcupwinch_coord::record::{AcceptedJob, JobEnd, JobRecord, Stamped, TaskCrashes};
use kingcupwinch_time::WallTime;
use prost::Message;

use crate::DecodeError;
use crate::field::{
    MAX_RECORD_BYTES, check_list, check_size, crash_count, job_id, job_id_bytes, record_id,
    record_id_bytes, require, shard,
};
use crate::pb::records as pb;
use crate::pb::records::job_entry::Body;

/// Decodes a record of a job stream.
///
/// # Errors
///
/// Returns a [`DecodeError`] if the bytes exceed [`MAX_RECORD_BYTES`] or are malformed, or if a
/// field is missing or out of range.
pub fn decode_job(bytes: &[u8]) -> Result<Stamped<JobRecord>, DecodeError> {
    check_size(bytes.len(), MAX_RECORD_BYTES)?;
    let entry = pb::JobEntry::decode(bytes)?;
    let body = match require(entry.body, "body")? {
        Body::Accepted(a) => JobRecord::Accepted(decode_accepted(&a.jobs)?),
        Body::Ended(e) => JobRecord::Ended(decode_ended(&e.jobs)?),
        Body::Started(s) => JobRecord::Started(decode_started(&s.jobs)?),
        Body::Crashed(c) => JobRecord::Crashed(decode_crashed(&c.tasks)?),
        Body::Snapshot(s) => JobRecord::Snapshot {
            covers: Offset(s.covers),
            open: decode_accepted(&s.open)?,
            started: decode_started(&s.started)?,
            ended: decode_ended(&s.ended)?,
            crashed: decode_crashed(&s.crashed)?,
        },
    };
    Ok(Stamped {
        id: record_id(&entry.id, "id")?,
        body,
    })
}

/// Encodes a record of a job stream.
pub fn encode_job(record: &Stamped<JobRecord>) -> Vec<u8> {
    let body = match &record.body {
        JobRecord::Accepted(jobs) => Body::Accepted(pb::AcceptedJobs {
            jobs: encode_accepted(jobs),
        }),
        JobRecord::Ended(jobs) => Body::Ended(pb::EndedJobs {
            jobs: encode_ended(jobs),
        }),
        JobRecord::Started(jobs) => Body::Started(pb::StartedJobs {
            jobs: encode_started(jobs),
        }),
        JobRecord::Crashed(tasks) => Body::Crashed(pb::CrashedTasks {
            tasks: encode_crashed(tasks),
        }),
        JobRecord::Snapshot {
            covers,
            open,
            started,
            ended,
            crashed,
        } => Body::Snapshot(pb::JobSnapshot {
            covers: covers.0,
            open: encode_accepted(open),
            started: encode_started(started),
            ended: encode_ended(ended),
            crashed: encode_crashed(crashed),
        }),
    };
    let entry = pb::JobEntry {
        id: record_id_bytes(record.id),
        body: Some(body),
    };
    entry.encode_to_vec()
}

fn decode_accepted(jobs: &[pb::AcceptedJob]) -> Result<Vec<AcceptedJob>, DecodeError> {
    check_list(jobs, "jobs")?;
    jobs.iter()
        .map(|j| {
            Ok(AcceptedJob {
                job: job_id(&j.job, "job")?,
                home: shard(j.home, "home")?,
                accepted: WallTime::from_millis(j.accepted_ms),
                idempotent: j.idempotent,
                spec: j.spec.as_ref().into(),
            })
        })
        .collect()
}

fn encode_accepted(jobs: &[AcceptedJob]) -> Vec<pb::AcceptedJob> {
    jobs.iter()
        .map(|j| pb::AcceptedJob {
            job: job_id_bytes(j.job),
            home: u32::from(j.home.0),
            accepted_ms: j.accepted.as_millis(),
            idempotent: j.idempotent,
            spec: Bytes::copy_from_slice(&j.spec),
        })
        .collect()
}

fn decode_ended(jobs: &[pb::EndedJob]) -> Result<Vec<(JobId, JobEnd)>, DecodeError> {
    check_list(jobs, "jobs")?;
    jobs.iter()
        .map(|j| Ok((job_id(&j.job, "job")?, decode_end(j.end())?)))
        .collect()
}

fn encode_ended(jobs: &[(JobId, JobEnd)]) -> Vec<pb::EndedJob> {
    jobs.iter()
        .map(|(job, end)| pb::EndedJob {
            job: job_id_bytes(*job),
            end: encode_end(*end).into(),
        })
        .collect()
}

fn decode_end(end: pb::JobEnd) -> Result<JobEnd, DecodeError> {
    match end {
        pb::JobEnd::Unspecified => Err(DecodeError::OutOfRange("end")),
        pb::JobEnd::Done => Ok(JobEnd::Done),
        pb::JobEnd::Failed => Ok(JobEnd::Failed),
        pb::JobEnd::Cancelled => Ok(JobEnd::Cancelled),
        pb::JobEnd::Unknown => Ok(JobEnd::Unknown),
    }
}

fn encode_end(end: JobEnd) -> pb::JobEnd {
    match end {
        JobEnd::Done => pb::JobEnd::Done,
        JobEnd::Failed => pb::JobEnd::Failed,
        JobEnd::Cancelled => pb::JobEnd::Cancelled,
        JobEnd::Unknown => pb::JobEnd::Unknown,
    }
}

fn decode_started(jobs: &[pb::StartedJob]) -> Result<Vec<(JobId, Term)>, DecodeError> {
    check_list(jobs, "jobs")?;
    jobs.iter()
        .map(|j| Ok((job_id(&j.job, "job")?, Term(j.term))))
        .collect()
}

fn encode_started(jobs: &[(JobId, Term)]) -> Vec<pb::StartedJob> {
    jobs.iter()
        .map(|(job, term)| pb::StartedJob {
            job: job_id_bytes(*job),
            term: term.0,
        })
        .collect()
}

fn decode_crashed(tasks: &[pb::CrashedTask]) -> Result<Vec<(JobId, TaskCrashes)>, DecodeError> {
    check_list(tasks, "tasks")?;
    tasks
        .iter()
        .map(|t| {
            let count = crash_count(t.attempt, t.total, t.clear)?;
            let index = t.index;
            Ok((job_id(&t.job, "job")?, TaskCrashes { index, count }))
        })
        .collect()
}

fn encode_crashed(tasks: &[(JobId, TaskCrashes)]) -> Vec<pb::CrashedTask> {
    tasks
        .iter()
        .map(|(job, crashes)| pb::CrashedTask {
            job: job_id_bytes(*job),
            index: crashes.index,
            attempt: crashes.count.attempt.0,
            total: crashes.count.total.into(),
            clear: crashes.count.clear.into(),
        })
        .collect()
}
