//! The interface to sockets, clocks, polling, signals, snapshots and the log, and helpers that use it: reading into a
//! buffer, queued writes and rate-limited logging.
//!
//! Code that uses a [`Transport`] runs unchanged on real sockets ([`crate::mio_transport::MioTransport`]) and on a virtual
//! network. Readiness is edge-triggered: an event reports what has happened since the last one, and is not repeated for
//! input that was left unread.
//!
//! Bounds: a read returns at most [`MAX_READ`] bytes, and a [`Log`] writes a bounded number of lines per second. The owner
//! of a [`WriteQueue`] bounds its length.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use sloewick_decision::api::Micros;

/// Identifies the connection or listener of an event; chosen by the code that opened it.
pub type Token = usize;
/// The token of the event that a [`Transport`] reports when signals have arrived.
pub const SIGNALS_TOKEN: Token = 1;

/// What has happened on a connection or listener since the last event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadyEvent {
    /// Token of the connection or listener.
    pub token: Token,
    /// There may be input to read, or connections to accept.
    pub readable: bool,
    /// The socket may accept output.
    pub writable: bool,
    /// The peer has closed its sending side, or the connection has failed.
    pub read_closed: bool,
    /// The connection has failed.
    pub error: bool,
}

/// The signals that have arrived since the last [`Transport::take_signals`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PendingSignals {
    /// A reload of the configuration is requested.
    pub reload: bool,
    /// A graceful shutdown is requested.
    pub stop: bool,
}

/// The result of [`Transport::save_snapshot`].
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotSave {
    /// This transport saves no snapshots.
    Disabled,
    /// The snapshot is being written.
    Started,
    /// The previous snapshot is still being written, so this one is dropped.
    Busy,
    /// An earlier snapshot could not be written, for this reason. This one is written, or dropped if a write is in
    /// progress.
    Failed(String),
}

