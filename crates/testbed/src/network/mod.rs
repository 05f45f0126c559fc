//! A network on virtual time: hosts, TCP-like connections, links with delay and faults. Time stands still
//! while a host acts and jumps to the next event. All chance comes from one seed, and everything that happens
//! has a place in one order, so a run is the same each time, byte for byte.
//!
//! What is modelled of TCP: order and wholeness of what arrives, a bounded window, partial writes, an end of
//! sending, a reset when a process dies or closes with unread bytes, refusal, and silence: a machine that has
//! vanished, or a direction that is cut, answers nothing, and what was sent into a cut arrives when it heals.

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
use sloewick_node::transport::{PendingSignals, ReadyEvent, Stream, Token, Transport, SIGNALS};

use crate::port::SendTimes;
use crate::rng::Rng;

/// Bytes under way or unread in one direction of a connection.
pub const RECEIVE_WINDOW: usize = 256 << 10;
/// Connections that wait to be accepted; more are not answered, as by a full SYN queue.
const BACKLOG: usize = 1024;
/// After a cut has healed, the longest until TCP has sent again what was lost in it.
const RESEND_MOST: f64 = 400_000.0;
/// Unix time of virtual time 0, in microseconds.
pub const EPOCH: Micros = 1_900_000_000_000_000;
/// EMFILE.
const NO_DESCRIPTORS: i32 = 24;

pub type HostId = usize;

/// How far two zones are apart, one way, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Delay {
    pub same: Micros,
    pub cross: Micros,
    /// Part of the delay that chance adds at most.
    pub jitter: f64,
}

impl Delay {
    /// The longest that anything takes one way while nothing is cut.
    pub fn most(&self) -> Micros {
        (self.same.max(self.cross) as f64 * (1.0 + self.jitter)) as Micros + 1
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A connection is asked for.
    Syn { conn: usize, serial: u64 },
    /// Something arrives at one end: the next of what is under way to it.
    Arrive {
        conn: usize,
        serial: u64,
        end: usize,
    },
    /// A write that was turned away for a while may go on.
    WriteRetry {
        conn: usize,
        serial: u64,
        end: usize,
    },
}

#[derive(Debug)]
enum Parcel {
    /// And when it was sent.
    Data(Bytes, Micros),
    Opened,
    Refused,
    End,
    Reset,
}

#[derive(Debug)]
struct End {
    host: HostId,
    token: Option<Token>,
    up: bool,
    rx: VecDeque<(Bytes, Micros)>,
    rx_len: usize,
    ended: bool,
    error: Option<ErrorKind>,
    /// The holder was told of the error; reads go on failing.
    error_taken: bool,
    /// Dropped by its holder, or its host has died.
    closed: bool,
    fin_sent: bool,
    /// On its way to this end, in order, each with when it arrives.
    inbound: VecDeque<(Micros, Parcel)>,
    inbound_len: usize,
    last: Micros,
    /// A write was turned away: tell when there is room.
    blocked: bool,
    /// It is reset at the first bytes that come to it.
    doomed: bool,
    listed: bool,
}

impl End {
    fn new(host: HostId, token: Option<Token>) -> End {
        End {
            host,
            token,
            up: false,
            rx: VecDeque::new(),
            rx_len: 0,
            ended: false,
            error: None,
            error_taken: false,
            closed: false,
            fin_sent: false,
            inbound: VecDeque::new(),
            inbound_len: 0,
            last: 0,
            blocked: false,
            doomed: false,
            listed: false,
        }
    }
}

#[derive(Debug)]
struct Conn {
    serial: u64,
    ends: [End; 2],
    to: SocketAddr,
}

#[derive(Debug)]
struct Port {
    host: HostId,
    token: Token,
    waiting: VecDeque<usize>,
    notified: bool,
}

#[derive(Debug, Default)]
struct Host {
    name: String,
    zone: usize,
    alive: bool,
    isolated: bool,
    descriptors: usize,
    descriptors_most: usize,
    descriptors_peak: usize,
    /// Where its clock stands against virtual time.
    started: Micros,
    skew: Micros,
    pending_signals: PendingSignals,
    signalled: bool,
    ready: Vec<(usize, usize)>,
    listeners_ready: Vec<SocketAddr>,
    is_queued: bool,
    /// Writes between this one and others of the kind take only part of what they are given.
    partial: f64,
    /// New connections to it are refused.
    refuses: bool,
    log: Vec<String>,
}

/// The whole network.
#[derive(Debug)]
pub struct World {
    pub now: Micros,
    seq: u64,
    serial: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    hosts: Vec<Host>,
    conns: Slab<Conn>,
    ports: BTreeMap<SocketAddr, Port>,
    /// Which machine an address is on, also while nobody listens there.
    addresses: BTreeMap<SocketAddr, HostId>,
    delay: Delay,
    /// Ends and resets that this host sends arrive so much later.
    ends_late: Option<(HostId, Micros)>,
    /// Each of so many connections that this host opens is reset at its first bytes, and how many it has opened.
    shut: Option<(HostId, u64, u64)>,
    /// Directions that are cut, by host.
    cuts: BTreeSet<(HostId, HostId)>,
    /// What waits for a cut to heal.
    held: Vec<(HostId, HostId, Event)>,
    rng: Rng,
    awake: Vec<HostId>,
    /// A running digest of everything that passed.
    digest: u64,
}

pub type Shared = Rc<RefCell<World>>;

impl World {
    pub fn new(seed: u64, delay: Delay) -> World {
        World {
            now: 0,
            seq: 0,
            serial: 0,
            events: BinaryHeap::new(),
            hosts: Vec::new(),
            conns: Slab::new(),
            ports: BTreeMap::new(),
            addresses: BTreeMap::new(),
            delay,
            ends_late: None,
            shut: None,
            cuts: BTreeSet::new(),
            held: Vec::new(),
            rng: Rng::stream(seed, "network", 0),
            awake: Vec::new(),
            digest: 0xcbf2_9ce4_8422_2325,
        }
    }

