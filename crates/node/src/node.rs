//! The node: owns the decision module, the open requests and their attempts. It is the only place where
//! events go into the module and actions come out. What an action brings about at once becomes an event in
//! the queue, so that the module is never entered twice.
//!
//! Peers are not listened to: the module has no message for them.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use slab::Slab;
use sloewick_decision::api::{
    Action, CacheResult, EndpointListKind, Event, LoadReport, Micros, Request, RequestId, ServerId,
    ServerState, Status,
};
use sloewick_decision::settings::{Names, SettingsError};
use sloewick_decision::{Balancer, Checkpoint};

use crate::address_table::Addresses;
use crate::admin::{Ops, CALLERS};
use crate::client::{Client, Input, Slot};
use crate::config::Config;
use crate::discovery::{self, Answer, Discovery, News, Times};
use crate::event_trace::Trace;
use crate::front::{Asked, Final, Protocol};
use crate::lifecycle::{Accept, Lifecycle};
use crate::metrics::Figures;
use crate::timers::{Due, Timers};
use crate::transport::{Log, ReadyEvent, Token, Transport, READ_MOST, SIGNALS};
use crate::upstream::{Around, Job, Said, Signal, Upstreams, Written};
use sloewick_codec::memcached;
use sloewick_codec::resp2::{
    write_bulk, write_header, ByteBudget, Command, Element, Reply, MAX_ARGUMENT,
};
use sloewick_memcached::routing::Operation;
use sloewick_memcached::status::{outcome, Outcome};

mod disconnects;
mod doors;
mod handover;
mod memcached_requests;
mod operating;

use disconnects::{Sight, WAIT_OPEN};
use doors::{Door, Shares, PROCESSES};
use handover::Handover;
use memcached_requests::{Keyed, Memcached};

const LISTENER: Token = 0;
const DISCOVERY: Token = 2;
/// The listener for memcached clients.
const MEMCACHED: Token = 3;
/// The operators' listener, and the first of their connections.
const OPS: Token = 4;
const CALLER: Token = 5;
/// Tokens of connections: clients are even, upstreams odd.
const FIRST: usize = 32;
const _: () = assert!(CALLER + CALLERS <= FIRST && FIRST.is_multiple_of(2));

/// Part of the memory for writes' values that are kept while another attempt may need them (one in eight;
/// a buffer that grew with a value may be twice its size).
const VALUES_PART: usize = 8;
/// Memory for each open request at the most, with its timers, attempts, and words that no budget counts.
const REQUEST_MEMORY: usize = 12 << 10;
/// Part of the memory for them.
const REQUESTS_PART: usize = 4;
/// A long value's bytes that wait for its client; beyond it the server is held back.
const STREAM_MOST: usize = READ_MOST;
/// A long value that has begun may go on up to its request's deadline, or for the longest deadline, and for so long after
/// that: later it counts as lost. Guards against one that goes on by drops without end.
const VALUE_SLACK: Micros = 500_000;
/// How often stalled and idle connections are looked for.
const SWEEP: Micros = 100_000;
/// Longest wait that a client may ask for; it keeps sums of times far from overflow.
const BUDGET_MOST: f64 = 3.6e9;

struct Attempt {
    server: ServerId,
    sent: Micros,
    /// When it is given up.
    until: Micros,
    /// Its connection while it is out.
    conn: Option<usize>,
    /// The ledger counts it as one that may run.
    counted: bool,
}

/// A request whose answer is owed, or of which attempts are still out.
struct Open {
    id: RequestId,
    serial: u64,
    class: usize,
    client: usize,
    client_serial: u64,
    slot: u64,
    asked: Asked,
    /// A write that the ledger keeps.
    keyed: Option<Keyed>,
    key: Bytes,
    fields: Bytes,
    write: bool,
    /// Until the request is closed.
    value: Option<Bytes>,
    reserved: usize,
    deadline: Micros,
    attempts: Vec<Attempt>,
    out: usize,
    /// The final answer was given, or the client has left.
    closed: bool,
    /// Nothing more is sent for it.
    no_more: bool,
    /// The attempt whose long value is being passed on, and what it took to its first byte.
    stream: Option<(usize, Micros)>,
}

/// What a front keeps of a request for serving it.
struct Taken {
    asked: Asked,
    keyed: Option<Keyed>,
    key: Bytes,
    fields: Bytes,
    value: Option<Bytes>,
    reserved: usize,
}

/// Where the configuration comes from when it is read again.
pub type Source = Box<dyn FnMut() -> Result<Config, SettingsError>>;

/// What decides: events in, actions out, time as an argument, no I/O.
pub trait DecisionEngine {
    /// Takes up an event at this time; what is to be done is added to `actions`.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);

    /// Whether a listed server gets nothing now. A module that does not tell avoids none.
    fn is_unavailable(&self, _now: Micros, _server: &ServerId) -> bool {
        false
    }

    /// Part of its keys that a listed server keeps. A module that does not tell leaves all to each.
    fn retained_fraction(&self, _server: &ServerId) -> f64 {
        1.0
    }

    /// Whether it takes the origin behind the servers for jammed. A module that does not tell never does.
    fn origin_overloaded(&self, _now: Micros) -> bool {
        false
    }

    /// Which decision gave the last final answer. A module that does not tell gives none.
    fn decision_reason(&self) -> &'static str {
        "untold"
    }

    /// Whether an attempt that has waited for its connection is to be written now. A module that does not tell lets all go.
    fn may_start_attempt(&self, _now: Micros, _request: &RequestId, _attempt: usize) -> bool {
        true
    }

    /// What the next process of this node is told. A module that does not tell leaves it to learn all anew.
    fn checkpoint(&self, _now: Micros) -> Option<Checkpoint> {
        None
    }

    /// Takes up what an earlier process remembered so long ago, before any list has come.
    fn restore(&mut self, _now: Micros, _age: Micros, _memory: Checkpoint) {}
}

impl DecisionEngine for Balancer {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn is_unavailable(&self, now: Micros, server: &ServerId) -> bool {
        Balancer::is_unavailable(self, now, server)
    }

    fn retained_fraction(&self, server: &ServerId) -> f64 {
        Balancer::retained_fraction(self, server)
    }

    fn origin_overloaded(&self, now: Micros) -> bool {
        Balancer::origin_overloaded(self, now)
    }

