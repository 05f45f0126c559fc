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

/// Connections to one node for requests.
const CONNS_MOST: usize = 80;
/// How much longer than its time a client listens, so that a late answer is told from none.
const LISTEN_ON: Micros = 400_000;
/// How long no other request gets a short name that one has had: what a jammed origin does for it may come late.
const SHORT_KEPT: Micros = 20_000_000;
/// Pause between two looks whether a started node answers PING.
const PING_AGAIN: Micros = 50_000;

/// A class of requests as clients know it.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// Part of all requests.
    pub share: f64,
    pub deadline: Micros,
    pub write: bool,
    /// Writes carry an idempotency key, and are retried by it after a failure.
    pub keyed: bool,
    /// May be asked again after any failure.
    pub free: bool,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub nodes: Vec<SocketAddr>,
    /// Where the same nodes listen for the binary protocol.
    pub memcached: Vec<SocketAddr>,
    pub protocols: Clients,
    /// Some peers see no more of a request than its short name.
    pub short_names: bool,
    pub classes: Vec<Class>,
    /// Names and parts of all traffic.
    pub tenants: Vec<(String, f64)>,
    /// Requests a second over all nodes.
    pub rate: f64,
    pub keys: usize,
    /// Exponent of the keys' popularity.
    pub zipf: f64,
    /// Part of the first tries that are asked again by the client, once.
    pub retries: f64,
    pub backoff: Micros,
    /// Part of the requests whose client leaves before its time is up.
    pub impatient: f64,
    /// No first tries after this.
    pub until: Micros,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum ControlCommand {
    /// So many times the usual rate.
    Rate(f64),
    /// So many keys take this part of all requests; none: as usual.
    Hot { keys: usize, fraction: f64 },
    /// The front has noticed that a node is gone.
    Down(usize),
    /// A node has been started; it is used once it answers PING.
    Up(usize),
    /// Part of the requests whose client leaves early.
    Impatient(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Arrival,
    GiveUp(u64),
    Leave(u64),
    Retry(u64),
    Ping(usize),
}

struct Try {
    id: Id,
    first: Id,
    is_first: bool,
    node: usize,
    memcached: bool,
    class: usize,
    tenant: usize,
    key: usize,
    idempotency_key: Option<Id>,
    budget: Micros,
    /// When its first try began.
    begun_first: Micros,
    conn: Option<usize>,
    /// When it was first written.
    written: Option<Micros>,
    resent: bool,
    /// The end of its first connection, which it crossed.
    closed: Option<CrossedClose>,
    bytes: Bytes,
}

/// The end of a connection that a request crossed.
#[derive(Clone, Copy)]
struct CrossedClose {
    node: usize,
    /// How long after the request was written its client saw the end.
    after: Micros,
    /// The first request on the connection.
    is_first: bool,
}

/// Cuts what a node sends, in the protocol of the connection.
enum Reader {
    Resp(ReplyReader),
    Memcached(ResponseReader),
}

struct Conn {
    node: usize,
    up: bool,
    /// Requests answered on it.
    done: u64,
    reader: Reader,
    job: Option<u64>,
    ping: bool,
    partial: bool,
}

/// The crowd and the front before it.
pub struct ClientPool<N: SendTimes> {
    port: Port<N, Due>,
    set: Settings,
    command_queue: CommandQueue<ControlCommand>,
    recorder: Recorder,
    rng: Rng,
    rate: f64,
    /// When the next first try is due.
    due: Micros,
    hot: (usize, f64),
    cumulated: Vec<f64>,
    up: Vec<bool>,
    turn: usize,
    tries: HashMap<u64, Try>,
    waiting: Vec<VecDeque<u64>>,
    conns: HashMap<usize, Conn>,
    /// By door: a node's RESP2 listener, then its memcached one.
    idle: Vec<Vec<usize>>,
    open: Vec<usize>,
    /// Short names of late (lower halves of opaques), where that is all that some peer knows a request by.
    shorts: HashSet<u16>,
    shorts_used: VecDeque<(Micros, u16)>,
    number: u64,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> ClientPool<N> {
    pub fn new(
        net: N,
        set: Settings,
        command_queue: CommandQueue<ControlCommand>,
        recorder: Recorder,
    ) -> ClientPool<N> {
        let mut port = Port::new(net);
        let nodes = set.nodes.len();
        let mut sum = 0.0;
        let cumulated = (1..=set.keys)
            .map(|rank| {
                sum += 1.0 / (rank as f64).powf(set.zipf);
                sum
            })
            .collect();
        port.set_timer(port.now(), Due::Arrival);
        (0..nodes).for_each(|node| port.set_timer(port.now(), Due::Ping(node)));
        let rng = Rng::stream(set.seed, "clients", 0);
        ClientPool {
            port,
            set,
            command_queue,
            recorder,
            rng,
            rate: 1.0,
            due: 0,
            hot: (0, 0.0),
            cumulated,
            up: vec![false; nodes],
            turn: 0,
            tries: HashMap::new(),
            waiting: vec![VecDeque::new(); 2 * nodes],
            conns: HashMap::new(),
            idle: vec![Vec::new(); 2 * nodes],
            open: vec![0; 2 * nodes],
            shorts: HashSet::new(),
            shorts_used: VecDeque::new(),
            number: 0,
            events: Vec::new(),
        }
    }

    fn key(&mut self) -> usize {
        if self.rng.chance(self.hot.1) {
            return self.rng.below(self.hot.0.max(1));
        }
        let at = self.rng.unit_interval() * self.cumulated.last().copied().unwrap_or(0.0);
        self.cumulated
            .partition_point(|sum| *sum < at)
            .min(self.set.keys.saturating_sub(1))
    }

    fn arrive(&mut self) {
        // Counted from when this one was due: a busy machine must not thin out the load.
        self.due += (self
            .rng
            .exponential(1e6 / (self.set.rate * self.rate).max(0.001)))
            as Micros;
        if self.due < self.set.until {
            self.port.set_timer(self.due, Due::Arrival);
        }
        let mut at = self.rng.unit_interval();
        let class = self.set.classes.iter().position(|c| {
            at -= c.share;
            at < 0.0
        });
        let mut at = self.rng.unit_interval();
        let tenant = self.set.tenants.iter().position(|(_, share)| {
            at -= share;
            at < 0.0
        });
        let class = class.unwrap_or(0);
        let key = self.key();
        let idempotency_key = self.set.classes[class]
            .keyed
            .then(|| Id::from(format!("{:016x}", self.rng.next_u64())));
        let budget = self.set.classes[class].deadline as f64 * self.rng.between(0.7, 1.0);
        let tenant = if self.by_key() {
            key % self.set.tenants.len()
        } else {
            tenant.unwrap_or(0)
        };
        self.ask(None, class, tenant, key, idempotency_key, budget as Micros);
    }

    /// What a request is follows from its key alone.
    fn by_key(&self) -> bool {
        self.set.protocols != Clients::Resp
    }

    /// Asks for the first time, or again for `first` (its id, when it began, and whether by the binary protocol: a
    /// client does not change that).
    fn ask(
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
        self.number += 1;
        let memcached = match self.set.protocols {
            Clients::Resp | Clients::RespByKey => false,
            Clients::Memcached => true,
            Clients::Both => first
                .as_ref()
                .map_or(self.number.is_multiple_of(2), |(.., memcached)| *memcached),
        };
        let id = self.new_id(now, memcached);
        let number = self.number;
        // No protocol field holds the remaining time where the key selects the class: it begins anew.
        let budget = if self.by_key() {
            self.set.classes[class].deadline
        } else {
            budget
        };
        let value = self.value(class, idempotency_key.as_ref());
        let key_name = if self.by_key() {
            format!("{}/{tenant}/{key:05}", KEY_PREFIXES[class])
        } else {
            format!("logger/{key:05}")
        };
        let out = if memcached {
            self.memcached_request(class, number, key_name, value)
        } else {
            let mut fields = self.fields(class, tenant, idempotency_key.as_ref(), budget);
            if first.is_some() && !self.by_key() {
                fields += ",r=1";
            }
            self.resp_request(class, &[&key_name, &id, &fields], &value)
        };
        let is_first = first.is_none();
        let (first, begun_first, _) = first.unwrap_or((id.clone(), now, memcached));
        self.tries.insert(
            number,
            Try {
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
                begun_first,
                conn: None,
                written: None,
                resent: false,
                closed: None,
                bytes: out.into(),
            },
        );
        self.set_end(number, budget);
        self.dispatch(number);
    }

    /// Sets when a client gives up, and when it leaves if it is impatient.
    fn set_end(&mut self, number: u64, budget: Micros) {
        let now = self.port.now();
        self.port
            .set_timer(now + budget + LISTEN_ON, Due::GiveUp(number));
        if self.rng.chance(self.set.impatient) {
            let early = self.rng.unit_interval() * budget as f64 * 0.5;
            self.port
                .set_timer(now + early as Micros, Due::Leave(number));
        }
    }

    /// The fields of a RESP2 request.
    fn fields(
        &self,
        class: usize,
        tenant: usize,
        idempotency_key: Option<&Id>,
        budget: Micros,
    ) -> String {
        let mut fields = format!(
            "c={},t={},d={}",
            self.set.classes[class].name,
            self.set.tenants[tenant].0,
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
        let nodes = self.up.len();
        let node = (1..=nodes)
            .map(|i| (self.turn + i) % nodes)
            .find(|n| self.up[*n])?;
        self.turn = node;
        Some(node)
    }

    /// An id for a new request; its short name was not used lately, where some peer sees only that.
    fn new_id(&mut self, now: Micros, memcached: bool) -> Id {
        let mut word = self.rng.next_u64();
        let mut id = Id::from(format!("{word:016x}"));
        if self.set.short_names {
            while self
                .shorts_used
                .front()
                .is_some_and(|(at, _)| now - at > SHORT_KEPT)
            {
                self.shorts_used
                    .pop_front()
                    .map(|(_, short)| self.shorts.remove(&short));
            }
            loop {
                if memcached {
                    id = memcached_request_id(self.number as u32);
                }
                let short = opaque_of(&id) as u16;
                // All in use: no day here asks so much.
                if self.shorts.insert(short) || self.shorts.len() > usize::from(u16::MAX) {
                    self.shorts_used.push_back((now, short));
                    break;
                }
                // No draw more than the others take: the same seed is to give the same day.
                word = word.wrapping_add(1);
                id = Id::from(format!("{word:016x}"));
                self.number += 1;
            }
        }
        id
    }

    /// The value of a write. Where requests are told apart by their values only, each request for the same thing has
    /// the same.
    fn value(&mut self, class: usize, idempotency_key: Option<&Id>) -> Vec<u8> {
        let distinct = idempotency_key
            .cloned()
            .filter(|_| self.by_key())
            .unwrap_or_default();
        let long = if distinct.is_empty() {
            self.set.classes[class].write && self.rng.chance(0.05)
        } else {
            distinct.starts_with('0')
        };
        let length = if long { 6_000 } else { 24 };
        let mut value = distinct.as_bytes().to_vec();
        value.resize(length, b'w');
        value
    }

    fn memcached_request(&self, class: usize, number: u64, key: String, value: Vec<u8>) -> Vec<u8> {
        let write = self.set.classes[class].write;
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

    /// `words`: key, id and fields.
    fn resp_request(&self, class: usize, words: &[&str; 3], value: &[u8]) -> Vec<u8> {
        let write = self.set.classes[class].write;
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

    /// Sends a try on an idle connection, on a new one, or when one is free.
    fn dispatch(&mut self, number: u64) {
        let Some((node, memcached)) = self.tries.get(&number).map(|t| (t.node, t.memcached)) else {
            return;
        };
        let listener = self.listener(node, memcached);
        while let Some(conn) = self.idle[listener].pop() {
            if self.port.connection(conn).is_some() && self.conns.get(&conn).is_some_and(|c| c.up) {
                return self.write(conn, number);
            }
        }
        if self.open[listener] >= CONNS_MOST {
            return self.waiting[listener].push_back(number);
        }
        let to = if memcached {
            self.set.memcached[node]
        } else {
            self.set.nodes[node]
        };
        match self.port.connect(to) {
            Ok(conn) => {
                self.open[listener] += 1;
                self.hold(conn, node, Some(number), false);
            }
            Err(_) => self.ended(number, false, true, true),
        }
    }

    fn listener(&self, node: usize, memcached: bool) -> usize {
        node + if memcached { self.up.len() } else { 0 }
    }

    /// The door that a connection goes to.
    fn listener_of(&self, conn: usize) -> Option<usize> {
        let c = self.conns.get(&conn)?;
        Some(self.listener(c.node, matches!(c.reader, Reader::Memcached(_))))
    }

    fn hold(&mut self, conn: usize, node: usize, job: Option<u64>, ping: bool) {
        let memcached = job
            .and_then(|n| self.tries.get(&n))
            .is_some_and(|t| t.memcached);
        let reader = if memcached {
            Reader::Memcached(ResponseReader::default())
        } else {
            Reader::Resp(ReplyReader::default())
        };
        self.conns.insert(
            conn,
            Conn {
                node,
                up: false,
                done: 0,
                reader,
                job,
                ping,
                partial: false,
            },
        );
        if let Some(t) = job.and_then(|n| self.tries.get_mut(&n)) {
            t.conn = Some(conn);
        }
    }

    fn write(&mut self, conn: usize, number: u64) {
        let Some(t) = self.tries.get_mut(&number) else {
            return;
        };
        t.conn = Some(conn);
        if t.written.is_none() {
            // A request's time counts from its last byte, however long its connection took to come up.
            let now = self.port.now();
            t.written = Some(now);
            self.port
                .set_timer(now + t.budget + LISTEN_ON, Due::GiveUp(number));
        }
        if let Some(c) = self.conns.get_mut(&conn) {
            c.job = Some(number);
        }
        let bytes = t.bytes.clone();
        let what = if t.resent {
            Event::Resent {
                id: t.id.clone(),
                node: t.node,
            }
        } else {
            Event::RequestSent {
                id: t.id.clone(),
                node: t.node,
                class: t.class,
                tenant: t.tenant,
                key: t.key,
                idempotency_key: t.idempotency_key.clone(),
                first: t.first.clone(),
                budget: t.budget,
            }
        };
        self.recorder.record(self.port.unix(), what);
        self.port.send(conn, bytes);
    }

    fn read(&mut self, conn: usize) {
        loop {
            let Some(c) = self.conns.get_mut(&conn) else {
                return;
            };
            let Some(line) = self.port.connection(conn) else {
                return;
            };
            let next = match &mut c.reader {
                Reader::Resp(reader) => match reader.next(&mut line.buf) {
                    Ok(Some(DecodeEvent::Complete(reply))) => {
                        Ok(Some(Some(NodeReply::Resp(reply))))
                    }
                    Ok(Some(_)) => Ok(Some(None)),
                    Ok(None) => Ok(None),
                    Err(broken) => Err(broken.message()),
                },
                Reader::Memcached(reader) => match reader.next(&mut line.buf, MAX_BODY) {
                    Ok(Some(memcached::DecodeEvent::Complete(response))) => {
                        Ok(Some(Some(NodeReply::Memcached(response))))
                    }
                    Ok(Some(_)) => Ok(Some(None)),
                    Ok(None) => Ok(None),
                    Err(broken) => Err(broken.kind.message()),
                },
            };
            match next {
                Ok(Some(Some(reply))) => self.replied(conn, reply),
                Ok(Some(None)) => c.partial = true,
                Ok(None) => {
                    let is_mid_message = match &c.reader {
                        Reader::Resp(reader) => reader.is_mid_message(),
                        Reader::Memcached(reader) => reader.is_mid_message(),
                    };
                    c.partial = is_mid_message || !line.buf.is_empty();
                    return;
                }
                Err(broken) => {
                    let bytes = broken.to_string();
                    self.recorder.record(
                        self.port.unix(),
                        Event::UnsolicitedBytes {
                            node: c.node,
                            bytes,
                        },
                    );
                    return self.lost(conn);
                }
            }
        }
    }

    fn replied(&mut self, conn: usize, reply: NodeReply) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        let node = c.node;
        if std::mem::take(&mut c.ping) {
            if matches!(&reply, NodeReply::Resp(Reply::Single(Element::Simple(text))) if text == "PONG")
            {
                self.up[node] = true;
                self.recorder
                    .record(self.port.unix(), Event::NodeReady { node });
                if self.by_key() {
                    // Pings go to the RESP2 door; no protocol is to have a connection before the other.
                    self.port.close(conn);
                    self.conns.remove(&conn);
                    return;
                }
                self.open[node] += 1;
                return self.rest(conn);
            }
            self.port.close(conn);
            self.conns.remove(&conn);
            return self
                .port
                .set_timer(self.port.now() + PING_AGAIN, Due::Ping(node));
        }
        let Some(number) = c.job.take() else {
            let bytes = format!("{reply:?}").chars().take(120).collect();
            self.recorder
                .record(self.port.unix(), Event::UnsolicitedBytes { node, bytes });
            return;
        };
        c.done += 1;
        let Some(t) = self.tries.remove(&number) else {
            return;
        };
        let write = self.set.classes[t.class].write;
        let answer = match reply {
            NodeReply::Resp(reply) => answer_of(&reply, &t.id, write),
            NodeReply::Memcached(response) => {
                memcached_answer(&response, &t.id, number as u32, write)
            }
        };
        self.recorder.record(
            self.port.unix(),
            Event::Answered {
                id: t.id.clone(),
                answer: answer.clone(),
            },
        );
        self.rest(conn);
        self.again(t, &answer);
    }

    /// A connection is free.
    fn rest(&mut self, conn: usize) {
        let Some(listener) = self.listener_of(conn) else {
            return;
        };
        match self.waiting[listener].pop_front() {
            Some(number) => self.write(conn, number),
            None => self.idle[listener].push(conn),
        }
    }

    /// Asks again where clients do.
    fn again(&mut self, t: Try, answer: &Answer) {
        let c = &self.set.classes[t.class];
        let harmless = match answer {
            Answer::Busy(_) => true,
            Answer::Failed => c.free || c.keyed,
            _ => false,
        };
        if !t.is_first || !harmless || !self.rng.chance(self.set.retries) {
            return;
        }
        let wait = match answer {
            Answer::Busy(Some(ms)) => (*ms as Micros * 1000).min(1_000_000),
            _ => self.set.backoff,
        };
        let now = self.port.now();
        if now + wait - t.begun_first < c.deadline {
            self.number += 1;
            self.port.set_timer(now + wait, Due::Retry(self.number));
            self.tries.insert(self.number, Try { conn: None, ..t });
        }
    }

    /// A connection has ended.
    fn lost(&mut self, conn: usize) {
        self.port.close(conn);
        let Some(listener) = self.listener_of(conn) else {
            return;
        };
        let Some(c) = self.conns.remove(&conn) else {
            return;
        };
        self.idle[listener].retain(|i| *i != conn);
        if c.ping {
            return self
                .port
                .set_timer(self.port.now() + PING_AGAIN, Due::Ping(c.node));
        }
        self.open[listener] -= 1;
        if let Some(number) = c.job {
            if c.up && !c.partial && c.done == 0 {
                if let Some(t) = self.tries.get(&number) {
                    let (id, node) = (t.id.clone(), t.node);
                    self.recorder
                        .record(self.port.unix(), Event::NewConnectionClosed { id, node });
                }
            }
            self.ended(number, c.partial, c.up, c.done == 0);
        }
        if self.open[listener] < CONNS_MOST {
            if let Some(number) = self.waiting[listener].pop_front() {
                self.dispatch(number);
            }
        }
    }

    /// The connection of a try ended with no whole answer. `sent`: the try had been written to it; `is_first`: it was
    /// the first one on it.
    fn ended(&mut self, number: u64, partial: bool, sent: bool, is_first: bool) {
        let now = self.port.now();
        let Some(t) = self.tries.get_mut(&number) else {
            return;
        };
        t.conn = None;
        if !sent {
            // It never left: the node is unreachable, and the client is free to ask elsewhere.
            let Some(t) = self.tries.remove(&number) else {
                return;
            };
            if t.resent {
                // The first time it did leave.
                let answer = Answer::Ended { partial: false };
                self.recorder.record(
                    self.port.unix(),
                    Event::Answered {
                        id: t.id.clone(),
                        answer,
                    },
                );
                return self.again(t, &Answer::Failed);
            }
            return self.again(t, &Answer::Busy(None));
        }
        let c = &self.set.classes[t.class];
        // What may not be repeated is not: the node may have read it.
        if !partial && !t.resent && (c.free || c.keyed) {
            // A node may close a connection between requests; what crossed that is sent once more.
            t.resent = true;
            t.closed = Some(CrossedClose {
                node: t.node,
                after: now - t.written.unwrap_or(now),
                is_first,
            });
            let nodes = self.up.len();
            let up = (0..nodes)
                .map(|i| (t.node + i) % nodes)
                .find(|n| self.up[*n]);
            if let Some(node) = up {
                t.node = node;
                return self.dispatch(number);
            }
        }
        let Some(t) = self.tries.remove(&number) else {
            return;
        };
        self.recorder.record(
            self.port.unix(),
            Event::Answered {
                id: t.id.clone(),
                answer: Answer::Ended { partial },
            },
        );
        self.again(t, &Answer::Failed);
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::GiveUp(number) => {
                let now = self.port.now();
                let is_over = |t: &Try| t.written.is_none_or(|at| now >= at + t.budget + LISTEN_ON);
                if !self.tries.get(&number).is_some_and(is_over) {
                    return;
                }
                if let Some(t) = self.tries.remove(&number) {
                    let listener = self.listener(t.node, t.memcached);
                    self.waiting[listener].retain(|n| *n != number);
                    if let Some(conn) = t.conn {
                        // No answer at all: its connection can't be used on.
                        if let Some(c) = self.conns.get_mut(&conn) {
                            c.job = None;
                        }
                        self.lost(conn);
                    }
                }
            }
            Due::Leave(number) => {
                let Some(conn) = self.tries.get(&number).and_then(|t| t.conn) else {
                    return;
                };
                let written = self.conns.get(&conn).is_some_and(|c| c.up);
                if let Some(t) = self.tries.remove(&number) {
                    // A client that leaves while it connects anew has been ended by a node before.
                    let closed = t.closed.filter(|_| !written);
                    let event = closed.map(|close| Event::ClosedUnanswered {
                        id: t.id.clone(),
                        node: close.node,
                        after: close.after,
                        is_first: close.is_first,
                        partial: false,
                    });
                    let left = written.then_some(Event::ClientDisconnected { id: t.id });
                    if let Some(event) = event.or(left) {
                        self.recorder.record(self.port.unix(), event);
                    }
                }
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.job = None;
                }
                self.lost(conn);
            }
            Due::Retry(number) => {
                let Some(t) = self.tries.remove(&number) else {
                    return;
                };
                let left = self.set.classes[t.class].deadline - (self.port.now() - t.begun_first);
                if left > 0 {
                    let (first, dedup) = ((t.first, t.begun_first, t.memcached), t.idempotency_key);
                    self.ask(Some(first), t.class, t.tenant, t.key, dedup, left);
                }
            }
            Due::Ping(node) => match self.port.connect(self.set.nodes[node]) {
                Ok(conn) => self.hold(conn, node, None, true),
                Err(_) => self
                    .port
                    .set_timer(self.port.now() + PING_AGAIN, Due::Ping(node)),
            },
        }
    }

    fn connected(&mut self, conn: usize) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        c.up = true;
        if c.ping {
            return self
                .port
                .send(conn, Bytes::from_static(b"*1\r\n$4\r\nPING\r\n"));
        }
        match c.job.take() {
            Some(number) => self.write(conn, number),
            None => self.rest(conn),
        }
    }
}

/// Longest body of an answer.
const MAX_BODY: usize = 5 << 20;

#[derive(Debug)]
enum NodeReply {
    Resp(Reply),
    Memcached(memcached::Response),
}

/// What a value says: it was made for this request, or for another.
fn made_for(value: &Bytes, id: &Id) -> Answer {
    let made = |id: &str| value.starts_with(format!("{id}|").as_bytes());
    if made(id) || made(&short_id(opaque_of(id))) {
        Answer::Served
    } else {
        Answer::Foreign(String::from_utf8_lossy(&value[..value.len().min(60)]).into_owned())
    }
}

/// What a RESP2 reply says about a request.
pub(crate) fn answer_of(reply: &Reply, id: &Id, write: bool) -> Answer {
    let value = match reply {
        Reply::Single(Element::Bulk(value)) => Some(value),
        Reply::Array(parts) => match parts.first() {
            Some(Element::Bulk(value)) => Some(value),
            _ => None,
        },
        Reply::Single(_) => None,
    };
    match (value, reply) {
        // A box of the binary protocol gives no receipt.
        (Some(value), _) if value.is_empty() && write => Answer::Served,
        (Some(value), _) => made_for(value, id),
        (None, Reply::Single(Element::Error(text))) if text.starts_with(b"BUSY") => {
            let ms = std::str::from_utf8(text)
                .ok()
                .and_then(|t| t.split(' ').nth(1)?.parse().ok());
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
        Some(Status::Ok) => made_for(&r.value, id),
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
        for (conn, what) in &events {
            match what {
                ConnectionEvent::Connected => self.connected(*conn),
                ConnectionEvent::Received => self.read(*conn),
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => self.lost(*conn),
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
        while let Some(order) = self.command_queue.pop() {
            match order {
                ControlCommand::Rate(times) => self.rate = times,
                ControlCommand::Hot { keys, fraction } => self.hot = (keys, fraction),
                ControlCommand::Impatient(fraction) => self.set.impatient = fraction,
                ControlCommand::Down(node) => self.up[node] = false,
                ControlCommand::Up(node) => self.port.set_timer(self.port.now(), Due::Ping(node)),
            }
        }
        Some(self.port.next_due())
    }
}
