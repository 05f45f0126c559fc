//! Emulator of a cache server, as the protocol specification describes it.
//!
//! The server has one core with a service time for each request, a bounded queue, a cold start, a limit of connections
//! and a cost for each new connection. It reads through to the origin, passes writes on to it, and can drain. Its
//! faults are corrupted and surplus responses, errors, stalls and slowness.

mod connections;
mod origin_link;
mod requests;
mod responses;
mod work;

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use requests::Reader;
use sloewick_codec::resp2::ReplyReader;
use sloewick_decision::api::Micros;

use crate::checker::observations::{Event, Id, Recorder};
use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Cut, Port, SendTimes};
use crate::rng::Rng;

/// Configuration of a cache server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The server's number in the run.
    pub number: usize,
    /// The address that the server listens on.
    pub at: SocketAddr,
    /// The address of the origin.
    pub origin: SocketAddr,
    /// The server uses the memcached binary protocol; if false, RESP2.
    pub memcached: bool,
    /// Speed of the core when warm, relative to a standard core.
    pub speed: f64,
    /// Mean work of a read, on a standard core.
    pub read_work: Micros,
    /// Mean work of a write, on a standard core.
    pub write_work: Micros,
    /// Limit of waiting attempts; the server rejects further ones.
    pub queue_capacity: usize,
    /// Limit of connections from nodes.
    pub connections: usize,
    /// Work of accepting a connection, on a standard core.
    pub handshake: Micros,
    /// How long a connection may be idle before the server closes it.
    pub idle: Micros,
    /// The server has just started, with an empty cache.
    pub cold: bool,
    /// Fraction of its capacity that a cold server starts with.
    pub cold_from: f64,
    /// Time from the start of a cold server until it has its whole capacity.
    pub warm_after: Micros,
    /// A cold server crashes when the mean work of the requests received during `fall` exceeds this multiple of its capacity in
    /// that time by more than an allowance for chance. 0: it does not crash.
    pub fall_multiple: f64,
    /// The length of the time window for `fall_multiple`.
    pub fall: Micros,
    /// Fraction of the keys that a server which is not cold has in its cache when the run begins.
    pub initial_hit_fraction: f64,
    /// Seed of the server's random stream.
    pub seed: u64,
}

/// A command of the fault scheduler to a cache server.
#[derive(Clone, Copy, Debug)]
pub enum ControlCommand {
    /// Rejects new attempts and finishes those it has accepted.
    Drain,
    /// Starts and completes no work for this long.
    Stall(Micros),
    /// Multiplies the time of all work by this factor.
    Slow(f64),
    /// Sets the fraction of the responses that are corrupted.
    Spoil(f64),
    /// Sets the fraction of the responses that are followed by surplus bytes.
    Surplus(f64),
    /// Sets the fraction of the responses that are sent again some milliseconds later, if the connection is idle then.
    LateSurplus(f64),
    /// Sets the fraction of the responses that are errors.
    Errors(f64),
    /// Cuts the links to and from its nodes, for a network that can't do that itself.
    Cut(Cut),
    /// Refuses new connections if true, and serves the open ones; false ends this.
    Refuse(bool),
}

/// The timers of a cache server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The core has completed the task with this number.
    CoreDone(u64),
    /// The server connects to the origin.
    ConnectOrigin,
    /// The server closes idle connections.
    CloseIdle,
    /// A stall has ended.
    StallOver,
    /// The next piece of an endless value is sent on this connection (its index and serial number).
    Trickle(usize, u64),
    /// The second copy of the last response is sent on this connection (its index and serial number).
    LateSurplus(usize, u64),
    /// What the connection has not accepted of that copy is discarded.
    LateSurplusOver(usize, u64),
}

/// An attempt that the server has received and not yet answered.
#[derive(Debug)]
struct Job {
    conn: usize,
    /// Serial number of the connection, since indices are used again.
    serial: u64,
    /// Number of the attempt in the run.
    attempt: u64,
    id: Id,
    key: Id,
    write: bool,
    idempotency_key: Option<Id>,
    /// Work on a standard core.
    work: Micros,
    /// When the node stops waiting.
    expires_at: Micros,
    /// The opaque that the response repeats; None for RESP2.
    opaque: Option<u32>,
}

/// The other end of a connection.
enum Peer {
    Node {
        reader: Reader,
        /// An attempt received on this connection has no response yet.
        busy: bool,
        /// A corrupted response was sent, after which nothing more is read.
        corrupted: bool,
        /// When the last request was received or the last response was sent.
        last_active: Micros,
    },
    Origin,
}

