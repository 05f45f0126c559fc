//! A node on a clock that moves on with each look at it, as one with a small share of a core sees it: rounds are long.

use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;

use super::*;
use crate::config;
use crate::transport::{PendingSignals, Stream};

const LISTEN: &str = "127.0.0.1:7001";
const DISCOVERY_AT: &str = "127.0.0.1:7002";
/// What the page allows.
const LATE: Micros = 100_000;
const COMMANDS: usize = 100;

/// What the one client has done, and what has come of it.
#[derive(Default)]
struct World {
    now: Micros,
    /// What a look at the clock takes.
    step: Micros,
    /// The client's connection waits to be accepted; its token then.
    waits: bool,
    client: Option<Token>,
    commands: Vec<u8>,
    gone_at: Micros,
    resets: bool,
    told_gone: bool,
    /// Connections to servers that come up with the next poll.
    opening: Vec<Token>,
    /// When an attempt began.
    began: Vec<Micros>,
    answers: Vec<u8>,
}

#[derive(Clone)]
struct Slow(Rc<RefCell<World>>);

struct Conn {
    world: Rc<RefCell<World>>,
    client: bool,
    up: Rc<RefCell<bool>>,
}

impl Stream for Conn {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let mut w = self.world.borrow_mut();
        if self.client && !w.commands.is_empty() {
            let n = into.len().min(w.commands.len());
            into[..n].copy_from_slice(&w.commands[..n]);
            w.commands.drain(..n);
            return Ok(n);
        }
        match self.client && w.now >= w.gone_at {
            true if w.resets => Err(ErrorKind::ConnectionReset.into()),
            true => Ok(0),
            false => Err(ErrorKind::WouldBlock.into()),
        }
    }

    fn write(&mut self, chunks: &[IoSlice]) -> io::Result<usize> {
        let mut w = self.world.borrow_mut();
        if self.client {
            chunks
                .iter()
                .for_each(|chunk| w.answers.extend_from_slice(chunk));
        } else {
            let now = w.now;
            w.began.push(now);
        }
        Ok(chunks.iter().map(|chunk| chunk.len()).sum())
    }

    fn quiet(&self) -> bool {
        !self.client
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        let w = self.world.borrow();
        let broken = self.client && w.resets && w.now >= w.gone_at;
        Ok(broken.then(|| ErrorKind::ConnectionReset.into()))
    }

    fn connected(&self) -> io::Result<()> {
        let up = *self.up.borrow();
        up.then_some(())
            .ok_or_else(|| ErrorKind::NotConnected.into())
    }

    fn end(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn bound_sending(&mut self, _bytes: usize) {}
}

impl Transport for Slow {
    type Stream = Conn;
    type Listener = ();

    fn now(&self) -> Micros {
        let mut w = self.0.borrow_mut();
        w.now += w.step;
        w.now
    }

    fn unix_time_at_start(&self) -> Micros {
        1_700_000_000_000_000
    }

    fn listen(&mut self, _at: SocketAddr, _token: Token) -> io::Result<()> {
        Ok(())
    }

    fn accept(&mut self, _listener: &mut (), token: Token) -> io::Result<Conn> {
        let mut w = self.0.borrow_mut();
        if !std::mem::take(&mut w.waits) {
            return Err(ErrorKind::WouldBlock.into());
        }
        w.client = Some(token);
        Ok(Conn {
            world: self.0.clone(),
            client: true,
            up: Rc::default(),
        })
    }

    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<Conn> {
        if to.to_string() == DISCOVERY_AT {
            return Err(ErrorKind::ConnectionRefused.into());
        }
        self.0.borrow_mut().opening.push(token);
        Ok(Conn {
            world: self.0.clone(),
            client: false,
            up: Rc::new(RefCell::new(true)),
        })
    }

    fn poll(&mut self, ready: &mut Vec<ReadyEvent>, wait: Micros) -> io::Result<()> {
        ready.clear();
        let mut w = self.0.borrow_mut();
        let event = |token| ReadyEvent {
            token,
            readable: false,
            writable: true,
            read_closed: false,
            error: false,
        };
        ready.extend(std::mem::take(&mut w.opening).into_iter().map(event));
        if let Some(token) = w.client.filter(|_| w.now >= w.gone_at && !w.told_gone) {
            w.told_gone = true;
            ready.push(ReadyEvent {
                token,
                readable: true,
                writable: true,
                read_closed: true,
                error: w.resets,
            });
        }
        if ready.is_empty() {
            w.now += wait;
        }
        Ok(())
    }

