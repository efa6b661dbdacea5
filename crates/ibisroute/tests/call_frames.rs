//! Encoding of the heads of calls and replies on the streams between nodes.

use bytes::BytesMut;
use ibisroute::peers::frame::decode_head;
use ibisroute::peers::frame::encode_head;
use ibisroute::wire::CallHead;
use ibisroute::wire::LoadWire;
use ibisroute::wire::RefusalWire;
use ibisroute::wire::ReplyHead;
use quickcheck::QuickCheck;

/// Guards against a decoder that panics on bytes that are not a head, or that asks for more bytes
/// although the announced length has arrived.
#[test]
fn arbitrary_bytes_do_not_stall_decoder() {
    fn property(bytes: Vec<u8>, length: u32) -> bool {
        let mut framed = BytesMut::from(&length.to_le_bytes()[..]);
        framed.extend_from_slice(&bytes);
        let is_complete = bytes.len() >= length as usize;
        let mut unframed = BytesMut::from(&bytes[..]);
        let _ = decode_head::<ReplyHead>(&mut unframed);
        let decoded = decode_head::<CallHead>(&mut framed);
        !(is_complete && matches!(decoded, Ok(None)))
    }
    let near_length = |bytes: Vec<u8>, length: u32| {
        let length_bound = bytes.len() as u32 + 2;
        property(bytes, length % length_bound)
    };
    QuickCheck::new().tests(1_000).quickcheck(property as fn(Vec<u8>, u32) -> bool);
    QuickCheck::new().tests(1_000).quickcheck(near_length as fn(Vec<u8>, u32) -> bool);
}

/// Guards against heads that decode to other values than were encoded, against incomplete heads that
/// decode, and against body bytes that are lost after a head.
#[test]
fn heads_round_trip() {
    fn property(
        path: String,
        header_value: Vec<u8>,
        body: Vec<u8>,
        number: u64,
        truncate_at: usize,
    ) -> bool {
        let call = CallHead {
            request_id: "id".into(),
            entry: "sheets".into(),
            config_version: number,
            instance: "t1".into(),
            deadline_ms: number,
            depth: 3,
            method: "GET".into(),
            path,
            headers: vec![("x".into(), header_value)],
            body_bytes: Some(number),
            new_connection: number.is_multiple_of(2),
        };
        let reply = ReplyHead::Refused {
            request_id: "id".into(),
            reason: RefusalWire::Draining,
            load: LoadWire { in_flight: 1, queued: 2, slots: 3 },
        };
        let mut buf = encode_head(&call).expect("encoded");
        let mut partial = BytesMut::from(&buf[..truncate_at % buf.len()]);
        let is_incomplete = decode_head::<CallHead>(&mut partial) == Ok(None);
        buf.extend_from_slice(&body);
        let call_decoded = decode_head(&mut buf) == Ok(Some(call)) && buf[..] == body[..];
        let mut buf = encode_head(&reply).expect("encoded");
        is_incomplete && call_decoded && decode_head(&mut buf) == Ok(Some(reply)) && buf.is_empty()
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(String, Vec<u8>, Vec<u8>, u64, usize) -> bool);
}
