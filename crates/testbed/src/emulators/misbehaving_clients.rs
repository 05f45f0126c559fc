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
use crate::port::{Actor, Came, Port, Sight};
use crate::requirements::MISBEHAVING_CLIENT_RESPONSE_LIMIT;
use crate::rng::Rng;

/// What a rude client sends.
const RUDE: [(&str, &[u8]); 9] = [
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
const RUDE_MEMCACHED: [(&str, &[u8]); 7] = [
    ("noise", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
    ("RESP2", b"*1\r\n$4\r\nPING\r\n"),
    ("a body shorter than its key", b"\x80\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00k"),
    ("a body of 4 GB", b"\x80\x01\x00\x01\x08\x00\x00\x00\xff\xff\xff\xff\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00"),
    ("a key that no route fits", b"\x80\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00k"),
    ("half a header", b"\x80\x00\x00\x01\x00"),
    ("nothing", b""),
];
/// Clients that send what can't be read, at a node each in turn.
pub struct Rude<N: Sight> {
    port: Port<N, RudeDue>,
    nodes: Vec<SocketAddr>,
    /// Every second one goes there, where there is such a listener.
    memcached: Vec<SocketAddr>,
    command_queue: CommandQueue<f64>,
    recorder: Recorder,
    rng: Rng,
    rate: f64,
    ticking: bool,
    turn: usize,
    conns: HashMap<usize, RudeConn>,
    came: Vec<(usize, Came)>,
}

struct RudeConn {
    serial: u64,
    node: usize,
    memcached: bool,
    what: (&'static str, &'static [u8]),
    since: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RudeDue {
    Next,
    Owed(usize, u64),
}

impl<N: Sight> Rude<N> {
    /// `command_queue`: how many come in a second.
    pub fn new(
        net: N,
        nodes: Vec<SocketAddr>,
        memcached: Vec<SocketAddr>,
        seed: u64,
        command_queue: CommandQueue<f64>,
        recorder: Recorder,
    ) -> Rude<N> {
        let (port, rng) = (Port::new(net), Rng::part(seed, "rude", 0));
        let (rate, ticking, turn) = (0.0, false, 0);
        let (conns, came) = (HashMap::new(), Vec::new());
        Rude {
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
            came,
        }
    }

    fn next(&mut self) {
        self.ticking = self.rate > 0.0;
        if !self.ticking {
            return;
        }
        let pause = self.rng.spread(1e6 / self.rate) as Micros;
        self.port.set(self.port.now() + pause, RudeDue::Next);
        self.turn = (self.turn + 1) % (self.nodes.len() + self.memcached.len());
        let memcached = self.turn >= self.nodes.len();
        let node = self.turn % self.nodes.len();
        let to = if memcached {
            self.memcached[node]
        } else {
            self.nodes[node]
        };
        if let Ok(conn) = self.port.connect(to) {
            let serial = self.port.line(conn).map_or(0, |l| l.serial);
            let all: &[_] = if memcached { &RUDE_MEMCACHED } else { &RUDE };
            let (what, since) = (all[self.rng.below(all.len())], self.port.now());
            self.conns.insert(
                conn,
                RudeConn {
                    serial,
                    node,
                    memcached,
                    what,
                    since,
                },
            );
        }
    }

    fn over(&mut self, conn: usize, told: bool, served: bool) {
        if let Some(c) = self.conns.remove(&conn) {
            let after = self.port.now() - c.since;
            self.recorder.tell(
                self.port.unix(),
                Event::RudeEnded {
                    node: c.node,
                    after,
                    told,
                    served,
                },
            );
        }
        self.port.close(conn);
    }
}

impl<N: Sight> Actor for Rude<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut came = std::mem::take(&mut self.came);
        self.port.poll(wait, &mut came)?;
        for (conn, what) in &came {
            let (now, Some(c)) = (self.port.now(), self.conns.get_mut(conn)) else {
                continue;
            };
            match what {
                Came::Up => {
                    c.since = now;
                    let serial = c.serial;
                    let bytes = Bytes::from_static(c.what.1);
                    self.port.send(*conn, bytes);
                    self.port.set(
                        now + MISBEHAVING_CLIENT_RESPONSE_LIMIT,
                        RudeDue::Owed(*conn, serial),
                    );
                }
                Came::Bytes => {
                    let memcached = c.memcached;
                    let Some(line) = self.port.line(*conn) else {
                        continue;
                    };
                    let told = if memcached {
                        // A status other than success.
                        line.buf.len() >= 8 && line.buf[0] == 0x81 && line.buf[6..8] != [0, 0]
                    } else {
                        line.buf.first() == Some(&b'-')
                    };
                    self.over(*conn, told, !told);
                }
                Came::Ended => self.over(*conn, false, false),
                Came::Broke { .. } => {
                    self.conns.remove(conn);
                }
                Came::Opened(_) => {}
            }
        }
        self.came = came;
        while let Some(due) = self.port.pop_due() {
            match due {
                RudeDue::Next => self.next(),
                RudeDue::Owed(conn, serial) => {
                    if self.conns.get(&conn).is_some_and(|c| c.serial == serial) {
                        if let Some(c) = self.conns.remove(&conn) {
                            let what = c.what.0.to_string();
                            self.recorder
                                .tell(self.port.unix(), Event::RudeLeft { node: c.node, what });
                        }
                        self.port.close(conn);
                    }
                }
            }
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        while let Some(rate) = self.command_queue.take() {
            self.rate = rate;
            if !self.ticking && rate > 0.0 {
                self.ticking = true;
                self.port.set(self.port.now(), RudeDue::Next);
            }
        }
        Some(self.port.next_due())
    }
}
