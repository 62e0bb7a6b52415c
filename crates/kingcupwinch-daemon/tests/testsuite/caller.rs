//! An HTTP caller, and a helper that waits for a condition.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use kingcupwinch_wire::api::{JobAccepted, JobPhase, JobStatus, Problem, Status};

/// Time limit for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete response.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    /// Decodes the response as a problem document.
    pub(crate) fn problem(&self) -> Problem {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// An HTTP client with its own connection pool.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Caller {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Caller { client, address }
    }

    /// Sends one request and reads the whole response.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, hyper_util::client::legacy::Error> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let (parts, body) = self.client.request(request).await?.into_parts();
        let body = body
            .collect()
            .await
            .map(Collected::to_bytes)
            .unwrap_or_default();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    pub(crate) async fn get(&self, path: &str) -> Reply {
        self.send(Method::GET, path, &[], "").await.unwrap()
    }

    /// Submits a job and returns its id.
    pub(crate) async fn submit(&self, job: &serde_json::Value) -> String {
        let reply = self
            .send(Method::POST, "/v1/jobs", &[], job.to_string())
            .await
            .unwrap();
        assert_eq!(reply.status, 202, "{reply:?}");
        let accepted: JobAccepted = serde_json::from_slice(&reply.body).unwrap();
        accepted.job.to_string()
    }

    /// Returns a job's state.
    pub(crate) async fn job(&self, id: &str) -> JobStatus {
        let reply = self.get(&format!("/v1/jobs/{id}")).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        serde_json::from_slice(&reply.body).unwrap()
    }

    /// Waits until a job has succeeded.
    pub(crate) async fn wait_done(&self, id: &str) {
        wait_until("the job is done", || async {
            self.job(id).await.phase == JobPhase::Done
        })
        .await;
    }

    /// Returns the instance's status as shown to operators.
    pub(crate) async fn status(&self) -> Status {
        serde_json::from_slice(&self.get("/v1/status").await.body).unwrap()
    }

    /// Runs a live request.
    pub(crate) async fn run(
        &self,
        service: &str,
        headers: &[(&str, &str)],
        body: &'static str,
    ) -> Reply {
        let path = format!("/v1/run/{service}");
        self.send(Method::POST, &path, headers, body).await.unwrap()
    }
}

/// Waits until the condition is true, or panics after [`CONDITION_TIMEOUT`].
pub(crate) async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) {
    let waited = tokio::time::timeout(CONDITION_TIMEOUT, async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(
        waited.await.is_ok(),
        "condition not met within the time limit: {what}"
    );
}
