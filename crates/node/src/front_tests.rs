use super::*;
use bytes::BytesMut;
use sloewick_codec::memcached::{DecodeEvent, ResponseReader};

fn told(opcode: Opcode, end: Final) -> Option<(u16, Vec<u8>, Vec<u8>)> {
    let asked = Asked::Memcached { opcode, opaque: 77 };
    let chunks = asked.answer(&Bytes::from_static(b"k"), end);
    let mut buf = BytesMut::new();
    chunks.iter().for_each(|chunk| buf.extend_from_slice(chunk));
    let piece = ResponseReader::default().next(&mut buf, 1 << 20).unwrap()?;
    let DecodeEvent::Complete(r) = piece else {
        panic!("a long value")
    };
    assert_eq!((r.opcode, r.opaque, buf.len()), (opcode as u8, 77, 0));
    Some((r.status, r.key.to_vec(), r.value.to_vec()))
}

#[test]
fn answers_are_worded_as_the_specification_has_it() {
    let value = || Final::Value(Bytes::from_static(b"v"));
    assert_eq!(told(Opcode::Get, value()), Some((0, vec![], b"v".to_vec())));
    assert_eq!(
        told(Opcode::GetQ, value()),
        Some((0, vec![], b"v".to_vec()))
    );
    assert_eq!(
        told(Opcode::GetKQ, value()),
        Some((0, b"k".to_vec(), b"v".to_vec()))
    );
    assert_eq!(
        told(Opcode::Set, value()),
        Some((0, vec![], vec![])),
        "a receipt is not passed on"
    );
    assert_eq!(told(Opcode::SetQ, value()), None);
    assert_eq!(told(Opcode::Get, Final::NoValue).map(|t| t.0), Some(1));
    assert_eq!(told(Opcode::GetKQ, Final::NoValue), None);
    for opcode in [Opcode::GetQ, Opcode::SetQ, Opcode::Get, Opcode::Set] {
        assert_eq!(
            told(opcode, Final::Failed).map(|t| t.0),
            Some(0x84),
            "an error speaks"
        );
        let (status, _, text) = told(opcode, Final::Busy(119_001)).unwrap();
        assert_eq!(status, 0x85);
        assert_eq!(text, b"busy; nothing has run; try again after 120 ms");
        let (_, _, text) = told(opcode, Final::Busy(0)).unwrap();
        assert_eq!(text, b"busy; nothing has run; try again");
    }
}

#[test]
fn resp2_answers_are_worded_as_the_protocol_has_it() {
    let told = |end: Final| -> Vec<u8> { Asked::Resp.answer(&Bytes::new(), end).concat() };
    assert_eq!(told(Final::Value(Bytes::from_static(b"v"))), b"$1\r\nv\r\n");
    assert_eq!(
        told(Final::Value(vec![b'v'; 5_000].into())).len(),
        7 + 5_000 + 2
    );
    assert_eq!(told(Final::NoValue), b"$-1\r\n");
    assert_eq!(told(Final::Busy(1)), b"-BUSY 1\r\n");
    assert_eq!(told(Final::Busy(0)), b"-BUSY\r\n");
    assert_eq!(told(Final::Failed), b"-ERR failed\r\n");
}
