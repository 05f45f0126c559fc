//! A network on virtual time: hosts, TCP-like connections, links with delay and faults. Time stands still
//! while a host runs and jumps to the next event. All random draws come from one seed, and all events are totally
//! ordered, so a run is the same each time, byte for byte.
//!
//! The following parts of TCP are modelled: ordered and complete delivery, a bounded receive window, partial writes,
//! half-close, a reset when a process dies or closes a connection with unread bytes, refused connections, and
//! unreachable peers. A machine that has vanished does not reply, and neither does one behind a direction that is cut.
//! What was sent into a cut arrives when it heals.

pub mod hosts;

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Buf, Bytes};
use slab::Slab;
use sloewick_decision::api::Micros;
use sloewick_node::transport::{
    PendingSignals, ReadyEvent, Stream, Token, Transport, SIGNALS_TOKEN,
};

use crate::port::SendTimes;
use crate::rng::Rng;

/// Most bytes in flight or unread in one direction of a connection.
pub const RECEIVE_WINDOW: usize = 256 << 10;
/// Most connections of a listener that wait to be accepted. Further ones get no reply, as with a full SYN queue.
const MAX_BACKLOG: usize = 1024;
/// Longest time after a cut has healed until TCP has retransmitted what was lost in it, in microseconds.
const MAX_RETRANSMIT_DELAY: f64 = 400_000.0;
/// Unix time of virtual time 0, in microseconds.
pub const EPOCH: Micros = 1_900_000_000_000_000;
/// The error number of "too many open files".
const EMFILE: i32 = 24;

/// Number of a host, from 0 in order of creation.
pub type HostId = usize;

/// Delay of the network, one way, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Delay {
    /// Within a zone.
    pub same: Micros,
    /// Between zones.
    pub cross: Micros,
    /// Most that is added at random, as a fraction of the delay.
    pub jitter: f64,
}

