//! The [`Transport`] of a real process: sockets with mio, the system's clocks, signals, snapshot files and standard error.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{self, Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, RawFd};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use sloewick_decision::api::Micros;
use sloewick_snapshot::{SnapshotFile, SnapshotWriter};

use crate::allocator;
use crate::id_journal::IdJournal;
use crate::list_files::ListFiles;
use crate::slot_locks::SlotLocks;
use crate::startup_retry::retry_transient;
use crate::transport::{
    PendingSignals, ReadyEvent, SnapshotSave, Stream, Token, Transport, SIGNALS_TOKEN,
};

/// Length of the accept queue of a listener.
const BACKLOG: i32 = 1024;
/// Longest log line in bytes. A pipe that is ready for writing accepts this much without blocking (`PIPE_BUF` is 4,096).
const MAX_LOG_LINE: usize = 400;
/// Most bytes of a character in UTF-8.
const MAX_CHARACTER_BYTES: usize = 4;
/// Longest line of a trace in characters; its ids are at most this long together.
const MAX_TRACE_LINE: usize = 400;
/// Most events returned by one poll; further ones are returned by the next.
const MAX_EVENTS: usize = 256;
/// The name of the snapshot file.
const SNAPSHOT_NAME: &str = "sloewick-handover";
/// Longest snapshot in bytes.
const MAX_SNAPSHOT: usize = 1 << 20;
/// The file with a random id of the machine's current boot (proc(5)).
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// The file with the sizes of this process in pages, the second of which is resident (proc(5)).
const MEMORY_FILE: &str = "/proc/self/statm";
const MICROS_PER_SECOND: Micros = 1_000_000;
const NANOS_PER_MICRO: Micros = 1_000;

/// Signals that have arrived and have not been taken yet. In a process of its own a node gets them from signal handlers; a
/// node that runs on one of several threads gets them from another thread. They are reported by the next poll.
#[derive(Debug, Default)]
pub struct SignalFlags {
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl SignalFlags {
    /// Registers signal handlers that set the flags.
    fn register_handlers(&self) -> io::Result<()> {
        signal_hook::flag::register(SIGHUP, Arc::clone(&self.reload))?;
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&self.stop))?;
        }
        Ok(())
    }

    /// Sends signals to the node, in addition to those that are pending.
    pub fn send(&self, signals: PendingSignals) {
        self.reload.fetch_or(signals.reload, Ordering::Relaxed);
        self.stop.fetch_or(signals.stop, Ordering::Relaxed);
    }

    fn are_pending(&self) -> bool {
        self.reload.load(Ordering::Relaxed) || self.stop.load(Ordering::Relaxed)
    }

    /// Takes and clears the pending signals.
    fn take(&self) -> PendingSignals {
        PendingSignals {
            reload: self.reload.swap(false, Ordering::Relaxed),
            stop: self.stop.swap(false, Ordering::Relaxed),
        }
    }
}

/// The file from which snapshots are read, and the thread that writes them.
struct Snapshots {
    file: SnapshotFile,
    writer: SnapshotWriter,
}

/// An accepted connection that could not be registered with the poll yet.
struct UnregisteredConnection {
    /// Descriptor of the listener that accepted it.
    listener: RawFd,
    stream: net::TcpStream,
}

/// A [`Transport`] on the operating system, for a process or for one of its threads.
pub struct MioTransport {
    poll: Poll,
    events: Events,
    signals: Arc<SignalFlags>,
    /// Interrupts a poll when a signal arrives; None if the process handles no signals here. The handler's write to its
    /// pipe may fail, so that only the flags tell which signals have arrived.
    signal_waker: Option<Signals>,
    /// Log and trace lines are dropped.
    is_log_disabled: bool,
    snapshots: Option<Snapshots>,
    id_journal: Option<IdJournal>,
    list_files: Option<ListFiles>,
    slot_locks: Option<SlotLocks>,
    /// Connections that the next accept of their listener returns first; at most one for each listener.
    unregistered: Vec<UnregisteredConnection>,
    started: Instant,
    unix_time_at_start: Micros,
}

