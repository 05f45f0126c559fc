//! Connections to cache servers, kept in a pool for each server. A connection carries one attempt at a
//! time: an attempt is given up by closing its connection, which must not take others with it.

use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use slab::Slab;
use sloewick_decision::api::{Micros, ServerId, Status};

use crate::event_trace::Step;
use crate::front::Protocol;
use crate::timers::{Due, Timers};
use crate::transport::{
    fill, is_descriptor_limit, ReadOutcome, ReadyEvent, Stream, Token, Transport, WriteQueue,
};
use sloewick_codec::memcached::{self, Opcode, Response, ResponseReader};
use sloewick_codec::resp2::{DecodeEvent, Element, Reply, ReplyReader, MAX_VALUE};

/// Most connections to one server. How many a server holds of all nodes together is told by no setting; a single node that
/// has so many requests out at one server has found it full or hanging, and more could only wait there.
const SERVER_MOST: usize = 64;
/// Part of the server's idle limit after which a connection is not used again (in percent): the server's
/// count began earlier than this node's, and a request that crosses the end is reset.
const IDLE_PART: i64 = 80;
/// A probe is given up after this; it is answered at once or tells nothing. How long servers work on one is told by no
/// setting, and the module sends them only to a lost zone.
const PROBE_MOST: Micros = 250_000;
/// How long a connection rests after an answer: a spoilt second one may come some milliseconds later, and says nothing of
/// what it answers. No setting tells how late; connections across zones vary by some milliseconds themselves.
const REST: Micros = 30_000;
/// Longest body of a memcached answer: a value with its key and flags.
const MAX_BODY: usize = MAX_VALUE + 1024;
/// The page on long values has a server pause one for 0.1 s at most, whatever the customer; silent this much longer, it is gone.
const BODY_PAUSE_MOST: Micros = 1_500_000;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Job {
    Attempt {
        request: usize,
        serial: u64,
        attempt: usize,
    },
    Probe {
        serial: u64,
    },
}

/// An answer, in its server's protocol.
#[derive(Debug)]
pub enum Said {
    Resp(Reply),
    Memcached(Response),
}

/// What a job writes, and how an answer to it is told from one to something else (memcached: opcode, opaque).
pub struct Written {
    pub chunks: Vec<Bytes>,
    pub tag: (u8, u32),
}

/// What happened on a connection.
#[derive(Debug)]
pub enum Signal {
    Reply(Job, Said),
    Ended(Job, Status),
    /// A long value begins.
    Begin {
        job: Job,
        conn: usize,
        len: usize,
    },
    /// More of a long value can be pulled.
    Body(Job),
    /// A server broke the protocol; for the log.
    Odd(ServerId, &'static str),
}

/// What has come of an answer, in either protocol.
enum Came {
    Whole(Said),
    /// A long value begins; it answers this (memcached).
    Begin(usize, Option<(u8, u32)>),
    Body(Bytes),
}

/// Cuts what a server sends, in its protocol.
enum Reader {
    Resp(ReplyReader),
    Memcached(ResponseReader),
}

impl Reader {
    fn new(protocol: Protocol) -> Reader {
        match protocol {
            Protocol::Resp => Reader::Resp(ReplyReader::default()),
            Protocol::Memcached => Reader::Memcached(ResponseReader::default()),
        }
    }

    fn protocol(&self) -> Protocol {
        match self {
            Reader::Resp(_) => Protocol::Resp,
            Reader::Memcached(_) => Protocol::Memcached,
        }
    }

    fn is_mid_message(&self) -> bool {
        match self {
            Reader::Resp(reader) => reader.is_mid_message(),
            Reader::Memcached(reader) => reader.is_mid_message(),
        }
    }

    fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Came>, ()> {
        Ok(match self {
            Reader::Resp(reader) => reader.next(buf).map_err(|_| ())?.map(|piece| match piece {
                DecodeEvent::Complete(reply) => Came::Whole(Said::Resp(reply)),
                DecodeEvent::ValueStart(len) => Came::Begin(len, None),
                DecodeEvent::ValueChunk(bytes) => Came::Body(bytes),
            }),
            Reader::Memcached(reader) => {
                let Some(piece) = reader.next(buf, MAX_BODY).map_err(|_| ())? else {
                    return Ok(None);
                };
                Some(match piece {
                    memcached::DecodeEvent::Complete(response) => {
                        Came::Whole(Said::Memcached(response))
                    }
                    // Only what a client asked for may be long.
                    memcached::DecodeEvent::ValueStart(r, _) if r.status != 0 => return Err(()),
                    memcached::DecodeEvent::ValueStart(r, len) => {
                        Came::Begin(len, Some((r.opcode, r.opaque)))
                    }
                    memcached::DecodeEvent::ValueChunk(bytes) => Came::Body(bytes),
                })
            }
        })
    }
}

struct Conn<S> {
    stream: S,
    server: ServerId,
    address: SocketAddr,
    serial: u64,
    connecting: bool,
    /// It has come up, and its job is written when the node has been asked once more.
    held: bool,
    job: Option<Job>,
    /// What an answer to the job carries (memcached).
    tag: (u8, u32),
    out: WriteQueue,
    buf: BytesMut,
    reader: Reader,
    /// In the middle of a long value: read only as it is passed on.
    body: bool,
    /// The kernel may hold bytes that were not read yet; the end of the server's bytes is behind them.
    unread: bool,
    closed: bool,
    opened: Micros,
    idle_since: Micros,
    /// When the last answer came that says nothing of what it answers.
    answered: Option<Micros>,
    /// Since when a long value has been waited for.
    starved: Option<Micros>,
    /// The job is an attempt that was not counted as written whole yet.
    uncounted: bool,
}

impl<S> Conn<S> {
    /// The kernel has all of the job: it may run.
    fn sent(&self) -> bool {
        !self.connecting && !self.held && self.out.is_empty()
    }

    /// Nothing of the job has been written.
    fn waits(&self) -> bool {
        self.connecting || self.held
    }

    /// A second answer to what it carried last could still come, and would be taken for the next one's.
    fn rests(&self, now: Micros) -> bool {
        self.answered.is_some_and(|at| now - at < REST)
    }
}

struct Pool {
    address: SocketAddr,
    protocol: Protocol,
    listed: bool,
    /// Oldest first; the newest is used first, so that the others can age and go.
    idle: Vec<usize>,
    open: usize,
}

/// All connections to cache servers.
pub struct Upstreams<S> {
    conns: Slab<Conn<S>>,
    /// In a fixed order: which connection makes room, and which pool is closed first, must not depend on chance.
    pools: BTreeMap<ServerId, Pool>,
    most: usize,
    serial: u64,
    idle_most: Micros,
    connect_most: Micros,
    pub signals: VecDeque<Signal>,
    /// Connections that have come up with a job, and their serials.
    up: VecDeque<(usize, u64)>,
    /// Attempts written whole.
    pub sends: u64,
    /// What became of connections, for the trace; none where it is off. Emptied in each round.
    pub steps: Option<Vec<(ServerId, Step)>>,
}

/// What a call needs of the node around.
pub struct Around<'a, N> {
    pub now: Micros,
    pub net: &'a mut N,
    pub timers: &'a mut Timers,
    pub scratch: &'a mut [u8],
    pub token: fn(usize) -> Token,
}

impl<S: Stream> Upstreams<S> {
    pub fn new(
        most: usize,
        server_idle: Micros,
        connect_most: Micros,
        traced: bool,
    ) -> Upstreams<S> {
        Upstreams {
            conns: Slab::new(),
            pools: BTreeMap::new(),
            most,
            serial: 0,
            idle_most: server_idle * IDLE_PART / 100,
            connect_most,
            signals: VecDeque::new(),
            up: VecDeque::new(),
            sends: 0,
            steps: traced.then(Vec::new),
        }
    }

    /// A server is listed; what is open to an address that it has left is not used again.
    pub fn listed(&mut self, server: &ServerId, address: SocketAddr, protocol: Protocol) {
        let fresh = || Pool {
            address,
            protocol,
            listed: true,
            idle: Vec::new(),
            open: 0,
        };
        let pool = self.pools.entry(server.clone()).or_insert_with(fresh);
        pool.listed = true;
        if (pool.address, pool.protocol) != (address, protocol) {
            (pool.address, pool.protocol) = (address, protocol);
            self.close_idle(server);
        }
    }

    /// What a server speaks.
    pub fn protocol(&self, server: &ServerId) -> Protocol {
        self.pools
            .get(server)
            .map_or(Protocol::Resp, |pool| pool.protocol)
    }