impl Delay {
    /// Longest one-way delay while no link is cut, in microseconds.
    pub fn max_one_way(&self) -> Micros {
        (self.same.max(self.cross) as f64 * (1.0 + self.jitter)) as Micros + 1
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A connection request arrives at the host that listens.
    Syn { conn: usize, serial: u64 },
    /// The next inbound segment arrives at one end.
    Arrive {
        conn: usize,
        serial: u64,
        end: usize,
    },
    /// A write that was blocked at random may be tried again.
    WriteRetry {
        conn: usize,
        serial: u64,
        end: usize,
    },
}

/// What one end of a connection sends to the other.
#[derive(Debug)]
enum Segment {
    /// The bytes, and the virtual time at which they were sent.
    Data(Bytes, Micros),
    SynAck,
    Refused,
    Fin,
    Reset,
}

/// One end of a connection.
#[derive(Debug)]
struct ConnectionEnd {
    host: HostId,
    /// None until the connection is accepted.
    token: Option<Token>,
    /// The connection is established.
    is_established: bool,
    /// Received bytes that were not read yet, each with the virtual time at which it was sent.
    received: VecDeque<(Bytes, Micros)>,
    received_len: usize,
    /// The peer has ended its sending.
    peer_ended: bool,
    error: Option<ErrorKind>,
    /// The process has taken the error; reads keep failing.
    error_taken: bool,
    /// The process has dropped its stream, or it has died.
    closed: bool,
    fin_sent: bool,
    /// In flight to this end, in order, each with the virtual time of its arrival.
    inbound: VecDeque<(Micros, Segment)>,
    inbound_len: usize,
    /// Virtual time of the latest arrival scheduled so far; later ones do not overtake it.
    last_arrival: Micros,
    /// A write found no capacity; the process is notified once there is some.
    write_blocked: bool,
    /// The connection is reset when the first bytes arrive at this end.
    reset_on_data: bool,
    /// The connection is reset when this end is closed.
    resets_on_close: bool,
    /// This end is in its host's `ready`.
    is_ready: bool,
}

impl ConnectionEnd {
    fn new(host: HostId, token: Option<Token>) -> ConnectionEnd {
        ConnectionEnd {
            host,
            token,
            is_established: false,
            received: VecDeque::new(),
            received_len: 0,
            peer_ended: false,
            error: None,
            error_taken: false,
            closed: false,
            fin_sent: false,
            inbound: VecDeque::new(),
            inbound_len: 0,
            last_arrival: 0,
            write_blocked: false,
            reset_on_data: false,
            resets_on_close: false,
            is_ready: false,
        }
    }
}

#[derive(Debug)]
struct Connection {
    /// Distinguishes connections that use the same slot one after another.
    serial: u64,
    /// The end that has connected, and the end of the listener.
    ends: [ConnectionEnd; 2],
    /// The address that was connected to.
    to: SocketAddr,
}

/// A listening socket.
#[derive(Debug)]
struct ListeningSocket {
    host: HostId,
    token: Token,
    /// Connections that were not accepted yet.
    backlog: VecDeque<usize>,
    /// The host was notified, and has not accepted everything since.
    notified: bool,
}

#[derive(Debug, Default)]
struct Host {
    name: String,
    zone: usize,
    alive: bool,
    isolated: bool,
    /// Open descriptors.
    descriptors: usize,
    max_descriptors: usize,
    peak_descriptors: usize,
    /// Virtual time at which the process was started; its clock counts from there.
    started: Micros,
    /// Error of its wall clock, in microseconds.
    skew: Micros,
    pending_signals: PendingSignals,
    /// Signals have arrived since the last poll.
    signalled: bool,
    /// Ends that the next poll reports: number of the connection, and 0 (client) or 1 (server).
    ready: Vec<(usize, usize)>,
    /// Listeners that the next poll reports.
    listeners_ready: Vec<SocketAddr>,
    /// This host is in `World::awake`.
    is_queued: bool,
    /// A write is blocked for a while with half this probability, and otherwise cut short with this probability. Of
    /// two connected hosts the lower value applies.
    partial_writes: f64,
    /// New connections to it are refused.
    refuses_connections: bool,
    /// Lines that the process has logged.
    log: Vec<String>,
}

/// The whole network: hosts, connections and the events to come.
#[derive(Debug)]
pub struct World {
    /// Virtual time in microseconds.
    pub now: Micros,
    /// Number of the latest event; orders events of the same time.
    seq: u64,
    /// Serial number of the latest connection.
    serial: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    hosts: Vec<Host>,
    conns: Slab<Connection>,
    listeners: BTreeMap<SocketAddr, ListeningSocket>,
    /// The machine that an address belongs to, also while no process listens there.
    addresses: BTreeMap<SocketAddr, HostId>,
    delay: Delay,
    /// A host, and the extra delay of the ends and resets that it sends.
    close_delay: Option<(HostId, Micros)>,
    /// A host, a number n, and how many connections the host has opened: each n-th is reset at its first bytes.
    forced_resets: Option<(HostId, u64, u64)>,
    /// Cut directions: from the first host to the second.
    cuts: BTreeSet<(HostId, HostId)>,
    /// Events that wait until the cut from the first host to the second heals.
    cut_events: Vec<(HostId, HostId, Event)>,
    rng: Rng,
    /// Hosts on which something has happened since they last ran.
    awake: Vec<HostId>,
    /// Running digest (FNV-1a) of all deliveries.
    digest: u64,
}

/// A network that its hosts' transports share.
pub type SharedWorld = Rc<RefCell<World>>;

impl World {
    pub fn new(seed: u64, delay: Delay) -> World {
        World {
            now: 0,
            seq: 0,
            serial: 0,
            events: BinaryHeap::new(),
            hosts: Vec::new(),
            conns: Slab::new(),
            listeners: BTreeMap::new(),
            addresses: BTreeMap::new(),
            delay,
            close_delay: None,
            forced_resets: None,
            cuts: BTreeSet::new(),
            cut_events: Vec::new(),
            rng: Rng::stream(seed, "network", 0),
            awake: Vec::new(),
            digest: 0xcbf2_9ce4_8422_2325,
        }
    }

    /// Adds a machine in a zone; its process may hold this many descriptors.
    pub fn add_host(&mut self, name: &str, zone: usize, max_descriptors: usize) -> HostId {
        self.hosts.push(Host {
            name: name.to_string(),
            zone,
            alive: true,
            max_descriptors,
            started: self.now,
            ..Host::default()
        });
        self.hosts.len() - 1
    }

    /// The transport of a host.
    pub fn net(world: &SharedWorld, host: HostId) -> VirtualTransport {
        VirtualTransport {
            world: world.clone(),
            host,
        }
    }

