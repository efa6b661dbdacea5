//! HTTP/1.1 framing: smuggled, truncated or extra bytes must not be accepted as a message.

use bytes::BytesMut;
use ibisroute::mesh::http1;
use ibisroute::mesh::http1::BodyReader;
use ibisroute::mesh::http1::Framing;
use ibisroute::mesh::http1::HttpError;
use quickcheck::QuickCheck;

const LIMIT: usize = 4096;

fn parse_request(head: &str) -> Result<Option<(http1::RequestHead, usize)>, HttpError> {
    http1::parse_request(head.as_bytes(), LIMIT)
}

/// Guards against requests smuggled by ambiguous framing, or by an unknown transfer coding.
#[test]
fn ambiguous_framing_is_rejected() {
    for framing in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: \r\n",
        "Content-Length: 5, 5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Content-Length : 5\r\n",
        "Host: b\r\n",
    ] {
        let head = format!("POST /a/ HTTP/1.1\r\nHost: a\r\n{framing}\r\n");
        assert_eq!(parse_request(&head), Err(HttpError::Malformed), "{framing:?}");
    }
    assert_eq!(
        parse_request("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n"),
        Err(HttpError::Malformed)
    );
    assert_eq!(parse_request("GET /a/ HTTP/1.1\r\n\r\n"), Err(HttpError::Malformed));
}

/// Guards against valid requests that are rejected or framed wrongly, and against heads that are accepted
/// although they are incomplete or too long.
#[test]
fn valid_request_heads_are_parsed() {
    let text = "GET /a/b?c=d HTTP/1.1\r\nHost: a\r\nX: 1\r\n\r\nrest";
    let (head, head_bytes) =
        parse_request(text).expect("a valid request").expect("a complete head");
    assert_eq!((head.method.as_str(), head.target.as_str()), ("GET", "/a/b?c=d"));
    assert_eq!((head.framing, head.keep_alive), (Framing::Empty, true));
    assert_eq!(&text[head_bytes..], "rest");
    let (head, _) = parse_request(
        "POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\nConnection: close\r\n\r\n",
    )
    .expect("a valid request")
    .expect("a complete head");
    assert_eq!((head.framing, head.keep_alive), (Framing::Chunked, false));
    assert_eq!(parse_request("GET /a/ HTTP/1.1\r\nHost"), Ok(None));
    let oversized = format!("GET /a/ HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(LIMIT));
    assert_eq!(parse_request(&oversized), Err(HttpError::HeadTooLong));
}

/// Guards against forwarding hop-by-hop headers and those that `Connection` names to the target.
#[test]
fn hop_by_hop_headers_are_removed() {
    let head = "GET /a/ HTTP/1.1\r\nHost: a\r\nConnection: X-Own, keep-alive\r\nX-Own: 1\r\nKeep-Alive: 5\r\nX-End: 2\r\nTE: trailers\r\n\r\n";
    let (head, _) = parse_request(head).expect("a valid request").expect("a complete head");
    let names: Vec<&str> = head.headers.end_to_end().map(|(n, _)| n.as_str()).collect();
    assert_eq!(names, ["Host", "X-End"]);
}

/// Decodes a body that arrives in fragments of `fragment_bytes`. Returns whether it is complete, the
/// body, and the number of bytes that were not consumed.
fn read_all(
    framing: Framing,
    bytes: &[u8],
    fragment_bytes: usize,
) -> Result<(bool, Vec<u8>, usize), HttpError> {
    let mut reader = BodyReader::new(framing, 1_000)?;
    let mut buf = BytesMut::new();
    let mut complete = reader.consume(&mut buf)?;
    for fragment in bytes.chunks(fragment_bytes.max(1)) {
        buf.extend_from_slice(fragment);
        if !complete {
            complete = reader.consume(&mut buf)?;
        }
    }
    Ok((complete, reader.into_body().to_vec(), buf.len()))
}

/// Guards against a decoded body that depends on how its bytes are split, and against a reader that
/// consumes bytes after the body.
#[test]
fn chunked_body_decodes_from_any_fragments() {
    let wire = b"5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: 1\r\n\r\nGET";
    for fragment_bytes in 1..wire.len() {
        let read = read_all(Framing::Chunked, wire, fragment_bytes);
        assert_eq!(
            read,
            Ok((true, b"hello world".to_vec(), 3)),
            "fragments of {fragment_bytes} bytes"
        );
    }
}

/// Guards against malformed chunks, and bodies above the limit, that are accepted.
#[test]
fn malformed_chunks_and_long_bodies_are_rejected() {
    for wire in [&b"5\r\nhelloX\r\n"[..], b"zz\r\n", b"-1\r\n", b"fffffffff\r\n"] {
        assert!(read_all(Framing::Chunked, wire, 3).is_err(), "{wire:?}");
    }
    assert_eq!(read_all(Framing::Length(1_001), b"", 1), Err(HttpError::BodyTooLong));
}

/// Guards against a truncated body that counts as complete.
#[test]
fn truncated_body_is_incomplete() {
    let mut reader = BodyReader::new(Framing::Length(10), 100).expect("short enough");
    let mut buf = BytesMut::from(&b"12345"[..]);
    assert_eq!(reader.consume(&mut buf), Ok(false));
    assert!(!reader.on_close());
    let mut reader = BodyReader::new(Framing::Close, 100).expect("short enough");
    let mut buf = BytesMut::from(&b"12345"[..]);
    assert_eq!(reader.consume(&mut buf), Ok(false));
    assert!(reader.on_close());
}

/// Guards against a panic on arbitrary bytes from callers or targets.
#[test]
fn arbitrary_bytes_cause_no_panic() {
    fn parses_without_panic(bytes: Vec<u8>) -> bool {
        let _ = http1::parse_request(&bytes, LIMIT);
        let _ = http1::parse_response(&bytes, "GET", LIMIT);
        let _ = read_all(Framing::Chunked, &bytes, 3);
        true
    }
    QuickCheck::new().tests(2_000).quickcheck(parses_without_panic as fn(Vec<u8>) -> bool);
}

/// Guards against accepting responses with both a length and chunks, and against responses without a
/// body that are read until the connection closes.
#[test]
fn framing_of_responses_is_determined() {
    let parse = |text: &str, method: &str| {
        http1::parse_response(text.as_bytes(), method, LIMIT).map(|p| p.map(|(h, _)| h.framing))
    };
    assert_eq!(
        parse("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "GET"),
        Ok(Some(Framing::Length(3)))
    );
    assert_eq!(
        parse("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD"),
        Ok(Some(Framing::Empty))
    );
    assert_eq!(parse("HTTP/1.1 204 No\r\n\r\n", "GET"), Ok(Some(Framing::Empty)));
    assert_eq!(parse("HTTP/1.1 200 OK\r\n\r\n", "GET"), Ok(Some(Framing::Close)));
    let length_and_chunks =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse(length_and_chunks, "GET"), Err(HttpError::Malformed));
}