    fn decision_reason(&self) -> &'static str {
        Balancer::decision_reason(self)
    }

    fn may_start_attempt(&self, now: Micros, request: &RequestId, attempt: usize) -> bool {
        Balancer::may_start_attempt(self, now, request, attempt)
    }

    fn checkpoint(&self, now: Micros) -> Option<Checkpoint> {
        Some(Balancer::checkpoint(self, now))
    }

    fn restore(&mut self, now: Micros, age: Micros, memory: Checkpoint) {
        Balancer::restore(self, now, age, memory);
    }
}

pub struct Node<N: Transport, M: DecisionEngine = Balancer> {
    net: N,
    /// Read again on SIGHUP.
    source: Source,
    doors: Vec<Door<N::Listener>>,
    ops: Option<Ops<N>>,
    figures: Figures,
    memcached: Option<Memcached>,
    ready: Vec<ReadyEvent>,
    module: M,
    names: Names,
    max_in_flight: usize,
    longest: Micros,
    probe_load: bool,
    queue: VecDeque<Event>,
    actions: Vec<Action>,
    open: Slab<Open>,
    ids: HashMap<RequestId, usize>,
    serial: u64,
    clients: Slab<Client<N::Stream>>,
    clients_most: usize,
    dirty: Vec<usize>,
    budget: ByteBudget,
    upstreams: Upstreams<N::Stream>,
    probes: HashMap<u64, (ServerId, Micros)>,
    discovery: Discovery<N::Stream>,
    addresses: Addresses,
    timers: Timers,
    log: Log,
    scratch: Vec<u8>,
    /// When sockets were last asked for news.
    sight: Sight,
    life: Lifecycle,
    /// Servers that were logged as outliers.
    outliers: BTreeSet<ServerId>,
    /// Whether a jam was logged that was not over then.
    origin_overloaded: bool,
    /// Where two processes may serve side by side: what the next one is told.
    handover: Option<Handover>,
    trace: Trace,
}

fn client_token(key: usize) -> Token {
    FIRST + 2 * key
}

fn upstream_token(key: usize) -> Token {
    FIRST + 2 * key + 1
}

