//! Client of the node's admin interface.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::{Peer, WAIT_LIMIT};

const READY_REQUEST: &str = "GET /api/ready HTTP/1.1\r\nHost: n1\r\n\r\n";
const STATUS_OK: &str = "HTTP/1.1 200 ";

/// Sends a request, as soon as the node listens; status and body of the response.
pub(crate) fn admin_request(admin: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let begun = Instant::now();
    let mut stream = loop {
        match TcpStream::connect(admin) {
            Ok(stream) => break stream,
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
        assert!(begun.elapsed() < WAIT_LIMIT, "nobody takes calls");
    };
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
        .write_all(format!("{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes())
        .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    (
        head.split(' ').nth(1).unwrap().parse().unwrap(),
        body.to_string(),
    )
}

/// Whether a node that runs, or is about to listen, is ready.
pub(crate) fn is_ready(admin: SocketAddr) -> bool {
    admin_request(admin, "GET", "/api/ready").0 == 200
}

/// Whether somebody listens now and is ready.
pub(crate) fn listens_and_is_ready(admin: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(admin) else {
        return false;
    };
    let mut client = Peer::new(stream);
    client.send(READY_REQUEST);
    client.read_to_end().starts_with(STATUS_OK)
}

/// Whether a process that was signalled to stop says so, or has ended, at any moment of the request.
pub(crate) fn is_stopping(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(admin) else {
        return true;
    };
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut text = String::new();
    let _ = stream.write_all(READY_REQUEST.as_bytes());
    let _ = stream.read_to_string(&mut text);
    !text.starts_with(STATUS_OK)
}

/// The value of a metric.
pub(crate) fn metric(admin: SocketAddr, name: &str) -> u64 {
    let text = admin_request(admin, "GET", "/api/telemetry").1;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name}=")));
    line.unwrap_or_else(|| panic!("{name} in {text}"))
        .parse()
        .unwrap()
}