impl MioTransport {
    /// Creates the transport of a process that runs one node. It handles SIGHUP, SIGTERM and SIGINT.
    ///
    /// # Errors
    /// Returns the operating system's error if it has no resources for a poll or for the signal handlers.
    pub fn with_signals() -> io::Result<MioTransport> {
        allocator::limit_retention();
        let mut transport = MioTransport::without_signals()?;
        transport.signals.register_handlers()?;
        let registry = transport.poll.registry();
        let signal_waker = retry_transient(|| {
            let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
            registry.register(&mut signals, mio::Token(SIGNALS_TOKEN), Interest::READABLE)?;
            Ok(signals)
        })?;
        transport.signal_waker = Some(signal_waker);
        Ok(transport)
    }

    /// Saves snapshots for the next process to a file in `folder`, and loads them from there.
    ///
    /// # Errors
    /// Returns the operating system's error if it has no resources for the thread that writes snapshots.
    pub fn save_snapshots_in(&mut self, folder: &Path) -> io::Result<()> {
        let file = SnapshotFile::new(folder, SNAPSHOT_NAME, MAX_SNAPSHOT);
        let writer = retry_transient(|| SnapshotWriter::start(file.clone()))?;
        self.snapshots = Some(Snapshots { file, writer });
        Ok(())
    }

    /// Exchanges the ids of requests that must not run twice with other processes of the node, through files in `folder`.
    pub fn share_ids_in(&mut self, folder: &Path) {
        self.id_journal = Some(IdJournal::open(folder, self.unix_time_at_start));
    }

    /// Exchanges the endpoint list with other processes of the node that listens on `listen`, through files in `folder`.
    ///
    /// # Errors
    /// Returns the operating system's error if it has no resources for the thread that writes the list.
    pub fn share_endpoint_lists_in(&mut self, folder: &Path, listen: SocketAddr) -> io::Result<()> {
        let node = format!("{listen} {}", self.boot_id());
        let start = self.unix_time_at_start;
        self.list_files = Some(retry_transient(|| ListFiles::open(folder, &node, start))?);
        Ok(())
    }

    /// Shares slots for clients with other processes of the node that listens on `listen`, through a file in `folder`.
    ///
    /// # Errors
    /// Returns the operating system's error if the file cannot be opened or locked.
    pub fn share_slots_in(&mut self, folder: &Path, listen: SocketAddr) -> io::Result<()> {
        self.slot_locks = Some(retry_transient(|| SlotLocks::open(folder, listen))?);
        Ok(())
    }

    /// Creates the transport of a node on one of several threads. It gets its signals from another thread and drops log and
    /// trace lines.
    ///
    /// # Errors
    /// Returns the operating system's error if it has no resources for a poll.
    pub fn with_external_signals(signals: Arc<SignalFlags>) -> io::Result<MioTransport> {
        Ok(MioTransport {
            signals,
            is_log_disabled: true,
            ..MioTransport::without_signals()?
        })
    }

    /// Creates the transport of one of several threads, without signal handling.
    ///
    /// # Errors
    /// Returns the operating system's error if it has no resources for a poll.
    pub fn without_signals() -> io::Result<MioTransport> {
        let unix_time_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as i64);
        Ok(MioTransport {
            poll: retry_transient(Poll::new)?,
            events: Events::with_capacity(MAX_EVENTS),
            signals: Arc::default(),
            signal_waker: None,
            is_log_disabled: false,
            snapshots: None,
            id_journal: None,
            list_files: None,
            slot_locks: None,
            unregistered: Vec::new(),
            started: Instant::now(),
            unix_time_at_start,
        })
    }

    /// Opens a listener with `open` and registers it with the poll. Transient failures of either are retried, since the
    /// process is starting.
    fn register_listener(
        &self,
        token: Token,
        mut open: impl FnMut() -> io::Result<socket2::Socket>,
    ) -> io::Result<TcpListener> {
        let registry = self.poll.registry();
        retry_transient(|| {
            // Each retry opens a new listener, since one whose registration failed cannot be registered again.
            let mut listener = TcpListener::from_std(open()?.into());
            registry.register(&mut listener, mio::Token(token), Interest::READABLE)?;
            Ok(listener)
        })
    }

    fn register_stream(&mut self, stream: &mut TcpStream, token: Token) -> io::Result<()> {
        let interests = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(stream, mio::Token(token), interests)
    }

    /// The next connection of a listener: the one that could not be registered before, otherwise one from the accept queue.
    fn next_connection(&mut self, listener: &TcpListener) -> io::Result<TcpStream> {
        let fd = listener.as_raw_fd();
        match self.unregistered.iter().position(|u| u.listener == fd) {
            Some(index) => {
                let unregistered = self.unregistered.swap_remove(index);
                Ok(TcpStream::from_std(unregistered.stream))
            }
            None => listener.accept().map(|(stream, _)| stream),
        }
    }

    /// Writes a line to standard error without control characters, shortened to `max_characters`. Drops it if the write
    /// would block.
    fn write_line(&mut self, line: &str, max_characters: usize) {
        if self.is_log_disabled {
            return;
        }
        let mut line: String = line
            .chars()
            .filter(|c| !c.is_control())
            .take(max_characters)
            .collect();
        line.push('\n');
        let stderr = io::stderr();
        if is_writable(&stderr) {
            let _ = stderr.lock().write_all(line.as_bytes());
        }
    }
}

