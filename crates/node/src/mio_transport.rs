//! Real sockets, the system's clocks, signals and standard error, by mio.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use sloewick_decision::api::Micros;
use sloewick_snapshot::{SnapshotFile, SnapshotWriter};

use crate::transport::{
    PendingSignals, ReadyEvent, SnapshotSave, Stream, Token, Transport, SIGNALS,
};

const BACKLOG: i32 = 1024;
/// How long an address that is taken is waited for, and how often it is looked at. The process before may be ending still:
/// it lets go of its listener 0.5 s after it was told to, or by its end after 3.6 s at the latest.
const ADDRESS_MOST: Duration = Duration::from_secs(5);
const ADDRESS_AGAIN: Duration = Duration::from_millis(20);
/// Longest log line; a pipe that is ready takes this much without blocking (PIPE_BUF is 4,096).
const LOG_LINE_MOST: usize = 400;
/// Longest line of a trace; ids are at most this long together.
const TRACE_LINE_MOST: usize = 400;
/// Events taken by one poll; more wait for the next.
const EVENTS: usize = 256;
/// The file that holds a snapshot, and its bytes at the most.
const KEPT_NAME: &str = "sloewick-handover";
const KEPT_MOST: usize = 1 << 20;

/// Tells a node on a thread of its own what a process is told by signals. It is heard at the next poll.
#[derive(Debug, Default)]
pub struct RemoteSignals {
    reload: AtomicBool,
    stop: AtomicBool,
}

impl RemoteSignals {
    pub fn tell(&self, told: PendingSignals) {
        self.reload.fetch_or(told.reload, Ordering::Relaxed);
        self.stop.fetch_or(told.stop, Ordering::Relaxed);
    }

    fn waits(&self) -> bool {
        self.reload.load(Ordering::Relaxed) || self.stop.load(Ordering::Relaxed)
    }
}

/// The system, for one process or one of its threads.
pub struct MioTransport {
    poll: Poll,
    events: Events,
    signals: Option<Signals>,
    remote: Option<Arc<RemoteSignals>>,
    kept: Option<(SnapshotFile, SnapshotWriter)>,
    began: Instant,
    unix_time_at_start: Micros,
}

impl MioTransport {
    /// For a process of its own: SIGHUP, SIGTERM and SIGINT are taken.
    ///
    /// # Errors
    /// The system's, when it has no room for a poll or for the signals.
    pub fn with_signals() -> io::Result<MioTransport> {
        let mut os = MioTransport::new()?;
        let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
        os.poll
            .registry()
            .register(&mut signals, mio::Token(SIGNALS), Interest::READABLE)?;
        os.signals = Some(signals);
        Ok(os)
    }

    /// Keeps snapshots for the next process in this folder, which the two share.
    ///
    /// # Errors
    /// The system's, when it has no room for a thread.
    pub fn keep_in(&mut self, folder: &Path) -> io::Result<()> {
        let folder = SnapshotFile::new(folder, KEPT_NAME, KEPT_MOST);
        self.kept = Some((folder.clone(), SnapshotWriter::start(folder)?));
        Ok(())
    }

    /// For one of several threads, told by `remote` instead of signals; it logs nothing.
    ///
    /// # Errors
    /// The system's, when it has no room for a poll.
    pub fn remote(remote: Arc<RemoteSignals>) -> io::Result<MioTransport> {
        Ok(MioTransport {
            remote: Some(remote),
            ..MioTransport::new()?
        })
    }

    /// For one of several threads: signals are left to others.
    ///
    /// # Errors
    /// The system's, when it has no room for a poll.
    pub fn new() -> io::Result<MioTransport> {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as i64);
        Ok(MioTransport {
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS),
            signals: None,
            remote: None,
            kept: None,
            began: Instant::now(),
            unix_time_at_start: unix,
        })
    }
}

fn listening(at: SocketAddr) -> io::Result<socket2::Socket> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    // A restarted node finds its address still held by connections of the one before.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket)
}

impl Transport for MioTransport {
    type Stream = TcpStream;
    type Listener = TcpListener;

    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    fn unix_time_at_start(&self) -> Micros {
        self.unix_time_at_start
    }

    fn listen(&mut self, at: SocketAddr, token: Token) -> io::Result<TcpListener> {
        let begun = Instant::now();
        let socket = loop {
            match listening(at) {
                // Guards against a restart that fails for good because the process before has a little to do yet.
                Err(e) if e.kind() == ErrorKind::AddrInUse && begun.elapsed() < ADDRESS_MOST => {
                    std::thread::sleep(ADDRESS_AGAIN);
                }
                done => break done?,
            }
        };
        let mut listener = TcpListener::from_std(socket.into());
        self.poll
            .registry()
            .register(&mut listener, mio::Token(token), Interest::READABLE)?;
        Ok(listener)
    }

