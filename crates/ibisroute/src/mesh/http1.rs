//! HTTP/1.1 heads and bodies, without I/O.
//!
//! The HTTP libraries that other modules use do not report what the mesh needs: whether a request was
//! read, whether bytes follow a complete response, and whether a response without a length ended normally
//! or by a reset. `httparse` parses the heads; this module determines the framing.

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// Names of hop-by-hop headers. They concern one connection only and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "upgrade",
];

/// Maximum number of headers in a head. Their total size is limited separately.
const MAX_HEADERS: usize = 128;

/// Maximum number of bytes reserved in advance for a body of known length.
const MAX_RESERVED_BYTES: u64 = 2 * 1024 * 1024;

/// Length up to which a body usually arrives with its head; no space is reserved for it.
const SHORT_BODY_BYTES: usize = 8 * 1024;

/// Maximum length in bytes of a line with the size and extensions of a chunk, and of a trailer line.
const MAX_LINE_BYTES: usize = 256;

/// Names and values of headers, in the order of the message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(pub Vec<(SmolStr, Bytes)>);

impl Headers {
    /// Returns the first value of a header as text; `None` when it is absent or not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.value(name).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Returns the first value of a header; `None` when it is absent. Names are compared without regard
    /// to case.
    pub fn value(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// Returns whether there is a header with this name, compared without regard to case.
    pub fn has(&self, name: &str) -> bool {
        self.value(name).is_some()
    }

    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// Returns whether a comma-separated header contains a token, without regard to case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|v| {
            let text = std::str::from_utf8(v).unwrap_or_default();
            text.split(',').any(|t| t.trim().eq_ignore_ascii_case(token))
        })
    }

    /// Returns the end-to-end headers: all but hop-by-hop headers and those of the framing.
    pub fn end_to_end(&self) -> impl Iterator<Item = &(SmolStr, Bytes)> {
        self.0.iter().filter(|(name, _)| {
            let framing = ["content-length", "transfer-encoding"];
            !HOP_BY_HOP.iter().chain(&framing).any(|h| name.eq_ignore_ascii_case(h))
                && !self.has_token("connection", name)
        })
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Empty,
    /// The body has this number of bytes.
    Length(u64),
    Chunked,
    /// The body ends with the connection; only for responses.
    Close,
}

/// Request line and headers of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    pub method: SmolStr,
    /// HTTP request target: path and query.
    pub target: SmolStr,
    pub headers: Headers,
    pub framing: Framing,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
}

/// Status line and headers of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Headers,
    pub framing: Framing,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
}

/// Reason why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum HttpError {
    #[display("head too long")]
    HeadTooLong,
    #[display("body too long")]
    BodyTooLong,
    #[display("malformed message")]
    Malformed,
}

fn copy_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let copy = |h: &httparse::Header<'_>| (SmolStr::new(h.name), Bytes::copy_from_slice(h.value));
    Headers(parsed.iter().map(copy).collect())
}

/// Returns the content length, if there is one. Several values must be equal.
fn content_length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut length = None;
    for value in headers.values("content-length") {
        let is_numeric = value.iter().all(u8::is_ascii_digit) && !value.is_empty();
        let text = std::str::from_utf8(value).ok().filter(|_| is_numeric);
        let parsed = text.and_then(|t| t.parse().ok()).ok_or(HttpError::Malformed)?;
        if length.is_some_and(|l| l != parsed) {
            return Err(HttpError::Malformed);
        }
        length = Some(parsed);
    }
    Ok(length)
}

/// Returns whether the body is chunked. Any other transfer coding is an error, because the framing is
/// unknown then.
fn is_chunked(headers: &Headers) -> Result<bool, HttpError> {
    let mut codings = headers.values("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(HttpError::Malformed),
    }
}

