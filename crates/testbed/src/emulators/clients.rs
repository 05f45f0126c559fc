//! Emulator of well-behaved clients behind a load balancer.
//!
//! The load balancer spreads requests over the nodes round robin and notices late that a node has died. Clients retry
//! once, give up after their deadline and may disconnect early. Every request and its outcome is reported to the
//! checker.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, ResponseReader, Status};
use sloewick_codec::resp2::{write_bulk, write_header, DecodeEvent, Element, Reply, ReplyReader};
use sloewick_decision::api::Micros;

use crate::checker::observations::{
    memcached_request_id, opaque_of, short_id, Answer, Event, Id, Recorder,
};
use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};
use crate::protocol_options::{Clients, KEY_PREFIXES};
use crate::rng::Rng;

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

    fn draw_key(&mut self) -> usize {
        if self.rng.chance(self.hot_keys.1) {
            return self.rng.below(self.hot_keys.0.max(1));
        }
        let at = self.rng.unit_interval() * self.cumulative_weights.last().copied().unwrap_or(0.0);
        self.cumulative_weights
            .partition_point(|sum| *sum < at)
            .min(self.settings.keys.saturating_sub(1))
    }

    fn start_request(&mut self) {
        // Counted from the scheduled time of this request, so that a busy machine does not lower the rate.
        self.next_arrival += (self
            .rng
            .exponential(1e6 / (self.settings.rate * self.rate_factor).max(0.001)))
            as Micros;
        if self.next_arrival < self.settings.until {
            self.port.set_timer(self.next_arrival, Timer::Arrival);
        }
        let mut at = self.rng.unit_interval();
        let class = self.settings.classes.iter().position(|class| {
            at -= class.share;
            at < 0.0
        });
        let mut at = self.rng.unit_interval();
        let tenant = self.settings.tenants.iter().position(|(_, share)| {
            at -= share;
            at < 0.0
        });
        let class = class.unwrap_or(0);
        let key = self.draw_key();
        let idempotency_key = self.settings.classes[class]
            .keyed
            .then(|| Id::from(format!("{:016x}", self.rng.next_u64())));
        let budget = self.settings.classes[class].deadline as f64 * self.rng.between(0.7, 1.0);
        let tenant = if self.is_classified_by_key() {
            key % self.settings.tenants.len()
        } else {
            tenant.unwrap_or(0)
        };
        self.send_request(None, class, tenant, key, idempotency_key, budget as Micros);
    }

    /// Whether a request's key alone determines its class and tenant.
    fn is_classified_by_key(&self) -> bool {
        self.settings.protocols != Clients::Resp
    }

    /// Sends a first request, or a retry of `first`: its id, when it started, and whether it used the memcached binary
    /// protocol (a retry uses the protocol of the first request).
    fn send_request(
        &mut self,
        first: Option<(Id, Micros, bool)>,
        class: usize,
        tenant: usize,
        key: usize,
        idempotency_key: Option<Id>,
        budget: Micros,
    ) {
        // No node is up: the load balancer has nowhere to send this.
        let Some(node) = self.next_node() else { return };
        let now = self.port.now();
        self.last_number += 1;
        let memcached = match self.settings.protocols {
            Clients::Resp | Clients::RespByKey => false,
            Clients::Memcached => true,
            Clients::Both => first
                .as_ref()
                .map_or(self.last_number.is_multiple_of(2), |(.., memcached)| {
                    *memcached
                }),
        };
        let id = self.new_id(now, memcached);
        let number = self.last_number;
        // If the key selects the class, the request has no field for the remaining time: its budget starts anew.
        let budget = if self.is_classified_by_key() {
            self.settings.classes[class].deadline
        } else {
            budget
        };
        let value = self.draw_value(class, idempotency_key.as_ref());
        let key_name = if self.is_classified_by_key() {
            format!("{}/{tenant}/{key:05}", KEY_PREFIXES[class])
        } else {
            format!("logger/{key:05}")
        };
        let out = if memcached {
            self.memcached_request(class, number, key_name, value)
        } else {
            let mut fields = self.resp_fields(class, tenant, idempotency_key.as_ref(), budget);
            if first.is_some() && !self.is_classified_by_key() {
                fields += ",r=1";
            }
            self.resp_request(class, &[&key_name, &id, &fields], &value)
        };
        let is_first = first.is_none();
        let (first, first_at, _) = first.unwrap_or((id.clone(), now, memcached));
        self.requests.insert(
            number,
            PendingRequest {
                id,
                first,
                is_first,
                node,
                memcached,
                class,
                tenant,
                key,
                idempotency_key,
                budget,
                first_at,
                conn: None,
                written_at: None,
                resent: false,
                crossed_close: None,
                bytes: out.into(),
            },
        );
        self.set_timers(number, budget);
        self.dispatch(number);
    }

    /// Sets when the client of a request stops waiting, and for some clients when they disconnect early.
    fn set_timers(&mut self, number: u64, budget: Micros) {
        let now = self.port.now();
        self.port
            .set_timer(now + budget + GIVE_UP_MARGIN, Timer::GiveUp(number));
        if self.rng.chance(self.settings.impatient) {
            let early = self.rng.unit_interval() * budget as f64 * 0.5;
            self.port
                .set_timer(now + early as Micros, Timer::Disconnect(number));
        }
    }

    /// The fields of a RESP2 request.
    fn resp_fields(
        &self,
        class: usize,
        tenant: usize,
        idempotency_key: Option<&Id>,
        budget: Micros,
    ) -> String {
        let mut fields = format!(
            "c={},t={},d={}",
            self.settings.classes[class].name,
            self.settings.tenants[tenant].0,
            (budget + 999) / 1000
        );
        if let Some(idempotency_key) = idempotency_key {
            fields.push_str(",k=");
            fields.push_str(idempotency_key);
        }
        fields
    }

    /// The next node that is up, round robin.
    fn next_node(&mut self) -> Option<usize> {
        let nodes = self.is_up.len();
        let node = (1..=nodes)
            .map(|i| (self.last_node + i) % nodes)
            .find(|n| self.is_up[*n])?;
        self.last_node = node;
        Some(node)
    }

    /// Returns an id for a new request. If some cache server sees only the short id, that was not used recently.
    fn new_id(&mut self, now: Micros, memcached: bool) -> Id {
        let mut word = self.rng.next_u64();
        let mut id = Id::from(format!("{word:016x}"));
        if self.settings.short_names {
            while self
                .short_id_times
                .front()
                .is_some_and(|(at, _)| now - at > SHORT_ID_REUSE_DELAY)
            {
                self.short_id_times
                    .pop_front()
                    .map(|(_, short)| self.recent_short_ids.remove(&short));
            }
            loop {
                if memcached {
                    id = memcached_request_id(self.last_number as u32);
                }
                let short = opaque_of(&id) as u16;
                // The second condition holds if all short ids are in use; no run sends enough requests for that.
                if self.recent_short_ids.insert(short)
                    || self.recent_short_ids.len() > usize::from(u16::MAX)
                {
                    self.short_id_times.push_back((now, short));
                    break;
                }
                // Derived from the same draw: an additional draw would change all later draws of this seed's run.
                word = word.wrapping_add(1);
                id = Id::from(format!("{word:016x}"));
                self.last_number += 1;
            }
        }
        id
    }

    /// Returns the value of a write. If only the value distinguishes writes (their idempotency key is derived from it),
    /// a write and its retry have the same value.
    fn draw_value(&mut self, class: usize, idempotency_key: Option<&Id>) -> Vec<u8> {
        let distinct = idempotency_key
            .cloned()
            .filter(|_| self.is_classified_by_key())
            .unwrap_or_default();
        let long = if distinct.is_empty() {
            self.settings.classes[class].write && self.rng.chance(0.05)
        } else {
            distinct.starts_with('0')
        };
        let length = if long { 6_000 } else { 24 };
        let mut value = distinct.as_bytes().to_vec();
        value.resize(length, b'w');
        value
    }

    fn memcached_request(&self, class: usize, number: u64, key: String, value: Vec<u8>) -> Vec<u8> {
        let write = self.settings.classes[class].write;
        let (opcode, extras, value) = if write {
            let flags_and_expiry = Bytes::from_static(&[0; 8]);
            (Opcode::Set, flags_and_expiry, Bytes::from(value))
        } else {
            (Opcode::Get, Bytes::new(), Bytes::new())
        };
        let request = memcached::Request {
            opcode: opcode as u8,
            opaque: number as u32,
            extras,
            key: Bytes::from(key),
            value,
            ..memcached::Request::default()
        };
        let mut out = Vec::with_capacity(160);
        memcached::write_request(&mut out, &request);
        out
    }

    /// Encodes a request; `words` are its key, id and fields.
    fn resp_request(&self, class: usize, words: &[&str; 3], value: &[u8]) -> Vec<u8> {
        let write = self.settings.classes[class].write;
        let mut out = Vec::with_capacity(160);
        write_header(&mut out, b'*', if write { 5 } else { 4 });
        write_bulk(&mut out, if write { b"C.SET" } else { b"C.GET" });
        for word in words {
            write_bulk(&mut out, word.as_bytes());
        }
        if write {
            write_bulk(&mut out, value);
        }
        out
    }

    /// Sends a request on an idle connection, or on a new one, or queues it until a connection is free.
    fn dispatch(&mut self, number: u64) {
        let Some((node, memcached)) = self.requests.get(&number).map(|r| (r.node, r.memcached))
        else {
            return;
        };
        let listener = self.listener(node, memcached);
        while let Some(conn) = self.idle[listener].pop() {
            if self.port.connection(conn).is_some()
                && self.conns.get(&conn).is_some_and(|c| c.is_connected)
            {
                return self.write_request(conn, number);
            }
        }
        if self.open[listener] >= MAX_CONNECTIONS {
            return self.waiting[listener].push_back(number);
        }
        let to = if memcached {
            self.settings.memcached[node]
        } else {
            self.settings.nodes[node]
        };
        match self.port.connect(to) {
            Ok(conn) => {
                self.open[listener] += 1;
                self.add_connection(conn, node, Some(number), false);
            }
            Err(_) => self.request_interrupted(number, false, true, true),
        }
    }

    fn listener(&self, node: usize, memcached: bool) -> usize {
        node + if memcached { self.is_up.len() } else { 0 }
    }

    /// Returns the listener that a connection goes to.
    fn listener_of(&self, conn: usize) -> Option<usize> {
        let connection = self.conns.get(&conn)?;
        Some(self.listener(
            connection.node,
            matches!(connection.reader, Reader::Memcached(_)),
        ))
    }

    fn add_connection(
        &mut self,
        conn: usize,
        node: usize,
        request_number: Option<u64>,
        is_ping: bool,
    ) {
        let memcached = request_number
            .and_then(|n| self.requests.get(&n))
            .is_some_and(|request| request.memcached);
        let reader = if memcached {
            Reader::Memcached(ResponseReader::default())
        } else {
            Reader::Resp(ReplyReader::default())
        };
        self.conns.insert(
            conn,
            Connection {
                node,
                is_connected: false,
                answers: 0,
                reader,
                request_number,
                is_ping,
                partial: false,
            },
        );
        if let Some(request) = request_number.and_then(|n| self.requests.get_mut(&n)) {
            request.conn = Some(conn);
        }
    }

    fn write_request(&mut self, conn: usize, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.conn = Some(conn);
        if request.written_at.is_none() {
            // The time limit counts from when the request is written, however long its connection took to open.
            let now = self.port.now();
            request.written_at = Some(now);
            self.port
                .set_timer(now + request.budget + GIVE_UP_MARGIN, Timer::GiveUp(number));
        }
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.request_number = Some(number);
        }
        let bytes = request.bytes.clone();
        let event = if request.resent {
            Event::Resent {
                id: request.id.clone(),
                node: request.node,
            }
        } else {
            Event::RequestSent {
                id: request.id.clone(),
                node: request.node,
                class: request.class,
                tenant: request.tenant,
                key: request.key,
                idempotency_key: request.idempotency_key.clone(),
                first: request.first.clone(),
                budget: request.budget,
            }
        };
        self.recorder.record(self.port.unix(), event);
        self.port.send(conn, bytes);
    }

    fn read_replies(&mut self, conn: usize) {
        loop {
            let Some(connection) = self.conns.get_mut(&conn) else {
                return;
            };
            let Some(port_connection) = self.port.connection(conn) else {
                return;
            };
            let next = match &mut connection.reader {
                Reader::Resp(reader) => match reader.next(&mut port_connection.buf) {
                    Ok(Some(DecodeEvent::Complete(reply))) => {
                        Ok(Some(Some(NodeReply::Resp(reply))))
                    }
                    Ok(Some(_)) => Ok(Some(None)),
                    Ok(None) => Ok(None),
                    Err(error) => Err(error.message()),
                },
                Reader::Memcached(reader) => {
                    match reader.next(&mut port_connection.buf, MAX_BODY_BYTES) {
                        Ok(Some(memcached::DecodeEvent::Complete(response))) => {
                            Ok(Some(Some(NodeReply::Memcached(response))))
                        }
                        Ok(Some(_)) => Ok(Some(None)),
                        Ok(None) => Ok(None),
                        Err(error) => Err(error.kind.message()),
                    }
                }
            };
            match next {
                Ok(Some(Some(reply))) => self.handle_reply(conn, reply),
                Ok(Some(None)) => connection.partial = true,
                Ok(None) => {
                    let is_mid_message = match &connection.reader {
                        Reader::Resp(reader) => reader.is_mid_message(),
                        Reader::Memcached(reader) => reader.is_mid_message(),
                    };
                    connection.partial = is_mid_message || !port_connection.buf.is_empty();
                    return;
                }
                Err(error) => {
                    let bytes = error.to_string();
                    self.recorder.record(
                        self.port.unix(),
                        Event::UnsolicitedBytes {
                            node: connection.node,
                            bytes,
                        },
                    );
                    return self.handle_close(conn);
                }
            }
        }
    }

    fn handle_reply(&mut self, conn: usize, reply: NodeReply) {
        let Some(connection) = self.conns.get_mut(&conn) else {
            return;
        };
        let node = connection.node;
        if std::mem::take(&mut connection.is_ping) {
            if matches!(&reply, NodeReply::Resp(Reply::Single(Element::Simple(text))) if text == "PONG")
            {
                self.is_up[node] = true;
                self.recorder
                    .record(self.port.unix(), Event::NodeReady { node });
                if self.is_classified_by_key() {
                    // Pings use the RESP2 listener. The connection is closed so that neither protocol has an open
                    // connection before the other.
                    self.port.close(conn);
                    self.conns.remove(&conn);
                    return;
                }
                self.open[node] += 1;
                return self.release_connection(conn);
            }
            self.port.close(conn);
            self.conns.remove(&conn);
            return self
                .port
                .set_timer(self.port.now() + PING_INTERVAL, Timer::Ping(node));
        }
        let Some(number) = connection.request_number.take() else {
            let bytes = format!("{reply:?}").chars().take(120).collect();
            self.recorder
                .record(self.port.unix(), Event::UnsolicitedBytes { node, bytes });
            return;
        };
        connection.answers += 1;
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        let write = self.settings.classes[request.class].write;
        let answer = match reply {
            NodeReply::Resp(reply) => resp_answer(&reply, &request.id, write),
            NodeReply::Memcached(response) => {
                memcached_answer(&response, &request.id, number as u32, write)
            }
        };
        self.recorder.record(
            self.port.unix(),
            Event::Answered {
                id: request.id.clone(),
                answer: answer.clone(),
            },
        );
        self.release_connection(conn);
        self.retry_if_allowed(request, &answer);
    }

    /// Uses a connection for the next waiting request, or marks it as idle.
    fn release_connection(&mut self, conn: usize) {
        let Some(listener) = self.listener_of(conn) else {
            return;
        };
        match self.waiting[listener].pop_front() {
            Some(number) => self.write_request(conn, number),
            None => self.idle[listener].push(conn),
        }
    }

    /// Schedules a retry if the answer and the class allow one and the client draws one.
    fn retry_if_allowed(&mut self, request: PendingRequest, answer: &Answer) {
        let class = &self.settings.classes[request.class];
        let is_retryable = match answer {
            Answer::Busy(_) => true,
            Answer::Failed => class.free || class.keyed,
            _ => false,
        };
        if !request.is_first || !is_retryable || !self.rng.chance(self.settings.retries) {
            return;
        }
        let wait = match answer {
            Answer::Busy(Some(ms)) => (*ms as Micros * 1000).min(1_000_000),
            _ => self.settings.backoff,
        };
        let now = self.port.now();
        if now + wait - request.first_at < class.deadline {
            self.last_number += 1;
            self.port
                .set_timer(now + wait, Timer::Retry(self.last_number));
            self.requests.insert(
                self.last_number,
                PendingRequest {
                    conn: None,
                    ..request
                },
            );
        }
    }

    /// Handles the end of a connection.
    fn handle_close(&mut self, conn: usize) {
        self.port.close(conn);
        let Some(listener) = self.listener_of(conn) else {
            return;
        };
        let Some(connection) = self.conns.remove(&conn) else {
            return;
        };
        self.idle[listener].retain(|i| *i != conn);
        if connection.is_ping {
            return self.port.set_timer(
                self.port.now() + PING_INTERVAL,
                Timer::Ping(connection.node),
            );
        }
        self.open[listener] -= 1;
        if let Some(number) = connection.request_number {
            if connection.is_connected && !connection.partial && connection.answers == 0 {
                if let Some(request) = self.requests.get(&number) {
                    let (id, node) = (request.id.clone(), request.node);
                    self.recorder
                        .record(self.port.unix(), Event::NewConnectionClosed { id, node });
                }
            }
            self.request_interrupted(
                number,
                connection.partial,
                connection.is_connected,
                connection.answers == 0,
            );
        }
        if self.open[listener] < MAX_CONNECTIONS {
            if let Some(number) = self.waiting[listener].pop_front() {
                self.dispatch(number);
            }
        }
    }

    /// Handles the end of a request's connection without a complete answer. `partial`: a part of the answer had been
    /// received; `sent`: the request had been written to the connection; `is_first`: it was the first one on it.
    fn request_interrupted(&mut self, number: u64, partial: bool, sent: bool, is_first: bool) {
        let now = self.port.now();
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.conn = None;
        if !sent {
            // The request was not sent: the node is unreachable, and the client may retry at another node.
            let Some(request) = self.requests.remove(&number) else {
                return;
            };
            if request.resent {
                // It had been sent on its first connection, so a node may have executed it.
                let answer = Answer::Ended { partial: false };
                self.recorder.record(
                    self.port.unix(),
                    Event::Answered {
                        id: request.id.clone(),
                        answer,
                    },
                );
                return self.retry_if_allowed(request, &Answer::Failed);
            }
            return self.retry_if_allowed(request, &Answer::Busy(None));
        }
        let class = &self.settings.classes[request.class];
        // A request that may not be repeated is not resent: the node may have read it.
        if !partial && !request.resent && (class.free || class.keyed) {
            // A node may close a connection between requests; a request that crossed the close is resent once.
            request.resent = true;
            request.crossed_close = Some(CrossedClose {
                node: request.node,
                after: now - request.written_at.unwrap_or(now),
                is_first,
            });
            let nodes = self.is_up.len();
            let up = (0..nodes)
                .map(|i| (request.node + i) % nodes)
                .find(|n| self.is_up[*n]);
            if let Some(node) = up {
                request.node = node;
                return self.dispatch(number);
            }
        }
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        self.recorder.record(
            self.port.unix(),
            Event::Answered {
                id: request.id.clone(),
                answer: Answer::Ended { partial },
            },
        );
        self.retry_if_allowed(request, &Answer::Failed);
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

/// Limit of the body of a memcached response, in bytes.
const MAX_BODY_BYTES: usize = 5 << 20;

/// A decoded response of a node, in either protocol.
#[derive(Debug)]
enum NodeReply {
    Resp(Reply),
    Memcached(memcached::Response),
}

/// Checks whether a value was produced for this request: it begins with the id of its request.
fn check_value(value: &Bytes, id: &Id) -> Answer {
    let made = |id: &str| value.starts_with(format!("{id}|").as_bytes());
    if made(id) || made(&short_id(opaque_of(id))) {
        Answer::Served
    } else {
        Answer::Foreign(String::from_utf8_lossy(&value[..value.len().min(60)]).into_owned())
    }
}

/// Classifies the RESP2 reply to a request.
pub(crate) fn resp_answer(reply: &Reply, id: &Id, write: bool) -> Answer {
    let value = match reply {
        Reply::Single(Element::Bulk(value)) => Some(value),
        Reply::Array(parts) => match parts.first() {
            Some(Element::Bulk(value)) => Some(value),
            _ => None,
        },
        Reply::Single(_) => None,
    };
    match (value, reply) {
        // A memcached cache server acknowledges a write without a value.
        (Some(value), _) if value.is_empty() && write => Answer::Served,
        (Some(value), _) => check_value(value, id),
        (None, Reply::Single(Element::Error(text))) if text.starts_with(b"BUSY") => {
            let ms = std::str::from_utf8(text)
                .ok()
                .and_then(|text| text.split(' ').nth(1)?.parse().ok());
            Answer::Busy(ms)
        }
        _ => Answer::Failed,
    }
}

fn memcached_answer(r: &memcached::Response, id: &Id, opaque: u32, write: bool) -> Answer {
    if r.opaque != opaque {
        return Answer::Foreign(format!("opaque {:08x} for {opaque:08x}", r.opaque));
    }
    match Status::from_code(r.status) {
        Some(Status::Ok) if write => Answer::Served,
        Some(Status::Ok) => check_value(&r.value, id),
        Some(Status::Busy) => {
            let text = std::str::from_utf8(&r.value).unwrap_or_default();
            let ms = text
                .rsplit_once(" after ")
                .and_then(|(_, rest)| rest.strip_suffix(" ms")?.parse().ok());
            Answer::Busy(ms)
        }
        _ => Answer::Failed,
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