/// A non-blocking TCP connection: a call that would block fails with [`ErrorKind::WouldBlock`]. Dropping it closes the
/// connection.
pub trait Stream {
    /// Reads bytes and returns their number; 0 means that the peer has closed its sending side.
    ///
    /// # Errors
    /// Returns the operating system's error; [`ErrorKind::WouldBlock`] if no bytes have arrived.
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize>;
    /// Writes bytes and returns how many the kernel accepted.
    ///
    /// # Errors
    /// Returns the operating system's error; [`ErrorKind::WouldBlock`] if the kernel accepts none now.
    fn write(&mut self, chunks: &[IoSlice<'_>]) -> io::Result<usize>;
    /// Whether the kernel holds no unread input, and the peer has not closed its sending side.
    fn has_no_input(&self) -> bool;
    /// Takes the pending error of the socket, with which the connection has failed; None if there is none.
    ///
    /// # Errors
    /// Returns the operating system's error if the socket is no longer a connection.
    fn take_error(&self) -> io::Result<Option<io::Error>>;
    /// Checks that a connection which is being opened is established.
    ///
    /// # Errors
    /// Returns [`ErrorKind::NotConnected`] if the connection is not established yet.
    fn check_connected(&self) -> io::Result<()>;
    /// Closes the sending side of the connection.
    ///
    /// # Errors
    /// Returns the operating system's error if the connection has failed.
    fn shutdown_write(&mut self) -> io::Result<()>;
    /// Sets whether closing the connection, also by the end of the process, resets it: bytes that the peer's machine does not
    /// have yet are then dropped, where an orderly close would still deliver them.
    fn set_reset_on_close(&mut self, reset: bool);
    /// Number of bytes written that the peer's machine has not acknowledged, among them the end of sending; None if the system does
    /// not tell.
    fn unacknowledged(&self) -> Option<usize> {
        Some(0)
    }
    /// Limits the number of bytes that the kernel buffers for a peer that does not read.
    fn limit_send_buffer(&mut self, bytes: usize);
}

/// The only access of the node to sockets, clocks, polling, signals, snapshots and the log.
pub trait Transport {
    /// A connection.
    type Stream: Stream;
    /// A socket that accepts connections.
    type Listener;
    /// Time since the process started.
    fn now(&self) -> Micros;
    /// A monotonic clock that all processes with the same [`Transport::boot_id`] share.
    fn monotonic_time(&self) -> Micros;
    /// Identifies the boot of the machine since which [`Transport::monotonic_time`] has run.
    fn boot_id(&self) -> String;
    /// Unix time at the start of the process, read once.
    fn unix_time_at_start(&self) -> Micros;
    /// Listens on an address.
    ///
    /// # Errors
    /// Returns the operating system's error if it is not possible to listen on the address.
    fn listen(&mut self, at: SocketAddr, token: Token) -> io::Result<Self::Listener>;
    /// Accepts connections on a listening socket that the process inherited under the descriptor `fd`.
    ///
    /// # Errors
    /// Returns an error if the descriptor is not a listening socket; [`ErrorKind::Unsupported`] if the transport does not
    /// support inherited sockets.
    fn listen_inherited(&mut self, _fd: i32, _token: Token) -> io::Result<Self::Listener> {
        Err(ErrorKind::Unsupported.into())
    }
    /// Accepts the next connection. `token`: the token of the new connection.
    ///
    /// # Errors
    /// Returns the operating system's error; [`ErrorKind::WouldBlock`] if no connection is waiting.
    fn accept(&mut self, listener: &mut Self::Listener, token: Token) -> io::Result<Self::Stream>;
    /// Starts to open a connection.
    ///
    /// # Errors
    /// Returns the operating system's error if the connection is refused at once or no descriptor is free.
    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<Self::Stream>;
    /// Replaces the content of `ready` by the next events. Waits until there is one, for at most `wait`; with 0 it returns
    /// at once.
    ///
    /// # Errors
    /// Returns the operating system's error.
    fn poll(&mut self, ready: &mut Vec<ReadyEvent>, wait: Micros) -> io::Result<()>;
    /// Resident size of the process in bytes; None if this transport does not know it.
    fn resident_memory(&self) -> Option<usize> {
        None
    }
    /// Returns memory that the process has freed to the system.
    fn release_unused_memory(&mut self) {}
    /// Writes a line of the event trace. Default: the line is dropped.
    fn trace(&mut self, _line: &str) {}
    /// Takes the signals that have arrived since the last call.
    fn take_signals(&mut self) -> PendingSignals;
    /// Loads the snapshot that an earlier process of this node has saved; None if there is none.
    ///
    /// # Errors
    /// Returns an error if the snapshot exists and cannot be read.
    fn load_snapshot(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(None)
    }
    /// Replaces the previous snapshot, without waiting until the new one is written.
    fn save_snapshot(&mut self, _snapshot: Vec<u8>) -> SnapshotSave {
        SnapshotSave::Disabled
    }
    /// Tells the other processes of this node that the request with this id may run.
    fn publish_id(&mut self, _id: u128) {}
    /// The ids that other processes of this node have published since the last call.
    fn peer_ids(&mut self) -> Vec<u128> {
        Vec::new()
    }
    /// The endpoint lists that other processes of this node have published since the last call, each up to `max_len` bytes.
    fn changed_endpoint_lists(&mut self, _max_len: usize) -> Vec<io::Result<Vec<u8>>> {
        Vec::new()
    }
    /// Publishes the endpoint list of this process to the others, without waiting. Returns false if that has to be tried again,
    /// because the previous list is still being written.
    fn publish_endpoint_list(&mut self, _list: Vec<u8>) -> bool {
        true
    }
    /// Waits a moment until a list that is being written is published, since the process exits.
    fn finish_publication(&mut self) {}
    /// Why a list could not be published, if that has happened since the last call.
    fn take_publication_error(&mut self) -> Option<String> {
        None
    }
    /// Shares `count` slots for clients with the other processes of this node. Returns false if that is not possible.
    fn share_slots(&mut self, _count: usize) -> bool {
        false
    }
    /// Takes one of the shared slots. Returns false if none is free.
    fn acquire_shared_slot(&mut self) -> bool {
        false
    }
    /// Returns one of the shared slots that this process holds.
    fn release_shared_slot(&mut self) {}
    /// Writes a log line, or drops it if that would block.
    fn log(&mut self, line: &str);
}

/// Whether an error means that no file descriptor is free for the process (EMFILE) or the system (ENFILE).
pub fn is_descriptor_limit(e: &io::Error) -> bool {
    const EMFILE: i32 = 24;
    const ENFILE: i32 = 23;
    matches!(e.raw_os_error(), Some(EMFILE | ENFILE))
}

/// Whether an error means that the system had no buffer (ENOBUFS) or memory (ENOMEM) for a transfer at this moment. The
/// state of the connection is unchanged.
pub(crate) fn is_buffer_shortage(e: &io::Error) -> bool {
    const ENOMEM: i32 = 12;
    const ENOBUFS: i32 = 105;
    matches!(e.raw_os_error(), Some(ENOMEM | ENOBUFS))
}

/// Longest read in bytes; also the amount of a long value that is buffered at a time.
pub const MAX_READ: usize = 64 << 10;
/// Most chunks that are passed to the kernel in one call.
const MAX_CHUNKS_PER_WRITE: usize = 16;

/// Memory for a chunk of a [`WriteQueue`] besides its bytes.
const CHUNK_OVERHEAD: usize = 64;

/// The result of one read.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    /// Bytes were read, and the socket may hold more. This also holds after a read that did not fill the scratch space,
    /// which may have left input.
    More,
    /// The socket held no input.
    Empty,
    /// The peer has closed its sending side.
    Closed,
    /// The connection has failed; the bytes read before may end anywhere in a message.
    Failed,
}

/// Reads once and appends the bytes to `buf`. The read uses the shared scratch space, so that idle connections hold no
/// buffer.
pub fn read_into<S: Stream>(stream: &mut S, buf: &mut BytesMut, scratch: &mut [u8]) -> ReadOutcome {
    loop {
        match stream.read(scratch) {
            Ok(0) => return ReadOutcome::Closed,
            Ok(n) => {
                buf.extend_from_slice(&scratch[..n]);
                return ReadOutcome::More;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadOutcome::Empty,
            Err(_) => return ReadOutcome::Failed,
        }
    }
}

/// Bytes that wait to be written to a connection.
#[derive(Default)]
pub struct WriteQueue {
    chunks: VecDeque<Bytes>,
    len: usize,
    /// Bytes of the first chunk that are written. They stay in memory until the rest of the chunk is written too.
    front_written: usize,
}

impl WriteQueue {
    /// Appends bytes.
    pub fn push(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.len += bytes.len();
            self.chunks.push_back(bytes);
        }
    }

    /// Number of bytes in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Bytes of memory that the queue holds.
    pub fn memory_used(&self) -> usize {
        self.len + self.front_written + self.chunks.len() * CHUNK_OVERHEAD
    }

    /// Whether the queue holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Writes as many bytes as the kernel accepts now, and returns their number.
    ///
    /// # Errors
    /// Returns the operating system's error if the connection has failed.
    pub fn flush<S: Stream>(&mut self, stream: &mut S) -> io::Result<usize> {
        let mut written = 0;
        while self.len > 0 {
            let mut slices = [IoSlice::new(&[]); MAX_CHUNKS_PER_WRITE];
            for (slice, chunk) in slices.iter_mut().zip(&self.chunks) {
                *slice = IoSlice::new(chunk);
            }
            match stream.write(&slices[..self.chunks.len().min(MAX_CHUNKS_PER_WRITE)]) {
                Ok(n) => {
                    written += n;
                    self.remove_front(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(written)
    }

    fn remove_front(&mut self, mut n: usize) {
        self.len -= n;
        while let Some(front) = self.chunks.front_mut() {
            if n < front.len() {
                let _ = front.split_to(n);
                self.front_written += n;
                return;
            }
            n -= front.len();
            self.front_written = 0;
            self.chunks.pop_front();
        }
    }
}

/// Writes log lines, at most `MAX_LOG_LINES_PER_SECOND`; further ones are dropped.
#[derive(Default)]
pub struct Log {
    /// The current second, counted from the start of the process.
    second: i64,
    /// Number of lines in this second, including dropped ones.
    lines: u32,
}

/// Enough lines to follow what happens; the limit bounds the cost of logging when a peer causes a line with each reply.
const MAX_LOG_LINES_PER_SECOND: u32 = 20;

impl Log {
    /// Writes one line, unless the limit for this second is reached.
    pub fn write_line<N: Transport>(&mut self, net: &mut N, text: &str) {
        let second = net.now() / 1_000_000;
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        self.lines += 1;
        if self.lines <= MAX_LOG_LINES_PER_SECOND {
            net.log(text);
        }
    }
}