    fn inherit(&mut self, fd: i32, token: Token) -> io::Result<TcpListener> {
        // SAFETY: the number is only duplicated, and the descriptor is not closed meanwhile: whoever started
        // this process opened it, and nothing here owns it. One that is not open gives EBADF.
        let held = unsafe { std::os::fd::BorrowedFd::borrow_raw(fd) }.try_clone_to_owned()?;
        let socket = socket2::Socket::from(held);
        if !rustix::net::sockopt::socket_acceptconn(&socket)? {
            return Err(io::Error::new(
                ErrorKind::InvalidInput,
                "is no listening socket",
            ));
        }
        socket.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(socket.into());
        self.poll
            .registry()
            .register(&mut listener, mio::Token(token), Interest::READABLE)?;
        Ok(listener)
    }

    fn accept(&mut self, listener: &mut TcpListener, token: Token) -> io::Result<TcpStream> {
        let (mut stream, _) = listener.accept()?;
        let _ = stream.set_nodelay(true);
        let both = Interest::READABLE | Interest::WRITABLE;
        // Not as a lack of descriptors: the connection is gone, and those behind it are asked for.
        let registered = self
            .poll
            .registry()
            .register(&mut stream, mio::Token(token), both);
        registered.map_err(|_| io::Error::from(ErrorKind::ConnectionAborted))?;
        Ok(stream)
    }

    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(to)?;
        let _ = stream.set_nodelay(true);
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, mio::Token(token), both)?;
        Ok(stream)
    }

    fn poll(&mut self, ready: &mut Vec<ReadyEvent>, wait: Micros) -> io::Result<()> {
        ready.clear();
        match self.poll.poll(
            &mut self.events,
            Some(Duration::from_micros(wait.max(0) as u64)),
        ) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            done => done?,
        }
        ready.extend(self.events.iter().map(|e| ReadyEvent {
            token: e.token().0,
            readable: e.is_readable(),
            writable: e.is_writable(),
            read_closed: e.is_read_closed(),
            error: e.is_error(),
        }));
        if self.remote.as_ref().is_some_and(|remote| remote.waits()) {
            let token = SIGNALS;
            ready.push(ReadyEvent {
                token,
                readable: true,
                writable: false,
                read_closed: false,
                error: false,
            });
        }
        Ok(())
    }

    fn told(&mut self) -> PendingSignals {
        if let Some(remote) = &self.remote {
            let (reload, stop) = (&remote.reload, &remote.stop);
            return PendingSignals {
                reload: reload.swap(false, Ordering::Relaxed),
                stop: stop.swap(false, Ordering::Relaxed),
            };
        }
        let came = self.signals.iter_mut().flat_map(|s| s.pending());
        came.fold(PendingSignals::default(), |told, signal| match signal {
            SIGHUP => PendingSignals {
                reload: true,
                ..told
            },
            _ => PendingSignals { stop: true, ..told },
        })
    }

    fn kept(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.kept
            .as_ref()
            .map_or(Ok(None), |(folder, _)| folder.read())
    }

    fn keep(&mut self, snapshot: Vec<u8>) -> SnapshotSave {
        let Some((_, keeper)) = &self.kept else {
            return SnapshotSave::Nowhere;
        };
        let taken = keeper.offer(snapshot);
        match keeper.take_last_error() {
            Some(error) => SnapshotSave::Failed(error.to_string()),
            None if taken => SnapshotSave::Begun,
            None => SnapshotSave::Busy,
        }
    }

    /// Guards against a reader of the log that stops reading: a line that the pipe has no room for is
    /// dropped, since a write that blocks would hold up every request.
    fn log(&mut self, line: &str) {
        self.put_line(line, LOG_LINE_MOST / 4);
    }

    fn trace(&mut self, line: &str) {
        self.put_line(line, TRACE_LINE_MOST);
    }
}

impl MioTransport {
    /// A line to standard error, unless that would wait.
    fn put_line(&mut self, line: &str, most: usize) {
        if self.remote.is_some() {
            return;
        }
        let mut line: String = line
            .chars()
            .filter(|c| !c.is_control())
            .take(most)
            .collect();
        line.push('\n');
        let stderr = io::stderr();
        let mut ready = [rustix::event::PollFd::new(
            &stderr,
            rustix::event::PollFlags::OUT,
        )];
        let at_once = rustix::event::Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let polled = rustix::event::poll(&mut ready, Some(&at_once));
        if polled.is_ok_and(|n| n > 0) && ready[0].revents().contains(rustix::event::PollFlags::OUT)
        {
            let _ = stderr.lock().write_all(line.as_bytes());
        }
    }
}

impl Stream for TcpStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        Read::read(self, into)
    }

    fn write(&mut self, chunks: &[IoSlice]) -> io::Result<usize> {
        self.write_vectored(chunks)
    }

    fn quiet(&self) -> bool {
        matches!(self.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        TcpStream::take_error(self)
    }

    fn connected(&self) -> io::Result<()> {
        self.peer_addr().map(|_| ())
    }

    fn end(&mut self) -> io::Result<()> {
        self.shutdown(Shutdown::Write)
    }

    fn bound_sending(&mut self, bytes: usize) {
        let _ = socket2::SockRef::from(&*self).set_send_buffer_size(bytes);
    }
}