impl<N: Transport> Node<N> {
    /// A node that listens and holds the list that it was told; [`Node::run`] or [`Node::turn`] serve.
    ///
    /// # Errors
    /// Its address cannot be listened on, or its settings do not fit together.
    pub fn new(config: Config, net: N, source: Source) -> io::Result<Node<N>> {
        Node::with_engine(config, net, source, |balancer| balancer)
    }
}

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// A node whose decisions pass through what `wrap` makes of the module.
    ///
    /// # Errors
    /// As [`Node::new`].
    pub fn with_engine(
        config: Config,
        mut net: N,
        source: Source,
        wrap: impl FnOnce(Balancer) -> M,
    ) -> io::Result<Node<N, M>> {
        let shared = config.accept_fd.is_some();
        let listener = match config.accept_fd {
            Some(fd) => net
                .inherit(fd, LISTENER)
                .map_err(|e| io::Error::new(e.kind(), format!("inherited descriptor {fd}: {e}")))?,
            None => net.listen(config.listen, LISTENER)?,
        };
        let door = |listener, token, protocol, inherited| Door {
            listener,
            token,
            inherited,
            protocol,
            more: true,
        };
        let mut doors = vec![door(listener, LISTENER, Protocol::Resp, shared)];
        if let Some(at) = config.memcached.as_ref().and_then(|file| file.listen) {
            let listener = net
                .listen(at, MEMCACHED)
                .map_err(|e| io::Error::new(e.kind(), format!("memcached {at}: {e}")))?;
            doors.push(door(listener, MEMCACHED, Protocol::Memcached, false));
        }
        let ops = match config.ops {
            Some(at) => {
                let listener = net
                    .listen(at, OPS)
                    .map_err(|e| io::Error::new(e.kind(), format!("ops {at}: {e}")))?;
                Some(Ops::new(listener, |key| CALLER + key))
            }
            None => None,
        };
        let set = config.settings;
        let (max_in_flight, longest) = (
            set.max_in_flight,
            set.classes.iter().map(|c| c.deadline).max().unwrap_or(0),
        );
        let (ask, connect_most, classes) = (set.poll, set.connect_timeout, set.classes.len());
        let times = Times::new(ask, set.drain_grace, config.turn);
        let balancer =
            Balancer::new(set, config.seed, 0).map_err(|e| io::Error::other(e.to_string()))?;
        let module = wrap(balancer);
        let shares = Shares::of(config.sockets, ops.is_some());
        let processes = if shared { PROCESSES } else { 1 };
        let memory = config.memory / processes;
        // No two starts of any two nodes may give one id.
        let run = config.seed ^ net.unix_time_at_start() as u64;
        let handover = shared.then(|| Handover::new(config.listen, &config.names, classes));
        let memcached = config.memcached.map(|file| Memcached::new(file, run));
        let mut node = Node {
            net,
            source,
            doors,
            ops,
            figures: Figures::new(classes),
            memcached,
            ready: Vec::new(),
            module,
            names: config.names,
            max_in_flight: max_in_flight.min(memory / REQUESTS_PART / REQUEST_MEMORY),
            longest,
            probe_load: config.probe_load,
            queue: VecDeque::new(),
            actions: Vec::new(),
            open: Slab::new(),
            ids: HashMap::new(),
            serial: 0,
            clients: Slab::new(),
            clients_most: shares.clients,
            dirty: Vec::new(),
            budget: ByteBudget::new(memory / VALUES_PART),
            upstreams: Upstreams::new(
                shares.upstream / processes,
                config.server_idle,
                connect_most,
                config.trace,
            ),
            probes: HashMap::new(),
            discovery: Discovery::new(config.discovery, DISCOVERY, !ask, config.known.rev, times),
            addresses: Addresses::default(),
            timers: Timers::default(),
            log: Log::default(),
            scratch: vec![0; READ_MOST],
            sight: Sight::default(),
            life: Lifecycle::new(shared, !config.known.targets.is_empty()),
            outliers: BTreeSet::new(),
            origin_overloaded: false,
            handover,
            trace: Trace::new(config.trace),
        };
        node.take_over();
        node.list(config.known, Some(EndpointListKind::Cached));
        node.timers.set(SWEEP, Due::Sweep);
        Ok(node)
    }

    fn now(&self) -> Micros {
        self.net.now()
    }

    /// Serves until a planned stop is over.
    ///
    /// # Errors
    /// The system cannot be asked what happens.
    pub fn run(mut self) -> io::Result<()> {
        while let Some(due) = self.prepare() {
            let wait = (due - self.now()).max(0);
            self.turn(if self.open.is_empty() {
                wait
            } else {
                wait.min(WAIT_OPEN)
            })?;
        }
        Ok(())
    }

    /// Does all that can be done without news; until when there is nothing to do then. None: the node has ended.
    pub fn prepare(&mut self) -> Option<Micros> {
        self.work();
        self.flush_clients();
        if self.stopped() {
            return None;
        }
        // A sweep is always due.
        let due = self
            .timers
            .next()
            .filter(|_| self.dirty.is_empty())
            .unwrap_or(0);
        Some(self.sight.rests(self.net.now(), due))
    }

    /// Waits so long for news and takes it up.
    ///
    /// # Errors
    /// The system cannot be asked what happens.
    pub fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut ready = std::mem::take(&mut self.ready);
        self.poll(&mut ready, wait)?;
        // Sockets first: on a starved node what came in time must not be called late.
        for event in &ready {
            self.ready(event);
        }
        self.ready = ready;
        self.accept_callers();
        self.accept();
        self.work();
        self.go_up();
        let now = self.now();
        while let Some(due) = self.timers.pop_due(now) {
            self.due(due, now);
        }
        Ok(())
    }

    fn ready(&mut self, event: &ReadyEvent) {
        let now = self.now();
        match event.token {
            LISTENER | MEMCACHED => {
                let door = self.doors.iter_mut().find(|door| door.token == event.token);
                door.into_iter().for_each(|door| door.more = true);
            }
            OPS..FIRST => self.called(event, now),
            SIGNALS => self.signalled(now),
            DISCOVERY => {
                let news = self
                    .discovery
                    .ready(event, now, &mut self.scratch, &mut self.timers);
                self.news(news);
            }
            token if (token - FIRST).is_multiple_of(2) => {
                let key = (token - FIRST) / 2;
                let Some(client) = self.clients.get_mut(key) else {
                    return;
                };
                if event.error && client.gone() {
                    return self.drop_client(key);
                }
                if event.readable || event.read_closed {
                    client.readable(event.read_closed, self.sight.since());
                }
                self.mark(key);
                self.read(key);
            }
            token => {
                let key = (token - FIRST) / 2;
                self.with_upstreams(|upstreams, around| upstreams.ready(key, event, around));
                self.signals();
            }
        }
    }

    fn with_upstreams<T>(
        &mut self,
        call: impl FnOnce(&mut Upstreams<N::Stream>, &mut Around<N>) -> T,
    ) -> T {
        let now = self.now();
        let mut around = Around {
            now,
            net: &mut self.net,
            timers: &mut self.timers,
            scratch: &mut self.scratch,
            token: upstream_token,
        };
        call(&mut self.upstreams, &mut around)
    }

    /// Lets the module see all that has happened and does what it says.
    fn work(&mut self) {
        while let Some(event) = self.queue.pop_front() {
            let now = self.now();
            let mut actions = std::mem::take(&mut self.actions);
            self.trace.event(&mut self.net, &event);
            self.module.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.trace
                    .action(&mut self.net, &action, self.module.decision_reason());
                self.act(action, now);
            }
            self.actions = actions;
        }
        for (server, step) in self
            .upstreams
            .steps
            .iter_mut()
            .flat_map(|steps| steps.drain(..))
        {
            self.trace.step(&mut self.net, &server, step);
        }
        let news = self.discovery.go_on(&mut self.net, &mut self.timers);
        self.news(news);
    }

    fn due(&mut self, due: Due, now: Micros) {
        match due {
            Due::DecisionEngine(token) => self.queue.push_back(Event::TimerExpired(token)),
            Due::Attempt {
                request,
                serial,
                attempt,
            } => {
                if self.open.get(request).is_some_and(|o| o.serial == serial) {
                    self.cut_value(request, attempt, now);
                    self.give_up(request, attempt, Status::Timeout);
                }
            }
            Due::Left { client, serial } => {
                if self.clients.get(client).is_some_and(|c| c.serial == serial) {
                    self.abandon(client);
                }
            }
            Due::LastAnswers => self.last_answers(),
            Due::Upstream { conn, serial } => {
                self.upstreams.due(conn, serial);
                self.signals();
            }
            Due::Discovery { serial } => {
                let news = self.discovery.due(serial, now, &mut self.timers);
                self.news(news);
            }
            Due::Sweep => self.sweep(now),
        }
    }

    fn sweep(&mut self, now: Micros) {
        self.timers.set(now + SWEEP, Due::Sweep);
        self.tell_outliers();
        self.tell_jam(now);
        self.hand_over(now);
        self.upstreams.sweep(now);
        self.signals();
        let look: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        if let Some(ops) = &mut self.ops {
            ops.sweep(now);
        }
        for key in look {
            self.let_go(key, now);
            let Some(client) = self.clients.get(key) else {
                continue;
            };
            if client.stalled(now) {
                self.drop_client(key);
            } else if client.unfinished(now) {
                self.turn_out(key, "command not finished", None);
            } else if client.lingering() {
                self.mark(key);
            }
        }
    }

    fn signalled(&mut self, now: Micros) {
        let told = self.net.told();
        if told.reload {
            self.reload();
        }
        if told.stop && self.life.stop(now, self.longest) {
            self.timers.set(self.life.answer_by(), Due::LastAnswers);
            self.log.line(&mut self.net, "told to stop");
        }
    }

    /// The end of a planned stop is near: whatever is open gets its final answer now, so that it is written out before.
    fn last_answers(&mut self) {
        let open: Vec<usize> = self
            .open
            .iter()
            .filter(|(_, o)| !o.closed)
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.no_more(key);
            let attempts = self
                .open
                .get(key)
                .filter(|o| o.stream.is_none())
                .map_or(0, |o| o.attempts.len());
            (0..attempts).for_each(|attempt| self.give_up(key, attempt, Status::Cancelled));
        }
    }

    /// Takes up a configuration that has replaced the one before: where discovery is now. All else that it
    /// tells stands from the start.
    ///
    /// Guards against ending on SIGHUP, which is what happens to a process that does not ask for it, and
    /// against a file that cannot be used: what is held goes on under the old one.
    fn reload(&mut self) {
        match (self.source)() {
            Ok(config) => {
                self.log.line(
                    &mut self.net,
                    &format!("reloaded: discovery at {}", config.discovery),
                );
                let now = self.now();
                self.discovery.move_to(config.discovery, now);
            }
            Err(bad) => self
                .log
                .line(&mut self.net, &format!("not reloaded: {bad}")),
        }
    }

    // ---- stopping ----

    /// Goes on with a planned stop: for a while connections are still accepted, since the front goes on
    /// sending them; then the accept queue is emptied, idle connections end and what is held is answered.
    fn stopped(&mut self) -> bool {
        let now = self.now();
        self.doors
            .retain(|door| self.life.accepts(now, door.inherited) != Accept::No);
        if self
            .doors
            .iter()
            .any(|door| self.life.accepts(now, door.inherited) == Accept::Last)
        {
            // Each closes right behind its last look: what comes up between the two is reset by the system.
            for at in (0..self.doors.len()).rev() {
                self.doors[at].more = true;
                self.accept_at(at);
                if !self.doors[at].more {
                    self.doors.remove(at);
                }
            }
            if !self.doors.is_empty() {
                return false;
            }
        }
        if self.doors.is_empty() {
            self.life.closed();
        }
        self.life.over(now, !self.clients.is_empty())
    }

    // ---- clients ----

    fn mark(&mut self, key: usize) {
        if let Some(client) = self.clients.get_mut(key) {
            if !std::mem::replace(&mut client.dirty, true) {
                self.dirty.push(key);
            }
        }
    }

    fn read(&mut self, key: usize) {
        let now = self.now();
        while let Some(client) = self.clients.get_mut(key) {
            match client.next(now, &mut self.budget, &mut self.scratch) {
                Input::Command(command) => self.command(key, command, now),
                Input::Request(request) => self.memcached(key, request, now),
                Input::Nothing => break,
                Input::DecodeError(why, answer) => {
                    self.turn_out(key, why, answer);
                    break;
                }
            }
        }
        self.watch_end(key);
        self.end_refused(key, now);
    }

    /// Whether a request that comes now is answered at once, before anything is known of it: there is no room, nobody is
    /// there to hear of it, or the node is about to end. Nothing has run, so trying again is harmless.
    fn turns_away(&mut self, client: usize, now: Micros) -> bool {
        self.open.len() >= self.max_in_flight
            || now >= self.life.answer_by()
            || self.clients.get(client).is_some_and(|c| c.abandoned(now))
            || !self.has_place(client, now)
    }

    /// Ends a client's connection with an error behind the answers that it is owed.
    fn turn_out(&mut self, key: usize, why: &str, answer: Option<(u8, u32, memcached::Status)>) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let mut out = Vec::new();
        match (client.protocol(), answer) {
            (Protocol::Resp, _) => {
                out.extend_from_slice(format!("-ERR protocol: {why}\r\n").as_bytes())
            }
            (_, Some((opcode, opaque, status))) => {
                memcached::write_text_response(&mut out, opcode, opaque, status, why);
            }
            // No request can be told apart: there is nothing that an answer could belong to.
            (_, None) => {}
        }
        client.push(Slot::ReadyEvent(vec![out.into()]));
        client.close_after_answers();
        self.mark(key);
    }

    fn command(&mut self, client: usize, command: Command, now: Micros) {
        let reserved = command.reserved;
        if let Err(text) = self.try_command(client, command, now) {
            self.budget.release(reserved);
            if let Some(c) = self.clients.get_mut(client) {
                c.push(Slot::ReadyEvent(vec![text]));
                self.mark(client);
            }
        }
    }

    /// Takes a request; an error is the answer to what is none, or to one that there is no room for.
    fn try_command(&mut self, client: usize, command: Command, now: Micros) -> Result<(), Bytes> {
        let err = |text: &'static str| Bytes::from_static(text.as_bytes());
        let words = command.words;
        let name = words.first().cloned().unwrap_or_default();
        let write = name.eq_ignore_ascii_case(b"C.SET");
        if name.eq_ignore_ascii_case(b"PING") {
            return Err(match words.get(1) {
                None if !self.life.says_yes() => err("-ERR leaving\r\n"),
                None => err("+PONG\r\n"),
                Some(text) => {
                    let mut out = Vec::new();
                    write_bulk(&mut out, text);
                    out.into()
                }
            });
        }
        if !write && !name.eq_ignore_ascii_case(b"C.GET") {
            return Err(err("-ERR unknown command\r\n"));
        }
        if words.len() != if write { 5 } else { 4 } {
            return Err(err("-ERR wrong number of arguments\r\n"));
        }
        let text = |bytes: &Bytes| std::str::from_utf8(bytes).map(Arc::<str>::from);
        let key = text(&words[1]).map_err(|_| err("-ERR key is not text\r\n"))?;
        let id = text(&words[2]).map_err(|_| err("-ERR id is not text\r\n"))?;
        let fields =
            std::str::from_utf8(&words[3]).map_err(|_| err("-ERR fields are not text\r\n"))?;
        let request = self.request(id.clone(), key, fields, write).map_err(err)?;
        if self.ids.contains_key(&id) {
            return Err(err("-ERR id is in use\r\n"));
        }
        if command.dropped || self.turns_away(client, now) {
            self.figures.count(request.class, &Final::Busy(0));
            return Err(err("-BUSY\r\n"));
        }
        let taken = Taken {
            asked: Asked::Resp,
            keyed: None,
            key: words[1].clone(),
            fields: words[3].clone(),
            value: words.get(4).cloned(),
            reserved: command.reserved,
        };
        self.take(client, request, taken, now);
        Ok(())
    }

    /// Takes a request: from now on one final answer is owed to it.
    fn take(&mut self, client: usize, mut request: Request, taken: Taken, now: Micros) {
        // A node that stops has no more time than that.
        request.budget = request
            .budget
            .min(self.life.answer_by().saturating_sub(now));
        let Some(c) = self.clients.get_mut(client) else {
            return;
        };
        self.serial += 1;
        let place = self.open.vacant_entry();
        let (open, slot) = (place.key(), c.push(Slot::Waiting(place.key())));
        place.insert(Open {
            id: request.id.clone(),
            serial: self.serial,
            class: request.class,
            client,
            client_serial: c.serial,
            slot,
            asked: taken.asked,
            keyed: taken.keyed,
            key: taken.key,
            fields: taken.fields,
            write: request.write,
            value: taken.value,
            reserved: taken.reserved,
            deadline: now + request.budget,
            attempts: Vec::new(),
            out: 0,
            closed: false,
            no_more: false,
            stream: None,
        });
        self.ids.insert(request.id.clone(), open);
        self.queue.push_back(Event::Request(request));
    }

    fn request(
        &self,
        id: RequestId,
        key: Arc<str>,
        fields: &str,
        write: bool,
    ) -> Result<Request, &'static str> {
        let mut request = Request {
            id,
            class: usize::MAX,
            tenant: None,
            key: Some(key),
            budget: -1,
            work: None,
            size: None,
            retry: false,
            write,
        };
        let number = |text: &str| {
            text.parse()
                .ok()
                .filter(|n: &f64| n.is_finite() && *n >= 0.0)
        };
        for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
            match name {
                "c" => request.class = self.names.class(value).ok_or("-ERR unknown class\r\n")?,
                "t" => request.tenant = self.names.tenant(value),
                "d" => {
                    let ms = number(value).ok_or("-ERR bad d\r\n")?;
                    request.budget = (ms * 1000.0).min(BUDGET_MOST) as Micros;
                }
                "h" => request.work = number(value),
                "size" => request.size = number(value),
                "r" => request.retry = value == "1",
                _ => {}
            }
        }
        match (request.class, request.budget) {
            (usize::MAX, _) => Err("-ERR no class\r\n"),
            (_, -1) => Err("-ERR no d\r\n"),
            _ => Ok(request),
        }
    }

    /// A client has gone: nothing is owed to it any more.
    fn drop_client(&mut self, key: usize) {
        let Some(mut client) = self.clients.try_remove(key) else {
            return;
        };
        self.budget.release(client.reserved());
        self.disown(client.cut());
    }

    /// Nothing is owed to the requests of these places any more.
    fn disown(&mut self, slots: VecDeque<Slot>) {
        for slot in slots {
            let request = match slot {
                Slot::Waiting(request) | Slot::Stream { request, .. } => request,
                Slot::ReadyEvent(_) => continue,
            };
            let Some(open) = self.open.get(request) else {
                continue;
            };
            let (id, stream) = (open.id.clone(), open.stream);
            self.close(request);
            if let (Slot::Stream { conn, .. }, Some((attempt, _))) = (slot, stream) {
                // The module does not withdraw an attempt whose value has begun.
                let now = self.now();
                self.upstreams.abandon(conn, now);
                self.ended(request, attempt, Status::Cancelled, None, None);
            } else {
                self.queue.push_back(Event::ClientDisconnected(id));
                self.unsend(request);
                self.forget(request);
            }
        }
    }

    fn flush_clients(&mut self) {
        for key in std::mem::take(&mut self.dirty) {
            let now = self.now();
            let Some(client) = self.clients.get_mut(key) else {
                continue;
            };
            client.dirty = false;
            client.advance();
            if client.flush(now).is_err() {
                self.drop_client(key);
                continue;
            }
            self.pump(key);
            self.read(key);
            if self.life.leaving() {
                self.let_go(key, now);
            }
            let Some(client) = self.clients.get_mut(key) else {
                continue;
            };
            if client.finish(now) {
                self.drop_client(key);
            }
            // What reading and pumping brought about comes before the next client.
            self.work();
        }
    }

    /// Passes on what has come of a long value, no more than its client takes.
    fn pump(&mut self, key: usize) {
        loop {
            let Some(client) = self.clients.get_mut(key) else {
                return;
            };
            let Some(Slot::Stream { conn, head, .. }) = client.slots.front_mut() else {
                return;
            };
            if client.out.len() >= STREAM_MOST {
                return;
            }
            let conn = *conn;
            if let Some(head) = head.take() {
                client.out.push(head);
            }
            let bytes = self.with_upstreams(|upstreams, around| upstreams.pull(conn, around));
            let now = self.now();
            let some = bytes.is_some();
            if let (Some(bytes), Some(client)) = (bytes, self.clients.get_mut(key)) {
                client.out.push(bytes);
            }
            if !some {
                self.signals();
            }
            let Some(client) = self.clients.get_mut(key) else {
                return;
            };
            client.advance();
            if client.flush(now).is_err() {
                return self.drop_client(key);
            }
            if !some {
                return;
            }
        }
    }

    // ---- the list ----

    fn news(&mut self, news: Option<News>) {
        match news {
            Some(News::List(answer)) => self.list(answer, None),
            Some(News::Failed(why)) => {
                self.log.line(&mut self.net, &format!("list: {why}"));
                self.queue.push_back(Event::EndpointListFailed);
            }
            None => {}
        }
    }

    fn list(&mut self, mut answer: Answer, kind: Option<EndpointListKind>) {
        let now = self.now();
        if kind.is_none() {
            self.life.told();
        }
        self.addresses.settle(&mut answer);
        let kind = kind.unwrap_or(if answer.all {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        });
        if kind != EndpointListKind::Delta {
            let named = |s: &ServerId| answer.targets.iter().any(|t| t.entry.server == *s);
            let gone: Vec<ServerId> = self
                .upstreams
                .servers()
                .filter(|s| !named(s))
                .cloned()
                .collect();
            gone.iter()
                .for_each(|server| self.upstreams.unlisted(server));
        }
        let mut entries = Vec::with_capacity(answer.targets.len());
        for listed in answer.targets {
            if listed.entry.state == ServerState::Removed {
                self.upstreams.unlisted(&listed.entry.server);
            } else {
                let speaks = |m: &Memcached| m.speaks(listed.entry.kind.as_deref());
                let memcached = self.memcached.as_ref().is_some_and(speaks);
                let protocol = if memcached {
                    Protocol::Memcached
                } else {
                    Protocol::Resp
                };
                self.upstreams
                    .listed(&listed.entry.server, listed.address, protocol);
            }
            let mut entry = self.names.entry(&listed.entry);
            entry.started = discovery::started(listed.boot_ms, self.net.unix_time_at_start(), now);
            entries.push(entry);
        }
        self.queue
            .push_back(Event::EndpointList(kind, entries.into()));
    }

    // ---- actions ----

    fn act(&mut self, action: Action, now: Micros) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.send(&request, server, timeout, now),
            Action::Reject {
                request,
                retry_after,
            } => self.end(&request, Final::Busy(retry_after)),
            Action::Fail { request } => self.end(&request, Final::Failed),
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.ids.get(&request).copied() {
                    self.give_up(open, attempt, Status::Cancelled);
                }
            }
            Action::SetTimer { delay, token } => {
                self.timers
                    .set(now.saturating_add(delay.max(0)), Due::DecisionEngine(token));
            }
            Action::Probe(server) => self.probe(server, now),
            Action::CloseIdleConnections(server) => self.upstreams.close_idle(&server),
            Action::Subscribe(on) => self.discovery.subscribe(on),
            Action::FetchEndpointList => self.discovery.fetch(),
            Action::Log(text) => self.log.line(&mut self.net, &text),
        }
    }

    fn send(&mut self, id: &RequestId, server: ServerId, timeout: Option<Micros>, now: Micros) {
        let Some(key) = self.ids.get(id).copied() else {
            return;
        };
        // First: what the look brings may change where the server is.
        let heard = self.hears(self.open[key].client, self.open[key].client_serial);
        let protocol = self.upstreams.protocol(&server);
        let open = &mut self.open[key];
        let (attempt, serial) = (open.attempts.len(), open.serial);
        let left = open.deadline - now;
        // Guards against servers at work on what nobody waits for: they are told this time and drop what is over.
        let wait = timeout.unwrap_or(left).min(left);
        let until = now + wait;
        open.attempts.push(Attempt {
            server: server.clone(),
            sent: now,
            until,
            conn: None,
            counted: false,
        });
        open.out += 1;
        let fits = protocol == Protocol::Resp || memcached_requests::fits(open);
        let over = open.closed || open.no_more || open.stream.is_some() || wait <= 0;
        if !heard {
            // Before the outcome, or the module would send it to another server.
            self.no_more(key);
        }
        if over || !heard || !fits || !self.may_leave(key, attempt, now) {
            return self.ended(key, attempt, Status::NotSent, None, None);
        }
        let written = self.worded(key, protocol, wait);
        let job = Job::Attempt {
            request: key,
            serial,
            attempt,
        };
        let started = self
            .with_upstreams(|upstreams, around| upstreams.start(job, &server, &written, around));
        match started {
            Ok(conn) => {
                self.open[key].attempts[attempt].conn = Some(conn);
                self.timers.set(
                    now + wait,
                    Due::Attempt {
                        request: key,
                        serial,
                        attempt,
                    },
                );
            }
            Err(status) => self.ended(key, attempt, status, None, None),
        }
    }

    /// A request as its server gets it.
    fn worded(&mut self, key: usize, protocol: Protocol, wait: Micros) -> Written {
        let sent = if protocol == Protocol::Memcached {
            self.count_sent()
        } else {
            0
        };
        let open = &self.open[key];
        match protocol {
            Protocol::Resp => Written {
                chunks: forwarded(open, (wait + 999) / 1000),
                tag: (0, 0),
            },
            Protocol::Memcached => memcached_requests::forwarded(open, sent),
        }
    }

    /// Writes what has waited for its connection, or gives it up: meanwhile its client may have left, the request have
    /// ended, its server drain or move. Asked when all that came in this round has been taken up.
    fn go_up(&mut self) {
        while let Some((conn, job)) = self.upstreams.came_up() {
            let now = self.now();
            let Some((key, attempt)) = self.find(job) else {
                continue;
            };
            let (client, serial) = (self.open[key].client, self.open[key].client_serial);
            let heard = self.hears(client, serial);
            let open = &self.open[key];
            let (left, server) = (
                open.attempts[attempt].until - now,
                open.attempts[attempt].server.clone(),
            );
            let over = open.closed || open.no_more || left <= 0 || !heard;
            if over
                || !self.upstreams.current(conn)
                || !self.module.may_start_attempt(now, &open.id, attempt)
            {
                self.give_up(key, attempt, Status::NotSent);
                continue;
            }
            let written = self.worded(key, self.upstreams.protocol(&server), left);
            self.upstreams.go(conn, &written);
        }
    }

    fn probe(&mut self, server: ServerId, now: Micros) {
        self.serial += 1;
        let serial = self.serial;
        let written = match self.upstreams.protocol(&server) {
            Protocol::Memcached => memcached_requests::probe(serial),
            Protocol::Resp => {
                let mut out = Vec::new();
                let words: &[&[u8]] = if self.probe_load {
                    &[b"INFO", b"load"]
                } else {
                    &[b"PING"]
                };
                write_header(&mut out, b'*', words.len());
                words.iter().for_each(|word| write_bulk(&mut out, word));
                Written {
                    chunks: vec![out.into()],
                    tag: (0, 0),
                }
            }
        };
        self.probes.insert(serial, (server.clone(), now));
        let job = Job::Probe { serial };
        let started = self
            .with_upstreams(|upstreams, around| upstreams.start(job, &server, &written, around));
        if let Err(status) = started {
            self.probed(serial, status, None);
        }
    }

    fn probed(&mut self, serial: u64, status: Status, load: Option<LoadReport>) {
        let Some((server, sent)) = self.probes.remove(&serial) else {
            return;
        };
        let latency = self.now() - sent;
        self.queue.push_back(Event::ProbeEnded {
            server,
            latency,
            status,
            load,
        });
    }

    fn give_up(&mut self, request: usize, attempt: usize, status: Status) {
        let now = self.now();
        let Some(open) = self.open.get(request) else {
            return;
        };
        let streaming = open.stream.is_some_and(|(a, _)| a == attempt);
        let Some(conn) = open
            .attempts
            .get(attempt)
            .and_then(|a| a.conn)
            .filter(|_| !streaming)
        else {
            return;
        };
        let may_have_run = self.upstreams.abandon(conn, now);
        // Its last byte was never written: it cannot have run, and it tells nothing of the server.
        let moot = status == Status::Timeout && !may_have_run;
        self.ended(
            request,
            attempt,
            if moot { Status::NotSent } else { status },
            None,
            None,
        );
    }

    /// A final answer that the module decides on.
    fn end(&mut self, id: &RequestId, end: Final) {
        let Some(key) = self
            .ids
            .get(id)
            .copied()
            .filter(|key| !self.open[*key].closed)
        else {
            return;
        };
        self.answer(key, end);
        self.forget(key);
    }

    fn answer(&mut self, key: usize, end: Final) {
        let open = &self.open[key];
        self.figures.count(open.class, &end);
        let chunks = open.asked.answer(&open.key, end);
        self.ready_answer(key, chunks);
    }

    /// Gives the final answer: no request gets a second one.
    fn ready_answer(&mut self, key: usize, chunks: Vec<Bytes>) {
        self.close(key);
        let open = &self.open[key];
        let (client, serial, slot) = (open.client, open.client_serial, open.slot);
        if let Some(c) = self.clients.get_mut(client).filter(|c| c.serial == serial) {
            if let Some(slot) = c.slot(slot) {
                *slot = Slot::ReadyEvent(chunks);
            }
            self.mark(client);
        }
    }

    fn close(&mut self, key: usize) {
        let open = &mut self.open[key];
        open.closed = true;
        // No other attempt can need the value now.
        open.value = None;
        self.budget.release(std::mem::take(&mut open.reserved));
    }

    /// Drops a request that is answered and of which nothing is out.
    fn forget(&mut self, key: usize) {
        if self
            .open
            .get(key)
            .is_some_and(|open| open.closed && open.out == 0)
        {
            let open = self.open.remove(key);
            self.ids.remove(&open.id);
            if let Some(keyed) = open.keyed {
                self.written(keyed);
            }
        }
    }

    // ---- outcomes ----

    /// An attempt has ended; each does so once.
    fn ended(
        &mut self,
        key: usize,
        attempt: usize,
        status: Status,
        note: Option<CacheResult>,
        load: Option<LoadReport>,
    ) {
        let now = self.now();
        let open = &mut self.open[key];
        let a = &mut open.attempts[attempt];
        a.conn = None;
        open.out -= 1;
        if std::mem::take(&mut a.counted) {
            self.settle(key, status);
        }
        let open = &self.open[key];
        let a = &open.attempts[attempt];
        let latency = match open.stream {
            Some((streamed, latency)) if streamed == attempt => latency,
            _ => now - a.sent,
        };
        let server = a.server.clone();
        let (request, closed) = (open.id.clone(), open.closed);
        self.queue.push_back(Event::AttemptEnded {
            request,
            server,
            attempt,
            latency,
            status,
            closed,
            note,
            load,
        });
        self.forget(key);
    }

    fn signals(&mut self) {
        while let Some(signal) = self.upstreams.signals.pop_front() {
            match signal {
                Signal::Reply(Job::Probe { serial }, said) => {
                    let (status, _, load) = verdict(&said, false);
                    let status = match said {
                        Said::Resp(Reply::Single(Element::Simple(_) | Element::Bulk(_))) => {
                            Status::Ok
                        }
                        _ => status,
                    };
                    self.probed(serial, status, load);
                }
                Signal::Ended(Job::Probe { serial }, status) => self.probed(serial, status, None),
                Signal::Reply(job, reply) => self.replied(job, reply),
                Signal::Ended(job, status) => self.broke(job, status),
                Signal::Begin { job, conn, len } => self.begin(job, conn, len),
                Signal::Body(job) => {
                    if let Some((key, _)) = self.find(job) {
                        self.mark(self.open[key].client);
                    }
                }
                Signal::Odd(server, why) => {
                    self.log
                        .line(&mut self.net, &format!("server {server}: {why}"));
                }
            }
        }
    }

    /// The attempt of a job, if it is still out.
    fn find(&self, job: Job) -> Option<(usize, usize)> {
        let Job::Attempt {
            request,
            serial,
            attempt,
        } = job
        else {
            return None;
        };
        let open = self.open.get(request).filter(|o| o.serial == serial)?;
        open.attempts.get(attempt)?.conn?;
        Some((request, attempt))
    }

    fn replied(&mut self, job: Job, said: Said) {
        let Some((key, attempt)) = self.find(job) else {
            return;
        };
        let open = &self.open[key];
        let streamed = open.stream.is_some_and(|(a, _)| a == attempt);
        let (mut status, note, load) = verdict(&said, open.write);
        if streamed {
            status = Status::Ok;
            self.end_stream(key, true);
        } else if status == Status::Ok && !open.closed {
            self.answer(key, value(said));
        }
        self.ended(key, attempt, status, note, load);
    }

    fn broke(&mut self, job: Job, status: Status) {
        let Some((key, attempt)) = self.find(job) else {
            return;
        };
        if self.open[key].stream.is_some_and(|(a, _)| a == attempt) {
            self.end_stream(key, false);
            return self.ended(key, attempt, Status::Reset, None, None);
        }
        self.ended(key, attempt, status, None, None);
    }

    /// A long value begins: from now on this attempt is the answer, and the others are of no use.
    fn begin(&mut self, job: Job, conn: usize, len: usize) {
        let Some((key, attempt)) = self.find(job) else {
            return;
        };
        let now = self.now();
        let open = &mut self.open[key];
        open.stream = Some((attempt, now - open.attempts[attempt].sent));
        let until = open.deadline.max(now + self.longest) + VALUE_SLACK;
        open.attempts[attempt].until = until;
        self.timers.set(
            until,
            Due::Attempt {
                request: key,
                serial: open.serial,
                attempt,
            },
        );
        let (client, serial, slot) = (open.client, open.client_serial, open.slot);
        let head = open.asked.head(&open.key, len);
        self.queue.push_back(Event::ResponseStarted {
            request: open.id.clone(),
            attempt,
        });
        for other in (0..self.open[key].attempts.len()).filter(|a| *a != attempt) {
            self.give_up(key, other, Status::Cancelled);
        }
        if let Some(c) = self.clients.get_mut(client).filter(|c| c.serial == serial) {
            if let Some(slot) = c.slot(slot) {
                *slot = Slot::Stream {
                    request: key,
                    conn,
                    head: Some(head),
                };
            }
            self.mark(client);
        }
    }

    /// A long value that has begun and is still not whole when its time is over is broken off.
    fn cut_value(&mut self, key: usize, attempt: usize, now: Micros) {
        let Some(open) = self
            .open
            .get(key)
            .filter(|o| o.stream.is_some_and(|(a, _)| a == attempt))
        else {
            return;
        };
        let Attempt {
            until,
            conn: Some(conn),
            ..
        } = open.attempts[attempt]
        else {
            return;
        };
        if now >= until {
            self.upstreams.abandon(conn, now);
            self.end_stream(key, false);
            self.ended(key, attempt, Status::Reset, None, None);
        }
    }

    /// A long value is whole, or has broken off. A client that was given part of it must see that it is not
    /// whole: nothing but the end of the connection can tell it so.
    fn end_stream(&mut self, key: usize, whole: bool) {
        let open = &self.open[key];
        let (client, serial, number) = (open.client, open.client_serial, open.slot);
        let Some(c) = self.clients.get_mut(client).filter(|c| c.serial == serial) else {
            return self.close(key);
        };
        let begun = !matches!(c.slot(number), Some(Slot::Stream { head: Some(_), .. }));
        if whole {
            // Served; the value itself has been passed on.
            self.figures.count(self.open[key].class, &Final::NoValue);
            let tail = self.open[key].asked.tail();
            self.ready_answer(key, tail);
        } else if !begun {
            self.answer(key, Final::Failed);
        } else {
            self.figures.count(self.open[key].class, &Final::Failed);
            self.ready_answer(key, Vec::new());
            // Not closed at once: over commands that wait unread that would be a reset, and answers under way go with it.
            let slots = self
                .clients
                .get_mut(client)
                .map(Client::cut)
                .unwrap_or_default();
            self.disown(slots);
        }
    }
}

