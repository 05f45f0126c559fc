//! Emulator of clients that go on using each open connection until its end.
//!
//! Each node has a fixed set of connections of several [`Usage`]s. A connection carries requests until the node closes it,
//! also while that node shuts down; a new one follows as long as the load balancer in front sends to the node. What becomes
//! of each request is reported to the checker: its answer, or the end of its connection without one.

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

/// How much longer than its deadline a client waits for an answer, so that a late answer is told from none.
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
    /// So many requests at once, and the next ones when all have their answers.
    Pipelined(usize),
    /// One request now and then.
    Resting,
    /// One request for each connection, which the client closes then.
    OneRequest,
    /// So many requests at once, after which the client disconnects without waiting for answers.
    Flood(usize),
}

/// The clients of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where each node listens.
    pub nodes: Vec<SocketAddr>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Names of the tenants, with equal shares.
    pub tenants: Vec<String>,
    /// Number of keys.
    pub keys: usize,
    /// The connections to each node.
    pub connections: Vec<Usage>,
    /// Mean pause between a connection's answers and its next requests.
    pub think_time: Micros,
    /// The same for a connection that rests.
    pub resting_interval: Micros,
    /// Part of the times in which a client disconnects behind its requests.
    pub impatient: f64,
    /// No requests after this.
    pub until: Micros,
    /// Seed of all draws.
    pub seed: u64,
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The connection's next requests.
    Send(usize, u64),
    /// The first request on the connection has no answer.
    GiveUp(usize, u64),
    /// A connection of this position is opened.
    Open {
        /// Its node.
        node: usize,
        /// Its position among the node's connections.
        position: usize,
    },
    /// A node is asked whether it answers.
    Ping(usize),
}

/// A request without an answer yet.
struct PendingRequest {
    id: Id,
    write: bool,
    sent: Micros,
    /// Until when its answer is due, behind those before it.
    due: Micros,
}

struct Connection {
    serial: u64,
    node: usize,
    /// Its position among the node's connections; none: it asks whether the node answers.
    position: Option<usize>,
    is_up: bool,
    reader: ReplyReader,
    has_partial_answer: bool,
    answers: u64,
    pending: VecDeque<PendingRequest>,
}

/// The clients, and the load balancer before the nodes.
pub struct PersistentClients<N: SendTimes> {
    port: Port<N, Due>,
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
    /// Clients that connect to each node once it answers PING.
    pub fn new(
        net: N,
        settings: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> PersistentClients<N> {
        let mut port = Port::new(net);
        let nodes = settings.nodes.len();
        (0..nodes).for_each(|node| port.set_timer(port.now(), Due::Ping(node)));
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

    /// Opens a connection.
    fn open(&mut self, node: usize, position: Option<usize>) {
        let now = self.port.now();
        if now >= self.settings.until || position.is_some() && !self.is_listed[node] {
            return;
        }
        let Ok(key) = self.port.connect(self.settings.nodes[node]) else {
            return self.open_again(node, position);
        };
        let connection = Connection {
            serial: self.port.connection(key).map_or(0, |line| line.serial),
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

    fn open_again(&mut self, node: usize, position: Option<usize>) {
        let now = self.port.now();
        match position {
            Some(position) => self
                .port
                .set_timer(now + RECONNECT_PAUSE, Due::Open { node, position }),
            None => self.port.set_timer(now + PING_INTERVAL, Due::Ping(node)),
        }
    }

    fn usage(&self, connection: &Connection) -> Option<Usage> {
        self.settings.connections.get(connection.position?).copied()
    }

    fn connected(&mut self, key: usize) {
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
                .set_timer(give_up, Due::GiveUp(key, connection.serial));
        }
        let leaves = matches!(usage, Usage::Flood(_)) || self.rng.chance(self.settings.impatient);
        if leaves {
            self.disconnect(key);
        }
    }

    /// Adds a request to the bytes that are about to be sent on a connection.
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
        // Answers come in the order of requests: the time for which one waits for those before it does not count.
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

    fn read(&mut self, key: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&key) else {
                return;
            };
            let Some(line) = self.port.connection(key) else {
                return;
            };
            match connection.reader.next(&mut line.buf) {
                Ok(Some(DecodeEvent::Complete(reply))) => {
                    connection.has_partial_answer = false;
                    self.replied(key, &reply);
                }
                Ok(Some(_)) => connection.has_partial_answer = true,
                Ok(None) => {
                    connection.has_partial_answer =
                        connection.reader.is_mid_message() || !line.buf.is_empty();
                    return;
                }
                Err(error) => {
                    let (node, bytes) = (connection.node, error.message().to_string());
                    self.record(Event::UnsolicitedBytes { node, bytes });
                    return self.closed(key);
                }
            }
        }
    }

    fn replied(&mut self, key: usize, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let node = connection.node;
        if connection.position.is_none() {
            return self.pinged(key, node, reply);
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
        self.port.set_timer(at, Due::Send(key, serial));
    }

    /// A node has answered PING.
    fn pinged(&mut self, key: usize, node: usize, reply: &Reply) {
        self.port.close(key);
        self.connections.remove(&key);
        if !matches!(reply, Reply::Single(Element::Simple(text)) if text == "PONG") {
            return self.open_again(node, None);
        }
        self.is_listed[node] = true;
        self.record(Event::NodeReady { node });
        for position in 0..self.settings.connections.len() {
            self.open(node, Some(position));
        }
    }

    /// The client closes a connection; whatever is pending on it is given up.
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
        self.open_again(connection.node, connection.position);
    }

    /// The node has closed a connection, or it broke.
    fn closed(&mut self, key: usize) {
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
        self.open_again(node, connection.position);
    }

    fn due(&mut self, due: Due) {
        let is_current = |clients: &Self, key: &usize, serial: u64| {
            let connection = clients.connections.get(key);
            connection.is_some_and(|connection| connection.serial == serial)
        };
        match due {
            Due::Send(key, serial) if is_current(self, &key, serial) => self.send_requests(key),
            Due::GiveUp(key, serial) if is_current(self, &key, serial) => {
                let first = self.connections[&key].pending.front();
                if first.is_some_and(|first| first.due + GIVE_UP_MARGIN <= self.port.now()) {
                    self.disconnect(key);
                }
            }
            Due::Open { node, position } => self.open(node, Some(position)),
            Due::Ping(node) => self.open(node, None),
            Due::Send(..) | Due::GiveUp(..) => {}
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
                ConnectionEvent::Connected => self.connected(*key),
                ConnectionEvent::Received => self.read(*key),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => self.closed(*key),
                ConnectionEvent::Accepted(_) => {}
            }
        }
        self.events = events;
        while let Some(due) = self.port.pop_due() {
            self.due(due);
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        while let Some(command) = self.command_queue.pop() {
            match command {
                ControlCommand::Down(node) => self.is_listed[node] = false,
                ControlCommand::Up(node) => self.port.set_timer(self.port.now(), Due::Ping(node)),
                ControlCommand::Impatient(fraction) => self.settings.impatient = fraction,
                // The load follows from the connections.
                ControlCommand::Rate(_) | ControlCommand::Hot { .. } => {}
            }
        }
        Some(self.port.next_due())
    }
}