    /// A server is gone: its attempts end as they will, its idle connections are of no more use.
    pub fn unlisted(&mut self, server: &ServerId) {
        if let Some(pool) = self.pools.get_mut(server) {
            pool.listed = false;
            self.close_idle(server);
            self.forget_pool(server);
        }
    }

    /// All servers that are listed now.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.pools
            .iter()
            .filter(|(_, pool)| pool.listed)
            .map(|(server, _)| server)
    }

    fn forget_pool(&mut self, server: &ServerId) {
        if self
            .pools
            .get(server)
            .is_some_and(|p| !p.listed && p.open == 0)
        {
            self.pools.remove(server);
        }
    }

    pub fn close_idle(&mut self, server: &ServerId) {
        let idle = self
            .pools
            .get_mut(server)
            .map(|pool| std::mem::take(&mut pool.idle));
        idle.into_iter()
            .flatten()
            .for_each(|conn| self.close(conn, Step::Spare));
    }

    /// Starts a job. An error is its end: it never ran.
    pub fn start(
        &mut self,
        job: Job,
        server: &ServerId,
        written: &Written,
        around: &mut Around<impl Transport<Stream = S>>,
    ) -> Result<usize, Status> {
        while let Some(conn) = self.idle(server, around.now) {
            if self.reusable(conn, around.now) && self.give(conn, job, written, around) {
                return Ok(conn);
            }
            // It was stale, which tells nothing of the server: the next one, or a new one, does.
            self.conns[conn].job = None;
            self.close(conn, Step::Broke);
        }
        match self.open(server, around) {
            Ok(conn) => {
                self.give(conn, job, written, around);
                Ok(conn)
            }
            Err(Status::NotSent) => self
                .rested_most(server)
                .map_or(Err(Status::NotSent), |conn| {
                    let good =
                        self.reusable(conn, around.now) && self.give(conn, job, written, around);
                    if !good {
                        self.conns[conn].job = None;
                        self.close(conn, Step::Broke);
                    }
                    good.then_some(conn).ok_or(Status::NotSent)
                }),
            Err(status) => Err(status),
        }
    }

    /// Takes the connection out of a pool whose answer is the longest ago: with no room for another one, it has rested for as
    /// long as that many connections last.
    fn rested_most(&mut self, server: &ServerId) -> Option<usize> {
        let conns = &self.conns;
        let pool = self
            .pools
            .get_mut(server)
            .filter(|pool| pool.open >= SERVER_MOST)?;
        let at = (0..pool.idle.len()).min_by_key(|at| conns[pool.idle[*at]].answered)?;
        Some(pool.idle.remove(at))
    }

    /// Takes the newest idle connection out of a pool that does not rest.
    fn idle(&mut self, server: &ServerId, now: Micros) -> Option<usize> {
        let conns = &self.conns;
        let pool = self.pools.get_mut(server)?;
        let at = pool
            .idle
            .iter()
            .rposition(|conn| !conns[*conn].rests(now))?;
        Some(pool.idle.remove(at))
    }

    fn reusable(&self, conn: usize, now: Micros) -> bool {
        let c = &self.conns[conn];
        now - c.idle_since < self.idle_most && (c.connecting || c.stream.quiet())
    }

    fn open(
        &mut self,
        server: &ServerId,
        around: &mut Around<impl Transport<Stream = S>>,
    ) -> Result<usize, Status> {
        let Some(pool) = self.pools.get(server) else {
            return Err(Status::NotSent);
        };
        if pool.open >= SERVER_MOST || (self.conns.len() >= self.most && !self.make_room()) {
            return Err(Status::NotSent);
        }
        let Pool {
            address, protocol, ..
        } = self.pools[server];
        let token = |conns: &Slab<Conn<S>>| (around.token)(conns.vacant_key());
        let mut opened = around.net.connect(address, token(&self.conns));
        if opened.as_ref().is_err_and(is_descriptor_limit) && self.make_room() {
            opened = around.net.connect(address, token(&self.conns));
        }
        let stream = opened.map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => Status::ConnectFailed,
            _ => Status::NotSent,
        })?;
        self.serial += 1;
        let place = self.conns.vacant_entry();
        let (conn, serial) = (place.key(), self.serial);
        place.insert(Conn {
            stream,
            server: server.clone(),
            address,
            serial,
            connecting: true,
            held: false,
            job: None,
            tag: (0, 0),
            out: WriteQueue::default(),
            buf: BytesMut::new(),
            reader: Reader::new(protocol),
            body: false,
            unread: false,
            closed: false,
            opened: around.now,
            idle_since: around.now,
            answered: None,
            starved: None,
            uncounted: false,
        });
        if let Some(pool) = self.pools.get_mut(server) {
            // Guards against a count that close() takes below zero: past it, a server counts as full for good.
            pool.open += 1;
        }
        self.step(conn, Step::Open);
        around.timers.set(
            around.now + self.connect_most,
            Due::Upstream { conn, serial },
        );
        Ok(conn)
    }

    /// Hands a job to a connection; false if that turns out to be broken.
    fn give(
        &mut self,
        conn: usize,
        job: Job,
        written: &Written,
        around: &mut Around<impl Transport<Stream = S>>,
    ) -> bool {
        let c = &mut self.conns[conn];
        c.job = Some(job);
        c.tag = written.tag;
        written
            .chunks
            .iter()
            .for_each(|chunk| c.out.push(chunk.clone()));
        if let Job::Probe { .. } = job {
            around.timers.set(
                around.now + PROBE_MOST,
                Due::Upstream {
                    conn,
                    serial: c.serial,
                },
            );
        }
        c.uncounted = matches!(job, Job::Attempt { .. });
        let good = c.connecting || c.out.flush(&mut c.stream).is_ok();
        self.count(conn);
        good
    }

    fn count(&mut self, conn: usize) {
        let c = &mut self.conns[conn];
        if c.uncounted && c.job.is_some() && c.sent() {
            c.uncounted = false;
            self.sends += 1;
        }
    }

    /// The node no longer waits for the job of a connection. Tells whether it may have run.
    pub fn abandon(&mut self, conn: usize, now: Micros) -> bool {
        let Some(c) = self.conns.get_mut(conn) else {
            return false;
        };
        let sent = c.sent();
        c.job = None;
        if c.waits() {
            (c.out, c.held) = (WriteQueue::default(), false);
            self.rest(conn, now);
        } else {
            self.close(conn, Step::GivenUp);
        }
        sent
    }

    fn rest(&mut self, conn: usize, now: Micros) {
        if !self.current(conn) {
            return self.close(conn, Step::Spare);
        }
        let c = &mut self.conns[conn];
        c.idle_since = now;
        if let Some(pool) = self.pools.get_mut(&c.server) {
            pool.idle.push(conn);
        }
    }

    /// Whether a connection still goes to where its server is listed, in the protocol that is spoken there.
    pub fn current(&self, conn: usize) -> bool {
        let c = &self.conns[conn];
        self.pools.get(&c.server).is_some_and(|p| {
            p.listed && p.address == c.address && p.protocol == c.reader.protocol()
        })
    }

    fn step(&mut self, conn: usize, step: Step) {
        if let Some(steps) = &mut self.steps {
            steps.push((self.conns[conn].server.clone(), step));
        }
    }

    fn close(&mut self, conn: usize, step: Step) {
        self.step(conn, step);
        let c = self.conns.remove(conn);
        if let Some(pool) = self.pools.get_mut(&c.server) {
            pool.open -= 1;
            pool.idle.retain(|i| *i != conn);
        }
        self.forget_pool(&c.server);
    }

    /// Closes the connection that has been idle the longest.
    pub fn make_room(&mut self) -> bool {
        let oldest = self.pools.values().filter_map(|pool| pool.idle.first());
        let oldest = oldest
            .min_by_key(|conn| self.conns[**conn].idle_since)
            .copied();
        oldest.map(|conn| self.close(conn, Step::Spare)).is_some()
    }

    fn fail(&mut self, conn: usize) {
        let c = &mut self.conns[conn];
        let status = if c.sent() {
            Status::Reset
        } else {
            Status::ConnectFailed
        };
        let step = if c.connecting {
            Step::Refused
        } else {
            Step::Broke
        };
        if let Some(job) = c.job.take() {
            self.signals.push_back(Signal::Ended(job, status));
        }
        self.close(conn, step);
    }

    /// The server sent what the protocol does not have: nothing more on this connection can be trusted.
    fn odd(&mut self, conn: usize, why: &'static str) {
        let c = &mut self.conns[conn];
        self.signals.push_back(Signal::Odd(c.server.clone(), why));
        if let Some(job) = c.job.take() {
            self.signals.push_back(Signal::Ended(job, Status::Error));
        }
        self.close(conn, Step::Broke);
    }

    /// Something happened on a socket.
    pub fn ready(
        &mut self,
        conn: usize,
        event: &ReadyEvent,
        around: &mut Around<impl Transport<Stream = S>>,
    ) {
        let Some(c) = self.conns.get_mut(conn) else {
            return;
        };
        if c.connecting {
            match (c.stream.take_error(), c.stream.connected()) {
                (Ok(None), Ok(_)) => {
                    c.connecting = false;
                    if let Some(Job::Attempt { .. }) = c.job {
                        c.held = true;
                        self.up.push_back((conn, c.serial));
                    }
                    let took = around.now - c.opened;
                    self.step(conn, Step::Up(took));
                }
                (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => return,
                _ => return self.fail(conn),
            }
        }
        let c = &mut self.conns[conn];
        if !c.held {
            let _ = c.out.flush(&mut c.stream);
        }
        self.count(conn);
        let c = &mut self.conns[conn];
        if event.readable || event.read_closed || event.error {
            c.unread = true;
            c.closed |= event.read_closed || event.error;
            match (c.body, c.job) {
                (true, Some(job)) => self.signals.push_back(Signal::Body(job)),
                _ => self.read(conn, around),
            }
        }
    }

    /// A connection that has come up for an attempt, of which nothing is written before [`Upstreams::go`].
    pub fn came_up(&mut self) -> Option<(usize, Job)> {
        while let Some((conn, serial)) = self.up.pop_front() {
            let up = self
                .conns
                .get(conn)
                .filter(|c| c.serial == serial && c.held);
            if let Some(job) = up.and_then(|c| c.job) {
                return Some((conn, job));
            }
        }
        None
    }

    /// Writes the job of a connection that has come up, as it is worded now.
    pub fn go(&mut self, conn: usize, written: &Written) {
        let Some(c) = self.conns.get_mut(conn).filter(|c| c.held) else {
            return;
        };
        (c.held, c.out, c.tag) = (false, WriteQueue::default(), written.tag);
        written
            .chunks
            .iter()
            .for_each(|chunk| c.out.push(chunk.clone()));
        // If it is broken, an event says so.
        let _ = c.out.flush(&mut c.stream);
        self.count(conn);
    }

    /// Whether nothing of a connection's job has been written.
    pub fn waits(&self, conn: usize) -> bool {
        self.conns.get(conn).is_some_and(Conn::waits)
    }

    /// Reads replies until the socket is empty or a long value begins.
    fn read(&mut self, conn: usize, around: &mut Around<impl Transport<Stream = S>>) {
        while let Some(c) = self.conns.get_mut(conn).filter(|c| !c.body) {
            match c.reader.next(&mut c.buf) {
                Ok(Some(Came::Whole(said))) => self.replied(conn, said, around.now),
                Ok(Some(Came::Begin(len, tag))) => {
                    let Some(job) = c.job else {
                        return self.odd(conn, "answer to nothing");
                    };
                    if !c.sent() {
                        return self.odd(conn, "answer before its request");
                    }
                    if tag.is_some_and(|tag| tag != c.tag || tag.0 != Opcode::Get as u8) {
                        return self.odd(conn, "answer to another request");
                    }
                    (c.body, c.starved) = (true, None);
                    self.signals.push_back(Signal::Begin { job, conn, len });
                }
                Ok(Some(Came::Body(_))) => return self.odd(conn, "value out of place"),
                // Guards against an answer that begins with what came unasked behind the one before it.
                Ok(None) if c.job.is_none() && (c.reader.is_mid_message() || !c.buf.is_empty()) => {
                    return self.odd(conn, "answer to nothing");
                }
                Ok(None) if !c.unread => {
                    if c.buf.is_empty() {
                        // Idle connections hold no buffers.
                        c.buf = BytesMut::new();
                    }
                    return;
                }
                Ok(None) => match fill(&mut c.stream, &mut c.buf, around.scratch) {
                    ReadOutcome::More => {}
                    // A short read emptied the socket, but of an end behind it there is no second event.
                    ReadOutcome::Some => c.unread = c.closed,
                    ReadOutcome::Empty => c.unread = false,
                    ReadOutcome::Ended | ReadOutcome::Broke => return self.fail(conn),
                },
                Err(()) => return self.odd(conn, "broken reply"),
            }
        }
    }

    fn replied(&mut self, conn: usize, said: Said, now: Micros) {
        let c = &mut self.conns[conn];
        let Some(job) = c.job else {
            return self.odd(conn, "answer to nothing");
        };
        let known = match (&said, job) {
            (Said::Resp(Reply::Array(parts)), Job::Attempt { .. }) => {
                c.body || matches!(parts[0], Element::Bulk(_))
            }
            (Said::Resp(Reply::Single(Element::Error(line))), _) => !line.starts_with(b"SYNTAX"),
            (
                Said::Resp(Reply::Single(Element::Simple(_) | Element::Bulk(_))),
                Job::Probe { .. },
            ) => true,
            (Said::Memcached(response), _) => (response.opcode, response.opaque) == c.tag,
            _ => false,
        };
        if !known {
            return self.odd(conn, "answer of a wrong kind, or to another request");
        }
        let early = !c.sent();
        // A value before the last byte of its request is another request's.
        if early && matches!(said, Said::Resp(Reply::Array(_))) {
            return self.odd(conn, "answer before its request");
        }
        c.job = None;
        c.body = false;
        c.answered = matches!(said, Said::Resp(_)).then_some(now);
        self.signals.push_back(Signal::Reply(job, said));
        if early {
            self.close(conn, Step::Broke);
        } else {
            self.rest(conn, now);
        }
    }

    /// The next bytes of a long value; none: not there yet, or a signal tells how it ended.
    pub fn pull(
        &mut self,
        conn: usize,
        around: &mut Around<impl Transport<Stream = S>>,
    ) -> Option<Bytes> {
        loop {
            let c = self.conns.get_mut(conn).filter(|c| c.body)?;
            match c.reader.next(&mut c.buf) {
                Ok(Some(Came::Body(bytes))) => {
                    c.starved = None;
                    return Some(bytes);
                }
                Ok(Some(Came::Whole(said))) => {
                    self.replied(conn, said, around.now);
                    self.read(conn, around);
                    return None;
                }
                Ok(Some(Came::Begin(..))) | Err(()) => self.odd(conn, "broken value"),
                Ok(None) if !c.unread => {
                    c.starved.get_or_insert(around.now);
                    return None;
                }
                Ok(None) => match fill(&mut c.stream, &mut c.buf, around.scratch) {
                    ReadOutcome::More => {}
                    ReadOutcome::Some => c.unread = c.closed,
                    ReadOutcome::Empty => c.unread = false,
                    ReadOutcome::Ended | ReadOutcome::Broke => self.fail(conn),
                },
            }
        }
    }

    /// The time for a connect or a probe is over.
    pub fn due(&mut self, conn: usize, serial: u64) {
        let Some(c) = self.conns.get_mut(conn).filter(|c| c.serial == serial) else {
            return;
        };
        match c.job {
            _ if c.connecting => self.fail(conn),
            Some(job @ Job::Probe { .. }) => {
                self.signals.push_back(Signal::Ended(job, Status::Timeout));
                self.close(conn, Step::GivenUp);
            }
            _ => {}
        }
    }

    /// Closes what has stood idle too long, and ends long values that have stopped coming.
    pub fn sweep(&mut self, now: Micros) {
        let old = |c: &Conn<S>| c.job.is_none() && now - c.idle_since >= self.idle_most;
        let stalled = |c: &Conn<S>| {
            c.starved
                .is_some_and(|since| now - since >= BODY_PAUSE_MOST)
        };
        let find = |what: &dyn Fn(&Conn<S>) -> bool| -> Vec<usize> {
            self.conns
                .iter()
                .filter(|(_, c)| what(c))
                .map(|(conn, _)| conn)
                .collect()
        };
        let (old, stalled) = (find(&old), find(&stalled));
        old.into_iter()
            .for_each(|conn| self.close(conn, Step::Idle));
        stalled.into_iter().for_each(|conn| self.fail(conn));
    }
}