    /// A machine in a zone that holds so many descriptors.
    pub fn host(&mut self, name: &str, zone: usize, descriptors_most: usize) -> HostId {
        self.hosts.push(Host {
            name: name.to_string(),
            zone,
            alive: true,
            descriptors_most,
            started: self.now,
            ..Host::default()
        });
        self.hosts.len() - 1
    }

    pub fn net(world: &Shared, host: HostId) -> VNet {
        VNet {
            world: world.clone(),
            host,
        }
    }

    /// Puts an address on a machine; what listened there before keeps its open connections.
    pub fn address(&mut self, host: HostId, at: SocketAddr) {
        self.addresses.insert(at, host);
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn note(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    pub fn descriptors(&self, host: HostId) -> (usize, usize, usize) {
        let h = &self.hosts[host];
        (h.descriptors, h.descriptors_peak, h.descriptors_most)
    }

    pub fn take_log(&mut self, host: HostId) -> Vec<String> {
        std::mem::take(&mut self.hosts[host].log)
    }

    // ---- faults ----

    /// The process dies: its connections are reset, its address refuses.
    pub fn kill(&mut self, host: HostId) {
        let mine: Vec<(usize, usize)> = self.ends_of(host);
        for (conn, end) in mine {
            if !self.conns[conn].ends[end].closed {
                self.conns[conn].ends[end].closed = true;
                self.send(conn, end, Parcel::Reset);
                self.tidy(conn);
            }
        }
        let ports: Vec<SocketAddr> = self
            .ports
            .iter()
            .filter(|(_, p)| p.host == host)
            .map(|(at, _)| *at)
            .collect();
        for at in ports {
            self.close_port(at);
        }
        let h = &mut self.hosts[host];
        h.alive = false;
        h.descriptors = 0;
        h.ready.clear();
        h.listeners_ready.clear();
        (h.pending_signals, h.signalled) = (PendingSignals::default(), false);
    }

    /// A process starts on the machine of one that died.
    pub fn restart_host(&mut self, host: HostId) {
        let now = self.now;
        let h = &mut self.hosts[host];
        (h.alive, h.isolated, h.started, h.descriptors) = (true, false, now, 0);
    }

    /// The machine says nothing any more; its connections stay open and silent.
    pub fn isolate(&mut self, host: HostId) {
        self.hosts[host].isolated = true;
    }

    /// Cuts one direction between two hosts, or heals it.
    pub fn cut(&mut self, from: HostId, to: HostId, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else if self.cuts.remove(&(from, to)) {
            let (now, held) = (self.now, std::mem::take(&mut self.held));
            let (free, held): (Vec<_>, Vec<_>) =
                held.into_iter().partition(|h| (h.0, h.1) == (from, to));
            self.held = held;
            // In order within a connection: all of one cut are sent again after the same pause.
            let pause = (self.rng.unit_interval() * RESEND_MOST) as Micros;
            for (_, _, event) in free {
                self.push(now + pause, event);
            }
        }
    }

    /// Ends and resets that this host sends arrive so much later.
    pub fn delay_close_notifications(&mut self, host: HostId, by: Micros) {
        self.ends_late = Some((host, by));
    }

    /// Each of so many connections that this host opens from now on is reset at its first bytes; none for 0.
    pub fn shut_new(&mut self, host: HostId, of: u64) {
        self.shut = (of > 0).then_some((host, of, 0));
    }

    pub fn set_partial(&mut self, host: HostId, fraction: f64) {
        self.hosts[host].partial = fraction;
    }

    pub fn set_refuses(&mut self, host: HostId, refuses: bool) {
        self.hosts[host].refuses = refuses;
    }

    pub fn set_skew(&mut self, host: HostId, skew: Micros) {
        self.hosts[host].skew = skew;
    }

    /// Resets this part of the connections that are open between two groups of hosts.
    pub fn reset_some(&mut self, some: &[HostId], others: &[HostId], fraction: f64) {
        let between = |c: &Conn| {
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
                (0..2).for_each(|end| self.send(conn, end, Parcel::Reset));
            }
        }
    }

    /// A machine that had fallen silent is back, its process still as it was.
    pub fn come_back(&mut self, host: HostId) {
        self.hosts[host].isolated = false;
    }

    pub fn signal(&mut self, host: HostId, pending_signals: PendingSignals) {
        let h = &mut self.hosts[host];
        h.pending_signals.reload |= pending_signals.reload;
        h.pending_signals.stop |= pending_signals.stop;
        h.signalled = true;
        self.wake(host);
    }

    // ---- time ----

    pub fn next_event(&self) -> Option<Micros> {
        self.events.peek().map(|Reverse((at, ..))| *at)
    }

    /// Goes on to this time and delivers what arrives at it.
    pub fn advance(&mut self, to: Micros) {
        self.now = self.now.max(to);
        while self.next_event().is_some_and(|at| at <= self.now) {
            if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.happen(event);
            }
        }
    }

