//! HTTP client of the platform; each thread has its own client.

use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::ClientRequest;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use awc::http::Method;
use awc::http::StatusCode;
use bytes::Bytes;
use futures_util::FutureExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use smol_str::SmolStr;

use super::Platform;
use super::PlatformFuture;
use super::model::Conflict;
use super::model::Outcome;
use super::model::PlatformError;
use super::model::PutOutcome;
use super::model::Revision;
use super::model::Row;
use super::model::Transaction;
use super::platform_settings::PlatformSettings;
use super::rows::StoreRequest;
use crate::events;
use crate::events::platform::UNEXPECTED_RESPONSE;
use crate::events::platform::UNREADABLE_ROW;

/// Time after which an idle connection is closed. It is below the usual idle timeouts of servers, so
/// that a request is rarely sent on a connection that the platform is closing.
const KEEP_ALIVE_MS: u64 = 4_000;

/// [`Platform`] over HTTP. Clones are cheap and share the connections.
#[derive(Clone)]
pub struct HttpPlatform {
    inner: Rc<Inner>,
}

struct Inner {
    client: Client,
    cfg: PlatformSettings,
}

/// Status and complete body of a response.
struct Response {
    status: StatusCode,
    body: Bytes,
}

/// Whether a request reads or writes; the value of the metrics label `kind`.
#[derive(Clone, Copy)]
enum RequestKind {
    Read,
    Write,
}

impl RequestKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// Row whose value is decoded apart from it, so that an unreadable value does not affect other rows.
#[derive(Deserialize)]
struct RowWire {
    key: SmolStr,
    value: Box<RawValue>,
    revision: Revision,
}

impl From<RowWire> for Row {
    fn from(wire: RowWire) -> Self {
        let value = readable_value(&wire.key, &wire.value);
        Self { key: wire.key, value, revision: wire.revision }
    }
}

#[derive(Deserialize)]
struct ScanResponse {
    rows: Vec<RowWire>,
}

#[derive(Deserialize)]
struct CommitResponse {
    committed: bool,
}

#[derive(Deserialize)]
struct ConflictWire {
    key: SmolStr,
    revision: Option<Revision>,
    value: Option<Box<RawValue>>,
}

impl From<ConflictWire> for Conflict {
    fn from(wire: ConflictWire) -> Self {
        let value = wire.value.map(|value| readable_value(&wire.key, &value));
        Self { key: wire.key, revision: wire.revision, value }
    }
}

#[derive(Deserialize)]
struct ConflictResponse {
    conflicts: Vec<ConflictWire>,
}

/// Decodes the value of a row. A value that cannot be read, for example a deeply nested one of another
/// writer, is logged and counts as `null`. The row is kept, because the number of rows on a page tells
/// whether more follow.
fn readable_value(key: &str, value: &RawValue) -> Value {
    serde_json::from_str(value.get()).unwrap_or_else(|e| {
        events::emit(&UNREADABLE_ROW, format_args!("row {key}: {e}"));
        Value::Null
    })
}

impl HttpPlatform {
    /// Creates a client; connects on the first request. Must be called within an actix system.
    pub fn new(cfg: PlatformSettings) -> Self {
        let mut connector = Connector::new()
            .timeout(Duration::from_millis(cfg.connect_timeout_ms))
            .conn_keep_alive(Duration::from_millis(KEEP_ALIVE_MS));
        if let Some(addr) = cfg.local_address {
            connector = connector.local_address(addr);
        }
        let client =
            Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        Self { inner: Rc::new(Inner { client, cfg }) }
    }

    fn request(&self, method: Method, path_and_query: &str) -> ClientRequest {
        let url = format!("http://{}{path_and_query}", self.inner.cfg.address);
        self.inner.client.request(method, url)
    }

