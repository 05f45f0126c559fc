//! Connections between the test and the node.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use super::{get_command, WAIT_LIMIT};

/// The test's end of a connection with the node, as a client, a cache server or discovery.
pub(crate) struct Peer {
    pub(crate) stream: TcpStream,
    /// Bytes received and not read yet.
    buffer: Vec<u8>,
    /// Whether a read found the connection reset. Bytes that the node sent before the reset may be lost.
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

    /// Sends bytes that the node may not take all, because it closes the connection.
    pub(crate) fn try_send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Reads a RESP2 command. None if the node has closed the connection.
    pub(crate) fn read_to_command(&mut self) -> Option<Vec<String>> {
        if self.buffer.is_empty() && !self.fill() {
            return None;
        }
        Some(self.read_command())
    }

    /// Sends a read of key `k1` in class `once` with a deadline of 20 s.
    pub(crate) fn send_get(&mut self, id: &str) {
        self.send(get_command("once", id, 20_000));
    }

    /// Reads up to `end`, and returns all including `end`.
    pub(crate) fn read_until(&mut self, end: &[u8]) -> Vec<u8> {
        self.try_read_until(end).unwrap_or_else(|| {
            panic!(
                "the connection ended within a message: {:?}",
                self.buffered_text()
            )
        })
    }

    /// Reads up to `end`, and returns all including `end`; None if the connection ends before.
    pub(crate) fn try_read_until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.windows(end.len()).position(|w| w == end) {
                return Some(self.buffer.drain(..at + end.len()).collect());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn read_exactly(&mut self, n: usize) -> Vec<u8> {
        while self.buffer.len() < n {
            assert!(self.fill(), "the connection ended within a value");
        }
        self.buffer.drain(..n).collect()
    }

    /// Receives into the buffer; returns false at the end of the stream or after a reset.
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
            // The kernel does not restart an interrupted read of a socket with a timeout.
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => self.fill(),
            Err(e) => panic!("no data from the node: {e}"),
        }
    }

    /// Whether bytes, or the end of the stream, can be read without waiting.
    pub(crate) fn has_data(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        !self.buffer.is_empty() || peeked.is_ok()
    }

    /// Returns the buffered bytes or, if there are none, the bytes of the next read.
    pub(crate) fn read_available(&mut self) -> Vec<u8> {
        assert!(
            !self.buffer.is_empty() || self.fill(),
            "the connection ended"
        );
        std::mem::take(&mut self.buffer)
    }

    /// Discards what can be read without waiting.
    pub(crate) fn read_available_now(&mut self) {
        self.buffer.clear();
        while self.has_data() {
            self.read_available();
        }
    }

    fn buffered_text(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }

    /// Reads a line and returns it without its CRLF.
    pub(crate) fn read_line(&mut self) -> String {
        let line = self.read_until(b"\r\n");
        String::from_utf8(line[..line.len() - 2].to_vec()).unwrap()
    }

    /// Reads a RESP2 bulk string.
    pub(crate) fn read_bulk(&mut self) -> Vec<u8> {
        let header = self.read_line();
        let len = header
            .strip_prefix('$')
            .unwrap_or_else(|| panic!("{header:?}"))
            .parse()
            .unwrap();
        let bytes = self.read_exactly(len);
        assert_eq!(self.read_exactly(2), b"\r\n");
        bytes
    }

    /// Reads a RESP2 command and returns its words.
    pub(crate) fn read_command(&mut self) -> Vec<String> {
        let header = self.read_line();
        let count = header
            .strip_prefix('*')
            .unwrap_or_else(|| panic!("{header:?}"))
            .parse()
            .unwrap();
        (0..count)
            .map(|_| String::from_utf8_lossy(&self.read_bulk()).into_owned())
            .collect()
    }

    /// Reads until the node closes its writing side or resets the connection; returns all that is buffered as text.
    pub(crate) fn read_to_end(&mut self) -> String {
        while self.fill() {}
        self.buffered_text()
    }

    /// Sends an HTTP response with this JSON body.
    pub(crate) fn send_http_json(&mut self, body: &Value) {
        let body = body.to_string();
        self.send(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Shuts the connection down in both directions. Closing the descriptor would not suffice while a process that another
    /// test is starting holds a copy of it: the node could then reuse the connection.
    pub(crate) fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Resets the connection, as happens when a process is killed.
    pub(crate) fn reset(self) {
        socket2::SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}