    /// Hosts that something has happened to since they last acted.
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
    fn send(&mut self, conn: usize, end: usize, parcel: Parcel) {
        let (from, to) = (
            self.conns[conn].ends[end].host,
            self.conns[conn].ends[1 - end].host,
        );
        let mut delay = self.delay(from, to);
        if matches!(parcel, Parcel::End | Parcel::Reset) {
            delay += self
                .ends_late
                .filter(|(host, _)| *host == from)
                .map_or(0, |(_, by)| by);
        }
        let now = self.now;
        let c = &mut self.conns[conn];
        let serial = c.serial;
        let far = &mut c.ends[1 - end];
        far.last = far.last.max(now + delay);
        let at = far.last;
        if let Parcel::Data(bytes, _) = &parcel {
            far.inbound_len += bytes.len();
        }
        far.inbound.push_back((at, parcel));
        self.push(
            at,
            Event::Arrive {
                conn,
                serial,
                end: 1 - end,
            },
        );
    }

    fn happen(&mut self, event: Event) {
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
            return self.list(conn, end);
        }
        let (from, to) = (c.ends[1 - end].host, c.ends[end].host);
        if self.hosts[from].isolated || self.hosts[to].isolated {
            // Silence. A reset of a machine that has come back is the next thing that is sent.
            let far = &mut self.conns[conn].ends[end];
            match event {
                Event::Syn { .. } => far.closed = true,
                _ => {
                    if let Some((_, Parcel::Data(bytes, _))) = far.inbound.pop_front() {
                        far.inbound_len -= bytes.len();
                    }
                }
            }
            return self.tidy(conn);
        }
        if self.cuts.contains(&(from, to)) {
            return self.held.push((from, to, event));
        }
        match event {
            Event::Syn { .. } => self.syn(conn),
            _ => self.arrive(conn, end),
        }
    }