/// Parses the head of a request. Returns it with its length in bytes, or `None` when it is incomplete.
pub fn parse_request(
    buf: &[u8],
    max_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut header_slots);
    let head_bytes = match request.parse(&buf[..buf.len().min(max_bytes)]) {
        Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
        Ok(httparse::Status::Partial) if buf.len() >= max_bytes => {
            return Err(HttpError::HeadTooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLong),
        Err(_) => return Err(HttpError::Malformed),
    };
    let headers = copy_headers(request.headers);
    let length = content_length(&headers)?;
    let chunked = is_chunked(&headers)?;
    let version = request.version.ok_or(HttpError::Malformed)?;
    // `Content-Length` together with the chunked coding, or the chunked coding in HTTP/1.0, allows
    // request smuggling.
    if chunked && (length.is_some() || version == 0) {
        return Err(HttpError::Malformed);
    }
    let target = request.path.ok_or(HttpError::Malformed)?;
    let host_count = headers.values("host").count();
    if !target.starts_with('/') || host_count > 1 || (host_count == 0 && version == 1) {
        return Err(HttpError::Malformed);
    }
    let framing = match length {
        _ if chunked => Framing::Chunked,
        None | Some(0) => Framing::Empty,
        Some(length) => Framing::Length(length),
    };
    let keep_alive = match version {
        0 => headers.has_token("connection", "keep-alive"),
        _ => !headers.has_token("connection", "close"),
    };
    let head = RequestHead {
        method: SmolStr::new(request.method.ok_or(HttpError::Malformed)?),
        target: SmolStr::new(target),
        headers,
        framing,
        keep_alive,
    };
    Ok(Some((head, head_bytes)))
}

/// Parses the head of a response to a request with the given method, like [`parse_request`].
pub fn parse_response(
    buf: &[u8],
    method: &str,
    max_bytes: usize,
) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut header_slots);
    let head_bytes = match response.parse(&buf[..buf.len().min(max_bytes)]) {
        Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
        Ok(httparse::Status::Partial) if buf.len() >= max_bytes => {
            return Err(HttpError::HeadTooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::Malformed),
    };
    let headers = copy_headers(response.headers);
    let status = response.code.ok_or(HttpError::Malformed)?;
    let length = content_length(&headers)?;
    let chunked = is_chunked(&headers)?;
    if chunked && length.is_some() {
        return Err(HttpError::Malformed);
    }
    let bodyless = method == "HEAD" || matches!(status, 100..=199 | 204 | 304);
    let framing = match length {
        _ if bodyless => Framing::Empty,
        _ if chunked => Framing::Chunked,
        Some(0) => Framing::Empty,
        Some(length) => Framing::Length(length),
        None => Framing::Close,
    };
    let keep_alive = framing != Framing::Close
        && response.version == Some(1)
        && !headers.has_token("connection", "close");
    Ok(Some((ResponseHead { status, headers, framing, keep_alive }, head_bytes)))
}