    /// Sends a request, reads the complete response and counts both in the metrics. The statuses 429 and
    /// 503 become [`PlatformError::Refused`].
    async fn call(
        &self,
        kind: RequestKind,
        req: ClientRequest,
        body: Bytes,
        max_bytes: usize,
    ) -> Result<Response, PlatformError> {
        metrics::counter!("ibis_platform_requests_total", "kind" => kind.as_str()).increment(1);
        metrics::counter!("ibis_platform_bytes_total", "direction" => "sent")
            .increment(body.len() as u64);
        let timeout = Duration::from_millis(self.inner.cfg.request_timeout_ms);
        let result = match tokio::time::timeout(timeout, exchange(req, body, max_bytes)).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::NoAnswer(format!("no complete response in {timeout:?}"))),
        };
        match &result {
            Ok(resp) => metrics::counter!("ibis_platform_bytes_total", "direction" => "received")
                .increment(resp.body.len() as u64),
            Err(e) => count_failure(kind, e),
        }
        result
    }
}

impl HttpPlatform {
    /// Sends a request to the row store of the external platform; returns the status and the complete
    /// body of the response.
    pub(super) async fn exchange_rows(
        &self,
        request: StoreRequest,
    ) -> Result<(u16, Bytes), PlatformError> {
        let (kind, method) = match request.method {
            "GET" => (RequestKind::Read, Method::GET),
            _ => (RequestKind::Write, Method::POST),
        };
        let mut req = self.request(method, &request.target);
        if !request.body.is_empty() {
            req = req.insert_header(("Content-Type", "application/json"));
        }
        let max_bytes = self.inner.cfg.max_rows_bytes;
        let response = self.call(kind, req, request.body.into(), max_bytes).await?;
        Ok((response.status.as_u16(), response.body))
    }
}

/// Counts a failed request in the metrics, by request kind and reason.
fn count_failure(kind: RequestKind, error: &PlatformError) {
    let reason = match error {
        PlatformError::Refused(_) => "refused",
        PlatformError::NoAnswer(_) => "no_answer",
        PlatformError::Protocol(_) => "protocol",
    };
    metrics::counter!("ibis_platform_failures_total", "kind" => kind.as_str(), "reason" => reason)
        .increment(1);
}

async fn exchange(
    req: ClientRequest,
    body: Bytes,
    max_bytes: usize,
) -> Result<Response, PlatformError> {
    let mut response = req.send_body(body).await.map_err(send_error)?;
    let status = response.status();
    if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
        return Err(PlatformError::Refused(format!("status {status}")));
    }
    // A gateway in front of the platform may have forwarded the request before it failed.
    if status.is_server_error() {
        return Err(PlatformError::NoAnswer(format!("status {status}")));
    }
    match response.body().limit(max_bytes).await {
        Ok(body) => Ok(Response { status, body }),
        Err(PayloadError::Overflow) => {
            Err(PlatformError::NoAnswer(format!("response exceeds {max_bytes} bytes")))
        }
        Err(e) => Err(PlatformError::NoAnswer(e.to_string())),
    }
}

/// Classifies a failure to send. Only a failure to connect proves that nothing was sent.
/// `ConnectError::Disconnected` does not: `awc` also returns it when the connection ends after the
/// request was sent.
fn send_error(error: SendRequestError) -> PlatformError {
    let text = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            PlatformError::NoAnswer(text)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PlatformError::Refused(text),
        _ => PlatformError::NoAnswer(text),
    }
}

/// Decodes the body of a response. If it is unreadable, the response counts as missing, since a write may
/// have taken effect.
fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|e| PlatformError::NoAnswer(format!("unreadable response: {e}")))
}

/// Returns the error for a response status that the platform's protocol does not define for `operation`.
fn unexpected_status<T>(operation: &str, response: &Response) -> Result<T, PlatformError> {
    let excerpt =
        String::from_utf8_lossy(&response.body[..response.body.len().min(200)]).into_owned();
    events::emit(
        &UNEXPECTED_RESPONSE,
        format_args!("{operation}: status {}: {excerpt}", response.status),
    );
    Err(PlatformError::Protocol(format!("{operation}: status {}: {excerpt}", response.status)))
}

/// Percent-encodes all bytes except unreserved characters and those in `keep`.
fn percent_encode(text: &str, keep: &[u8]) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) || keep.contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn object_path(name: &str) -> String {
    format!("/objects/{}", percent_encode(name, b"/"))
}

