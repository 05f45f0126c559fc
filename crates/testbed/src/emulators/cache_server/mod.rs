//! Emulator of a cache server, from the protocol page: work with a service time on one core, a bounded queue, a
//! cold start, a connection cap and a cost for each new connection, read-through, writes passed to the origin,
//! drain, and faults: corrupted and surplus answers, errors, stalls, slowness.

mod connections;
mod origin_link;
mod requests;
mod responses;
mod work;

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;

use requests::Reader;
use sloewick_codec::resp2::ReplyReader;
use sloewick_decision::api::Micros;

use crate::checker::observations::{Event, Id, Recorder};
use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Cut, Port, SendTimes};
use crate::rng::Rng;

#[derive(Clone, Debug)]
pub struct Settings {
    pub number: usize,
    pub at: SocketAddr,
    pub origin: SocketAddr,
    /// It speaks the memcached binary protocol.
    pub memcached: bool,
    /// Standard cores' work done in a microsecond, when warm.
    pub speed: f64,
    /// Mean work of a read and of a write, on a standard core.
    pub read_work: Micros,
    pub write_work: Micros,
    /// Attempts that may wait; more are turned away.
    pub queue_capacity: usize,
    pub connections: usize,
    /// Work of a new connection.
    pub handshake: Micros,
    pub idle: Micros,
    /// It has just started, with nothing kept.
    pub cold: bool,
    /// The part of its capacity it starts with, and how long until it is warm.
    pub cold_from: f64,
    pub warm_after: Micros,
    /// It falls over when sent so many times what it can do, for so long.
    pub fall_multiple: f64,
    pub fall: Micros,
    /// The part of reads of keys not asked for before that it holds from before the run, when not cold.
    pub initial_hit_fraction: f64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum ControlCommand {
    /// It turns away what is new and finishes what it has.
    Drain,
    Stall(Micros),
    /// So many times slower.
    Slow(f64),
    /// Parts of the answers that are spoilt, that bring more than belongs to them, that are errors.
    Spoil(f64),
    Surplus(f64),
    Errors(f64),
    /// The ways to and from its nodes are cut, where the network itself can't do that.
    Cut(Cut),
    /// It takes no new connections, and serves those it has.
    Refuse(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The core is done with what it works on.
    Core(u64),
    Origin,
    Idle,
    StallOver,
    /// More of a value without end.
    Trickle(usize, u64),
}

#[derive(Debug)]
struct Job {
    conn: usize,
    serial: u64,
    attempt: u64,
    id: Id,
    key: Id,
    write: bool,
    idempotency_key: Option<Id>,
    work: Micros,
    over: Micros,
    /// Memcached: what goes back with the answer.
    opaque: Option<u32>,
}

enum Peer {
    Node {
        reader: Reader,
        busy: bool,
        corrupted: bool,
        active: Micros,
    },
    Origin,
}

pub struct CacheServer<N: SendTimes> {
    port: Port<N, Due>,
    set: Settings,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rng: Rng,
    began: Micros,
    peers: HashMap<usize, Peer>,
    queue: VecDeque<Job>,
    /// What the core works on: a job, or the greeting of a new connection.
    core: Option<(u64, Option<Job>)>,
    greetings: usize,
    core_number: u64,
    attempts: u64,
    origin: Option<usize>,
    origin_up: bool,
    origin_reader: ReplyReader,
    calls: HashMap<u64, Job>,
    call: u64,
    /// Keys with a fetch out.
    fetching: HashMap<Id, u32>,
    cached: HashMap<Id, u64>,
    voided: HashSet<Id>,
    void_parts: Vec<(u64, u64)>,
    received: VecDeque<(Micros, Micros)>,
    received_sum: Micros,
    draining: bool,
    stalled_until: Micros,
    slow: f64,
    spoil: f64,
    surplus: f64,
    errors: f64,
    fallen: bool,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> CacheServer<N> {
    /// # Errors
    /// Its address cannot be listened on.
    pub fn new(
        net: N,
        set: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> io::Result<CacheServer<N>> {
        let mut port = Port::new(net);
        port.listen(set.at)?;
        let began = port.now();
        port.set_timer(began, Due::Origin);
        port.set_timer(began + set.idle / 4, Due::Idle);
        recorder.record(
            port.unix(),
            Event::ServerStarted {
                server: set.number,
                cold: set.cold,
                speed: set.speed,
            },
        );
        let rng = Rng::stream(set.seed, "box", set.number);
        // No two boxes give one number.
        let attempts = (set.number as u64) << 40;
        Ok(CacheServer {
            port,
            set,
            command_queue,
            recorder,
            rng,
            began,
            peers: HashMap::new(),
            queue: VecDeque::new(),
            core: None,
            greetings: 0,
            core_number: 0,
            attempts,
            origin: None,
            origin_up: false,
            origin_reader: ReplyReader::default(),
            calls: HashMap::new(),
            call: 0,
            fetching: HashMap::new(),
            cached: HashMap::new(),
            voided: HashSet::new(),
            void_parts: Vec::new(),
            received: VecDeque::new(),
            received_sum: 0,
            draining: false,
            stalled_until: 0,
            slow: 1.0,
            spoil: 0.0,
            surplus: 0.0,
            errors: 0.0,
            fallen: false,
            events: Vec::new(),
        })
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Core(number) => self.core_done(number),
            Due::StallOver => self.start(),
            Due::Origin => self.connect_origin(),
            Due::Idle => self.close_idle(),
            Due::Trickle(conn, serial) => self.trickle(conn, serial),
        }
    }
}

impl<N: SendTimes> Actor for CacheServer<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, what) in &events {
            if self.fallen {
                break;
            }
            let origin = matches!(self.peers.get(conn), Some(Peer::Origin));
            match what {
                ConnectionEvent::Accepted(_) => self.opened(*conn),
                ConnectionEvent::Connected => self.origin_up |= origin,
                ConnectionEvent::Received if origin => self.origin_bytes(*conn),
                ConnectionEvent::Received => self.read(*conn),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } if origin => {
                    self.peers.remove(conn);
                    self.origin_lost();
                }
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => self.close(*conn),
            }
        }
        self.events = events;
        while let Some(due) = self.port.pop_due().filter(|_| !self.fallen) {
            self.due(due);
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        let now = self.port.now();
        while let Some(order) = self.command_queue.pop() {
            match order {
                ControlCommand::Drain => self.draining = true,
                ControlCommand::Stall(time) => {
                    self.stalled_until = now + time;
                    self.port.set_timer(now + time, Due::StallOver);
                }
                ControlCommand::Slow(times) => self.slow = times,
                ControlCommand::Spoil(fraction) => self.spoil = fraction,
                ControlCommand::Surplus(fraction) => self.surplus = fraction,
                ControlCommand::Errors(fraction) => self.errors = fraction,
                ControlCommand::Cut(cut) => self.port.set_cut(cut),
                ControlCommand::Refuse(true) => self.port.close_listeners(),
                ControlCommand::Refuse(false) => {
                    // Taken meanwhile by another, it stays closed to new ones.
                    let _ = self.port.listen(self.set.at);
                }
            }
        }
        (!self.fallen).then(|| self.port.next_due())
    }
}