    /// Assigns an address to a machine. The previous owner of the address keeps its open connections.
    pub fn add_address(&mut self, host: HostId, at: SocketAddr) {
        self.addresses.insert(at, host);
    }

    /// Digest of all deliveries so far.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn update_digest(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    /// Open descriptors of a host, the most it has held at once, and its limit.
    pub fn descriptors(&self, host: HostId) -> (usize, usize, usize) {
        let h = &self.hosts[host];
        (h.descriptors, h.peak_descriptors, h.max_descriptors)
    }

    /// Takes the lines that a host's process has logged since the last call.
    pub fn take_log(&mut self, host: HostId) -> Vec<String> {
        std::mem::take(&mut self.hosts[host].log)
    }

    // ---- faults ----

    /// Kills the process on a host: its connections are reset, and its addresses refuse connections.
    pub fn kill(&mut self, host: HostId) {
        let own_ends: Vec<(usize, usize)> = self.ends_of(host);
        for (conn, end) in own_ends {
            if !self.conns[conn].ends[end].closed {
                self.conns[conn].ends[end].closed = true;
                self.send(conn, end, Segment::Reset);
                self.remove_if_closed(conn);
            }
        }
        let listeners: Vec<SocketAddr> = self
            .listeners
            .iter()
            .filter(|(_, p)| p.host == host)
            .map(|(at, _)| *at)
            .collect();
        for at in listeners {
            self.close_listener(at);
        }
        let h = &mut self.hosts[host];
        h.alive = false;
        h.descriptors = 0;
        h.ready.clear();
        h.listeners_ready.clear();
        (h.pending_signals, h.signalled) = (PendingSignals::default(), false);
    }

    /// Starts a new process on the machine of one that has died.
    pub fn restart_host(&mut self, host: HostId) {
        let now = self.now;
        let h = &mut self.hosts[host];
        (h.alive, h.isolated, h.started, h.descriptors) = (true, false, now, 0);
    }

    /// Cuts a machine off in both directions: all that it sends or is sent is lost, and its connections stay open.
    pub fn isolate(&mut self, host: HostId) {
        self.hosts[host].isolated = true;
    }

    /// Cuts one direction between two hosts, or heals it.
    pub fn cut(&mut self, from: HostId, to: HostId, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else if self.cuts.remove(&(from, to)) {
            let (now, waiting) = (self.now, std::mem::take(&mut self.cut_events));
            let (healed, still_cut): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|h| (h.0, h.1) == (from, to));
            self.cut_events = still_cut;
            // The same pause for all events of a cut keeps the order within a connection.
            let pause = (self.rng.unit_interval() * MAX_RETRANSMIT_DELAY) as Micros;
            for (_, _, event) in healed {
                self.push(now + pause, event);
            }
        }
    }

    /// Delays the arrival of ends and resets that this host sends, in microseconds.
    pub fn delay_close_notifications(&mut self, host: HostId, by: Micros) {
        self.close_delay = Some((host, by));
    }

    /// Resets each `of`-th connection that this host opens from now on at its first bytes; none if `of` is 0.
    pub fn reset_new_connections(&mut self, host: HostId, of: u64) {
        self.forced_resets = (of > 0).then_some((host, of, 0));
    }

    /// Sets the probability that a write between this host and others that have one takes only some of its bytes.
    pub fn set_partial(&mut self, host: HostId, fraction: f64) {
        self.hosts[host].partial_writes = fraction;
    }

    /// Makes a host refuse new connections, or accept them again.
    pub fn set_refuses(&mut self, host: HostId, refuses: bool) {
        self.hosts[host].refuses_connections = refuses;
    }

    /// Sets the error of a host's wall clock, in microseconds.
    pub fn set_skew(&mut self, host: HostId, skew: Micros) {
        self.hosts[host].skew = skew;
    }