impl Platform for HttpPlatform {
    fn get(&self, key: &str) -> PlatformFuture<Option<Row>> {
        let this = self.clone();
        let path = format!("/table/row?key={}", percent_encode(key, b"/"));
        async move {
            let req = this.request(Method::GET, &path);
            let max_bytes = this.inner.cfg.max_rows_bytes;
            let response = this.call(RequestKind::Read, req, Bytes::new(), max_bytes).await?;
            match response.status {
                StatusCode::OK => decode::<RowWire>(&response.body).map(|wire| Some(wire.into())),
                StatusCode::NOT_FOUND => Ok(None),
                _ => unexpected_status("reading a row", &response),
            }
        }
        .boxed_local()
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> PlatformFuture<Vec<Row>> {
        let this = self.clone();
        let (prefix, after) = (percent_encode(prefix, b"/"), percent_encode(after, b"/"));
        let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
        async move {
            let req = this.request(Method::GET, &path);
            let max_bytes = this.inner.cfg.max_rows_bytes;
            let response = this.call(RequestKind::Read, req, Bytes::new(), max_bytes).await?;
            match response.status {
                StatusCode::OK => {
                    let wire: ScanResponse = decode(&response.body)?;
                    Ok(wire.rows.into_iter().map(Row::from).collect())
                }
                _ => unexpected_status("scanning rows", &response),
            }
        }
        .boxed_local()
    }

    fn transact(&self, transaction: Transaction) -> PlatformFuture<Outcome> {
        let this = self.clone();
        async move {
            let body = serde_json::to_vec(&transaction)
                .map_err(|e| PlatformError::Refused(format!("not sent: {e}")))?;
            let req = this
                .request(Method::POST, "/table/transact")
                .insert_header(("Content-Type", "application/json"));
            let max_bytes = this.inner.cfg.max_rows_bytes;
            let response = this.call(RequestKind::Write, req, body.into(), max_bytes).await?;
            match response.status {
                StatusCode::OK if decode::<CommitResponse>(&response.body)?.committed => {
                    Ok(Outcome::Committed)
                }
                StatusCode::CONFLICT => {
                    let conflicts = decode::<ConflictResponse>(&response.body)?.conflicts;
                    Ok(Outcome::Conflicts(conflicts.into_iter().map(Conflict::from).collect()))
                }
                _ => unexpected_status("committing a transaction", &response),
            }
        }
        .boxed_local()
    }

    fn put_object(&self, name: &str, bytes: Bytes) -> PlatformFuture<PutOutcome> {
        let this = self.clone();
        let path = object_path(name);
        async move {
            let req = this
                .request(Method::PUT, &path)
                .insert_header(("Content-Type", "application/octet-stream"));
            let max_bytes = this.inner.cfg.max_rows_bytes;
            let response = this.call(RequestKind::Write, req, bytes, max_bytes).await?;
            match response.status {
                StatusCode::CREATED => Ok(PutOutcome::Created),
                StatusCode::OK => Ok(PutOutcome::Same),
                StatusCode::CONFLICT => Ok(PutOutcome::Different),
                _ => unexpected_status("storing an object", &response),
            }
        }
        .boxed_local()
    }

    fn get_object(&self, name: &str) -> PlatformFuture<Option<Bytes>> {
        let this = self.clone();
        let path = object_path(name);
        async move {
            let req = this.request(Method::GET, &path);
            let max_bytes = this.inner.cfg.max_object_bytes;
            let response = this.call(RequestKind::Read, req, Bytes::new(), max_bytes).await?;
            match response.status {
                StatusCode::OK => Ok(Some(response.body)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => unexpected_status("reading an object", &response),
            }
        }
        .boxed_local()
    }

    fn delete_object(&self, name: &str) -> PlatformFuture<()> {
        let this = self.clone();
        let path = object_path(name);
        async move {
            let req = this.request(Method::DELETE, &path);
            let max_bytes = this.inner.cfg.max_rows_bytes;
            let response = this.call(RequestKind::Write, req, Bytes::new(), max_bytes).await?;
            match response.status {
                StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
                _ => unexpected_status("deleting an object", &response),
            }
        }
        .boxed_local()
    }
}
