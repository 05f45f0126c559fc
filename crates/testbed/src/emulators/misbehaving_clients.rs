//! Emulators of clients that send malformed or incomplete messages.
//!
//! Each connects to one node, sends one such message and reports whether the node answered with an
//! error, closed the connection, or did neither within [`MISBEHAVING_CLIENT_RESPONSE_LIMIT`].

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use sloewick_decision::api::Micros;

use crate::checker::observations::{Event, Recorder};
use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};
use crate::requirements::MISBEHAVING_CLIENT_RESPONSE_LIMIT;
use crate::rng::Rng;

/// Description and bytes of each message that is sent to RESP2 listeners.
const MALFORMED_RESP: [(&str, &[u8]); 9] = [
    (
        "noise",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    ),
    ("negative length", b"*4\r\n$-9\r\n"),
    ("huge length", b"*4\r\n$99999999999999999999\r\n"),
    ("more words announced than sent", b"*1000000\r\n"),
    (
        "an unknown class",
        b"*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\nr1\r\n$14\r\nc=nothing,d=50\r\n",
    ),
    (
        "a deadline that is not a number",
        b"*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\nr2\r\n$18\r\nc=trace-read,d=abc\r\n",
    ),
    ("no id", b"*2\r\n$5\r\nC.GET\r\n$1\r\nk\r\n"),
    ("half a command", b"*4\r\n$5\r\nC.GET\r\n$1\r\nk"),
    ("nothing", b""),
];

/// Description and bytes of each message that is sent to listeners of the memcached binary protocol.
const MALFORMED_MEMCACHED: [(&str, &[u8]); 7] = [
    ("noise", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
    ("RESP2", b"*1\r\n$4\r\nPING\r\n"),
    ("a body shorter than its key", b"\x80\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00k"),
    ("a body of 4 GB", b"\x80\x01\x00\x01\x08\x00\x00\x00\xff\xff\xff\xff\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00"),
    ("a key that no route fits", b"\x80\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00k"),
    ("half a header", b"\x80\x00\x00\x01\x00"),
    ("nothing", b""),
];

/// The misbehaving clients of a site, which connect to the listeners in turn.
pub struct MisbehavingClients<N: SendTimes> {
    port: Port<N, MisbehavingTimer>,
    nodes: Vec<SocketAddr>,
    /// The memcached listener of each node, to which every second client connects; empty if the nodes have none.
    memcached: Vec<SocketAddr>,
    command_queue: CommandQueue<f64>,
    recorder: Recorder,
    rng: Rng,
    /// Clients per second.
    rate: f64,
    /// Whether the timer for the next client is set.
    is_timer_set: bool,
    /// Index of the listener that the last client connected to.
    last_listener: usize,
    conns: HashMap<usize, MisbehavingConnection>,
    events: Vec<(usize, ConnectionEvent)>,
}

struct MisbehavingConnection {
    /// Serial number of the connection, since indices are used again.
    serial: u64,
    node: usize,
    memcached: bool,
    /// Description and bytes of the message.
    message: (&'static str, &'static [u8]),
    /// When the message was sent; before that, when the connection was requested.
    since: Micros,
}

/// The timers of misbehaving clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MisbehavingTimer {
    /// The next client connects.
    Next,
    /// The node should have responded on this connection (index and serial number) by now.
    ResponseDue(usize, u64),
}

impl<N: SendTimes> MisbehavingClients<N> {
    /// Creates the clients. Each command in `command_queue` is the number of clients per second.
    pub fn new(
        net: N,
        nodes: Vec<SocketAddr>,
        memcached: Vec<SocketAddr>,
        seed: u64,
        command_queue: CommandQueue<f64>,
        recorder: Recorder,
    ) -> MisbehavingClients<N> {
        let (port, rng) = (Port::new(net), Rng::stream(seed, "rude", 0));
        let (rate, is_timer_set, last_listener) = (0.0, false, 0);
        let (conns, events) = (HashMap::new(), Vec::new());
        MisbehavingClients {
            port,
            nodes,
            memcached,
            command_queue,
            recorder,
            rng,
            rate,
            is_timer_set,
            last_listener,
            conns,
            events,
        }
    }

