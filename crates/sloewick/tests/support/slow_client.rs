//! A client that reads its responses slowly, with rests, and tells how each response ended.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::{Pace, WAIT_LIMIT};

/// How a client reads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    pub(crate) pace: Pace,
    /// After how many bytes, each time, the client rests.
    pub(crate) rest_after: usize,
    pub(crate) rest: Duration,
    /// How often it rests.
    pub(crate) rests: u32,
}

impl Reading {
    pub(crate) const AT_ONCE: Reading = Reading {
        pace: Pace::UNLIMITED,
        rest_after: 0,
        rest: Duration::ZERO,
        rests: 0,
    };

    pub(crate) fn paced(pace: Pace) -> Reading {
        Reading {
            pace,
            ..Reading::AT_ONCE
        }
    }

    /// The same with a rest after so many bytes.
    pub(crate) fn with_rest(self, rest_after: usize, rest: Duration) -> Reading {
        self.with_rests(rest_after, rest, 1)
    }

    /// The same with several rests, each after so many further bytes.
    pub(crate) fn with_rests(self, rest_after: usize, rest: Duration, rests: u32) -> Reading {
        Reading {
            rest_after,
            rest,
            rests,
            ..self
        }
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Response {
    /// A complete value of this length.
    Value(usize),
    /// A line that is no value.
    Line(String),
    /// The connection ended after so many bytes of a response.
    Ended(usize),
}

impl Response {
    /// Whether the response is complete.
    pub(crate) fn is_final(&self) -> bool {
        !matches!(self, Response::Ended(_))
    }
}

/// The client's end of a connection to a node.
pub(crate) struct SlowClient {
    pub(crate) stream: TcpStream,
    /// Bytes that were read and belong to the next response.
    buffer: Vec<u8>,
    reading: Reading,
    received: usize,
    /// After how many bytes it rests next.
    rest_at: usize,
}

impl SlowClient {
    pub(crate) fn connect(node: SocketAddr, reading: Reading) -> SlowClient {
        let stream = TcpStream::connect(node).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        SlowClient {
            stream,
            buffer: Vec::new(),
            reading,
            received: 0,
            rest_at: reading.rest_after,
        }
    }

    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }

    /// Reads the next response.
    pub(crate) fn read_response(&mut self) -> Response {
        let header_end = loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                break end + 2;
            }
            if !self.fill() {
                return Response::Ended(self.buffer.len());
            }
        };
        let header = String::from_utf8_lossy(&self.buffer[..header_end - 2]).into_owned();
        self.buffer.drain(..header_end);
        let Some(len) = header.strip_prefix('$').and_then(|len| len.parse().ok()) else {
            return Response::Line(header);
        };
        let mut missing: usize = len + 2;
        loop {
            let taken = missing.min(self.buffer.len());
            self.buffer.drain(..taken);
            missing -= taken;
            if missing == 0 {
                return Response::Value(len);
            }
            if !self.fill() {
                return Response::Ended(header_end + len + 2 - missing);
            }
        }
    }

    /// Reads this many responses, or up to the end of the connection.
    pub(crate) fn read_responses(&mut self, count: usize) -> Vec<Response> {
        (0..count).map(|_| self.read_response()).collect()
    }

    /// Reads once. Returns false at the end of the connection.
    fn fill(&mut self) -> bool {
        let mut bytes = vec![0; self.reading.pace.bytes];
        let n = self.stream.read(&mut bytes).unwrap_or(0);
        self.buffer.extend_from_slice(&bytes[..n]);
        self.received += n;
        // As slow as the bytes that came, however they were cut.
        let fraction = n as f64 / self.reading.pace.bytes as f64;
        std::thread::sleep(self.reading.pace.pause.mul_f64(fraction));
        if self.reading.rests > 0 && self.received >= self.rest_at {
            self.reading.rests -= 1;
            self.rest_at = self.received + self.reading.rest_after;
            std::thread::sleep(self.reading.rest);
        }
        n > 0
    }
}
