//! The other end of a connection with the node: a client, a cache server or discovery.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use super::{get_command, WAIT_LIMIT};

/// The other end of a connection with the node: a client, a cache server or discovery.
pub(crate) struct Peer {
    pub(crate) stream: TcpStream,
    buffer: Vec<u8>,
    /// The connection was reset, which may have destroyed what was sent before.
    pub(crate) was_reset: bool,
}

impl Peer {
    pub(crate) fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.set_write_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer {
            stream,
            buffer: Vec::new(),
            was_reset: false,
        }
    }

    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }

    /// Requests key `k1` in class `once`.
    pub(crate) fn send_get(&mut self, id: &str) {
        self.send(get_command("once", id, 20_000));
    }

    /// Reads up to and including `end`.
    pub(crate) fn read_until(&mut self, end: &[u8]) -> Vec<u8> {
        loop {
            if let Some(at) = self.buffer.windows(end.len()).position(|w| w == end) {
                return self.buffer.drain(..at + end.len()).collect();
            }
            assert!(
                self.fill(),
                "the connection ended within a message: {:?}",
                self.buffered_text()
            );
        }
    }

    fn read_exactly(&mut self, n: usize) -> Vec<u8> {
        while self.buffer.len() < n {
            assert!(self.fill(), "the connection ended within a value");
        }
        self.buffer.drain(..n).collect()
    }

    fn fill(&mut self) -> bool {
        let mut bytes = [0; 65536];
        match self.stream.read(&mut bytes) {
            Ok(n) => {
                self.buffer.extend_from_slice(&bytes[..n]);
                n > 0
            }
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => {
                self.was_reset = true;
                false
            }
            // A read with a timeout is not restarted by the system.
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => self.fill(),
            Err(e) => panic!("nothing came: {e}"),
        }
    }

    /// Whether bytes, or the end of the stream, can be read without waiting.
    pub(crate) fn has_data(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let waits = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        !self.buffer.is_empty() || waits.is_ok()
    }

    /// What is buffered or, if nothing is, what the next read returns.
    pub(crate) fn read_available(&mut self) -> Vec<u8> {
        assert!(
            !self.buffer.is_empty() || self.fill(),
            "the connection ended"
        );
        std::mem::take(&mut self.buffer)
    }

    fn buffered_text(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }

    /// A line without its CRLF.
    pub(crate) fn read_line(&mut self) -> String {
        let line = self.read_until(b"\r\n");
        String::from_utf8(line[..line.len() - 2].to_vec()).unwrap()
    }

    /// A bulk string.
    pub(crate) fn read_bulk(&mut self) -> Vec<u8> {
        let head = self.read_line();
        let len = head
            .strip_prefix('$')
            .unwrap_or_else(|| panic!("{head:?}"))
            .parse()
            .unwrap();
        let bytes = self.read_exactly(len);
        assert_eq!(self.read_exactly(2), b"\r\n");
        bytes
    }

    /// A RESP2 command's words.
    pub(crate) fn read_command(&mut self) -> Vec<String> {
        let head = self.read_line();
        let count = head
            .strip_prefix('*')
            .unwrap_or_else(|| panic!("{head:?}"))
            .parse()
            .unwrap();
        (0..count)
            .map(|_| String::from_utf8_lossy(&self.read_bulk()).into_owned())
            .collect()
    }

    /// Reads until the other side has ended its sending.
    pub(crate) fn read_to_end(&mut self) -> String {
        while self.fill() {}
        self.buffered_text()
    }

    pub(crate) fn send_http_json(&mut self, body: &Value) {
        let body = body.to_string();
        self.send(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Closes the connection at once, even where a process that another test is just starting holds a copy of the
    /// descriptor: the node must not take it for a reusable one.
    pub(crate) fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Resets the connection, as the death of a process does.
    pub(crate) fn reset(self) {
        socket2::SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}