/// The command as the cache server gets it: all as it came, but for the time that this node will wait.
fn forwarded(open: &Open, wait_ms: Micros) -> Vec<Bytes> {
    let mut fields = Vec::with_capacity(open.fields.len() + 8);
    for field in open.fields.split(|b| *b == b',') {
        if !fields.is_empty() {
            fields.push(b',');
        }
        if field.starts_with(b"d=") {
            fields.extend_from_slice(format!("d={wait_ms}").as_bytes());
        } else {
            fields.extend_from_slice(field);
        }
    }
    let mut out = Vec::with_capacity(128 + open.key.len() + fields.len());
    let (words, name): (usize, &[u8]) = if open.value.is_some() {
        (5, b"C.SET")
    } else {
        (4, b"C.GET")
    };
    write_header(&mut out, b'*', words);
    for word in [name, &open.key, open.id.as_bytes(), &fields] {
        write_bulk(&mut out, word);
    }
    match &open.value {
        None => vec![out.into()],
        Some(value) if value.len() <= MAX_ARGUMENT => {
            write_bulk(&mut out, value);
            vec![out.into()]
        }
        Some(value) => {
            write_header(&mut out, b'$', value.len());
            vec![out.into(), value.clone(), Bytes::from_static(b"\r\n")]
        }
    }
}

