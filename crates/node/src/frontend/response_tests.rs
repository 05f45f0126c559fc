use super::*;
use bytes::BytesMut;
use sloewick_codec::memcached::{DecodeEvent, ResponseReader};

/// Status, key and value of the encoded response; `None` if the protocol suppresses it.
fn response_to(opcode: Opcode, response: FinalResponse) -> Option<(u16, Vec<u8>, Vec<u8>)> {
    let protocol = RequestProtocol::Memcached { opcode, opaque: 77 };
    let chunks = protocol.encode(&Bytes::from_static(b"k"), response);
    let mut buf = BytesMut::new();
    for chunk in &chunks {
        buf.extend_from_slice(chunk);
    }
    let piece = ResponseReader::default().next(&mut buf, 1 << 20).unwrap()?;
    let DecodeEvent::Complete(r) = piece else {
        panic!("the response is streamed")
    };
    assert_eq!((r.opcode, r.opaque, buf.len()), (opcode as u8, 77, 0));
    Some((r.status, r.key.to_vec(), r.value.to_vec()))
}

#[test]
fn memcached_responses_match_the_specification() {
    let value = || FinalResponse::Value(Bytes::from_static(b"v"));
    assert_eq!(
        response_to(Opcode::Get, value()),
        Some((0, vec![], b"v".to_vec()))
    );
    assert_eq!(
        response_to(Opcode::GetQ, value()),
        Some((0, vec![], b"v".to_vec()))
    );
    assert_eq!(
        response_to(Opcode::GetKQ, value()),
        Some((0, b"k".to_vec(), b"v".to_vec()))
    );
    assert_eq!(
        response_to(Opcode::Set, value()),
        Some((0, vec![], vec![])),
        "the receipt of a write is not sent to the client"
    );
    assert_eq!(response_to(Opcode::SetQ, value()), None);
    assert_eq!(
        response_to(Opcode::Get, FinalResponse::NoValue).map(|t| t.0),
        Some(1)
    );
    assert_eq!(response_to(Opcode::GetKQ, FinalResponse::NoValue), None);
    for opcode in [Opcode::GetQ, Opcode::SetQ, Opcode::Get, Opcode::Set] {
        assert_eq!(
            response_to(opcode, FinalResponse::Failed).map(|t| t.0),
            Some(0x84),
            "quiet opcodes do not suppress errors"
        );
        let (status, _, text) = response_to(opcode, FinalResponse::Busy(119_001)).unwrap();
        assert_eq!(status, 0x85);
        assert_eq!(text, b"busy; nothing has run; try again after 120 ms");
        let (_, _, text) = response_to(opcode, FinalResponse::Busy(0)).unwrap();
        assert_eq!(text, b"busy; nothing has run; try again");
    }
}

#[test]
fn resp2_responses_match_the_protocol() {
    let response_to = |response: FinalResponse| -> Vec<u8> {
        RequestProtocol::Resp2
            .encode(&Bytes::new(), response)
            .concat()
    };
    assert_eq!(
        response_to(FinalResponse::Value(Bytes::from_static(b"v"))),
        b"$1\r\nv\r\n"
    );
    assert_eq!(
        response_to(FinalResponse::Value(vec![b'v'; 5_000].into())).len(),
        7 + 5_000 + 2
    );
    assert_eq!(response_to(FinalResponse::NoValue), b"$-1\r\n");
    assert_eq!(response_to(FinalResponse::Busy(1)), b"-BUSY 1\r\n");
    assert_eq!(response_to(FinalResponse::Busy(0)), b"-BUSY\r\n");
    assert_eq!(response_to(FinalResponse::Failed), b"-ERR failed\r\n");
}
