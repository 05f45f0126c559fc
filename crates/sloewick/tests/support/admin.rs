//! Requests to the node's admin interface.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::{Peer, WAIT_LIMIT};

const READY_REQUEST: &str = "GET /api/ready HTTP/1.1\r\nHost: n1\r\n\r\n";
const STATUS_OK: &str = "HTTP/1.1 200 ";

/// Waits until the node listens, sends a request and returns the status and body of the response.
pub(crate) fn admin_request(admin: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let started = Instant::now();
    let mut stream = loop {
        match TcpStream::connect(admin) {
            Ok(stream) => break stream,
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "the admin interface does not listen"
        );
    };
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
        .write_all(format!("{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes())
        .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (header, body) = text.split_once("\r\n\r\n").unwrap();
    (
        header.split(' ').nth(1).unwrap().parse().unwrap(),
        body.to_string(),
    )
}

/// Waits until the node listens and returns whether it reports that it is ready.
pub(crate) fn is_ready(admin: SocketAddr) -> bool {
    admin_request(admin, "GET", "/api/ready").0 == 200
}

/// Whether a node listens at this moment and reports that it is ready.
pub(crate) fn listens_and_is_ready(admin: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(admin) else {
        return false;
    };
    let mut client = Peer::new(stream);
    client.send(READY_REQUEST);
    client.read_to_end().starts_with(STATUS_OK)
}

/// Whether a process that was signalled to stop no longer reports that it is ready. True also if the process ends before
/// or during the request.
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

/// The value of this metric in the node's telemetry; panics if it is missing.
pub(crate) fn metric(admin: SocketAddr, name: &str) -> u64 {
    let text = admin_request(admin, "GET", "/api/telemetry").1;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name}=")));
    line.unwrap_or_else(|| panic!("{name} in {text}"))
        .parse()
        .unwrap()
}
