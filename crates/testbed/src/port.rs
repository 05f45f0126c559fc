//! Input and output that all emulators share: buffered connections, listeners and timers over a [`Transport`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use slab::Slab;
use sloewick_decision::api::Micros;
use sloewick_node::transport::{
    read_into, ReadOutcome, ReadyEvent, Stream, Token, Transport, WriteQueue,
};

/// Most received bytes of one connection that may wait to be processed; a peer that exceeds it is treated as one
/// that has ended its sending.
const MAX_UNPROCESSED: usize = 8 << 20;
/// Size of the buffer for one read, in bytes.
const READ_BUFFER_SIZE: usize = 64 << 10;
/// Token of connection 0. Tokens 0 to 3 belong to the transport, those from 4 to this one are listeners.
const FIRST_CONNECTION_TOKEN: usize = 64;

/// A process on a host: an emulator or a node.
pub trait Actor {
    /// Waits for events for at most `wait` microseconds and handles them.
    ///
    /// # Errors
    /// Polling the transport fails.
    fn turn(&mut self, wait: Micros) -> io::Result<()>;
    /// Does all work that needs no event. Returns the time, on this host's clock, until which there is nothing else
    /// to do, or None if the process has ended.
    fn prepare(&mut self) -> Option<Micros>;
}

impl<N: Transport, M: sloewick_node::DecisionEngine> Actor for sloewick_node::Node<N, M> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        sloewick_node::Node::run_once(self, wait)
    }

    fn prepare(&mut self) -> Option<Micros> {
        sloewick_node::Node::process_pending(self)
    }
}

/// A transport that may know when received bytes were sent.
pub trait SendTimes: Transport {
    /// Unix time in microseconds at which the next unread bytes of a connection were sent; None if unknown.
    fn send_time(&self, _stream: &Self::Stream) -> Option<Micros> {
        None
    }
}

impl SendTimes for sloewick_node::mio_transport::MioTransport {}

/// An event of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEvent {
    /// The connection was accepted by the listener with this number.
    Accepted(usize),
    /// An outgoing connection is established.
    Connected,
    /// Bytes were added to `buf`.
    Received,
    /// The peer has ended its sending. All that it sent before was reported by earlier events.
    ReadClosed,
    /// The connection could not be opened (`refused` if the peer refused it), or it broke. It is closed.
    Failed { refused: bool },
}

/// A connection with its buffers.
pub struct Connection<S> {
    stream: S,
    /// Distinguishes connections that use the same number one after another.
    pub serial: u64,
    /// Received bytes that were not processed yet.
    pub buf: BytesMut,
    out: WriteQueue,
    connecting: bool,
    /// Nothing more is read: the peer has ended its sending, or the connection broke.
    read_ended: bool,
    /// The connection is closed once everything is written.
    close_when_flushed: bool,
    /// A listener accepted the connection; cuts apply to it.
    accepted: bool,
    /// Unix time in microseconds at which the first byte in `buf` was sent, or was received if the transport does
    /// not know when it was sent.
    pub since: Micros,
}

/// The cut directions between this emulator and the peers that connect to it. The emulator imitates the cut where the
/// network cannot cut a link (loopback): bytes of the cut direction stay unread or unsent, and connections stay open.
/// Unlike with a cut link, new connections are still established, since the operating system completes the handshake
/// for a listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// Nothing that peers send arrives here.
    pub inwards: bool,
    /// Nothing that is sent from here arrives at peers.
    pub outwards: bool,
}

/// Connections, listeners and timers of one emulator; `D` is what its timers carry.
pub struct Port<N: SendTimes, D: Ord> {
    pub net: N,
    listeners: Vec<Option<N::Listener>>,
    connections: Slab<Connection<N::Stream>>,
    serial: u64,
    ready: Vec<ReadyEvent>,
    scratch: Vec<u8>,
    timers: BinaryHeap<Reverse<(Micros, u64, D)>>,
    timers_set: u64,
    /// Connections that are broken or finished, by number and serial. They are closed at the next poll, after their
    /// last bytes were processed.
    pending_closes: Vec<(usize, u64)>,
    cut: Cut,
    /// Readiness of cut connections and listeners, merged into one event for each; reported once the cut heals.
    deferred_events: BTreeMap<Token, ReadyEvent>,
}

impl<N: SendTimes, D: Ord> Port<N, D> {
    pub fn new(net: N) -> Port<N, D> {
        Port {
            net,
            listeners: Vec::new(),
            connections: Slab::new(),
            serial: 0,
            ready: Vec::new(),
            scratch: vec![0; READ_BUFFER_SIZE],
            timers: BinaryHeap::new(),
            timers_set: 0,
            pending_closes: Vec::new(),
            cut: Cut::default(),
            deferred_events: BTreeMap::new(),
        }
    }

