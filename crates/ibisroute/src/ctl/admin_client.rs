//! Client for the admin interface of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::http::StatusCode;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use futures_util::StreamExt;
use futures_util::stream;
use serde::de::DeserializeOwned;

use super::admin_model::MembersReport;
use crate::membership::record::MemberRecord;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest response body, in bytes; large enough for the member list of a large fleet.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Largest number of nodes that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// HTTP client for the admin interfaces of nodes.
#[derive(Clone)]
pub struct AdminClient {
    client: Client,
}

impl Default for AdminClient {
    fn default() -> Self {
        Self::new()
    }
}

impl AdminClient {
    /// Creates a client. Must be called within an actix system.
    pub fn new() -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client =
            Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        Self { client }
    }

    /// Fetches and parses the JSON document at `path` from the admin interface of a node.
    pub async fn get<T: DeserializeOwned>(&self, node: SocketAddr, path: &str) -> Result<T> {
        let body_future = async {
            let request = self.client.get(format!("http://{node}{path}"));
            let mut response = request.send().await.map_err(|e| eyre!("{e}"))?;
            let status = response.status();
            if status != StatusCode::OK {
                bail!("status {status}");
            }
            response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|e| eyre!("{e}"))
        };
        let body = match tokio::time::timeout(REQUEST_TIMEOUT, body_future).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => bail!("cannot read {path} from the node at {node}: {e}"),
            Err(_) => {
                bail!("no response to {path} from the node at {node} within {REQUEST_TIMEOUT:?}")
            }
        };
        serde_json::from_slice(&body)
            .map_err(|e| eyre!("the node at {node} sent an invalid response to {path}: {e}"))
    }

    /// Returns the members that the given node considers live.
    pub async fn live_members(&self, node: SocketAddr) -> Result<Vec<MemberRecord>> {
        let report: MembersReport = self.get(node, "/members").await?;
        Ok(report.members.into_iter().filter(MemberRecord::is_live).collect())
    }

    /// Fetches the same document from each member, from at most `MAX_CONCURRENT_REQUESTS` at a
    /// time. The results are in the order of completion.
    pub async fn get_from_members<T: DeserializeOwned>(
        &self,
        members: &[MemberRecord],
        path: &str,
    ) -> Vec<(MemberRecord, Result<T>)> {
        let fetch_from_member = |member: MemberRecord| async move {
            let result = self.get(member.addresses.admin, path).await;
            (member, result)
        };
        stream::iter(members.to_vec())
            .map(fetch_from_member)
            .buffer_unordered(MAX_CONCURRENT_REQUESTS)
            .collect()
            .await
    }
}
