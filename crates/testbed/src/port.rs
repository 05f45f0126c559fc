//! What all stand-ins share: connections with their bytes in and out, listeners and timers over a [`Transport`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use slab::Slab;
use sloewick_decision::api::Micros;
use sloewick_node::transport::{
    fill, ReadOutcome, ReadyEvent, Stream, Token, Transport, WriteQueue,
};

/// Bytes of one connection that may wait to be taken up; what sends more without end is closed.
const UNREAD_MOST: usize = 8 << 20;
const READ_MOST: usize = 64 << 10;
const FIRST_CONN: usize = 64;

/// Something that lives on a host: a stand-in or a node.
pub trait Actor {
    /// Waits at most so long for news and takes it up.
    ///
    /// # Errors
    /// The system cannot be asked what happens.
    fn turn(&mut self, wait: Micros) -> io::Result<()>;
    /// Does all that can be done without news; until when there is nothing to do, on this host's clock.
    /// None: it has ended.
    fn prepare(&mut self) -> Option<Micros>;
}

impl<N: Transport, M: sloewick_node::DecisionEngine> Actor for sloewick_node::Node<N, M> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        sloewick_node::Node::run_once(self, wait)
    }

    fn prepare(&mut self) -> Option<Micros> {
        sloewick_node::Node::prepare(self)
    }
}

/// A net that may know when bytes left their sender.
pub trait SendTimes: Transport {
    /// Unix time at which the next bytes of a connection were sent; none where nobody can tell.
    fn send_time(&self, _stream: &Self::Stream) -> Option<Micros> {
        None
    }
}

impl SendTimes for sloewick_node::mio_transport::MioTransport {}

/// What came on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEvent {
    /// Accepted on the listener of this number.
    Accepted(usize),
    /// A connection that was asked for is up.
    Connected,
    /// There is more in `buf`.
    Received,
    /// The peer has ended its sending; what it sent before has been told.
    ReadClosed,
    /// It could not be opened, or it broke. It is gone.
    Failed { refused: bool },
}

/// A connection.
pub struct Connection<S> {
    stream: S,
    pub serial: u64,
    pub buf: BytesMut,
    out: WriteQueue,
    connecting: bool,
    ended: bool,
    /// End it when all is written.
    closing: bool,
    /// It came by a listener, and is cut when those are.
    accepted: bool,
    /// When the first byte of what is in `buf` came, in Unix time; where the net can tell, when it was sent.
    pub since: Micros,
}

/// Which ways between this stand-in and whoever connects to it are cut. Where the network cannot do it (loopback), the
/// stand-in does: bytes stay where they are, connections stay open. What still differs from a cut line is that new
/// connections come up, since the system answers for a listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// Nothing that is sent here arrives.
    pub inwards: bool,
    /// Nothing that is sent from here arrives.
    pub outwards: bool,
}

/// Connections, listeners and timers of one stand-in.
pub struct Port<N: SendTimes, D: Ord> {
    pub net: N,
    listeners: Vec<Option<N::Listener>>,
    connections: Slab<Connection<N::Stream>>,
    serial: u64,
    ready: Vec<ReadyEvent>,
    scratch: Vec<u8>,
    timers: BinaryHeap<Reverse<(Micros, u64, D)>>,
    set: u64,
    /// Broken or done: closed before the next round, when what they brought has been looked at.
    closes: Vec<(usize, u64)>,
    cut: Cut,
    /// News of cut connections and listeners, told when the way is whole again; one for each at the most.
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
            scratch: vec![0; READ_MOST],
            timers: BinaryHeap::new(),
            set: 0,
            closes: Vec::new(),
            cut: Cut::default(),
            deferred_events: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> Micros {
        self.net.now()
    }

    pub fn unix(&self) -> Micros {
        self.net.unix_time_at_start() + self.net.now()
    }