    fn connect_next(&mut self) {
        self.is_timer_set = self.rate > 0.0;
        if !self.is_timer_set {
            return;
        }
        let pause = self.rng.exponential(1e6 / self.rate) as Micros;
        self.port
            .set_timer(self.port.now() + pause, MisbehavingTimer::Next);
        self.last_listener = (self.last_listener + 1) % (self.nodes.len() + self.memcached.len());
        let memcached = self.last_listener >= self.nodes.len();
        let node = self.last_listener % self.nodes.len();
        let to = if memcached {
            self.memcached[node]
        } else {
            self.nodes[node]
        };
        if let Ok(conn) = self.port.connect(to) {
            let serial = self.port.connection(conn).map_or(0, |l| l.serial);
            let messages: &[_] = if memcached {
                &MALFORMED_MEMCACHED
            } else {
                &MALFORMED_RESP
            };
            let (message, since) = (messages[self.rng.below(messages.len())], self.port.now());
            self.conns.insert(
                conn,
                MisbehavingConnection {
                    serial,
                    node,
                    memcached,
                    message,
                    since,
                },
            );
        }
    }

    /// Reports how a client's connection ended, and closes it.
    fn end(&mut self, conn: usize, got_error: bool, served: bool) {
        if let Some(c) = self.conns.remove(&conn) {
            let after = self.port.now() - c.since;
            self.recorder.record(
                self.port.unix(),
                Event::MisbehavingClientEnded {
                    node: c.node,
                    after,
                    got_error,
                    served,
                },
            );
        }
        self.port.close(conn);
    }
}

impl<N: SendTimes> Actor for MisbehavingClients<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, event) in &events {
            let (now, Some(c)) = (self.port.now(), self.conns.get_mut(conn)) else {
                continue;
            };
            match event {
                ConnectionEvent::Connected => {
                    c.since = now;
                    let serial = c.serial;
                    let bytes = Bytes::from_static(c.message.1);
                    self.port.send(*conn, bytes);
                    self.port.set_timer(
                        now + MISBEHAVING_CLIENT_RESPONSE_LIMIT,
                        MisbehavingTimer::ResponseDue(*conn, serial),
                    );
                }
                ConnectionEvent::Received => {
                    let memcached = c.memcached;
                    let Some(port_connection) = self.port.connection(*conn) else {
                        continue;
                    };
                    let got_error = if memcached {
                        // The response has a status other than success.
                        port_connection.buf.len() >= 8
                            && port_connection.buf[0] == 0x81
                            && port_connection.buf[6..8] != [0, 0]
                    } else {
                        port_connection.buf.first() == Some(&b'-')
                    };
                    self.end(*conn, got_error, !got_error);
                }
                ConnectionEvent::ReadClosed => self.end(*conn, false, false),
                ConnectionEvent::Failed { .. } => {
                    self.conns.remove(conn);
                }
                ConnectionEvent::Accepted(_) => {}
            }
        }
        self.events = events;
        while let Some(timer) = self.port.pop_due() {
            match timer {
                MisbehavingTimer::Next => self.connect_next(),
                MisbehavingTimer::ResponseDue(conn, serial) => {
                    if self.conns.get(&conn).is_some_and(|c| c.serial == serial) {
                        if let Some(c) = self.conns.remove(&conn) {
                            let what = c.message.0.to_string();
                            self.recorder.record(
                                self.port.unix(),
                                Event::MisbehavingClientIgnored { node: c.node, what },
                            );
                        }
                        self.port.close(conn);
                    }
                }
            }
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        while let Some(rate) = self.command_queue.pop() {
            self.rate = rate;
            if !self.is_timer_set && rate > 0.0 {
                self.is_timer_set = true;
                self.port.set_timer(self.port.now(), MisbehavingTimer::Next);
            }
        }
        Some(self.port.next_due())
    }
}