/// Decodes a body from the bytes of a connection.
#[derive(Debug)]
pub struct BodyReader {
    state: BodyState,
    /// Maximum size of the body in bytes.
    limit: u64,
    body: BytesMut,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum BodyState {
    /// Bytes that remain of a body of known length.
    Remaining(u64),
    ChunkSize,
    /// Bytes that remain of a chunk.
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

impl BodyReader {
    /// Creates a reader of a body of at most `limit` bytes; fails if a longer one is announced.
    pub fn new(framing: Framing, limit: u64) -> Result<Self, HttpError> {
        let state = match framing {
            Framing::Empty => BodyState::Done,
            Framing::Length(length) if length > limit => return Err(HttpError::BodyTooLong),
            Framing::Length(length) => BodyState::Remaining(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::Close => BodyState::UntilClose,
        };
        // A buffer that grows with a long body would copy it repeatedly and need twice its memory.
        let expected = if let Framing::Length(n) = framing { n.min(MAX_RESERVED_BYTES) } else { 0 };
        let is_long = expected as usize > SHORT_BODY_BYTES;
        let body = BytesMut::with_capacity(if is_long { expected as usize } else { 0 });
        Ok(Self { state, limit, body })
    }

    /// Returns the number of bytes read so far.
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Returns whether no bytes of the body have been read yet.
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Removes the bytes of the body from the front of `buf` and collects them. Returns whether the body
    /// is complete.
    pub fn consume(&mut self, buf: &mut BytesMut) -> Result<bool, HttpError> {
        loop {
            match self.state {
                BodyState::Done => return Ok(true),
                BodyState::Remaining(remaining) | BodyState::ChunkData(remaining) => {
                    let n = remaining.min(buf.len() as u64);
                    self.collect(buf, n as usize)?;
                    let chunked = matches!(self.state, BodyState::ChunkData(_));
                    self.state = match (remaining - n, chunked) {
                        (0, true) => BodyState::ChunkEnd,
                        (0, false) => BodyState::Done,
                        (rest, true) => BodyState::ChunkData(rest),
                        (rest, false) => BodyState::Remaining(rest),
                    };
                    if remaining > n {
                        return Ok(false);
                    }
                }
                BodyState::UntilClose => {
                    self.collect(buf, buf.len())?;
                    return Ok(false);
                }
                BodyState::ChunkSize => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((line_bytes, size))) => {
                        let _ = buf.split_to(line_bytes);
                        if size > self.limit {
                            return Err(HttpError::BodyTooLong);
                        }
                        self.state = match size {
                            0 => BodyState::Trailers,
                            size => BodyState::ChunkData(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buf.len() < MAX_LINE_BYTES => {
                        return Ok(false);
                    }
                    _ => return Err(HttpError::Malformed),
                },
                BodyState::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(false);
                    }
                    if buf.split_to(2) != b"\r\n"[..] {
                        return Err(HttpError::Malformed);
                    }
                    self.state = BodyState::ChunkSize;
                }
                BodyState::Trailers => {
                    let Some(end) = buf.windows(2).position(|w| w == b"\r\n") else {
                        let too_long = buf.len() > MAX_LINE_BYTES;
                        return if too_long { Err(HttpError::Malformed) } else { Ok(false) };
                    };
                    // Trailers concern one connection only and are dropped.
                    let _ = buf.split_to(end + 2);
                    if end == 0 {
                        self.state = BodyState::Done;
                    }
                }
            }
        }
    }

    /// Handles the end of the connection without a reset. Returns whether the body is complete.
    pub fn on_close(&mut self) -> bool {
        if self.state == BodyState::UntilClose {
            self.state = BodyState::Done;
        }
        self.state == BodyState::Done
    }

    /// Returns the bytes read so far.
    pub fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    fn collect(&mut self, buf: &mut BytesMut, n: usize) -> Result<(), HttpError> {
        if (self.body.len() + n) as u64 > self.limit {
            return Err(HttpError::BodyTooLong);
        }
        if self.body.capacity() == 0 && n == buf.len() {
            // A small body usually arrives at once; splitting the buffer avoids a copy.
            self.body = buf.split_to(n);
        } else {
            self.body.extend_from_slice(&buf.split_to(n));
        }
        Ok(())
    }
}

/// Appends the head of a request whose body has `length` bytes; `None` omits `Content-Length`. The names
/// and values of the headers must be valid, since they are not checked.
pub fn write_request<'a>(
    out: &mut BytesMut,
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    length: Option<usize>,
) {
    out.extend_from_slice(method.as_bytes());
    out.extend_from_slice(b" ");
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(out, headers, length);
}

/// Appends the head of a response whose body has `length` bytes; `None` omits `Content-Length`.
pub fn write_response<'a>(
    out: &mut BytesMut,
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    length: Option<usize>,
) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.to_string().as_bytes());
    out.extend_from_slice(b" ");
    out.extend_from_slice(reason_phrase(status).as_bytes());
    out.extend_from_slice(b"\r\n");
    write_headers(out, headers, length);
}

fn write_headers<'a>(
    out: &mut BytesMut,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    length: Option<usize>,
) {
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    if let Some(length) = length {
        out.extend_from_slice(b"Content-Length: ");
        out.extend_from_slice(length.to_string().as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    let code = http::StatusCode::from_u16(status).ok();
    code.and_then(|s| s.canonical_reason()).unwrap_or("Status")
}
