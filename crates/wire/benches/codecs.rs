//! `cargo bench -p sloewick-wire`: what it costs to read a command, a reply, a list.

use bytes::BytesMut;
use divan::counter::BytesCount;
use divan::{black_box, Bencher};
use sloewick_wire::http;
use sloewick_wire::resp::{put_bulk, put_head, Budget, CommandReader, ReplyReader};

fn main() {
    divan::main();
}

fn command(value: usize) -> Vec<u8> {
    let fields = b"c=trace-read,t=distribution,d=387,k=5c0f6e1a2b3d4c59";
    let mut out = Vec::new();
    put_head(&mut out, b'*', 5);
    for word in [&b"C.SET"[..], b"logger/00417", b"7f3a9c21e0b4d655", fields, &vec![b'v'; value]] {
        put_bulk(&mut out, word);
    }
    out
}

#[divan::bench(args = [24, 4000, 60_000])]
fn read_a_command(bencher: Bencher, value: usize) {
    let bytes = command(value);
    bencher.counter(BytesCount::from(bytes.len())).bench_local(|| {
        let (mut reader, mut buf) = (CommandReader::default(), BytesMut::from(&bytes[..]));
        let read = reader.next(&mut buf, &mut Budget::new(1 << 20));
        assert!(read.is_ok_and(|command| command.is_some()));
    });
}

#[divan::bench(args = [200, 20_000])]
fn read_a_reply(bencher: Bencher, value: usize) {
    let mut bytes = Vec::new();
    put_head(&mut bytes, b'*', 3);
    put_bulk(&mut bytes, &vec![b'v'; value]);
    bytes.extend_from_slice(b"$3\r\nhit\r\n$-1\r\n");
    bencher.counter(BytesCount::from(bytes.len())).bench_local(|| {
        let (mut reader, mut buf) = (ReplyReader::default(), BytesMut::from(&bytes[..]));
        let read = reader.next(&mut buf);
        assert!(read.is_ok_and(|piece| piece.is_some()));
    });
}

#[divan::bench]
fn write_a_command(bencher: Bencher) {
    bencher.bench_local(|| black_box(command(24)));
}

#[divan::bench]
fn read_an_http_answer(bencher: Bencher) {
    let body = "x".repeat(10_000);
    let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    bencher.counter(BytesCount::from(bytes.len())).bench_local(|| {
        assert!(http::body(bytes.as_bytes(), false).is_ok_and(|body| body.is_some()));
    });
}
