//! Benchmarks of decoding and encoding RESP2 commands and replies, memcached packets and HTTP responses. Run with
//! `cargo bench -p sloewick-codec`.

use bytes::{Bytes, BytesMut};
use divan::counter::BytesCount;
use divan::{black_box, Bencher};
use sloewick_codec::http1;
use sloewick_codec::memcached::{self, Opcode, RequestReader, ResponseReader};
use sloewick_codec::resp2::{write_bulk, write_header, ByteBudget, CommandReader, ReplyReader};

fn main() {
    divan::main();
}

/// A `C.SET` command with a value of `value_len` bytes.
fn command(value_len: usize) -> Vec<u8> {
    let fields = b"c=trace-read,t=distribution,d=387,k=5c0f6e1a2b3d4c59";
    let mut out = Vec::new();
    write_header(&mut out, b'*', 5);
    for word in [
        &b"C.SET"[..],
        b"logger/00417",
        b"7f3a9c21e0b4d655",
        fields,
        &vec![b'v'; value_len],
    ] {
        write_bulk(&mut out, word);
    }
    out
}

#[divan::bench(args = [24, 4000, 60_000])]
fn read_a_command(bencher: Bencher<'_, '_>, value_len: usize) {
    let bytes = command(value_len);
    bencher
        .counter(BytesCount::from(bytes.len()))
        .bench_local(|| {
            let (mut reader, mut buf) = (CommandReader::default(), BytesMut::from(&bytes[..]));
            let read = reader.next(&mut buf, &mut ByteBudget::new(1 << 20));
            assert!(read.is_ok_and(|command| command.is_some()));
        });
}

#[divan::bench(args = [200, 20_000])]
fn read_a_reply(bencher: Bencher<'_, '_>, value_len: usize) {
    let mut bytes = Vec::new();
    write_header(&mut bytes, b'*', 3);
    write_bulk(&mut bytes, &vec![b'v'; value_len]);
    bytes.extend_from_slice(b"$3\r\nhit\r\n$-1\r\n");
    bencher
        .counter(BytesCount::from(bytes.len()))
        .bench_local(|| {
            let (mut reader, mut buf) = (ReplyReader::default(), BytesMut::from(&bytes[..]));
            let read = reader.next(&mut buf);
            assert!(read.is_ok_and(|event| event.is_some()));
        });
}

/// A memcached `Get` request of `len` bytes in total.
fn get(len: usize) -> Vec<u8> {
    let mut out = Vec::new();
    let key = vec![b'k'; len - memcached::HEADER_BYTES].into();
    let opcode = Opcode::Get as u8;
    memcached::write_request(
        &mut out,
        &memcached::Request {
            opcode,
            opaque: 7,
            key,
            ..memcached::Request::default()
        },
    );
    out
}

/// Decodes sixteen pipelined requests in one buffer; copying them into the buffer is not measured.
#[divan::bench(args = [40, 100, 200])]
fn read_16_memcached_gets(bencher: Bencher<'_, '_>, len: usize) {
    let bytes = get(len).repeat(16);
    let input = || {
        (
            RequestReader::default(),
            BytesMut::from(&bytes[..]),
            ByteBudget::new(0),
        )
    };
    bencher
        .counter(BytesCount::from(bytes.len()))
        .with_inputs(input)
        .bench_local_refs(|(reader, buf, budget)| {
            for _ in 0..16 {
                let request = reader.next(buf, budget, 1 << 20);
                assert!(
                    black_box(request).is_ok_and(|r| r.is_some_and(|r| r.error_status.is_none()))
                );
            }
        });
}

#[divan::bench(args = [200, 20_000])]
fn read_a_memcached_answer(bencher: Bencher<'_, '_>, value_len: usize) {
    let mut bytes = Vec::new();
    memcached::write_response(
        &mut bytes,
        &memcached::Response {
            opcode: Opcode::Get as u8,
            status: 0,
            opaque: 7,
            cas: 0,
            extras: vec![0; 4].into(),
            key: Bytes::new(),
            value: vec![b'v'; value_len].into(),
        },
    );
    bencher
        .counter(BytesCount::from(bytes.len()))
        .bench_local(|| {
            let (mut reader, mut buf) = (ResponseReader::default(), BytesMut::from(&bytes[..]));
            assert!(reader
                .next(&mut buf, 1 << 20)
                .is_ok_and(|event| event.is_some()));
        });
}

#[divan::bench]
fn write_a_command(bencher: Bencher<'_, '_>) {
    bencher.bench_local(|| black_box(command(24)));
}

#[divan::bench]
fn read_an_http_answer(bencher: Bencher<'_, '_>) {
    let body = "x".repeat(10_000);
    let bytes = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    bencher
        .counter(BytesCount::from(bytes.len()))
        .bench_local(|| {
            assert!(http1::response_body(bytes.as_bytes(), false).is_ok_and(|body| body.is_some()));
        });
}