/// A cache server.
pub struct CacheServer<N: SendTimes> {
    port: Port<N, Timer>,
    settings: Settings,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rng: Rng,
    started_at: Micros,
    peers: HashMap<usize, Peer>,
    /// Attempts that wait for the core.
    queue: VecDeque<Job>,
    /// The number of the core's current task, and its attempt; None in place of the attempt: the handshake of a new
    /// connection.
    core: Option<(u64, Option<Job>)>,
    /// Number of new connections whose handshake waits for the core.
    pending_handshakes: usize,
    /// Number of the latest task of the core.
    last_core_task: u64,
    /// Number of the latest attempt.
    last_attempt: u64,
    /// The connection to the origin, also while it is being opened.
    origin: Option<usize>,
    origin_up: bool,
    origin_reader: ReplyReader,
    /// Attempts that wait for the origin, by the number of the call.
    origin_calls: HashMap<u64, Job>,
    /// Number of the latest call to the origin.
    last_origin_call: u64,
    /// Number of fetches in flight for each key.
    fetching: HashMap<Id, u32>,
    /// Version of each key that was fetched during the run.
    cached: HashMap<Id, u64>,
    /// Keys that were invalidated and not fetched since.
    invalidated: HashSet<Id>,
    /// Invalidations of a fraction of all keys: keys per thousand, and the salt of the hash that selects them.
    invalidated_fractions: Vec<(u64, u64)>,
    /// Time and mean work of each attempt received within `Settings::fall`.
    recent_work: VecDeque<(Micros, Micros)>,
    recent_work_sum: Micros,
    draining: bool,
    stalled_until: Micros,
    /// Factor of the time of all work.
    slowdown: f64,
    corrupted_fraction: f64,
    surplus_fraction: f64,
    late_surplus_fraction: f64,
    /// Second copies that are due, by index and serial number of their connection.
    late_surplus: HashMap<(usize, u64), Bytes>,
    error_fraction: f64,
    has_crashed: bool,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> CacheServer<N> {
    /// Creates a server that listens.
    ///
    /// # Errors
    /// The server's address cannot be listened on.
    pub fn new(
        net: N,
        settings: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> io::Result<CacheServer<N>> {
        let mut port = Port::new(net);
        port.listen(settings.at)?;
        let started_at = port.now();
        port.set_timer(started_at, Timer::ConnectOrigin);
        port.set_timer(started_at + settings.idle / 4, Timer::CloseIdle);
        recorder.record(
            port.unix(),
            Event::ServerStarted {
                server: settings.number,
                cold: settings.cold,
                speed: settings.speed,
            },
        );
        let rng = Rng::stream(settings.seed, "box", settings.number);
        // Attempt numbers are unique over all servers of a run.
        let last_attempt = (settings.number as u64) << 40;
        Ok(CacheServer {
            port,
            settings,
            command_queue,
            recorder,
            rng,
            started_at,
            peers: HashMap::new(),
            queue: VecDeque::new(),
            core: None,
            pending_handshakes: 0,
            last_core_task: 0,
            last_attempt,
            origin: None,
            origin_up: false,
            origin_reader: ReplyReader::default(),
            origin_calls: HashMap::new(),
            last_origin_call: 0,
            fetching: HashMap::new(),
            cached: HashMap::new(),
            invalidated: HashSet::new(),
            invalidated_fractions: Vec::new(),
            recent_work: VecDeque::new(),
            recent_work_sum: 0,
            draining: false,
            stalled_until: 0,
            slowdown: 1.0,
            corrupted_fraction: 0.0,
            surplus_fraction: 0.0,
            late_surplus_fraction: 0.0,
            late_surplus: HashMap::new(),
            error_fraction: 0.0,
            has_crashed: false,
            events: Vec::new(),
        })
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::CoreDone(number) => self.core_done(number),
            Timer::StallOver => self.start_next_task(),
            Timer::ConnectOrigin => self.connect_origin(),
            Timer::CloseIdle => self.close_idle(),
            Timer::Trickle(conn, serial) => self.send_trickle(conn, serial),
            Timer::LateSurplus(conn, serial) => self.send_late_surplus(conn, serial),
            Timer::LateSurplusOver(conn, serial) => self.end_late_surplus(conn, serial),
        }
    }
}

impl<N: SendTimes> Actor for CacheServer<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, event) in &events {
            if self.has_crashed {
                break;
            }
            let is_origin = matches!(self.peers.get(conn), Some(Peer::Origin));
            match event {
                ConnectionEvent::Accepted(_) => self.accept_connection(*conn),
                ConnectionEvent::Connected => self.origin_up |= is_origin,
                ConnectionEvent::Received if is_origin => self.read_origin(*conn),
                ConnectionEvent::Received => self.read_requests(*conn),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } if is_origin => {
                    self.peers.remove(conn);
                    self.handle_origin_close();
                }
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => {
                    self.close_connection(*conn);
                }
            }
        }
        self.events = events;
        while let Some(timer) = self.port.pop_due().filter(|_| !self.has_crashed) {
            self.handle_timer(timer);
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        let now = self.port.now();
        while let Some(command) = self.command_queue.pop() {
            match command {
                ControlCommand::Drain => self.draining = true,
                ControlCommand::Stall(time) => {
                    self.stalled_until = now + time;
                    self.port.set_timer(now + time, Timer::StallOver);
                }
                ControlCommand::Slow(times) => self.slowdown = times,
                ControlCommand::Spoil(fraction) => self.corrupted_fraction = fraction,
                ControlCommand::Surplus(fraction) => self.surplus_fraction = fraction,
                ControlCommand::LateSurplus(fraction) => self.late_surplus_fraction = fraction,
                ControlCommand::Errors(fraction) => self.error_fraction = fraction,
                ControlCommand::Cut(cut) => self.port.set_cut(cut),
                ControlCommand::Refuse(true) => self.port.close_listeners(),
                ControlCommand::Refuse(false) => {
                    // If another process has taken the address, the server goes on refusing connections.
                    let _ = self.port.listen(self.settings.at);
                }
            }
        }
        (!self.has_crashed).then(|| self.port.next_due())
    }
}
