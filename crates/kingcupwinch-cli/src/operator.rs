//! Client of the operators' ports of the instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;

use crate::http::{HttpClient, HttpError};

/// Client of the operators' ports.
#[derive(Debug, Clone)]
pub(crate) struct OperatorClient {
    http: HttpClient,
}

impl OperatorClient {
    /// Creates a client that bounds each request by `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        OperatorClient {
            http: HttpClient::new(timeout),
        }
    }

    /// Requests a JSON document.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, HttpError> {
        let body = self.send(Method::GET, address, path).await?;
        serde_json::from_slice(&body).map_err(|e| HttpError::InvalidResponse(e.to_string()))
    }

    /// Requests a text.
    pub(crate) async fn get_text(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<String, HttpError> {
        let body = self.send(Method::GET, address, path).await?;
        String::from_utf8(body.into()).map_err(|e| HttpError::InvalidResponse(e.to_string()))
    }

    /// Sends a POST request with an empty body.
    pub(crate) async fn post(&self, address: SocketAddr, path: &str) -> Result<(), HttpError> {
        self.send(Method::POST, address, path).await.map(drop)
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, HttpError> {
        let uri = format!("http://{address}{path}");
        self.http.send(method, &uri).await
    }
}