    /// Listens; the number of the listener (63 at most).
    ///
    /// # Errors
    /// The address is taken, or there are too many.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<usize> {
        // 0 to 3 are the net's own.
        let number = self.listeners.len();
        if number + 4 >= FIRST_CONN {
            return Err(ErrorKind::OutOfMemory.into());
        }
        let listener = self.net.listen(at, number + 4)?;
        self.listeners.push(Some(listener));
        Ok(number)
    }

    pub fn close_listeners(&mut self) {
        self.listeners.iter_mut().for_each(|l| *l = None);
    }

    /// Cuts the ways to and from whoever connected here, or makes them whole.
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

    /// Whether news of this token is held back.
    fn is_deferred(&self, token: Token) -> bool {
        let accepted = |conn| {
            self.connections
                .get(conn)
                .is_none_or(|connection| connection.accepted)
        };
        self.cut.inwards && (4..FIRST_CONN).contains(&token)
            || self.cut.inwards && token >= FIRST_CONN && accepted(token - FIRST_CONN)
    }

    /// Begins to open a connection.
    ///
    /// # Errors
    /// No descriptors, or refused at once.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<usize> {
        let stream = self
            .net
            .connect(to, FIRST_CONN + self.connections.vacant_key())?;
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
            ended: false,
            closing: false,
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

    pub fn conns(&self) -> Vec<usize> {
        self.connections.iter().map(|(conn, _)| conn).collect()
    }

    /// Sends, now or when the peer takes it. What breaks is told by an event.
    pub fn send(&mut self, conn: usize, bytes: Bytes) {
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.out.push(bytes);
            let blocked = connection.connecting || connection.accepted && self.cut.outwards;
            if !blocked {
                let _ = connection.out.flush(&mut connection.stream);
            }
        }
    }

    pub fn unsent(&self, conn: usize) -> usize {
        self.connections
            .get(conn)
            .map_or(0, |connection| connection.out.len())
    }

    pub fn close(&mut self, conn: usize) {
        self.connections.try_remove(conn);
    }

    /// Closes a connection once all is written.
    pub fn close_when_written(&mut self, conn: usize) {
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.closing = true;
            if connection.out.is_empty() {
                self.close(conn);
            }
        }
    }

    /// Ends this side's sending only.
    pub fn shutdown_write(&mut self, conn: usize) {
        if let Some(connection) = self.connections.get_mut(conn) {
            let _ = connection.stream.shutdown_write();
        }
    }

    pub fn set_timer(&mut self, at: Micros, due: D) {
        self.set += 1;
        self.timers.push(Reverse((at, self.set, due)));
    }

    pub fn next_due(&self) -> Micros {
        // A stand-in with nothing to do still looks round now and then.
        self.timers
            .peek()
            .map_or(self.now() + 500_000, |Reverse((at, ..))| *at)
    }

    pub fn pop_due(&mut self) -> Option<D> {
        let now = self.now();
        if self.timers.peek().is_none_or(|Reverse((at, ..))| *at > now) {
            return None;
        }
        self.timers.pop().map(|Reverse((.., due))| due)
    }

    /// What has come, connection by connection.
    ///
    /// # Errors
    /// The system cannot be asked.
    pub fn poll(
        &mut self,
        wait: Micros,
        events: &mut Vec<(usize, ConnectionEvent)>,
    ) -> io::Result<()> {
        events.clear();
        for (conn, serial) in std::mem::take(&mut self.closes) {
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
                token if token >= FIRST_CONN => {
                    self.handle_ready(token - FIRST_CONN, event, events);
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
            let next = FIRST_CONN + self.connections.vacant_key();
            let Some(Some(listener)) = self.listeners.get_mut(number) else {
                return;
            };
            match self.net.accept(listener, next) {
                Ok(stream) => {
                    let conn = self.insert(stream, false, true);
                    events.push((conn, ConnectionEvent::Accepted(number)));
                    let all = ReadyEvent {
                        token,
                        readable: true,
                        writable: true,
                        read_closed: false,
                        error: false,
                    };
                    self.handle_ready(conn, &all, events);
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
        if connection.closing && connection.out.is_empty() {
            return self.closes.push((conn, connection.serial));
        }
        let mut some = false;
        if !(event.readable || event.read_closed || event.error) {
            return;
        }
        loop {
            if connection.buf.is_empty() {
                connection.since = self.net.send_time(&connection.stream).unwrap_or(unix);
            }
            match fill(
                &mut connection.stream,
                &mut connection.buf,
                &mut self.scratch,
            ) {
                ReadOutcome::More => some = true,
                ReadOutcome::Empty => break,
                ReadOutcome::Closed | ReadOutcome::Failed => {
                    connection.ended = true;
                    break;
                }
            }
            if connection.buf.len() > UNREAD_MOST {
                connection.ended = true;
                break;
            }
        }
        if some {
            events.push((conn, ConnectionEvent::Received));
        }
        if connection.ended {
            self.ended(conn, broken, events);
        }
    }

    /// The peer has ended its sending, or the connection broke.
    fn ended(&mut self, conn: usize, broken: bool, events: &mut Vec<(usize, ConnectionEvent)>) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        let error = matches!(connection.stream.take_error(), Ok(Some(_)) | Err(_));
        if !broken && !error {
            return events.push((conn, ConnectionEvent::ReadClosed));
        }
        events.push((conn, ConnectionEvent::Failed { refused: false }));
        // Its bytes may still be looked at in this round.
        self.closes.push((conn, connection.serial));
    }
}