    fn syn(&mut self, conn: usize) {
        let to = self.conns[conn].to;
        let host = self.conns[conn].ends[1].host;
        if self.conns[conn].ends[0].closed {
            self.conns[conn].ends[1].closed = true;
            return self.tidy(conn);
        }
        let refuses = !self.hosts[host].alive || self.hosts[host].refuses;
        match self.ports.get_mut(&to).filter(|_| !refuses) {
            Some(port) if port.waiting.len() < BACKLOG => {
                port.waiting.push_back(conn);
                let (host, notified) = (port.host, std::mem::replace(&mut port.notified, true));
                if !notified {
                    self.hosts[host].listeners_ready.push(to);
                    self.wake(host);
                }
                self.conns[conn].ends[1].up = true;
                self.send(conn, 1, Parcel::Opened);
            }
            // No room: nobody answers.
            Some(_) => {}
            None => {
                self.conns[conn].ends[1].closed = true;
                self.send(conn, 1, Parcel::Refused);
            }
        }
    }

    fn arrive(&mut self, conn: usize, end: usize) {
        let Some((_, parcel)) = self.conns[conn].ends[end].inbound.pop_front() else {
            return;
        };
        let mark = [
            conn as u8,
            end as u8,
            (self.now & 0xff) as u8,
            (self.now >> 8 & 0xff) as u8,
        ];
        self.note(&mark);
        if let Parcel::Data(bytes, _) = &parcel {
            self.conns[conn].ends[end].inbound_len -= bytes.len();
            let bytes = bytes.clone();
            self.note(&bytes[..bytes.len().min(64)]);
        }
        let e = &mut self.conns[conn].ends[end];
        if e.closed {
            if let Parcel::Data(..) = parcel {
                // Nobody reads this any more.
                if !self.conns[conn].ends[1 - end].closed {
                    self.send(conn, end, Parcel::Reset);
                }
            }
            return self.tidy(conn);
        }
        if end == 1 && matches!(parcel, Parcel::Data(..)) && std::mem::take(&mut e.doomed) {
            e.error = Some(ErrorKind::ConnectionReset);
            self.send(conn, 1, Parcel::Reset);
            return self.list(conn, end);
        }
        match parcel {
            Parcel::Data(bytes, sent) => {
                e.rx_len += bytes.len();
                e.rx.push_back((bytes, sent));
            }
            Parcel::Opened => e.up = true,
            Parcel::Refused => e.error = Some(ErrorKind::ConnectionRefused),
            Parcel::End => e.ended = true,
            Parcel::Reset => e.error = e.error.or(Some(ErrorKind::ConnectionReset)),
        }
        self.list(conn, end);
    }

    /// The holder of an end is to be told that something has happened on it.
    fn list(&mut self, conn: usize, end: usize) {
        let e = &mut self.conns[conn].ends[end];
        if e.token.is_none() || e.closed || std::mem::replace(&mut e.listed, true) {
            return;
        }
        let host = e.host;
        self.hosts[host].ready.push((conn, end));
        self.wake(host);
    }

    fn send_capacity(&self, conn: usize, end: usize) -> usize {
        let far = &self.conns[conn].ends[1 - end];
        RECEIVE_WINDOW.saturating_sub(far.rx_len + far.inbound_len)
    }

    fn close(&mut self, conn: usize, end: usize) {
        let e = &mut self.conns[conn].ends[end];
        if std::mem::replace(&mut e.closed, true) {
            return;
        }
        let (host, unread) = (e.host, e.rx_len > 0);
        let gone = e.error.is_some();
        e.rx.clear();
        e.rx_len = 0;
        let sent_end = e.fin_sent;
        self.hosts[host].descriptors = self.hosts[host].descriptors.saturating_sub(1);
        if !gone {
            if unread {
                self.send(conn, end, Parcel::Reset);
            } else if !sent_end {
                self.send(conn, end, Parcel::End);
            }
        }
        self.tidy(conn);
    }

