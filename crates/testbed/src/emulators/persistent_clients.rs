//! Emulator of clients that use each connection until the node closes it.
//!
//! Each node has a fixed set of connections of several [`Usage`]s. A connection carries requests until the node closes
//! it, also while that node shuts down. Clients replace it as long as the load balancer sends new connections to the
//! node. They report the outcome of each request to the checker: its answer, or the end of its connection without one.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use sloewick_codec::resp2::{write_bulk, write_header, DecodeEvent, Element, Reply, ReplyReader};
use sloewick_decision::api::Micros;

use crate::checker::observations::{Event, Id, Recorder};
use crate::commands::CommandQueue;
use crate::emulators::clients::{resp_answer, Class, ControlCommand};
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};
use crate::rng::Rng;

/// How long after its deadline a client still waits, so that a late answer is distinguished from a missing one.
const GIVE_UP_MARGIN: Micros = 1_000_000;
/// Pause before an ended connection is replaced.
const RECONNECT_PAUSE: Micros = 30_000;
/// Pause between two checks whether a started node answers PING.
const PING_INTERVAL: Micros = 50_000;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const VALUE_BYTES: usize = 24;

/// How a connection is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// One request at a time.
    Serial,
    /// This many requests at once, and the next ones once all of them have answers.
    Pipelined(usize),
    /// One request at a time, with long pauses ([`Settings::resting_interval`]).
    Resting,
    /// One request, after whose answer the client closes the connection.
    OneRequest,
    /// This many requests at once, after which the client disconnects without waiting for answers.
    Flood(usize),
}

/// Configuration of the clients of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The RESP2 listener of each node.
    pub nodes: Vec<SocketAddr>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Names of the tenants, with equal shares.
    pub tenants: Vec<String>,
    /// Number of keys.
    pub keys: usize,
    /// How each of the connections to a node is used.
    pub connections: Vec<Usage>,
    /// Mean pause between a connection's answers and its next requests.
    pub think_time: Micros,
    /// Mean pause of a connection with [`Usage::Resting`].
    pub resting_interval: Micros,
    /// Probability that a client disconnects right after it has sent its requests.
    pub impatient: f64,
    /// Time after which clients send no requests.
    pub until: Micros,
    /// Seed of the clients' random stream.
    pub seed: u64,
}

/// The timers of the clients and the load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The next requests are sent on this connection (index and serial number).
    Send(usize, u64),
    /// The client stops waiting for the first request on this connection (index and serial number).
    GiveUp(usize, u64),
    /// A client opens a connection.
    Open {
        /// The node that the connection goes to.
        node: usize,
        /// Position in [`Settings::connections`].
        position: usize,
    },
    /// The load balancer checks whether this node answers PING.
    Ping(usize),
}

/// A request that has no answer yet.
struct PendingRequest {
    id: Id,
    write: bool,
    sent: Micros,
    /// When its answer is due, after those of the requests before it.
    due: Micros,
}

struct Connection {
    serial: u64,
    node: usize,
    /// Position in [`Settings::connections`]; None: the load balancer checks with it whether the node answers PING.
    position: Option<usize>,
    is_up: bool,
    reader: ReplyReader,
    has_partial_answer: bool,
    answers: u64,
    pending: VecDeque<PendingRequest>,
}