    /// Resets a fraction of the connections between two groups of hosts, drawn at random.
    pub fn reset_some(&mut self, some: &[HostId], others: &[HostId], fraction: f64) {
        let between = |c: &Connection| {
            let (a, b) = (&c.ends[0].host, &c.ends[1].host);
            (some.contains(a) && others.contains(b)) || (some.contains(b) && others.contains(a))
        };
        let open: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| between(c))
            .map(|(conn, _)| conn)
            .collect();
        for conn in open {
            if self.rng.chance(fraction) {
                (0..2).for_each(|end| self.send(conn, end, Segment::Reset));
            }
        }
    }

    /// Reconnects an isolated machine; the state of its process is unchanged.
    pub fn end_isolation(&mut self, host: HostId) {
        self.hosts[host].isolated = false;
    }

    /// Sends signals to the process on a host.
    pub fn signal(&mut self, host: HostId, pending_signals: PendingSignals) {
        let h = &mut self.hosts[host];
        h.pending_signals.reload |= pending_signals.reload;
        h.pending_signals.stop |= pending_signals.stop;
        h.signalled = true;
        self.wake(host);
    }

    // ---- time ----

    /// Virtual time of the next event.
    pub fn next_event(&self) -> Option<Micros> {
        self.events.peek().map(|Reverse((at, ..))| *at)
    }

    /// Advances virtual time to `to` and delivers what arrives by then.
    pub fn advance(&mut self, to: Micros) {
        self.now = self.now.max(to);
        while self.next_event().is_some_and(|at| at <= self.now) {
            if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.handle_event(event);
            }
        }
    }

    /// Hosts on which something has happened since they last ran, in order of their numbers.
    pub fn take_awake(&mut self) -> Vec<HostId> {
        let mut awake = std::mem::take(&mut self.awake);
        awake.sort_unstable();
        for host in &awake {
            self.hosts[*host].is_queued = false;
        }
        awake.retain(|host| self.hosts[*host].alive);
        awake
    }

    fn wake(&mut self, host: HostId) {
        if !std::mem::replace(&mut self.hosts[host].is_queued, true) {
            self.awake.push(host);
        }
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn delay(&mut self, from: HostId, to: HostId) -> Micros {
        let base = if self.hosts[from].zone == self.hosts[to].zone {
            self.delay.same
        } else {
            self.delay.cross
        };
        base + (base as f64 * self.delay.jitter * self.rng.unit_interval()) as Micros
    }

    // ---- connections ----

    fn ends_of(&self, host: HostId) -> Vec<(usize, usize)> {
        let ends = self
            .conns
            .iter()
            .flat_map(|(conn, c)| [(conn, 0, &c.ends[0]), (conn, 1, &c.ends[1])]);
        ends.filter(|(_, _, e)| e.host == host)
            .map(|(conn, end, _)| (conn, end))
            .collect()
    }

    /// Sends from one end to the other.
    fn send(&mut self, conn: usize, end: usize, segment: Segment) {
        let (from, to) = (
            self.conns[conn].ends[end].host,
            self.conns[conn].ends[1 - end].host,
        );
        let mut delay = self.delay(from, to);
        if matches!(segment, Segment::Fin | Segment::Reset) {
            delay += self
                .close_delay
                .filter(|(host, _)| *host == from)
                .map_or(0, |(_, by)| by);
        }
        let now = self.now;
        let c = &mut self.conns[conn];
        let serial = c.serial;
        let far = &mut c.ends[1 - end];
        far.last_arrival = far.last_arrival.max(now + delay);
        let at = far.last_arrival;
        if let Segment::Data(bytes, _) = &segment {
            far.inbound_len += bytes.len();
        }
        far.inbound.push_back((at, segment));
        self.push(
            at,
            Event::Arrive {
                conn,
                serial,
                end: 1 - end,
            },
        );
    }

    fn handle_event(&mut self, event: Event) {
        let (conn, serial, end) = match event {
            Event::Syn { conn, serial } => (conn, serial, 1),
            Event::Arrive { conn, serial, end } | Event::WriteRetry { conn, serial, end } => {
                (conn, serial, end)
            }
        };
        let Some(c) = self.conns.get(conn).filter(|c| c.serial == serial) else {
            return;
        };
        if let Event::WriteRetry { .. } = event {
            return self.mark_ready(conn, end);
        }
        let (from, to) = (c.ends[1 - end].host, c.ends[end].host);
        if self.hosts[from].isolated || self.hosts[to].isolated {
            // An isolated machine neither sends nor receives: the event is lost. Once the machine is back, the next
            // thing that it sends is a reset.
            let far = &mut self.conns[conn].ends[end];
            match event {
                Event::Syn { .. } => far.closed = true,
                _ => {
                    if let Some((_, Segment::Data(bytes, _))) = far.inbound.pop_front() {
                        far.inbound_len -= bytes.len();
                    }
                }
            }
            return self.remove_if_closed(conn);
        }
        if self.cuts.contains(&(from, to)) {
            return self.cut_events.push((from, to, event));
        }
        match event {
            Event::Syn { .. } => self.handle_connection_request(conn),
            _ => self.handle_arrival(conn, end),
        }
    }

    fn handle_connection_request(&mut self, conn: usize) {
        let to = self.conns[conn].to;
        let host = self.conns[conn].ends[1].host;
        if self.conns[conn].ends[0].closed {
            self.conns[conn].ends[1].closed = true;
            return self.remove_if_closed(conn);
        }
        let refuses = !self.hosts[host].alive || self.hosts[host].refuses_connections;
        match self.listeners.get_mut(&to).filter(|_| !refuses) {
            Some(listener) if listener.backlog.len() < MAX_BACKLOG => {
                listener.backlog.push_back(conn);
                let (host, notified) = (
                    listener.host,
                    std::mem::replace(&mut listener.notified, true),
                );
                if !notified {
                    self.hosts[host].listeners_ready.push(to);
                    self.wake(host);
                }
                self.conns[conn].ends[1].is_established = true;
                self.send(conn, 1, Segment::SynAck);
            }
            // The backlog is full: no reply.
            Some(_) => {}
            None => {
                self.conns[conn].ends[1].closed = true;
                self.send(conn, 1, Segment::Refused);
            }
        }
    }

    fn handle_arrival(&mut self, conn: usize, end: usize) {
        let Some((_, segment)) = self.conns[conn].ends[end].inbound.pop_front() else {
            return;
        };
        let mark = [
            conn as u8,
            end as u8,
            (self.now & 0xff) as u8,
            (self.now >> 8 & 0xff) as u8,
        ];
        self.update_digest(&mark);
        if let Segment::Data(bytes, _) = &segment {
            self.conns[conn].ends[end].inbound_len -= bytes.len();
            let bytes = bytes.clone();
            self.update_digest(&bytes[..bytes.len().min(64)]);
        }
        let e = &mut self.conns[conn].ends[end];
        if e.closed {
            if let Segment::Data(..) = segment {
                // Data for a closed end is answered by a reset, unless the sender has closed too.
                if !self.conns[conn].ends[1 - end].closed {
                    self.send(conn, end, Segment::Reset);
                }
            }
            return self.remove_if_closed(conn);
        }
        if end == 1 && matches!(segment, Segment::Data(..)) && std::mem::take(&mut e.reset_on_data)
        {
            e.error = Some(ErrorKind::ConnectionReset);
            self.send(conn, 1, Segment::Reset);
            return self.mark_ready(conn, end);
        }
        match segment {
            Segment::Data(bytes, sent) => {
                e.received_len += bytes.len();
                e.received.push_back((bytes, sent));
            }
            Segment::SynAck => e.is_established = true,
            Segment::Refused => e.error = Some(ErrorKind::ConnectionRefused),
            Segment::Fin => e.peer_ended = true,
            Segment::Reset => e.error = e.error.or(Some(ErrorKind::ConnectionReset)),
        }
        self.mark_ready(conn, end);
    }

    /// Adds an end to its host's ready list, so that the next poll reports it.
    fn mark_ready(&mut self, conn: usize, end: usize) {
        let e = &mut self.conns[conn].ends[end];
        if e.token.is_none() || e.closed || std::mem::replace(&mut e.is_ready, true) {
            return;
        }
        let host = e.host;
        self.hosts[host].ready.push((conn, end));
        self.wake(host);
    }

    fn send_capacity(&self, conn: usize, end: usize) -> usize {
        let far = &self.conns[conn].ends[1 - end];
        RECEIVE_WINDOW.saturating_sub(far.received_len + far.inbound_len)
    }

    fn close(&mut self, conn: usize, end: usize) {
        let e = &mut self.conns[conn].ends[end];
        if std::mem::replace(&mut e.closed, true) {
            return;
        }
        let (host, unread, resets_on_close) = (e.host, e.received_len > 0, e.resets_on_close);
        let has_failed = e.error.is_some();
        e.received.clear();
        e.received_len = 0;
        let fin_sent = e.fin_sent;
        self.hosts[host].descriptors = self.hosts[host].descriptors.saturating_sub(1);
        // To a far end that has read all bytes, a reset is the same as an orderly close.
        let far = &self.conns[conn].ends[1 - end];
        let resets = unread || (resets_on_close && far.inbound_len + far.received_len > 0);
        if !has_failed {
            if resets {
                self.send(conn, end, Segment::Reset);
            } else if !fin_sent {
                self.send(conn, end, Segment::Fin);
            }
        }
        self.remove_if_closed(conn);
    }

    /// Removes a connection that both ends have closed and on which nothing is in flight.
    fn remove_if_closed(&mut self, conn: usize) {
        let c = &self.conns[conn];
        if c.ends.iter().all(|e| e.closed) && c.ends.iter().all(|e| e.inbound.is_empty()) {
            self.conns.remove(conn);
        }
    }

    fn close_listener(&mut self, at: SocketAddr) {
        if let Some(listener) = self.listeners.remove(&at) {
            let host = listener.host;
            self.hosts[host].descriptors = self.hosts[host].descriptors.saturating_sub(1);
            for conn in listener.backlog {
                if self.conns.contains(conn) && !self.conns[conn].ends[1].closed {
                    self.conns[conn].ends[1].closed = true;
                    self.send(conn, 1, Segment::Reset);
                }
            }
        }
    }

    fn allocate_descriptor(&mut self, host: HostId) -> io::Result<()> {
        let h = &mut self.hosts[host];
        if h.descriptors >= h.max_descriptors {
            return Err(io::Error::from_raw_os_error(EMFILE));
        }
        h.descriptors += 1;
        h.peak_descriptors = h.peak_descriptors.max(h.descriptors);
        Ok(())
    }
}

