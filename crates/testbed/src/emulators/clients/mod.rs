//! Emulator of well-behaved clients behind a load balancer.
//!
//! The load balancer spreads requests over the nodes round robin and notices late that a node has died. Clients retry
//! once, give up after their deadline and may disconnect early. Every request and its outcome is reported to the
//! checker.

mod answers;
mod connections;
mod requests;

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use sloewick_codec::memcached::ResponseReader;
use sloewick_codec::resp2::ReplyReader;
use sloewick_decision::api::Micros;

use crate::checker::observations::{Event, Id, Recorder};
use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};
use crate::protocol_options::Clients;
use crate::rng::Rng;
pub(crate) use answers::resp_answer;

/// Limit of connections for requests to one listener of a node.
const MAX_CONNECTIONS: usize = 80;
/// How long after its deadline a client still waits, so that a late answer is distinguished from a missing one.
const GIVE_UP_MARGIN: Micros = 400_000;
/// How long the short id of a request is not used again: an overloaded origin may carry out the request late.
const SHORT_ID_REUSE_DELAY: Micros = 20_000_000;
/// Pause between two checks whether a started node answers PING.
const PING_INTERVAL: Micros = 50_000;

/// The properties of a request class that clients use.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class, as requests state it.
    pub name: String,
    /// Fraction of all requests, from 0 to 1.
    pub share: f64,
    /// Longest time limit of a request, and the time after the first request in which a retry may start.
    pub deadline: Micros,
    /// Requests write; if false, they read.
    pub write: bool,
    /// Requests carry an idempotency key, with which clients retry them after a failure.
    pub keyed: bool,
    /// Clients may retry the request after any failure, without an idempotency key.
    pub free: bool,
}

/// Configuration of the client pool.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The RESP2 listener of each node.
    pub nodes: Vec<SocketAddr>,
    /// The listener of each node for the memcached binary protocol.
    pub memcached: Vec<SocketAddr>,
    /// The protocols that clients use.
    pub protocols: Clients,
    /// Some cache servers identify a request only by its short id, so that clients must not reuse one early.
    pub short_names: bool,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Name of each tenant and its fraction of all requests.
    pub tenants: Vec<(String, f64)>,
    /// First requests per second, over all nodes; retries come on top.
    pub rate: f64,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of the keys' popularity.
    pub zipf: f64,
    /// Probability that a client retries a first request that failed and may be retried. It retries once.
    pub retries: f64,
    /// Pause before a retry, unless the node's response states one.
    pub backoff: Micros,
    /// Fraction of the requests whose client disconnects before the deadline.
    pub impatient: f64,
    /// Time after which no first requests start.
    pub until: Micros,
    /// Seed of the clients' random stream.
    pub seed: u64,
}

/// A command of the fault scheduler to the clients.
#[derive(Clone, Copy, Debug)]
pub enum ControlCommand {
    /// Multiplies the configured request rate by this factor.
    Rate(f64),
    /// Directs this fraction of all requests to the first `keys` keys; a fraction of 0 restores the Zipf distribution.
    Hot { keys: usize, fraction: f64 },
    /// The load balancer has noticed that a node is down, and sends no further requests to it.
    Down(usize),
    /// A node has been started; the load balancer uses it once it answers PING.
    Up(usize),
    /// Sets the fraction of the requests whose client disconnects early.
    Impatient(f64),
}

/// The timers of the clients and the load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The next first request starts.
    Arrival,
    /// The client of this request stops waiting for an answer.
    GiveUp(u64),
    /// The client of this request disconnects early.
    Disconnect(u64),
    /// The client retries this request.
    Retry(u64),
    /// The load balancer checks whether this node answers PING.
    Ping(usize),
}

