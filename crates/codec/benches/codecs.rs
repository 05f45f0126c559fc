//! `cargo bench -p sloewick-codec`: what it costs to read a command, a reply, a list.

use bytes::BytesMut;
use divan::counter::BytesCount;
use divan::{black_box, Bencher};
use sloewick_codec::http1;
use sloewick_codec::memcached::{self, Opcode, RequestReader, ResponseReader};
use sloewick_codec::resp2::{write_bulk, write_header, Budget, CommandReader, ReplyReader};

fn main() {
    divan::main();
}

fn command(value: usize) -> Vec<u8> {
    let fields = b"c=trace-read,t=distribution,d=387,k=5c0f6e1a2b3d4c59";
    let mut out = Vec::new();
    write_header(&mut out, b'*', 5);
    for word in [
        &b"C.SET"[..],
        b"logger/00417",
        b"7f3a9c21e0b4d655",
        fields,
        &vec![b'v'; value],
    ] {
        write_bulk(&mut out, word);
    }
    out
}

#[divan::bench(args = [24, 4000, 60_000])]
fn read_a_command(bencher: Bencher, value: usize) {
    let bytes = command(value);
    bencher
        .counter(BytesCount::from(bytes.len()))
        .bench_local(|| {
            let (mut reader, mut buf) = (CommandReader::default(), BytesMut::from(&bytes[..]));
            let read = reader.next(&mut buf, &mut Budget::new(1 << 20));
            assert!(read.is_ok_and(|command| command.is_some()));
        });
}

#[divan::bench(args = [200, 20_000])]
fn read_a_reply(bencher: Bencher, value: usize) {
    let mut bytes = Vec::new();
    write_header(&mut bytes, b'*', 3);
    write_bulk(&mut bytes, &vec![b'v'; value]);
    bytes.extend_from_slice(b"$3\r\nhit\r\n$-1\r\n");
    bencher
        .counter(BytesCount::from(bytes.len()))
        .bench_local(|| {
            let (mut reader, mut buf) = (ReplyReader::default(), BytesMut::from(&bytes[..]));
            let read = reader.next(&mut buf);
            assert!(read.is_ok_and(|piece| piece.is_some()));
        });
}

/// A packet of this many bytes in all.
fn get(len: usize) -> Vec<u8> {
    let mut out = Vec::new();
    let key = vec![b'k'; len - memcached::HEADER].into();
    let opcode = Opcode::Get as u8;
    memcached::write_request(
        &mut out,
        &memcached::Request {
            opcode,
            opaque: 7,
            key,
            ..Default::default()
        },
    );
    out
}

/// Sixteen at once, as they come from a pipeline: what copying them in costs is not counted.
#[divan::bench(args = [40, 100, 200])]
fn read_16_memcached_gets(bencher: Bencher, len: usize) {
    let bytes = get(len).repeat(16);
    let input = || {
        (
            RequestReader::default(),
            BytesMut::from(&bytes[..]),
            Budget::new(0),
        )
    };
    bencher
        .counter(BytesCount::from(bytes.len()))
        .with_inputs(input)
        .bench_local_refs(|(reader, buf, budget)| {
            for _ in 0..16 {
                let request = reader.next(buf, budget, 1 << 20);
                assert!(black_box(request).is_ok_and(|r| r.is_some_and(|r| r.fault.is_none())));
            }
        });
}

#[divan::bench(args = [200, 20_000])]
fn read_a_memcached_answer(bencher: Bencher, value: usize) {
    let mut bytes = Vec::new();
    memcached::write_response(
        &mut bytes,
        &memcached::Response {
            opcode: Opcode::Get as u8,
            status: 0,
            opaque: 7,
            cas: 0,
            extras: vec![0; 4].into(),
            key: Default::default(),
            value: vec![b'v'; value].into(),
        },
    );
    bencher
        .counter(BytesCount::from(bytes.len()))
        .bench_local(|| {
            let (mut reader, mut buf) = (ResponseReader::default(), BytesMut::from(&bytes[..]));
            assert!(reader
                .next(&mut buf, 1 << 20)
                .is_ok_and(|piece| piece.is_some()));
        });
}

#[divan::bench]
fn write_a_command(bencher: Bencher) {
    bencher.bench_local(|| black_box(command(24)));
}

#[divan::bench]
fn read_an_http_answer(bencher: Bencher) {
    let body = "x".repeat(10_000);
    let bytes = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    bencher
        .counter(BytesCount::from(bytes.len()))
        .bench_local(|| {
            assert!(http1::body(bytes.as_bytes(), false).is_ok_and(|body| body.is_some()));
        });
}