    /// Time since the start of the process, in microseconds.
    pub fn now(&self) -> Micros {
        self.net.now()
    }

    /// Unix time in microseconds.
    pub fn unix(&self) -> Micros {
        self.net.unix_time_at_start() + self.net.now()
    }

    /// Listens on an address. Returns the number of the listener, 59 at most (its token is 63 then).
    ///
    /// # Errors
    /// The address is in use, or there are too many listeners.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<usize> {
        // Tokens 0 to 3 belong to the transport.
        let number = self.listeners.len();
        if number + 4 >= FIRST_CONNECTION_TOKEN {
            return Err(ErrorKind::OutOfMemory.into());
        }
        let listener = self.net.listen(at, number + 4)?;
        self.listeners.push(Some(listener));
        Ok(number)
    }

    pub fn close_listeners(&mut self) {
        self.listeners.iter_mut().for_each(|l| *l = None);
    }

    /// Cuts the directions to and from the peers that connected here, or heals them.
    pub fn set_cut(&mut self, cut: Cut) {
        self.cut = cut;
        if !cut.outwards {
            for (_, connection) in self
                .connections
                .iter_mut()
                .filter(|(_, connection)| connection.accepted)
            {
                let _ = connection.out.flush(&mut connection.stream);
            }
        }
    }

    pub fn cut(&self) -> Cut {
        self.cut
    }

    /// Whether events of this token are deferred until the cut heals.
    fn is_deferred(&self, token: Token) -> bool {
        let accepted = |conn| {
            self.connections
                .get(conn)
                .is_none_or(|connection| connection.accepted)
        };
        self.cut.inwards && (4..FIRST_CONNECTION_TOKEN).contains(&token)
            || self.cut.inwards
                && token >= FIRST_CONNECTION_TOKEN
                && accepted(token - FIRST_CONNECTION_TOKEN)
    }

    /// Begins to open a connection. Returns its number.
    ///
    /// # Errors
    /// There is no free descriptor, or the connection is refused at once.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<usize> {
        let stream = self
            .net
            .connect(to, FIRST_CONNECTION_TOKEN + self.connections.vacant_key())?;
        Ok(self.insert(stream, true, false))
    }

    fn insert(&mut self, stream: N::Stream, connecting: bool, accepted: bool) -> usize {
        self.serial += 1;
        let (serial, since) = (self.serial, self.unix());
        let (buf, out) = (BytesMut::new(), WriteQueue::default());
        self.connections.insert(Connection {
            stream,
            serial,
            buf,
            out,
            connecting,
            read_ended: false,
            close_when_flushed: false,
            accepted,
            since,
        })
    }

    pub fn connection(&mut self, conn: usize) -> Option<&mut Connection<N::Stream>> {
        self.connections.get_mut(conn)
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The numbers of all connections.
    pub fn conns(&self) -> Vec<usize> {
        self.connections.iter().map(|(conn, _)| conn).collect()
    }

    /// Queues bytes and writes what the connection accepts now; the rest is written when it becomes writable. A broken
    /// connection is reported by an event.
    pub fn send(&mut self, conn: usize, bytes: Bytes) {
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.out.push(bytes);
            let blocked = connection.connecting || connection.accepted && self.cut.outwards;
            if !blocked {
                let _ = connection.out.flush(&mut connection.stream);
            }
        }
    }

    /// Bytes that are queued and not written yet.
    pub fn unsent(&self, conn: usize) -> usize {
        self.connections
            .get(conn)
            .map_or(0, |connection| connection.out.len())
    }

    /// Discards the bytes that are queued and not written yet.
    pub fn discard_unsent(&mut self, conn: usize) {
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.out = WriteQueue::default();
        }
    }

    pub fn close(&mut self, conn: usize) {
        self.connections.try_remove(conn);
    }

    /// Closes a connection once everything queued is written.
    pub fn close_when_written(&mut self, conn: usize) {
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.close_when_flushed = true;
            if connection.out.is_empty() {
                self.close(conn);
            }
        }
    }

    /// Ends the sending of this side; receiving continues.
    pub fn shutdown_write(&mut self, conn: usize) {
        if let Some(connection) = self.connections.get_mut(conn) {
            let _ = connection.stream.shutdown_write();
        }
    }

    /// Sets a timer at a time on this host's clock.
    pub fn set_timer(&mut self, at: Micros, due: D) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, due)));
    }

    /// When the next timer is due, on this host's clock.
    pub fn next_due(&self) -> Micros {
        // Without a timer an emulator still runs every 500 ms.
        self.timers
            .peek()
            .map_or(self.now() + 500_000, |Reverse((at, ..))| *at)
    }

    /// Takes a timer that is due.
    pub fn pop_due(&mut self) -> Option<D> {
        let now = self.now();
        if self.timers.peek().is_none_or(|Reverse((at, ..))| *at > now) {
            return None;
        }
        self.timers.pop().map(|Reverse((.., due))| due)
    }

    /// Waits for at most `wait` microseconds and fills `events` with the events of the connections.
    ///
    /// # Errors
    /// Polling the transport fails.
    pub fn poll(
        &mut self,
        wait: Micros,
        events: &mut Vec<(usize, ConnectionEvent)>,
    ) -> io::Result<()> {
        events.clear();
        for (conn, serial) in std::mem::take(&mut self.pending_closes) {
            if self
                .connections
                .get(conn)
                .is_some_and(|connection| connection.serial == serial)
            {
                self.close(conn);
            }
        }
        let mut ready = std::mem::take(&mut self.ready);
        self.net.poll(&mut ready, wait)?;
        if !self.cut.inwards {
            ready.extend(std::mem::take(&mut self.deferred_events).into_values());
        }
        for event in &ready {
            match event.token {
                token if self.is_deferred(token) => {
                    let deferred = self.deferred_events.entry(token).or_insert(*event);
                    deferred.readable |= event.readable;
                    deferred.read_closed |= event.read_closed;
                    deferred.error |= event.error;
                }
                token if token >= FIRST_CONNECTION_TOKEN => {
                    self.handle_ready(token - FIRST_CONNECTION_TOKEN, event, events);
                }
                token if token >= 4 => self.accept(token - 4, token, events),
                _ => {}
            }
        }
        self.ready = ready;
        Ok(())
    }

    fn accept(&mut self, number: usize, token: Token, events: &mut Vec<(usize, ConnectionEvent)>) {
        loop {
            let next_token = FIRST_CONNECTION_TOKEN + self.connections.vacant_key();
            let Some(Some(listener)) = self.listeners.get_mut(number) else {
                return;
            };
            match self.net.accept(listener, next_token) {
                Ok(stream) => {
                    let conn = self.insert(stream, false, true);
                    events.push((conn, ConnectionEvent::Accepted(number)));
                    let readiness = ReadyEvent {
                        token,
                        readable: true,
                        writable: true,
                        read_closed: false,
                        error: false,
                    };
                    self.handle_ready(conn, &readiness, events);
                }
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(_) => return,
            }
        }
    }

    fn handle_ready(
        &mut self,
        conn: usize,
        event: &ReadyEvent,
        events: &mut Vec<(usize, ConnectionEvent)>,
    ) {
        let unix = self.unix();
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        if connection.connecting {
            match (
                connection.stream.take_error(),
                connection.stream.check_connected(),
            ) {
                (Ok(None), Ok(())) => {
                    connection.connecting = false;
                    events.push((conn, ConnectionEvent::Connected));
                }
                (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => return,
                (error, _) => {
                    let refused =
                        matches!(&error, Ok(Some(e)) if e.kind() == ErrorKind::ConnectionRefused);
                    self.close(conn);
                    return events.push((conn, ConnectionEvent::Failed { refused }));
                }
            }
        }
        let blocked = connection.accepted && self.cut.outwards;
        let broken = !blocked && connection.out.flush(&mut connection.stream).is_err();
        if connection.close_when_flushed && connection.out.is_empty() {
            return self.pending_closes.push((conn, connection.serial));
        }
        let mut has_received = false;
        if !(event.readable || event.read_closed || event.error) {
            return;
        }
        loop {
            if connection.buf.is_empty() {
                connection.since = self.net.send_time(&connection.stream).unwrap_or(unix);
            }
            match read_into(
                &mut connection.stream,
                &mut connection.buf,
                &mut self.scratch,
            ) {
                ReadOutcome::More => has_received = true,
                ReadOutcome::Empty => break,
                ReadOutcome::Closed | ReadOutcome::Failed => {
                    connection.read_ended = true;
                    break;
                }
            }
            if connection.buf.len() > MAX_UNPROCESSED {
                connection.read_ended = true;
                break;
            }
        }
        if has_received {
            events.push((conn, ConnectionEvent::Received));
        }
        if connection.read_ended {
            self.handle_read_end(conn, broken, events);
        }
    }

    /// Reports that the peer has ended its sending, or that the connection broke.
    fn handle_read_end(
        &mut self,
        conn: usize,
        broken: bool,
        events: &mut Vec<(usize, ConnectionEvent)>,
    ) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        let error = matches!(connection.stream.take_error(), Ok(Some(_)) | Err(_));
        if !broken && !error {
            return events.push((conn, ConnectionEvent::ReadClosed));
        }
        events.push((conn, ConnectionEvent::Failed { refused: false }));
        // Closed at the next poll only, so that its last bytes can still be processed.
        self.pending_closes.push((conn, connection.serial));
    }
}
