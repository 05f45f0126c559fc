//! The seam to sockets, clock and polling, and what all connections share above it: reading, queued writing,
//! and the log.
//!
//! Whatever serves over a [`Transport`] does so on real sockets ([`crate::mio_transport::MioTransport`]) and on a virtual network alike.
//! Readiness is edge-triggered: an event says that something has come since the last one, and what is not
//! taken then is not told again.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use sloewick_decision::api::Micros;

/// Which connection or listener an event is about; chosen by whoever opened it.
pub type Token = usize;
/// Events that [`Transport`] gives of itself: signals came.
pub const SIGNALS: Token = 1;

/// What has happened on a connection or listener since the last event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadyEvent {
    pub token: Token,
    pub readable: bool,
    pub writable: bool,
    /// The peer has ended its sending, or the connection broke.
    pub read_closed: bool,
    pub error: bool,
}

/// What the process was told by signals since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PendingSignals {
    /// Take up the configuration anew.
    pub reload: bool,
    /// End, with what is held answered.
    pub stop: bool,
}

/// What became of a snapshot that was to be kept.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotSave {
    /// There is no place for it.
    Nowhere,
    /// It is being written.
    Begun,
    /// The one before is still being written; this one is dropped.
    Busy,
    /// It is being written, but an earlier one could not be, for this reason.
    Failed(String),
}

/// A TCP connection that never blocks: where it would, calls fail with [`ErrorKind::WouldBlock`]. Dropping it
/// closes it.
pub trait Stream {
    /// Bytes from the peer; 0: it has ended its sending.
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize>;
    /// Gives bytes to the kernel; how many it took.
    fn write(&mut self, chunks: &[IoSlice]) -> io::Result<usize>;
    /// Nothing has come that was not read, and the peer has not ended its sending.
    fn quiet(&self) -> bool;
    /// The error that broke it, once; an error in turn if it is no connection any more.
    fn take_error(&self) -> io::Result<Option<io::Error>>;
    /// Whether an opening connection is up. [`ErrorKind::NotConnected`]: not yet.
    fn connected(&self) -> io::Result<()>;
    /// Ends this side's sending.
    fn end(&mut self) -> io::Result<()>;
    /// Bounds what the kernel keeps for a peer that does not read.
    fn bound_sending(&mut self, bytes: usize);
}

/// The only way to sockets, clock and polling.
pub trait Transport {
    type Stream: Stream;
    type Listener;
    /// Time since this process began.
    fn now(&self) -> Micros;
    /// Unix time at that beginning, read once.
    fn unix_time_at_start(&self) -> Micros;
    fn listen(&mut self, at: SocketAddr, token: Token) -> io::Result<Self::Listener>;
    /// Listens on a socket that this process was started with, by its descriptor.
    ///
    /// # Errors
    /// It is none, or does not listen; [`ErrorKind::Unsupported`] where processes inherit nothing.
    fn inherit(&mut self, _fd: i32, _token: Token) -> io::Result<Self::Listener> {
        Err(ErrorKind::Unsupported.into())
    }
    /// The next connection that waits, if `token`'s event said so.
    fn accept(&mut self, listener: &mut Self::Listener, token: Token) -> io::Result<Self::Stream>;
    /// Begins to open a connection.
    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<Self::Stream>;
    /// Waits until something happens or the time is over (at once for 0); `ready` is emptied first.
    fn poll(&mut self, ready: &mut Vec<ReadyEvent>, wait: Micros) -> io::Result<()>;
    /// A line of the trace. Where none is kept it goes nowhere.
    fn trace(&mut self, _line: &str) {}
    fn told(&mut self) -> PendingSignals;
    /// What a process of this node kept for the next one; none where nothing is kept.
    ///
    /// # Errors
    /// It is there and cannot be read.
    fn kept(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(None)
    }
    /// Keeps this in place of what was kept before, without waiting for it.
    fn keep(&mut self, _snapshot: Vec<u8>) -> SnapshotSave {
        SnapshotSave::Nowhere
    }
    /// Writes a line for the operators, or drops it if that would block.
    fn log(&mut self, line: &str);
}

/// Whether descriptors have run out.
pub fn is_descriptor_limit(e: &io::Error) -> bool {
    // EMFILE and ENFILE.
    matches!(e.raw_os_error(), Some(24 | 23))
}

/// Bytes taken by one read; also the part of a long value that is under way at a time.
pub const READ_MOST: usize = 64 << 10;
/// Chunks given to the kernel in one call.
const CHUNKS: usize = 16;

/// What a read brought.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    /// Bytes, and the socket may hold more.
    More,
    /// Bytes, and the socket is empty.
    Some,
    Empty,
    /// The peer has ended its sending.
    Ended,
    /// The connection broke: what came before may be cut anywhere.
    Broke,
}

/// One read into `buf` by way of the shared scratch space, so that idle connections hold no buffer.
pub fn fill<S: Stream>(stream: &mut S, buf: &mut BytesMut, scratch: &mut [u8]) -> ReadOutcome {
    loop {
        match stream.read(scratch) {
            Ok(0) => return ReadOutcome::Ended,
            Ok(n) => {
                buf.extend_from_slice(&scratch[..n]);
                return if n == scratch.len() {
                    ReadOutcome::More
                } else {
                    ReadOutcome::Some
                };
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadOutcome::Empty,
            Err(_) => return ReadOutcome::Broke,
        }
    }
}

/// Bytes on their way out.
#[derive(Default)]
pub struct WriteQueue {
    chunks: VecDeque<Bytes>,
    len: usize,
}

impl WriteQueue {
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
    pub fn flush<S: Stream>(&mut self, stream: &mut S) -> io::Result<usize> {
        let mut written = 0;
        while self.len > 0 {
            let mut slices = [IoSlice::new(&[]); CHUNKS];
            for (slice, chunk) in slices.iter_mut().zip(&self.chunks) {
                *slice = IoSlice::new(chunk);
            }
            match stream.write(&slices[..self.chunks.len().min(CHUNKS)]) {
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

/// Lines for the operators, a bounded number a second.
#[derive(Default)]
pub struct Log {
    second: i64,
    lines: u32,
}

/// Enough to see what happens, too few to cost anything when a peer provokes a line with each reply.
const LOG_LINES_A_SECOND: u32 = 20;

impl Log {
    pub fn line<N: Transport>(&mut self, net: &mut N, text: &str) {
        let second = net.now() / 1_000_000;
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        self.lines += 1;
        if self.lines <= LOG_LINES_A_SECOND {
            net.log(text);
        }
    }
}