/// The [`Transport`] of one host.
#[derive(Clone)]
pub struct VirtualTransport {
    world: SharedWorld,
    host: HostId,
}

/// One end of a connection; closed when dropped.
pub struct VirtualStream {
    world: SharedWorld,
    conn: usize,
    end: usize,
    /// Guards against a stream that outlives its host's process: another connection may have its slot by now.
    serial: u64,
}

/// A listening socket of one host; closed when dropped.
pub struct VirtualListener {
    world: SharedWorld,
    at: SocketAddr,
    host: HostId,
    started: Micros,
}

impl Drop for VirtualStream {
    fn drop(&mut self) {
        let mut w = self.world.borrow_mut();
        if w.conns
            .get(self.conn)
            .is_some_and(|c| c.serial == self.serial)
        {
            w.close(self.conn, self.end);
        }
    }
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        let mut w = self.world.borrow_mut();
        let is_own = w
            .listeners
            .get(&self.at)
            .is_some_and(|p| p.host == self.host);
        if is_own && w.hosts[self.host].started == self.started {
            w.close_listener(self.at);
        }
    }
}

impl Transport for VirtualTransport {
    type Stream = VirtualStream;
    type Listener = VirtualListener;

    fn now(&self) -> Micros {
        let w = self.world.borrow();
        w.now - w.hosts[self.host].started
    }

