//! Blocking HTTP client for tests and programs.
//!
//! One background thread performs all requests, so that any thread can send them, including threads
//! of an async runtime.

use std::fmt;
use std::sync::OnceLock;
use std::sync::mpsc as std_mpsc;
use std::time::Duration;

use actix_web::http::Method;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Largest response body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// A request that is built and then sent with [`Request::send`].
#[derive(Clone, Debug)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Absolute URL.
    pub url: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// Time within which the complete response must arrive.
    pub timeout: Duration,
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

/// The request failed without a complete response; holds the reason.
#[derive(Clone, Debug)]
pub struct NoResponse(pub String);

impl fmt::Display for NoResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no complete response: {}", self.0)
    }
}

impl std::error::Error for NoResponse {}

impl Response {
    /// Value of the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The body parsed as JSON; `null` when it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

impl Request {
    /// Creates a request without headers and body, with a timeout of 5 s.
    pub fn new(method: &str, url: impl Into<String>) -> Self {
        Self {
            method: method.to_string(),
            url: url.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(5),
        }
    }

    /// Appends a header; an earlier header of the same name is kept.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Sets the body; the content type is left unset.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body and its content type.
    #[must_use]
    pub fn json(self, value: &serde_json::Value) -> Self {
        self.header("content-type", "application/json").body(value.to_string())
    }

    /// Sets the time within which the complete response must arrive.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the request on a new connection and waits for the complete response.
    pub fn send(self) -> Result<Response, NoResponse> {
        let (tx, rx) = std_mpsc::channel();
        let receive_timeout = self.timeout + Duration::from_secs(1);
        worker_queue()
            .send((self, tx))
            .map_err(|_| NoResponse("the HTTP worker thread has ended".to_string()))?;
        rx.recv_timeout(receive_timeout).map_err(|e| NoResponse(e.to_string()))?
    }
}

/// Sends a GET request.
pub fn get(url: impl Into<String>) -> Result<Response, NoResponse> {
    Request::new("GET", url).send()
}

/// Sends a POST request with a JSON body.
pub fn post(url: impl Into<String>, value: &serde_json::Value) -> Result<Response, NoResponse> {
    Request::new("POST", url).json(value).send()
}

type QueuedRequest = (Request, std_mpsc::Sender<Result<Response, NoResponse>>);

/// Returns the queue of the thread that performs all requests; the first call starts the thread.
fn worker_queue() -> &'static mpsc::UnboundedSender<QueuedRequest> {
    static REQUEST_QUEUE: OnceLock<mpsc::UnboundedSender<QueuedRequest>> = OnceLock::new();
    REQUEST_QUEUE.get_or_init(|| {
        let (tx, mut rx) = mpsc::unbounded_channel::<QueuedRequest>();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                while let Some((request, reply)) = rx.recv().await {
                    actix_rt::spawn(async move {
                        let timeout = request.timeout;
                        let result = tokio::time::timeout(timeout, perform(request)).await;
                        let _ = reply.send(result.unwrap_or_else(|_| {
                            Err(NoResponse(format!("timed out after {} ms", timeout.as_millis())))
                        }));
                    });
                }
            });
        });
        tx
    })
}

async fn perform(request: Request) -> Result<Response, NoResponse> {
    let no_response = |e: &dyn fmt::Display| NoResponse(e.to_string());
    let method = Method::from_bytes(request.method.as_bytes()).map_err(|e| no_response(&e))?;
    let client = awc::Client::builder().disable_redirects().disable_timeout().finish();
    let mut builder = client.request(method, &request.url).force_close();
    for (name, value) in &request.headers {
        builder = builder.insert_header((name.as_str(), value.as_str()));
    }
    let mut response = builder.send_body(request.body).await.map_err(|e| no_response(&e))?;
    let headers: Vec<(String, String)> = response
        .headers()
        .iter()
        .map(|(name, value)| {
            (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        })
        .collect();
    let body = response.body().limit(MAX_BODY_BYTES).await.map_err(|e| no_response(&e))?;
    // awc treats the early end of a connection as the end of the body.
    let length = headers.iter().find(|(name, _)| name == "content-length");
    if let Some(length) = length.and_then(|(_, value)| value.parse::<usize>().ok())
        && length != body.len()
    {
        return Err(NoResponse(format!("body truncated: {} of {length} bytes", body.len())));
    }
    Ok(Response { status: response.status().as_u16(), headers, body })
}
