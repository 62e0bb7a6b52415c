use serde::Serialize;
use serde_json::Value;

use super::event::LogEvent;

/// Fields that every line has, or that the timeline shows in columns of their own.
const COMMON_FIELDS: &[&str] = &["ts", "level", "msg", "event", "instance", "job"];

/// What the logs tell about one job, in order of time.
#[derive(Debug, Serialize)]
pub(crate) struct Timeline {
    pub(crate) entries: Vec<TimelineEntry>,
}

/// One line about a job.
#[derive(Debug, Serialize)]
pub(crate) struct TimelineEntry {
    /// Milliseconds since the first line about the job.
    pub(crate) ms: i64,
    pub(crate) event: String,
    pub(crate) instance: String,
    pub(crate) text: String,
    /// The other fields that are set, as `name=value`.
    pub(crate) details: String,
}

impl Timeline {
    /// Collects the lines about a job.
    pub(crate) fn new(events: &[LogEvent], job: &str) -> Self {
        let of_job = events.iter().filter(|event| event.job() == Some(job));
        let of_job: Vec<&LogEvent> = of_job.collect();
        let start = of_job.first().map_or(0, |event| event.at);
        let to_entry = |event: &&LogEvent| TimelineEntry {
            ms: (event.at - start) / 1_000,
            event: event.code.clone(),
            instance: event.text("instance").to_owned(),
            text: event.text("msg").to_owned(),
            details: details(event),
        };
        Timeline {
            entries: of_job.iter().map(to_entry).collect(),
        }
    }
}

fn details(event: &LogEvent) -> String {
    let fields = event.fields.iter();
    let shown =
        fields.filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null());
    let texts = shown.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    let texts: Vec<String> = texts.collect();
    texts.join(" ")
}
