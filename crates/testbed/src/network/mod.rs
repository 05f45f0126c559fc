//! A network on virtual time: hosts, TCP-like connections, links with delay and faults. Time stands still
//! while a host runs and jumps to the next event. All random draws come from one seed, and all events are totally
//! ordered, so a run is the same each time, byte for byte.
//!
//! The following parts of TCP are modelled: ordered and complete delivery, a bounded receive window, partial writes,
//! half-close, a reset when a process dies or closes a connection with unread bytes, refused connections, and
//! unreachable peers. A machine that has vanished does not reply, and neither does one behind a direction that is cut.
//! What was sent into a cut arrives when it heals.

mod faults;
pub mod hosts;
mod state;
mod virtual_transport;

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;

use slab::Slab;
use sloewick_decision::api::Micros;

use crate::rng::Rng;
use state::{Connection, Event, Host, ListeningSocket, Segment};
pub use virtual_transport::{VirtualListener, VirtualStream, VirtualTransport};

/// Most bytes in flight or unread in one direction of a connection.
pub const RECEIVE_WINDOW: usize = 256 << 10;
/// Most connections of a listener that wait to be accepted. Further ones get no reply, as with a full SYN queue.
const MAX_BACKLOG: usize = 1024;
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