/// What an answer says: how the attempt ended, how the read went, the load report.
fn verdict(said: &Said, write: bool) -> (Status, Option<CacheResult>, Option<LoadReport>) {
    let reply = match said {
        Said::Resp(reply) => reply,
        Said::Memcached(response) => {
            let operation = if write {
                Operation::Set
            } else {
                Operation::Get
            };
            return match outcome(operation, response.status) {
                Outcome::Served => (Status::Ok, None, None),
                Outcome::NoValue => (Status::Ok, Some(CacheResult::Miss), None),
                Outcome::Not(status) => (status, None, None),
            };
        }
    };
    match reply {
        Reply::Array(parts) => {
            let status = if matches!(parts[0], Element::Bulk(_)) {
                Status::Ok
            } else {
                Status::Error
            };
            let note = match parts.get(1) {
                Some(Element::Bulk(word) | Element::Simple(word)) => match &word[..] {
                    b"hit" => Some(CacheResult::Hit),
                    b"miss" => Some(CacheResult::Miss),
                    b"pending" => Some(CacheResult::MissFetching),
                    _ => None,
                },
                _ => None,
            };
            (status, note, parts.get(2).and_then(load))
        }
        Reply::Single(part @ Element::Error(line)) => {
            let status = if line.starts_with(b"BUSY") {
                Status::Rejected
            } else {
                Status::Error
            };
            (status, None, load(part))
        }
        Reply::Single(part) => (Status::Error, None, load(part)),
    }
}