/// The clients, and the load balancer in front of the nodes.
pub struct PersistentClients<N: SendTimes> {
    port: Port<N, Timer>,
    settings: Settings,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rng: Rng,
    /// Whether the load balancer sends new connections to a node.
    is_listed: Vec<bool>,
    connections: HashMap<usize, Connection>,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> PersistentClients<N> {
    /// Creates clients that connect to each node once it answers PING.
    pub fn new(
        net: N,
        settings: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> PersistentClients<N> {
        let mut port = Port::new(net);
        let nodes = settings.nodes.len();
        (0..nodes).for_each(|node| port.set_timer(port.now(), Timer::Ping(node)));
        let rng = Rng::stream(settings.seed, "persistent clients", 0);
        PersistentClients {
            port,
            settings,
            command_queue,
            recorder,
            rng,
            is_listed: vec![false; nodes],
            connections: HashMap::new(),
            events: Vec::new(),
        }
    }

    fn record(&mut self, event: Event) {
        self.recorder.record(self.port.unix(), event);
    }

    /// Opens a connection, unless no more requests are to be sent or the load balancer does not list the node.
    fn open(&mut self, node: usize, position: Option<usize>) {
        let now = self.port.now();
        if now >= self.settings.until || position.is_some() && !self.is_listed[node] {
            return;
        }
        let Ok(key) = self.port.connect(self.settings.nodes[node]) else {
            return self.reopen_later(node, position);
        };
        let connection = Connection {
            serial: self
                .port
                .connection(key)
                .map_or(0, |port_connection| port_connection.serial),
            node,
            position,
            is_up: false,
            reader: ReplyReader::default(),
            has_partial_answer: false,
            answers: 0,
            pending: VecDeque::new(),
        };
        self.connections.insert(key, connection);
    }

    /// Schedules the next attempt to open a connection.
    fn reopen_later(&mut self, node: usize, position: Option<usize>) {
        let now = self.port.now();
        match position {
            Some(position) => self
                .port
                .set_timer(now + RECONNECT_PAUSE, Timer::Open { node, position }),
            None => self.port.set_timer(now + PING_INTERVAL, Timer::Ping(node)),
        }
    }

    fn usage(&self, connection: &Connection) -> Option<Usage> {
        self.settings.connections.get(connection.position?).copied()
    }

    fn handle_connected(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        connection.is_up = true;
        if connection.position.is_none() {
            return self.port.send(key, Bytes::from_static(PING));
        }
        self.send_requests(key);
    }

    /// Sends the next requests on a connection, all in one write.
    fn send_requests(&mut self, key: usize) {
        if self.port.now() >= self.settings.until {
            return;
        }
        let Some(usage) = self.connections.get(&key).and_then(|c| self.usage(c)) else {
            return;
        };
        let count = match usage {
            Usage::Serial | Usage::Resting | Usage::OneRequest => 1,
            Usage::Pipelined(count) | Usage::Flood(count) => count,
        };
        let mut bytes = Vec::new();
        for _ in 0..count {
            self.add_request(key, &mut bytes);
        }
        self.port.send(key, bytes.into());
        let Some(connection) = self.connections.get(&key) else {
            return;
        };
        if let Some(last) = connection.pending.back() {
            let give_up = last.due + GIVE_UP_MARGIN;
            self.port
                .set_timer(give_up, Timer::GiveUp(key, connection.serial));
        }
        let disconnects =
            matches!(usage, Usage::Flood(_)) || self.rng.chance(self.settings.impatient);
        if disconnects {
            self.disconnect(key);
        }
    }

    /// Appends a request to the bytes that are to be sent on a connection.
    fn add_request(&mut self, key: usize, bytes: &mut Vec<u8>) {
        let now = self.port.now();
        let class = self.draw_class();
        let Class {
            deadline,
            write,
            keyed,
            ..
        } = self.settings.classes[class];
        let tenant = self.rng.below(self.settings.tenants.len());
        let cache_key = self.rng.below(self.settings.keys);
        let id = Id::from(format!("{:016x}", self.rng.next_u64()));
        let idempotency_key = keyed.then(|| Id::from(format!("{:016x}", self.rng.next_u64())));
        let budget = (deadline as f64 * self.rng.between(0.7, 1.0)) as Micros;
        let mut fields = format!(
            "c={},t={},d={}",
            self.settings.classes[class].name,
            self.settings.tenants[tenant],
            (budget + 999) / 1000
        );
        if let Some(idempotency_key) = &idempotency_key {
            fields.push_str(",k=");
            fields.push_str(idempotency_key);
        }
        let name = format!("logger/{cache_key:05}");
        write_command(bytes, write, &[&name, &id, &fields]);
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        // Answers come in the order of the requests, so a request's time limit starts when those before it are due.
        let begins = connection
            .pending
            .back()
            .map_or(now, |last| last.due.max(now));
        let due = begins + budget;
        let node = connection.node;
        connection.pending.push_back(PendingRequest {
            id: id.clone(),
            write,
            sent: now,
            due,
        });
        self.record(Event::RequestSent {
            first: id.clone(),
            id,
            node,
            class,
            tenant,
            key: cache_key,
            idempotency_key,
            budget: due - now,
        });
    }

    fn draw_class(&mut self) -> usize {
        let mut at = self.rng.unit_interval();
        let class = self.settings.classes.iter().position(|class| {
            at -= class.share;
            at < 0.0
        });
        class.unwrap_or(0)
    }

    fn read_replies(&mut self, key: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&key) else {
                return;
            };
            let Some(port_connection) = self.port.connection(key) else {
                return;
            };
            match connection.reader.next(&mut port_connection.buf) {
                Ok(Some(DecodeEvent::Complete(reply))) => {
                    connection.has_partial_answer = false;
                    self.handle_reply(key, &reply);
                }
                Ok(Some(_)) => connection.has_partial_answer = true,
                Ok(None) => {
                    connection.has_partial_answer =
                        connection.reader.is_mid_message() || !port_connection.buf.is_empty();
                    return;
                }
                Err(error) => {
                    let (node, bytes) = (connection.node, error.message().to_string());
                    self.record(Event::UnsolicitedBytes { node, bytes });
                    return self.handle_close(key);
                }
            }
        }
    }

