//! A text transcript of the requests and responses of a caller.

use std::fmt;
use std::net::SocketAddr;

use hyper::Method;
use kingcupwinch_wire::api::JobAccepted;
use serde_json::Value;

use crate::caller::{Caller, Reply};

/// Headers that depend on the time or on the transport.
const HIDDEN_HEADERS: [&str; 3] = ["date", "content-length", "connection"];
/// Headers whose value is random or a time.
const REDACTED_HEADERS: [&str; 2] = ["x-worker", "retry-after"];

/// The transcript of a session.
pub(crate) struct Transcript {
    caller: Caller,
    text: String,
    /// Ids of jobs, each shown as its number.
    jobs: Vec<String>,
    /// Texts to replace, with their replacements.
    redacted: Vec<(String, &'static str)>,
}

impl Transcript {
    pub(crate) fn new(callers: SocketAddr) -> Self {
        Transcript {
            caller: Caller::new(callers),
            text: String::new(),
            jobs: Vec::new(),
            redacted: Vec::new(),
        }
    }

    pub(crate) fn caller(&self) -> Caller {
        self.caller.clone()
    }

    /// Records an event that is not a request.
    pub(crate) fn record_event(&mut self, what: &str) {
        self.line(&format!("# {what}"));
    }

    pub(crate) async fn get(&mut self, path: &str) -> Reply {
        self.record_request("GET", path, &[]);
        let reply = self.caller.get(path).await;
        self.record_response(&reply);
        reply
    }

    /// Replaces `text` by `replacement` from now on.
    pub(crate) fn redact(&mut self, text: &str, replacement: &'static str) {
        self.redacted.push((text.to_owned(), replacement));
    }

    /// Submits a job and returns its id.
    pub(crate) async fn submit(&mut self, job: &Value) -> String {
        self.record_request("POST", "/v1/jobs", &[]);
        self.line(&format!("> {job}"));
        let sent = self
            .caller
            .send(Method::POST, "/v1/jobs", &[], job.to_string());
        let reply = sent.await.unwrap();
        let accepted = serde_json::from_slice::<JobAccepted>(&reply.body);
        let id = accepted.map(|a| a.job.to_string()).unwrap_or_default();
        self.jobs.push(id.clone());
        self.record_response(&reply);
        id
    }

    /// Cancels a job.
    pub(crate) async fn cancel(&mut self, id: &str) {
        let path = format!("/v1/jobs/{id}");
        self.record_request("DELETE", &path, &[]);
        let sent = self.caller.send(Method::DELETE, &path, &[], "");
        self.record_response(&sent.await.unwrap());
    }

    pub(crate) async fn run(
        &mut self,
        service: &str,
        headers: &[(&str, &str)],
        body: &'static str,
    ) -> Reply {
        self.record_request("POST", &format!("/v1/run/{service}"), headers);
        if !body.is_empty() {
            self.line(&format!("> {body}"));
        }
        let reply = self.caller.run(service, headers, body).await;
        self.record_response(&reply);
        reply
    }

    pub(crate) fn record_request(&mut self, method: &str, path: &str, headers: &[(&str, &str)]) {
        self.line(&format!("> {method} {path}"));
        for (name, value) in headers {
            self.line(&format!("> {name}: {value}"));
        }
    }

    pub(crate) fn record_response(&mut self, reply: &Reply) {
        self.line(&format!("< {}", reply.status));
        let mut replacement: Vec<_> = reply
            .headers
            .iter()
            .filter(|(name, _)| !HIDDEN_HEADERS.contains(&name.as_str()))
            .map(|(name, value)| {
                let name = name.as_str();
                let redacted = REDACTED_HEADERS.contains(&name);
                let value = value.to_str().unwrap_or("[binary]");
                let value = if redacted { "[redacted]" } else { value };
                format!("< {name}: {value}")
            })
            .collect();
        replacement.sort();
        for line in replacement {
            self.line(&line);
        }
        self.body(reply);
    }

    fn body(&mut self, reply: &Reply) {
        let Ok(mut value) = serde_json::from_slice::<Value>(&reply.body) else {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            for line in text.lines() {
                self.line(&format!("< {line}"));
            }
            return;
        };
        if let Some(retry) = value.get_mut("retry_ms") {
            *retry = Value::from("[redacted]");
        }
        let pretty = serde_json::to_string_pretty(&value).unwrap_or_default();
        for line in pretty.lines() {
            self.line(&format!("< {line}"));
        }
    }

    fn line(&mut self, line: &str) {
        let mut line = line.to_owned();
        for (number, id) in (1..).zip(&self.jobs) {
            if !id.is_empty() {
                line = line.replace(id, &format!("[job {number}]"));
            }
        }
        for (text, replacement) in &self.redacted {
            line = line.replace(text, replacement);
        }
        self.text.push_str(&line);
        self.text.push('\n');
    }
}

impl fmt::Display for Transcript {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