/// The answer of an attempt that was served.
fn value(said: Said) -> Final {
    match said {
        Said::Resp(Reply::Array(mut parts)) => match parts.swap_remove(0) {
            Element::Bulk(value) => Final::Value(value),
            _ => Final::NoValue,
        },
        Said::Resp(Reply::Single(_)) => Final::Failed,
        Said::Memcached(response) if response.status == memcached::Status::KeyNotFound as u16 => {
            Final::NoValue
        }
        Said::Memcached(response) => Final::Value(response.value),
    }
}

fn load(part: &Element) -> Option<LoadReport> {
    let (Element::Bulk(text) | Element::Simple(text) | Element::Error(text)) = part else {
        return None;
    };
    let text = std::str::from_utf8(text).ok()?.rsplit(' ').next()?;
    let mut load = LoadReport::default();
    let mut any = false;
    for (name, value) in text.split(',').filter_map(|field| field.split_once('=')) {
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        let field = match name {
            "inflight" | "active" => &mut load.in_flight,
            "queue" | "waiting" => &mut load.queue,
            "util" | "cpu" => &mut load.util,
            "latency_ms" | "avg_ms" => &mut load.service,
            "qps" | "rps" => &mut load.qps,
            "eps" | "err_rps" => &mut load.eps,
            "x0" => &mut load.hits,
            "x1" => &mut load.fetches,
            _ => continue,
        };
        *field = value;
        any |= value.is_some();
    }
    load.service = load.service.map(|ms| ms * 1000.0);
    any.then_some(load)
}

#[cfg(test)]
#[path = "node_tests.rs"]
mod tests;