/// Whether a write to standard error would not block now.
fn is_writable(stderr: &io::Stderr) -> bool {
    use rustix::event::{poll, PollFd, PollFlags, Timespec};
    let mut ready = [PollFd::new(stderr, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let polled = poll(&mut ready, Some(&no_wait));
    polled.is_ok_and(|n| n > 0) && ready[0].revents().contains(PollFlags::OUT)
}

fn open_listener(at: SocketAddr) -> io::Result<socket2::Socket> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    // After a restart, connections of the previous process still use the address.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket)
}

/// Duplicates a listening socket that the process inherited under the descriptor `fd`.
fn duplicate_listener(fd: i32) -> io::Result<socket2::Socket> {
    // SAFETY: the descriptor is only duplicated, and is not closed meanwhile: the process that started this
    // one opened it, and nothing here owns it. If it is not open, the call fails with EBADF.
    let inherited = unsafe { std::os::fd::BorrowedFd::borrow_raw(fd) }.try_clone_to_owned()?;
    let socket = socket2::Socket::from(inherited);
    if !rustix::net::sockopt::socket_acceptconn(&socket)? {
        return Err(io::Error::new(
            ErrorKind::InvalidInput,
            "is not a listening socket",
        ));
    }
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// The event that reports pending signals.
const SIGNALS_READY: ReadyEvent = ReadyEvent {
    token: SIGNALS_TOKEN,
    readable: true,
    writable: false,
    read_closed: false,
    error: false,
};

fn ready_event(event: &Event) -> ReadyEvent {
    ReadyEvent {
        token: event.token().0,
        readable: event.is_readable(),
        writable: event.is_writable(),
        read_closed: event.is_read_closed(),
        error: event.is_error(),
    }
}

impl Transport for MioTransport {
    type Stream = TcpStream;
    type Listener = TcpListener;

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn monotonic_time(&self) -> Micros {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO
    }

    fn boot_id(&self) -> String {
        // If the file cannot be read, all boots of the machine have the same, empty id.
        std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default()
    }

    fn unix_time_at_start(&self) -> Micros {
        self.unix_time_at_start
    }

    fn listen(&mut self, at: SocketAddr, token: Token) -> io::Result<TcpListener> {
        self.register_listener(token, || open_listener(at))
    }

    fn listen_inherited(&mut self, fd: i32, token: Token) -> io::Result<TcpListener> {
        self.register_listener(token, || duplicate_listener(fd))
    }

    fn accept(&mut self, listener: &mut TcpListener, token: Token) -> io::Result<TcpStream> {
        let mut stream = self.next_connection(listener)?;
        let _ = stream.set_nodelay(true);
        match self.register_stream(&mut stream, token) {
            Ok(()) => Ok(stream),
            Err(error) => {
                // The connection is kept for the next accept: its client may already have sent a request, which must get a
                // response.
                self.unregistered.push(UnregisteredConnection {
                    listener: listener.as_raw_fd(),
                    stream: stream.into(),
                });
                Err(error)
            }
        }
    }

    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(to)?;
        let _ = stream.set_nodelay(true);
        self.register_stream(&mut stream, token)?;
        Ok(stream)
    }

    fn poll(&mut self, ready: &mut Vec<ReadyEvent>, wait: Micros) -> io::Result<()> {
        ready.clear();
        let timeout = Duration::from_micros(wait.max(0) as u64);
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Ok(()) => ready.extend(self.events.iter().map(ready_event)),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        if self.signals.are_pending() {
            ready.push(SIGNALS_READY);
        }
        Ok(())
    }

    fn take_signals(&mut self) -> PendingSignals {
        // The waker is drained before the flags are read, so that a signal that arrives in between interrupts the next
        // poll.
        for _ in self.signal_waker.iter_mut().flat_map(Signals::pending) {}
        self.signals.take()
    }

    fn load_snapshot(&mut self) -> io::Result<Option<Vec<u8>>> {
        match &self.snapshots {
            Some(snapshots) => retry_transient(|| snapshots.file.read()),
            None => Ok(None),
        }
    }

    fn save_snapshot(&mut self, snapshot: Vec<u8>) -> SnapshotSave {
        let Some(snapshots) = &self.snapshots else {
            return SnapshotSave::Disabled;
        };
        let is_accepted = snapshots.writer.offer(snapshot);
        match snapshots.writer.take_last_error() {
            Some(error) => SnapshotSave::Failed(error.to_string()),
            None if is_accepted => SnapshotSave::Started,
            None => SnapshotSave::Busy,
        }
    }

    fn publish_id(&mut self, id: u128) {
        if let Some(journal) = &mut self.id_journal {
            journal.append(id);
        }
    }

    fn peer_ids(&mut self) -> Vec<u128> {
        let journal = self.id_journal.as_mut();
        journal.map_or_else(Vec::new, IdJournal::read_peers)
    }

    fn changed_endpoint_lists(&mut self, max_len: usize) -> Vec<io::Result<Vec<u8>>> {
        let files = self.list_files.as_mut();
        files.map_or_else(Vec::new, |files| files.read_changed(max_len))
    }

    fn publish_endpoint_list(&mut self, list: Vec<u8>) -> bool {
        let files = self.list_files.as_ref();
        files.is_none_or(|files| files.publish(list))
    }

    fn finish_publication(&mut self) {
        if let Some(files) = self.list_files.take() {
            files.finish();
        }
    }

    fn take_publication_error(&mut self) -> Option<String> {
        let files = self.list_files.as_ref();
        files.and_then(ListFiles::take_write_error)
    }

    fn share_slots(&mut self, count: usize) -> bool {
        let locks = self.slot_locks.as_mut();
        locks.map(|locks| locks.set_count(count)).is_some()
    }

    fn acquire_shared_slot(&mut self) -> bool {
        let locks = self.slot_locks.as_mut();
        locks.is_some_and(SlotLocks::acquire)
    }

    fn release_shared_slot(&mut self) {
        if let Some(locks) = &mut self.slot_locks {
            locks.release();
        }
    }

    fn resident_memory(&self) -> Option<usize> {
        let text = std::fs::read_to_string(MEMORY_FILE).ok()?;
        let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
        Some(pages * rustix::param::page_size())
    }

    fn release_unused_memory(&mut self) {
        allocator::release_unused();
    }

    /// Drops the line if the pipe of standard error is full: if the reader of the log stops reading, a blocking write would
    /// delay every request.
    fn log(&mut self, line: &str) {
        self.write_line(line, MAX_LOG_LINE / MAX_CHARACTER_BYTES);
    }

    fn trace(&mut self, line: &str) {
        self.write_line(line, MAX_TRACE_LINE);
    }
}

impl Stream for TcpStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        Read::read(self, into)
    }

    fn write(&mut self, chunks: &[IoSlice<'_>]) -> io::Result<usize> {
        self.write_vectored(chunks)
    }

    fn has_no_input(&self) -> bool {
        matches!(self.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        TcpStream::take_error(self)
    }

    fn check_connected(&self) -> io::Result<()> {
        self.peer_addr().map(|_| ())
    }

    fn shutdown_write(&mut self) -> io::Result<()> {
        self.shutdown(Shutdown::Write)
    }

    fn set_reset_on_close(&mut self, reset: bool) {
        // With a linger time of zero, close() discards unsent data and sends a reset (socket(7), SO_LINGER; RFC 9293, 3.10.5).
        let _ = socket2::SockRef::from(&*self).set_linger(reset.then_some(Duration::ZERO));
    }

    fn unacknowledged(&self) -> Option<usize> {
        let mut bytes: libc::c_int = 0;
        // SAFETY: SIOCOUTQ, which has the number of TIOCOUTQ, writes one int (tcp(7)); the descriptor is open.
        let result = unsafe { libc::ioctl(self.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
        (result == 0).then_some(bytes.max(0) as usize)
    }

    fn limit_send_buffer(&mut self, bytes: usize) {
        let _ = socket2::SockRef::from(&*self).set_send_buffer_size(bytes);
    }
}
