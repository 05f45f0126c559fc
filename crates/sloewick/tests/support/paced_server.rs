//! A cache server on a thread of its own that reads requests and writes replies at a given pace, on any number of connections.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{hit_reply, listener, target};

/// How often the server looks at its connections.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Most bytes that are moved on a connection per poll if its pace does not limit them.
const MAX_BYTES_PER_POLL: usize = 256 << 10;

/// How fast bytes are moved: at most `bytes` at a time, with `pause` after each.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub(crate) bytes: usize,
    pub(crate) pause: Duration,
}

impl Pace {
    pub(crate) const UNLIMITED: Pace = Pace {
        bytes: MAX_BYTES_PER_POLL,
        pause: Duration::ZERO,
    };

    /// The pace that moves `total` bytes in `steps` equal parts within `time`.
    pub(crate) fn within(total: usize, time: Duration, steps: u32) -> Pace {
        Pace {
            bytes: total.div_ceil(steps as usize).max(1),
            pause: time / steps,
        }
    }
}

/// A request as the server received it.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) id: String,
    pub(crate) key: String,
    /// Number of the server among those that share a log.
    pub(crate) server: usize,
    /// When its last byte was read.
    pub(crate) at: Instant,
}

/// What a server replies to a request, and when.
pub(crate) struct PacedReply {
    pub(crate) bytes: Vec<u8>,
    pub(crate) after: Duration,
    pub(crate) pace: Pace,
}

impl PacedReply {
    pub(crate) fn value(len: usize) -> PacedReply {
        PacedReply {
            bytes: hit_reply(&vec![b'v'; len]),
            after: Duration::ZERO,
            pace: Pace::UNLIMITED,
        }
    }

    pub(crate) fn after(self, after: Duration) -> PacedReply {
        PacedReply { after, ..self }
    }

    pub(crate) fn paced(self, pace: Pace) -> PacedReply {
        PacedReply { pace, ..self }
    }
}

/// Returns the reply to a request; None for silence.
pub(crate) type ReplyTo = dyn Fn(&Received) -> Option<PacedReply> + Send + Sync;

/// The requests that servers have received, in the order of their arrival.
pub(crate) type ReceivedLog = Arc<Mutex<Vec<Received>>>;

/// A running server; it stops when dropped.
pub(crate) struct PacedServer {
    pub(crate) address: SocketAddr,
    pub(crate) target: Value,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    /// Number of replies that were cut off by the end of their connections.
    cut_off: Arc<Mutex<usize>>,
}

impl PacedServer {
    /// Starts a server with this number, whose uid is `s-NUMBER`.
    pub(crate) fn start(
        number: usize,
        read_pace: Pace,
        log: &ReceivedLog,
        reply_to: Arc<ReplyTo>,
    ) -> PacedServer {
        PacedServer::start_on(listener(), number, read_pace, log, reply_to)
    }

    /// The same on this listener.
    pub(crate) fn start_on(
        listener: TcpListener,
        number: usize,
        read_pace: Pace,
        log: &ReceivedLog,
        reply_to: Arc<ReplyTo>,
    ) -> PacedServer {
        listener.set_nonblocking(true).unwrap();
        let (stop, cut_off) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let address = listener.local_addr().unwrap();
        let target = target(&format!("s-{number}"), &listener);
        let mut server = ServerThread {
            listener,
            number,
            read_pace,
            log: Arc::clone(log),
            reply_to,
            connections: Vec::new(),
            scratch: vec![0; MAX_BYTES_PER_POLL],
            cut_off: Arc::clone(&cut_off),
        };
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                server.poll();
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        PacedServer {
            address,
            target,
            stop,
            thread: Some(thread),
            cut_off,
        }
    }

    /// Number of replies that were cut off by the end of their connections.
    pub(crate) fn cut_off(&self) -> usize {
        *self.cut_off.lock().unwrap()
    }
}

impl Drop for PacedServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Bytes of a reply that are not written yet.
struct Output {
    bytes: Vec<u8>,
    written: usize,
    pace: Pace,
    next_at: Instant,
}

struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
    read_at: Instant,
    output: VecDeque<Output>,
}

