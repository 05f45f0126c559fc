//! Emulators of clients that send bytes no server can use.
//!
//! Each connects to one node, sends one malformed or incomplete message and reports whether the node answered with an
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

/// What a rude client sends.
const MALFORMED_RESP: [(&str, &[u8]); 9] = [
    (
        "noise",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    ),
    ("negative length", b"*4\r\n$-9\r\n"),
    ("huge length", b"*4\r\n$99999999999999999999\r\n"),
    ("a number of words that lies", b"*1000000\r\n"),
    (
        "an unknown class",
        b"*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\nr1\r\n$14\r\nc=nothing,d=50\r\n",
    ),
    (
        "a deadline that is no number",
        b"*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$2\r\nr2\r\n$18\r\nc=trace-read,d=abc\r\n",
    ),
    ("no id", b"*2\r\n$5\r\nC.GET\r\n$1\r\nk\r\n"),
    ("half a command", b"*4\r\n$5\r\nC.GET\r\n$1\r\nk"),
    ("nothing", b""),
];
/// What one sends to the listener for the binary protocol.
const MALFORMED_MEMCACHED: [(&str, &[u8]); 7] = [
    ("noise", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
    ("RESP2", b"*1\r\n$4\r\nPING\r\n"),
    ("a body shorter than its key", b"\x80\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00k"),
    ("a body of 4 GB", b"\x80\x01\x00\x01\x08\x00\x00\x00\xff\xff\xff\xff\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00"),
    ("a key that no route fits", b"\x80\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00k"),
    ("half a header", b"\x80\x00\x00\x01\x00"),
    ("nothing", b""),
];
/// Clients that send what can't be read, at a node each in turn.
pub struct MisbehavingClients<N: SendTimes> {
    port: Port<N, MisbehavingTimer>,
    nodes: Vec<SocketAddr>,
    /// Every second one goes there, where there is such a listener.
    memcached: Vec<SocketAddr>,
    command_queue: CommandQueue<f64>,
    recorder: Recorder,
    rng: Rng,
    rate: f64,
    ticking: bool,
    turn: usize,
    conns: HashMap<usize, MisbehavingConnection>,
    events: Vec<(usize, ConnectionEvent)>,
}

struct MisbehavingConnection {
    serial: u64,
    node: usize,
    memcached: bool,
    what: (&'static str, &'static [u8]),
    since: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MisbehavingTimer {
    Next,
    ResponseDue(usize, u64),
}

impl<N: SendTimes> MisbehavingClients<N> {
    /// `command_queue`: how many come in a second.
    pub fn new(
        net: N,
        nodes: Vec<SocketAddr>,
        memcached: Vec<SocketAddr>,
        seed: u64,
        command_queue: CommandQueue<f64>,
        recorder: Recorder,
    ) -> MisbehavingClients<N> {
        let (port, rng) = (Port::new(net), Rng::stream(seed, "rude", 0));
        let (rate, ticking, turn) = (0.0, false, 0);
        let (conns, events) = (HashMap::new(), Vec::new());
        MisbehavingClients {
            port,
            nodes,
            memcached,
            command_queue,
            recorder,
            rng,
            rate,
            ticking,
            turn,
            conns,
            events,
        }
    }

    fn next(&mut self) {
        self.ticking = self.rate > 0.0;
        if !self.ticking {
            return;
        }
        let pause = self.rng.exponential(1e6 / self.rate) as Micros;
        self.port
            .set_timer(self.port.now() + pause, MisbehavingTimer::Next);
        self.turn = (self.turn + 1) % (self.nodes.len() + self.memcached.len());
        let memcached = self.turn >= self.nodes.len();
        let node = self.turn % self.nodes.len();
        let to = if memcached {
            self.memcached[node]
        } else {
            self.nodes[node]
        };
        if let Ok(conn) = self.port.connect(to) {
            let serial = self.port.connection(conn).map_or(0, |l| l.serial);
            let all: &[_] = if memcached {
                &MALFORMED_MEMCACHED
            } else {
                &MALFORMED_RESP
            };
            let (what, since) = (all[self.rng.below(all.len())], self.port.now());
            self.conns.insert(
                conn,
                MisbehavingConnection {
                    serial,
                    node,
                    memcached,
                    what,
                    since,
                },
            );
        }
    }

    fn over(&mut self, conn: usize, got_error: bool, served: bool) {
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
        for (conn, what) in &events {
            let (now, Some(c)) = (self.port.now(), self.conns.get_mut(conn)) else {
                continue;
            };
            match what {
                ConnectionEvent::Connected => {
                    c.since = now;
                    let serial = c.serial;
                    let bytes = Bytes::from_static(c.what.1);
                    self.port.send(*conn, bytes);
                    self.port.set_timer(
                        now + MISBEHAVING_CLIENT_RESPONSE_LIMIT,
                        MisbehavingTimer::ResponseDue(*conn, serial),
                    );
                }
                ConnectionEvent::Received => {
                    let memcached = c.memcached;
                    let Some(line) = self.port.connection(*conn) else {
                        continue;
                    };
                    let got_error = if memcached {
                        // A status other than success.
                        line.buf.len() >= 8 && line.buf[0] == 0x81 && line.buf[6..8] != [0, 0]
                    } else {
                        line.buf.first() == Some(&b'-')
                    };
                    self.over(*conn, got_error, !got_error);
                }
                ConnectionEvent::ReadClosed => self.over(*conn, false, false),
                ConnectionEvent::Failed { .. } => {
                    self.conns.remove(conn);
                }
                ConnectionEvent::Accepted(_) => {}
            }
        }
        self.events = events;
        while let Some(due) = self.port.pop_due() {
            match due {
                MisbehavingTimer::Next => self.next(),
                MisbehavingTimer::ResponseDue(conn, serial) => {
                    if self.conns.get(&conn).is_some_and(|c| c.serial == serial) {
                        if let Some(c) = self.conns.remove(&conn) {
                            let what = c.what.0.to_string();
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
            if !self.ticking && rate > 0.0 {
                self.ticking = true;
                self.port.set_timer(self.port.now(), MisbehavingTimer::Next);
            }
        }
        Some(self.port.next_due())
    }
}