/// A first request or a retry that has no answer yet, or that is to be retried.
struct PendingRequest {
    id: Id,
    /// Id of the first request: its own, or that of the request that it retries.
    first: Id,
    is_first: bool,
    node: usize,
    memcached: bool,
    class: usize,
    tenant: usize,
    key: usize,
    idempotency_key: Option<Id>,
    budget: Micros,
    /// When the first request started.
    first_at: Micros,
    conn: Option<usize>,
    /// When this request was first written to a connection; None before that.
    written_at: Option<Micros>,
    /// It is sent again because its first connection closed.
    resent: bool,
    /// The close of its first connection, if the request crossed it.
    crossed_close: Option<CrossedClose>,
    /// The encoded request.
    bytes: Bytes,
}

impl PendingRequest {
    /// Whether its client stops waiting; always if it was never written.
    fn is_overdue(&self, now: Micros) -> bool {
        self.written_at
            .is_none_or(|at| now >= at + self.budget + GIVE_UP_MARGIN)
    }
}

/// The close of a connection by a node while a request was on its way to that node.
#[derive(Clone, Copy)]
struct CrossedClose {
    node: usize,
    /// Time from the first write of the request until its client observed the close.
    after: Micros,
    /// Whether the request was the first one on the connection.
    is_first: bool,
}

/// Decodes the responses of a node, in the protocol of the connection.
enum Reader {
    Resp(ReplyReader),
    Memcached(ResponseReader),
}

struct Connection {
    node: usize,
    is_connected: bool,
    /// Number of requests answered on this connection.
    answers: u64,
    reader: Reader,
    /// The request that waits for its answer on this connection.
    request_number: Option<u64>,
    /// The load balancer uses the connection to check whether the node answers PING.
    is_ping: bool,
    /// An answer has been received in part.
    partial: bool,
}