    /// Forgets a connection that neither end holds and on which nothing is under way.
    fn tidy(&mut self, conn: usize) {
        let c = &self.conns[conn];
        if c.ends.iter().all(|e| e.closed) && c.ends.iter().all(|e| e.inbound.is_empty()) {
            self.conns.remove(conn);
        }
    }

    fn close_port(&mut self, at: SocketAddr) {
        if let Some(port) = self.ports.remove(&at) {
            let host = port.host;
            self.hosts[host].descriptors = self.hosts[host].descriptors.saturating_sub(1);
            for conn in port.waiting {
                if self.conns.contains(conn) && !self.conns[conn].ends[1].closed {
                    self.conns[conn].ends[1].closed = true;
                    self.send(conn, 1, Parcel::Reset);
                }
            }
        }
    }

    fn take_descriptor(&mut self, host: HostId) -> io::Result<()> {
        let h = &mut self.hosts[host];
        if h.descriptors >= h.descriptors_most {
            return Err(io::Error::from_raw_os_error(NO_DESCRIPTORS));
        }
        h.descriptors += 1;
        h.descriptors_peak = h.descriptors_peak.max(h.descriptors);
        Ok(())
    }
}

/// One host's way to the network.
#[derive(Clone)]
pub struct VNet {
    world: Shared,
    host: HostId,
}

/// One end of a connection.
pub struct VStream {
    world: Shared,
    conn: usize,
    end: usize,
    /// Guards against an end that outlives its host's process: its place may be another connection's by now.
    serial: u64,
}

pub struct VListener {
    world: Shared,
    at: SocketAddr,
    host: HostId,
    started: Micros,
}

impl Drop for VStream {
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

impl Drop for VListener {
    fn drop(&mut self) {
        let mut w = self.world.borrow_mut();
        let mine = w.ports.get(&self.at).is_some_and(|p| p.host == self.host);
        if mine && w.hosts[self.host].started == self.started {
            w.close_port(self.at);
        }
    }
}

impl Transport for VNet {
    type Stream = VStream;
    type Listener = VListener;

    fn now(&self) -> Micros {
        let w = self.world.borrow();
        w.now - w.hosts[self.host].started
    }

    fn machine_time(&self) -> Micros {
        self.world.borrow().now
    }

    fn boot_id(&self) -> String {
        String::new()
    }

    fn unix_time_at_start(&self) -> Micros {
        let w = self.world.borrow();
        EPOCH + w.hosts[self.host].started + w.hosts[self.host].skew
    }

    fn listen(&mut self, at: SocketAddr, token: Token) -> io::Result<VListener> {
        let mut w = self.world.borrow_mut();
        if w.ports.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        w.take_descriptor(self.host)?;
        w.ports.insert(
            at,
            Port {
                host: self.host,
                token,
                waiting: VecDeque::new(),
                notified: false,
            },
        );
        let started = w.hosts[self.host].started;
        Ok(VListener {
            world: self.world.clone(),
            at,
            host: self.host,
            started,
        })
    }