struct ServerThread {
    listener: TcpListener,
    number: usize,
    read_pace: Pace,
    log: ReceivedLog,
    reply_to: Arc<ReplyTo>,
    connections: Vec<Connection>,
    scratch: Vec<u8>,
    cut_off: Arc<Mutex<usize>>,
}

impl ServerThread {
    fn poll(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).unwrap();
            stream.set_nodelay(true).unwrap();
            self.connections.push(Connection {
                stream,
                input: Vec::new(),
                read_at: Instant::now(),
                output: VecDeque::new(),
            });
        }
        let mut connections = std::mem::take(&mut self.connections);
        connections.retain_mut(|connection| {
            let is_open = self.read(connection) && connection.write();
            if !is_open && !connection.output.is_empty() {
                *self.cut_off.lock().unwrap() += 1;
            }
            is_open
        });
        self.connections = connections;
    }

    /// Reads requests and queues their replies. Returns false if the connection has ended.
    fn read(&mut self, connection: &mut Connection) -> bool {
        let max_bytes = self.read_pace.bytes.min(MAX_BYTES_PER_POLL);
        if Instant::now() >= connection.read_at {
            match connection.stream.read(&mut self.scratch[..max_bytes]) {
                Ok(0) => return false,
                Ok(n) => {
                    connection.input.extend_from_slice(&self.scratch[..n]);
                    connection.read_at = Instant::now() + self.read_pace.pause;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        while let Some((words, len)) = parse_command(&connection.input) {
            connection.input.drain(..len);
            let received = Received {
                id: words[2].clone(),
                key: words[1].clone(),
                server: self.number,
                at: Instant::now(),
            };
            self.log.lock().unwrap().push(received.clone());
            if let Some(reply) = (self.reply_to)(&received) {
                connection.output.push_back(Output {
                    bytes: reply.bytes,
                    written: 0,
                    pace: reply.pace,
                    next_at: received.at + reply.after,
                });
            }
        }
        true
    }
}

impl Connection {
    /// Writes what is due of the first reply. Returns false if the connection has failed.
    fn write(&mut self) -> bool {
        let Some(output) = self.output.front_mut() else {
            return true;
        };
        if Instant::now() < output.next_at {
            return true;
        }
        let rest = &output.bytes[output.written..];
        match self
            .stream
            .write(&rest[..rest.len().min(output.pace.bytes)])
        {
            Ok(n) => output.written += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
            Err(_) => return false,
        }
        output.next_at = Instant::now() + output.pace.pause;
        if output.written == output.bytes.len() {
            self.output.pop_front();
        }
        true
    }
}

/// The first four words of the command at the beginning of `input`, and the length of the command; None while it is incomplete.
fn parse_command(input: &[u8]) -> Option<(Vec<String>, usize)> {
    let (mut at, count) = parse_header(input, 0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (start, len) = parse_header(input, at)?;
        at = start + len + 2;
        if input.len() < at {
            return None;
        }
        if words.len() < 4 {
            words.push(String::from_utf8_lossy(&input[start..start + len]).into_owned());
        }
    }
    Some((words, at))
}

/// Where the line that begins at `at` ends, and the number in it.
fn parse_header(input: &[u8], at: usize) -> Option<(usize, usize)> {
    let rest = input.get(at..)?;
    let end = rest.windows(2).position(|w| w == b"\r\n")?;
    let number = std::str::from_utf8(&rest[1..end]).unwrap().parse().unwrap();
    Some((at + end + 2, number))
}

/// Starts servers whose keys begin with the length of their values, which they write at this pace.
pub(crate) fn start_value_servers(count: usize, pace: Pace) -> Vec<PacedServer> {
    let log = ReceivedLog::default();
    let reply_to: Arc<ReplyTo> = Arc::new(move |received| {
        let len = received.key.split('/').find_map(|part| part.parse().ok());
        Some(PacedReply::value(len.unwrap_or(10)).paced(pace))
    });
    let start = |number| PacedServer::start(number, Pace::UNLIMITED, &log, Arc::clone(&reply_to));
    (1..=count).map(start).collect()
}

/// The entries of an endpoint list for these servers.
pub(crate) fn targets_of(servers: &[PacedServer]) -> Vec<Value> {
    servers.iter().map(|server| server.target.clone()).collect()
}