    fn monotonic_time(&self) -> Micros {
        self.world.borrow().now
    }

    fn boot_id(&self) -> String {
        String::new()
    }

    fn unix_time_at_start(&self) -> Micros {
        let w = self.world.borrow();
        EPOCH + w.hosts[self.host].started + w.hosts[self.host].skew
    }

    fn listen(&mut self, at: SocketAddr, token: Token) -> io::Result<VirtualListener> {
        let mut w = self.world.borrow_mut();
        if w.listeners.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        w.allocate_descriptor(self.host)?;
        w.listeners.insert(
            at,
            ListeningSocket {
                host: self.host,
                token,
                backlog: VecDeque::new(),
                notified: false,
            },
        );
        let started = w.hosts[self.host].started;
        Ok(VirtualListener {
            world: self.world.clone(),
            at,
            host: self.host,
            started,
        })
    }

    fn accept(
        &mut self,
        listener: &mut VirtualListener,
        token: Token,
    ) -> io::Result<VirtualStream> {
        let mut w = self.world.borrow_mut();
        let has_waiting = w
            .listeners
            .get(&listener.at)
            .is_some_and(|p| !p.backlog.is_empty());
        if !has_waiting {
            if let Some(socket) = w.listeners.get_mut(&listener.at) {
                socket.notified = false;
            }
            return Err(ErrorKind::WouldBlock.into());
        }
        w.allocate_descriptor(self.host)?;
        let conn = w
            .listeners
            .get_mut(&listener.at)
            .and_then(|p| p.backlog.pop_front());
        let Some(conn) = conn.filter(|conn| w.conns.contains(*conn)) else {
            w.hosts[self.host].descriptors -= 1;
            return Err(ErrorKind::ConnectionAborted.into());
        };
        w.conns[conn].ends[1].token = Some(token);
        let serial = w.conns[conn].serial;
        w.mark_ready(conn, 1);
        Ok(VirtualStream {
            world: self.world.clone(),
            conn,
            end: 1,
            serial,
        })
    }

    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<VirtualStream> {
        let mut w = self.world.borrow_mut();
        w.allocate_descriptor(self.host)?;
        w.serial += 1;
        let serial = w.serial;
        // An address that belongs to no machine: the connecting host itself refuses the connection.
        let far = w.addresses.get(&to).copied().unwrap_or(self.host);
        let mut ends = [
            ConnectionEnd::new(self.host, Some(token)),
            ConnectionEnd::new(far, None),
        ];
        if let Some((_, of, opened)) = w
            .forced_resets
            .as_mut()
            .filter(|(host, ..)| *host == self.host)
        {
            *opened += 1;
            ends[1].reset_on_data = opened.is_multiple_of(*of);
        }
        let conn = w.conns.insert(Connection { serial, ends, to });
        let delay = w.delay(self.host, far);
        let at = w.now + delay;
        w.conns[conn].ends[1].last_arrival = at;
        w.push(at, Event::Syn { conn, serial });
        Ok(VirtualStream {
            world: self.world.clone(),
            conn,
            end: 0,
            serial,
        })
    }