    fn handle_reply(&mut self, key: usize, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let node = connection.node;
        if connection.position.is_none() {
            return self.handle_ping_reply(key, node, reply);
        }
        let Some(request) = connection.pending.pop_front() else {
            let bytes = format!("{reply:?}").chars().take(120).collect();
            return self.record(Event::UnsolicitedBytes { node, bytes });
        };
        connection.answers += 1;
        let (serial, is_idle) = (connection.serial, connection.pending.is_empty());
        let usage = self.connections.get(&key).and_then(|c| self.usage(c));
        let answer = resp_answer(reply, &request.id, request.write);
        self.record(Event::Answered {
            id: request.id,
            answer,
        });
        if !is_idle {
            return;
        }
        if usage == Some(Usage::OneRequest) {
            return self.disconnect(key);
        }
        let mean = if usage == Some(Usage::Resting) {
            self.settings.resting_interval
        } else {
            self.settings.think_time
        };
        let at = self.port.now() + self.rng.exponential(mean as f64) as Micros;
        self.port.set_timer(at, Timer::Send(key, serial));
    }

    /// Handles the answer to PING: the load balancer lists the node, and clients connect to it.
    fn handle_ping_reply(&mut self, key: usize, node: usize, reply: &Reply) {
        self.port.close(key);
        self.connections.remove(&key);
        if !matches!(reply, Reply::Single(Element::Simple(text)) if text == "PONG") {
            return self.reopen_later(node, None);
        }
        self.is_listed[node] = true;
        self.record(Event::NodeReady { node });
        for position in 0..self.settings.connections.len() {
            self.open(node, Some(position));
        }
    }

    /// Closes a connection from the client's side, which cancels the requests pending on it.
    fn disconnect(&mut self, key: usize) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        for request in &connection.pending {
            self.record(Event::ClientDisconnected {
                id: request.id.clone(),
            });
        }
        self.port.close(key);
        self.reopen_later(connection.node, connection.position);
    }

    /// Handles a connection that the node has closed, or that failed.
    fn handle_close(&mut self, key: usize) {
        self.port.close(key);
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        let now = self.port.now();
        let node = connection.node;
        if !connection.is_up && connection.position.is_some() && self.is_listed[node] {
            self.record(Event::ConnectionRefused { node });
        }
        for (index, request) in connection.pending.iter().enumerate() {
            self.record(Event::ClosedUnanswered {
                id: request.id.clone(),
                node,
                after: now - request.sent,
                is_first: connection.answers == 0 && index == 0,
                partial: connection.has_partial_answer && index == 0,
            });
        }
        self.reopen_later(node, connection.position);
    }

    fn handle_timer(&mut self, timer: Timer) {
        let is_current = |clients: &Self, key: &usize, serial: u64| {
            let connection = clients.connections.get(key);
            connection.is_some_and(|connection| connection.serial == serial)
        };
        match timer {
            Timer::Send(key, serial) if is_current(self, &key, serial) => self.send_requests(key),
            Timer::GiveUp(key, serial) if is_current(self, &key, serial) => {
                let first = self.connections[&key].pending.front();
                if first.is_some_and(|first| first.due + GIVE_UP_MARGIN <= self.port.now()) {
                    self.disconnect(key);
                }
            }
            Timer::Open { node, position } => self.open(node, Some(position)),
            Timer::Ping(node) => self.open(node, None),
            Timer::Send(..) | Timer::GiveUp(..) => {}
        }
    }
}

fn write_command(out: &mut Vec<u8>, write: bool, words: &[&str; 3]) {
    write_header(out, b'*', if write { 5 } else { 4 });
    write_bulk(out, if write { b"C.SET" } else { b"C.GET" });
    for word in words {
        write_bulk(out, word.as_bytes());
    }
    if write {
        write_bulk(out, &[b'w'; VALUE_BYTES]);
    }
}

impl<N: SendTimes> Actor for PersistentClients<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (key, event) in &events {
            match event {
                ConnectionEvent::Connected => self.handle_connected(*key),
                ConnectionEvent::Received => self.read_replies(*key),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => {
                    self.handle_close(*key);
                }
                ConnectionEvent::Accepted(_) => {}
            }
        }
        self.events = events;
        while let Some(timer) = self.port.pop_due() {
            self.handle_timer(timer);
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        while let Some(command) = self.command_queue.pop() {
            match command {
                ControlCommand::Down(node) => self.is_listed[node] = false,
                ControlCommand::Up(node) => self.port.set_timer(self.port.now(), Timer::Ping(node)),
                ControlCommand::Impatient(fraction) => self.settings.impatient = fraction,
                // The connections determine the load.
                ControlCommand::Rate(_) | ControlCommand::Hot { .. } => {}
            }
        }
        Some(self.port.next_due())
    }
}