/// The clients and the load balancer in front of the nodes.
pub struct ClientPool<N: SendTimes> {
    port: Port<N, Timer>,
    settings: Settings,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rng: Rng,
    /// Factor of the configured request rate.
    rate_factor: f64,
    /// When the next first request starts.
    next_arrival: Micros,
    /// Number of hot keys, and the fraction of all requests that they receive.
    hot_keys: (usize, f64),
    /// For each key, the sum of the weights of the keys up to it.
    cumulative_weights: Vec<f64>,
    /// Whether the load balancer sends requests to a node.
    is_up: Vec<bool>,
    /// The node that the load balancer chose last.
    last_node: usize,
    /// The requests that have no answer yet, or that are to be retried, by number.
    requests: HashMap<u64, PendingRequest>,
    /// Requests that wait for a connection, by listener: the RESP2 listeners of all nodes, then the memcached ones.
    waiting: Vec<VecDeque<u64>>,
    conns: HashMap<usize, Connection>,
    /// Idle connections, by listener.
    idle: Vec<Vec<usize>>,
    /// Number of open connections, by listener.
    open: Vec<usize>,
    /// Recently used short ids (lower halves of opaques), if some cache server identifies requests only by those.
    recent_short_ids: HashSet<u16>,
    /// The recently used short ids and when each was assigned, oldest first.
    short_id_times: VecDeque<(Micros, u16)>,
    /// Number of the latest request.
    last_number: u64,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> ClientPool<N> {
    /// Creates the clients. Their first request starts at once.
    pub fn new(
        net: N,
        settings: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> ClientPool<N> {
        let mut port = Port::new(net);
        let nodes = settings.nodes.len();
        let mut sum = 0.0;
        let cumulative_weights = (1..=settings.keys)
            .map(|rank| {
                sum += 1.0 / (rank as f64).powf(settings.zipf);
                sum
            })
            .collect();
        port.set_timer(port.now(), Timer::Arrival);
        (0..nodes).for_each(|node| port.set_timer(port.now(), Timer::Ping(node)));
        let rng = Rng::stream(settings.seed, "clients", 0);
        ClientPool {
            port,
            settings,
            command_queue,
            recorder,
            rng,
            rate_factor: 1.0,
            next_arrival: 0,
            hot_keys: (0, 0.0),
            cumulative_weights,
            is_up: vec![false; nodes],
            last_node: 0,
            requests: HashMap::new(),
            waiting: vec![VecDeque::new(); 2 * nodes],
            conns: HashMap::new(),
            idle: vec![Vec::new(); 2 * nodes],
            open: vec![0; 2 * nodes],
            recent_short_ids: HashSet::new(),
            short_id_times: VecDeque::new(),
            last_number: 0,
            events: Vec::new(),
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Arrival => self.start_request(),
            Timer::GiveUp(number) => {
                let now = self.port.now();
                let is_overdue = |request: &PendingRequest| request.is_overdue(now);
                if !self.requests.get(&number).is_some_and(is_overdue) {
                    return;
                }
                if let Some(request) = self.requests.remove(&number) {
                    let listener = self.listener(request.node, request.memcached);
                    self.waiting[listener].retain(|n| *n != number);
                    if let Some(conn) = request.conn {
                        // A late answer would be taken for the next request's, so the connection is not reused.
                        if let Some(connection) = self.conns.get_mut(&conn) {
                            connection.request_number = None;
                        }
                        self.handle_close(conn);
                    }
                }
            }
            Timer::Disconnect(number) => {
                let Some(conn) = self.requests.get(&number).and_then(|r| r.conn) else {
                    return;
                };
                let written = self.conns.get(&conn).is_some_and(|c| c.is_connected);
                if let Some(request) = self.requests.remove(&number) {
                    // A client that disconnects while it reconnects had its first connection closed by a node.
                    let closed = request.crossed_close.filter(|_| !written);
                    let event = closed.map(|close| Event::ClosedUnanswered {
                        id: request.id.clone(),
                        node: close.node,
                        after: close.after,
                        is_first: close.is_first,
                        partial: false,
                    });
                    let left = written.then_some(Event::ClientDisconnected { id: request.id });
                    if let Some(event) = event.or(left) {
                        self.recorder.record(self.port.unix(), event);
                    }
                }
                if let Some(connection) = self.conns.get_mut(&conn) {
                    connection.request_number = None;
                }
                self.handle_close(conn);
            }
            Timer::Retry(number) => {
                let Some(r) = self.requests.remove(&number) else {
                    return;
                };
                let left = self.settings.classes[r.class].deadline - (self.port.now() - r.first_at);
                if left > 0 {
                    let first = Some((r.first, r.first_at, r.memcached));
                    self.send_request(first, r.class, r.tenant, r.key, r.idempotency_key, left);
                }
            }
            Timer::Ping(node) => match self.port.connect(self.settings.nodes[node]) {
                Ok(conn) => self.add_connection(conn, node, None, true),
                Err(_) => self
                    .port
                    .set_timer(self.port.now() + PING_INTERVAL, Timer::Ping(node)),
            },
        }
    }

    fn handle_connected(&mut self, conn: usize) {
        let Some(connection) = self.conns.get_mut(&conn) else {
            return;
        };
        connection.is_connected = true;
        if connection.is_ping {
            return self
                .port
                .send(conn, Bytes::from_static(b"*1\r\n$4\r\nPING\r\n"));
        }
        match connection.request_number.take() {
            Some(number) => self.write_request(conn, number),
            None => self.release_connection(conn),
        }
    }
}

impl<N: SendTimes> Actor for ClientPool<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, event) in &events {
            match event {
                ConnectionEvent::Connected => self.handle_connected(*conn),
                ConnectionEvent::Received => self.read_replies(*conn),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => {
                    self.handle_close(*conn);
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
                ControlCommand::Rate(times) => self.rate_factor = times,
                ControlCommand::Hot { keys, fraction } => self.hot_keys = (keys, fraction),
                ControlCommand::Impatient(fraction) => self.settings.impatient = fraction,
                ControlCommand::Down(node) => self.is_up[node] = false,
                ControlCommand::Up(node) => self.port.set_timer(self.port.now(), Timer::Ping(node)),
            }
        }
        Some(self.port.next_due())
    }
}