    fn poll(&mut self, ready: &mut Vec<ReadyEvent>, _wait: Micros) -> io::Result<()> {
        ready.clear();
        let mut w = self.world.borrow_mut();
        if std::mem::take(&mut w.hosts[self.host].signalled) {
            let token = SIGNALS_TOKEN;
            ready.push(ReadyEvent {
                token,
                readable: true,
                writable: false,
                read_closed: false,
                error: false,
            });
        }
        for at in std::mem::take(&mut w.hosts[self.host].listeners_ready) {
            if let Some(socket) = w.listeners.get(&at) {
                let token = socket.token;
                ready.push(ReadyEvent {
                    token,
                    readable: true,
                    writable: false,
                    read_closed: false,
                    error: false,
                });
            }
        }
        for (conn, end) in std::mem::take(&mut w.hosts[self.host].ready) {
            let Some(c) = w.conns.get_mut(conn) else {
                continue;
            };
            let e = &mut c.ends[end];
            if e.host != self.host || e.closed {
                continue;
            }
            e.is_ready = false;
            let Some(token) = e.token else { continue };
            let failed = e.error.is_some();
            let is_established = e.is_established;
            let (has_bytes, peer_ended) = (e.received_len > 0, e.peer_ended);
            ready.push(ReadyEvent {
                token,
                readable: has_bytes || peer_ended || failed,
                writable: failed || (is_established && w.send_capacity(conn, end) > 0),
                read_closed: peer_ended || failed,
                error: failed,
            });
        }
        Ok(())
    }

    fn take_signals(&mut self) -> PendingSignals {
        std::mem::take(&mut self.world.borrow_mut().hosts[self.host].pending_signals)
    }

    fn log(&mut self, line: &str) {
        let mut w = self.world.borrow_mut();
        let line = format!(
            "{:10.6} {} {line}",
            w.now as f64 / 1e6,
            w.hosts[self.host].name
        );
        w.hosts[self.host].log.push(line);
    }
}

impl VirtualStream {
    /// Calls a function on the connection, or returns `if_missing` if the connection no longer exists.
    fn with<T>(&self, if_missing: T, call: impl FnOnce(&mut World, usize, usize) -> T) -> T {
        let mut w = self.world.borrow_mut();
        match w.conns.get(self.conn) {
            Some(c) if c.serial == self.serial => call(&mut w, self.conn, self.end),
            _ => if_missing,
        }
    }
}

