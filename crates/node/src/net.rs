//! What all connections share: reading, queued writing, and the log.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};

use bytes::{Bytes, BytesMut};
use mio::net::TcpStream;

/// Bytes taken by one read; also the part of a long value that is under way at a time.
pub const READ_MOST: usize = 64 << 10;
/// Chunks given to the kernel in one call.
const CHUNKS: usize = 16;
/// Longest log line; a pipe that is ready takes this much without blocking (PIPE_BUF is 4,096).
const LOG_LINE_MOST: usize = 400;

/// What a read brought.
#[derive(Debug, PartialEq)]
pub enum Read1 {
    /// Bytes, and the socket may hold more.
    More,
    /// Bytes, and the socket is empty.
    Some,
    Empty,
    /// The peer has ended its sending, or the connection broke.
    Ended,
}

/// One read into `buf` by way of the shared scratch space, so that idle connections hold no buffer.
pub fn fill(stream: &mut TcpStream, buf: &mut BytesMut, scratch: &mut [u8]) -> Read1 {
    loop {
        match stream.read(scratch) {
            Ok(0) => return Read1::Ended,
            Ok(n) => {
                buf.extend_from_slice(&scratch[..n]);
                return if n == scratch.len() { Read1::More } else { Read1::Some };
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Read1::Empty,
            Err(_) => return Read1::Ended,
        }
    }
}

/// Bytes on their way out.
#[derive(Default)]
pub struct Outbox {
    chunks: VecDeque<Bytes>,
    len: usize,
}

impl Outbox {
    pub fn push(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.len += bytes.len();
            self.chunks.push_back(bytes);
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Writes what the kernel takes now; tells how much.
    pub fn flush(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        let mut written = 0;
        while self.len > 0 {
            let mut slices = [IoSlice::new(&[]); CHUNKS];
            for (slice, chunk) in slices.iter_mut().zip(&self.chunks) {
                *slice = IoSlice::new(chunk);
            }
            match stream.write_vectored(&slices[..self.chunks.len().min(CHUNKS)]) {
                Ok(n) => {
                    written += n;
                    self.took(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(written)
    }

    fn took(&mut self, mut n: usize) {
        self.len -= n;
        while let Some(front) = self.chunks.front_mut() {
            if n < front.len() {
                let _ = front.split_to(n);
                return;
            }
            n -= front.len();
            self.chunks.pop_front();
        }
    }
}

/// Lines on standard error, a bounded number a second.
///
/// Guards against a reader of the log that stops reading: a line that the pipe has no room for is dropped,
/// since a write that blocks would hold up every request.
#[derive(Default)]
pub struct Log {
    second: i64,
    lines: u32,
}

/// Enough to see what happens, too few to cost anything when a peer provokes a line with each reply.
const LOG_LINES_A_SECOND: u32 = 20;

impl Log {
    pub fn new() -> Log {
        Log::default()
    }

    pub fn line(&mut self, now: i64, text: &str) {
        let second = now / 1_000_000;
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        self.lines += 1;
        if self.lines > LOG_LINES_A_SECOND {
            return;
        }
        let mut line: String = text.chars().filter(|c| !c.is_control()).take(LOG_LINE_MOST / 4).collect();
        line.push('\n');
        let stderr = io::stderr();
        let mut ready = [rustix::event::PollFd::new(&stderr, rustix::event::PollFlags::OUT)];
        let at_once = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        let polled = rustix::event::poll(&mut ready, Some(&at_once));
        if polled.is_ok_and(|n| n > 0) && ready[0].revents().contains(rustix::event::PollFlags::OUT) {
            let _ = stderr.lock().write_all(line.as_bytes());
        }
    }
}