    fn told(&mut self) -> PendingSignals {
        PendingSignals::default()
    }

    fn log(&mut self, _line: &str) {}
}

/// When attempts begin for a client that sends a hundred commands and goes so long after the node has begun with them.
fn began(step: Micros, gone_after: Micros, resets: bool) -> (Rc<RefCell<World>>, Micros) {
    let class =
        r#"{"name": "read", "aim": 20000.0, "deadline": 20000.0, "repeat": "free", "worth": 1.0}"#;
    let servers: Vec<String> = (0..8)
        .map(|n| {
            format!(
                r#"{{"uid": "s-{n}", "endpoint": "127.0.0.2:{}", "az": "a", "model": "m", "pod_group": 0,
                    "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0}}"#,
                7100 + n
            )
        })
        .collect();
    let text = format!(
        r#"{{"name": "n1", "listen": "{LISTEN}", "discovery": "{DISCOVERY_AT}", "seed": "8c1f30d27a5be964",
            "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
            "known": {{"rev": 41, "all": true, "targets": [{}]}},
            "settings": {{"classes": [{class}], "discovery": "push", "replicas_of_me": 1,
              "realms": [{{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}}],
              "policy_limits": {{"try_limit": 3, "second_copies": true, "cancel": true, "connect_timeout": 5000.0,
                                "conn_idle": 60000.0}},
              "rules": {{"stop_sending_within": 2000.0, "cold_from": 0.13, "cold": 24000.0, "fall_multiple": 2.5,
                        "fall": 2000.0, "grace_to_answer": 8.0, "ask_within": 200.0}}}}}}"#,
        servers.join(",")
    );
    let world = Rc::new(RefCell::new(World {
        gone_at: Micros::MAX,
        ..World::default()
    }));
    let config = move || config::parse(&text);
    let mut node = Node::new(config().unwrap(), Slow(world.clone()), Box::new(config)).unwrap();
    let turn = |node: &mut Node<Slow>| {
        let due = node.prepare().unwrap();
        let wait = (due - world.borrow().now).clamp(0, 1000);
        node.turn(wait).unwrap();
    };
    for _ in 0..50 {
        turn(&mut node);
    }
    let gone_at = {
        let mut w = world.borrow_mut();
        for n in 0..COMMANDS {
            let (key, id, fields) = (format!("k{n}"), format!("r{n}"), "c=read,t=acme,d=20000");
            let mut out = Vec::new();
            sloewick_codec::resp2::write_header(&mut out, b'*', 4);
            for word in ["C.GET", &key, &id, fields] {
                sloewick_codec::resp2::write_bulk(&mut out, word.as_bytes());
            }
            w.commands.extend(out);
        }
        w.gone_at = w.now + gone_after;
        (w.waits, w.resets, w.step) = (true, resets, step);
        w.gone_at
    };
    node.doors.iter_mut().for_each(|door| door.more = true);
    for _ in 0..200 {
        turn(&mut node);
    }
    (world, gone_at)
}

#[test]
fn however_long_a_round_is_nothing_begins_late_for_a_client_that_goes_in_the_middle() {
    for step in [100, 300, 1_000] {
        let (stays, far) = began(step, 1 << 50, false);
        let stays: Vec<Micros> = stays
            .borrow()
            .began
            .iter()
            .map(|at| at - (far - (1 << 50)))
            .collect();
        assert!(stays.len() >= COMMANDS, "one that stays is sent on whole");
        for resets in [false, true] {
            for gone_after in [
                0,
                stays[0],
                stays[10],
                stays[30],
                stays[60],
                stays[COMMANDS - 10],
            ] {
                let (world, gone_at) = began(step, gone_after, resets);
                let began = &world.borrow().began;
                let last = began.iter().max().map_or(0, |at| at - gone_at);
                assert!(
                    last < LATE / 2,
                    "{step} {gone_after} {resets}: {last} of {}",
                    began.len()
                );
            }
        }
    }
}