impl Stream for VirtualStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.with(Err(ErrorKind::ConnectionReset.into()), |w, conn, end| {
            let e = &mut w.conns[conn].ends[end];
            if e.received_len == 0 {
                return match e.error {
                    Some(kind) => Err(kind.into()),
                    None if e.peer_ended => Ok(0),
                    None => Err(ErrorKind::WouldBlock.into()),
                };
            }
            let mut n = 0;
            while let Some((front, _)) = e.received.front_mut().filter(|_| n < into.len()) {
                let take = front.len().min(into.len() - n);
                into[n..n + take].copy_from_slice(&front[..take]);
                front.advance(take);
                n += take;
                if front.is_empty() {
                    e.received.pop_front();
                }
            }
            e.received_len -= n;
            let far = &mut w.conns[conn].ends[1 - end];
            if std::mem::take(&mut far.write_blocked) {
                w.mark_ready(conn, 1 - end);
            }
            Ok(n)
        })
    }

    fn write(&mut self, chunks: &[IoSlice<'_>]) -> io::Result<usize> {
        self.with(Err(ErrorKind::BrokenPipe.into()), |w, conn, end| {
            let e = &w.conns[conn].ends[end];
            if let Some(kind) = e.error {
                return Err(kind.into());
            }
            if !e.is_established {
                return Err(ErrorKind::NotConnected.into());
            }
            if e.fin_sent {
                return Err(ErrorKind::BrokenPipe.into());
            }
            let host = e.host;
            let all: usize = chunks.iter().map(|c| c.len()).sum();
            let mut send_capacity = w.send_capacity(conn, end).min(all);
            let far = w.conns[conn].ends[1 - end].host;
            let fraction = w.hosts[host]
                .partial_writes
                .min(w.hosts[far].partial_writes);
            if fraction > 0.0 && all > 1 {
                if w.rng.chance(fraction / 2.0) {
                    send_capacity = 0;
                    let (at, serial) = (
                        w.now + 1_000 + w.rng.below(20_000) as Micros,
                        w.conns[conn].serial,
                    );
                    w.push(at, Event::WriteRetry { conn, serial, end });
                } else if w.rng.chance(fraction) {
                    send_capacity = send_capacity.min(1 + w.rng.below(all));
                }
            }
            if send_capacity == 0 {
                w.conns[conn].ends[end].write_blocked = true;
                return Err(ErrorKind::WouldBlock.into());
            }
            let mut bytes = Vec::with_capacity(send_capacity);
            for chunk in chunks {
                let take = chunk.len().min(send_capacity - bytes.len());
                bytes.extend_from_slice(&chunk[..take]);
            }
            let now = w.now;
            w.send(conn, end, Segment::Data(bytes.into(), now));
            Ok(send_capacity)
        })
    }

    fn has_no_input(&self) -> bool {
        self.with(false, |w, conn, end| {
            let e = &w.conns[conn].ends[end];
            e.received_len == 0 && !e.peer_ended && e.error.is_none()
        })
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        self.with(Err(ErrorKind::NotConnected.into()), |w, conn, end| {
            let e = &mut w.conns[conn].ends[end];
            let error = e.error.filter(|_| !e.error_taken);
            e.error_taken |= error.is_some();
            Ok(error.map(io::Error::from))
        })
    }

    fn check_connected(&self) -> io::Result<()> {
        self.with(Err(ErrorKind::NotConnected.into()), |w, conn, end| {
            let e = &w.conns[conn].ends[end];
            match e.error {
                Some(kind) => Err(kind.into()),
                None if e.is_established => Ok(()),
                None => Err(ErrorKind::NotConnected.into()),
            }
        })
    }

    fn shutdown_write(&mut self) -> io::Result<()> {
        self.with(Err(ErrorKind::NotConnected.into()), |w, conn, end| {
            if w.conns[conn].ends[end].error.is_some() {
                return Err(ErrorKind::NotConnected.into());
            }
            if !std::mem::replace(&mut w.conns[conn].ends[end].fin_sent, true) {
                w.send(conn, end, Segment::Fin);
            }
            Ok(())
        })
    }

    fn set_reset_on_close(&mut self, reset: bool) {
        self.with((), |w, conn, end| {
            w.conns[conn].ends[end].resets_on_close = reset;
        });
    }

    fn limit_send_buffer(&mut self, _bytes: usize) {}
}

impl SendTimes for VirtualTransport {
    fn send_time(&self, stream: &VirtualStream) -> Option<Micros> {
        stream.with(None, |w, conn, end| {
            w.conns[conn].ends[end]
                .received
                .front()
                .map(|(_, sent)| EPOCH + sent)
        })
    }
}