    fn accept(&mut self, listener: &mut VListener, token: Token) -> io::Result<VStream> {
        let mut w = self.world.borrow_mut();
        let waits = w
            .ports
            .get(&listener.at)
            .is_some_and(|p| !p.waiting.is_empty());
        if !waits {
            if let Some(port) = w.ports.get_mut(&listener.at) {
                port.notified = false;
            }
            return Err(ErrorKind::WouldBlock.into());
        }
        w.take_descriptor(self.host)?;
        let conn = w
            .ports
            .get_mut(&listener.at)
            .and_then(|p| p.waiting.pop_front());
        let Some(conn) = conn.filter(|conn| w.conns.contains(*conn)) else {
            w.hosts[self.host].descriptors -= 1;
            return Err(ErrorKind::ConnectionAborted.into());
        };
        w.conns[conn].ends[1].token = Some(token);
        let serial = w.conns[conn].serial;
        w.list(conn, 1);
        Ok(VStream {
            world: self.world.clone(),
            conn,
            end: 1,
            serial,
        })
    }

    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<VStream> {
        let mut w = self.world.borrow_mut();
        w.take_descriptor(self.host)?;
        w.serial += 1;
        let serial = w.serial;
        // An address of no machine: this one refuses by itself.
        let far = w.addresses.get(&to).copied().unwrap_or(self.host);
        let mut ends = [End::new(self.host, Some(token)), End::new(far, None)];
        if let Some((_, of, opened)) = w.shut.as_mut().filter(|(host, ..)| *host == self.host) {
            *opened += 1;
            ends[1].doomed = opened.is_multiple_of(*of);
        }
        let conn = w.conns.insert(Conn { serial, ends, to });
        let delay = w.delay(self.host, far);
        let at = w.now + delay;
        w.conns[conn].ends[1].last = at;
        w.push(at, Event::Syn { conn, serial });
        Ok(VStream {
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
            let token = SIGNALS;
            ready.push(ReadyEvent {
                token,
                readable: true,
                writable: false,
                read_closed: false,
                error: false,
            });
        }
        for at in std::mem::take(&mut w.hosts[self.host].listeners_ready) {
            if let Some(port) = w.ports.get(&at) {
                let token = port.token;
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
            e.listed = false;
            let Some(token) = e.token else { continue };
            let failed = e.error.is_some();
            let up = e.up;
            let (some, ended) = (e.rx_len > 0, e.ended);
            ready.push(ReadyEvent {
                token,
                readable: some || ended || failed,
                writable: failed || (up && w.send_capacity(conn, end) > 0),
                read_closed: ended || failed,
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

impl VStream {
    fn with<T>(&self, gone: T, call: impl FnOnce(&mut World, usize, usize) -> T) -> T {
        let mut w = self.world.borrow_mut();
        match w.conns.get(self.conn) {
            Some(c) if c.serial == self.serial => call(&mut w, self.conn, self.end),
            _ => gone,
        }
    }
}

impl Stream for VStream {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.with(Err(ErrorKind::ConnectionReset.into()), |w, conn, end| {
            let e = &mut w.conns[conn].ends[end];
            if e.rx_len == 0 {
                return match e.error {
                    Some(kind) => Err(kind.into()),
                    None if e.ended => Ok(0),
                    None => Err(ErrorKind::WouldBlock.into()),
                };
            }
            let mut n = 0;
            while let Some((front, _)) = e.rx.front_mut().filter(|_| n < into.len()) {
                let take = front.len().min(into.len() - n);
                into[n..n + take].copy_from_slice(&front[..take]);
                front.advance(take);
                n += take;
                if front.is_empty() {
                    e.rx.pop_front();
                }
            }
            e.rx_len -= n;
            let far = &mut w.conns[conn].ends[1 - end];
            if std::mem::take(&mut far.blocked) {
                w.list(conn, 1 - end);
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
            if !e.up {
                return Err(ErrorKind::NotConnected.into());
            }
            if e.fin_sent {
                return Err(ErrorKind::BrokenPipe.into());
            }
            let host = e.host;
            let all: usize = chunks.iter().map(|c| c.len()).sum();
            let mut send_capacity = w.send_capacity(conn, end).min(all);
            let far = w.conns[conn].ends[1 - end].host;
            let fraction = w.hosts[host].partial.min(w.hosts[far].partial);
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
                w.conns[conn].ends[end].blocked = true;
                return Err(ErrorKind::WouldBlock.into());
            }
            let mut bytes = Vec::with_capacity(send_capacity);
            for chunk in chunks {
                let take = chunk.len().min(send_capacity - bytes.len());
                bytes.extend_from_slice(&chunk[..take]);
            }
            let now = w.now;
            w.send(conn, end, Parcel::Data(bytes.into(), now));
            Ok(send_capacity)
        })
    }

    fn has_no_input(&self) -> bool {
        self.with(false, |w, conn, end| {
            let e = &w.conns[conn].ends[end];
            e.rx_len == 0 && !e.ended && e.error.is_none()
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
                None if e.up => Ok(()),
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
                w.send(conn, end, Parcel::End);
            }
            Ok(())
        })
    }

    fn limit_send_buffer(&mut self, _bytes: usize) {}
}

impl SendTimes for VNet {
    fn send_time(&self, stream: &VStream) -> Option<Micros> {
        stream.with(None, |w, conn, end| {
            w.conns[conn].ends[end]
                .rx
                .front()
                .map(|(_, sent)| EPOCH + sent)
        })
    }
}
