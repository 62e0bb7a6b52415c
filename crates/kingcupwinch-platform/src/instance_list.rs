use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use kingcupwinch_wire::instance_list::{Instance, Instances};
use tokio::time::Instant;

use crate::body::full_body;
use crate::error::InstanceListError;
use crate::pool::Pool;
use crate::reply::{Reply, request};

const MAX_CONNECTIONS: usize = 2;

/// A client of the instance list; clones share its connections.
#[derive(Debug, Clone)]
pub struct InstanceListClient {
    pool: Arc<Pool>,
}

impl InstanceListClient {
    /// Creates a client for the list at an address; connections are opened on demand.
    pub fn new(address: SocketAddr) -> Self {
        InstanceListClient {
            pool: Pool::new(address, MAX_CONNECTIONS),
        }
    }

    /// Returns the listed instances of a failure domain.
    ///
    /// # Errors
    ///
    /// Returns [`InstanceListError::Unavailable`] if the list can't be read or the response is
    /// malformed.
    pub async fn list(
        &self,
        domain: &str,
        deadline: Instant,
    ) -> Result<Vec<Instance>, InstanceListError> {
        let path = format!("/v1/instances?domain={domain}");
        let request = request(Method::GET, &path, full_body(Bytes::new()));
        let answer = self.pool.send(request, deadline, |_, _| true).await?;
        let reply = Reply::read(answer, deadline).await?;
        let instances: Instances = reply.expect(StatusCode::OK)?.json()?;
        Ok(instances.instances)
    }
}
