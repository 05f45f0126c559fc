//! Scripted peers and nodes on the virtual network, for tests that control each event.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver};

use sloewick_decision::api::Micros;
use sloewick_node::config;
use sloewick_node::Node;
use sloewick_testbed::checker::observations::{AnnouncedState, Observation, Recorder};
use sloewick_testbed::emulators::discovery::Listed;
use sloewick_testbed::faults::scenario::Scenario;
use sloewick_testbed::network::hosts::Hosts;
use sloewick_testbed::network::{Delay, HostId, VirtualTransport, World, EPOCH};
use sloewick_testbed::port::{Actor, ConnectionEvent, Port};
use sloewick_testbed::site;

/// One-way network delay between all hosts of these tests; it has no jitter.
pub(crate) const WAY: Micros = 1_000;

pub(crate) fn address(host: u8, port: u16) -> SocketAddr {
    ([10, 9, 0, host], port).into()
}

pub(crate) fn hosts() -> Hosts {
    Hosts::new(World::new(
        1,
        Delay {
            same: WAY,
            cross: WAY,
            jitter: 0.0,
        },
    ))
}

pub(crate) fn recorder() -> (Recorder, Receiver<Observation>) {
    let (send, observations) = channel();
    (Recorder::new(send, EPOCH), observations)
}

/// An event that a scripted peer saw on one of its connections.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Seen {
    /// The peer accepted the connection.
    Opened,
    /// The connection that the peer requested is established.
    Up,
    /// Received bytes, as text; invalid UTF-8 is replaced.
    Bytes(String),
    /// The other end closed its sending direction.
    Ended,
    /// The connection failed; `refused` if it was never established because nothing listened.
    Broke { refused: bool },
}

/// Commands of a test to a scripted peer, and the events that the peer saw.
#[derive(Default)]
pub(crate) struct Script {
    /// (microseconds of virtual time, connection, event), in order.
    pub seen: Vec<(Micros, usize, Seen)>,
    /// All bytes received on each connection, unmodified.
    pub raw: BTreeMap<usize, Vec<u8>>,
    /// Addresses to connect to.
    pub connect: Vec<SocketAddr>,
    /// (connection, bytes) to send.
    pub send: Vec<(usize, Vec<u8>)>,
    /// Connections to close.
    pub close: Vec<usize>,
    /// Connections whose sending direction is to be closed.
    pub end: Vec<usize>,
}

pub(crate) type Handle = Rc<RefCell<Script>>;

struct Scripted {
    port: Port<VirtualTransport, u64>,
    script: Handle,
    events: Vec<(usize, ConnectionEvent)>,
}

impl Actor for Scripted {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        let now = self.port.unix() - EPOCH;
        for (conn, event) in &events {
            let seen = match event {
                ConnectionEvent::Accepted(_) => Seen::Opened,
                ConnectionEvent::Connected => Seen::Up,
                ConnectionEvent::ReadClosed => Seen::Ended,
                ConnectionEvent::Failed { refused } => Seen::Broke { refused: *refused },
                ConnectionEvent::Received => {
                    let Some(connection) = self.port.connection(*conn) else {
                        continue;
                    };
                    let bytes = connection.buf.split();
                    self.script
                        .borrow_mut()
                        .raw
                        .entry(*conn)
                        .or_default()
                        .extend_from_slice(&bytes);
                    Seen::Bytes(String::from_utf8_lossy(&bytes).into_owned())
                }
            };
            self.script.borrow_mut().seen.push((now, *conn, seen));
        }
        self.events = events;
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        let mut script = self.script.borrow_mut();
        for to in std::mem::take(&mut script.connect) {
            let _ = self.port.connect(to);
        }
        for (conn, bytes) in std::mem::take(&mut script.send) {
            self.port.send(conn, bytes.into());
        }
        for conn in std::mem::take(&mut script.end) {
            self.port.shutdown_write(conn);
        }
        for conn in std::mem::take(&mut script.close) {
            self.port.close(conn);
        }
        Some(self.port.next_due())
    }
}

/// A scripted peer on its own host, with an optional listener.
pub(crate) struct Peer {
    pub host: HostId,
    pub script: Handle,
}

impl Peer {
    pub(crate) fn new(hosts: &mut Hosts, name: &str, listen: Option<SocketAddr>) -> Peer {
        let host = hosts.world.borrow_mut().add_host(name, 0, 1000);
        Peer::on(hosts, host, listen)
    }

    pub(crate) fn on(hosts: &mut Hosts, host: HostId, listen: Option<SocketAddr>) -> Peer {
        let mut port = Port::new(hosts.net(host));
        if let Some(at) = listen {
            hosts.world.borrow_mut().add_address(host, at);
            port.listen(at).unwrap();
        }
        let script = Handle::default();
        let scripted = Scripted {
            port,
            script: script.clone(),
            events: Vec::new(),
        };
        hosts.place(host, Box::new(scripted));
        Peer { host, script }
    }

    pub(crate) fn connect(&self, hosts: &mut Hosts, to: SocketAddr) {
        self.script.borrow_mut().connect.push(to);
        hosts.wake(self.host);
    }

    pub(crate) fn send(&self, hosts: &mut Hosts, conn: usize, bytes: impl AsRef<[u8]>) {
        self.script
            .borrow_mut()
            .send
            .push((conn, bytes.as_ref().to_vec()));
        hosts.wake(self.host);
    }

    pub(crate) fn close(&self, hosts: &mut Hosts, conn: usize) {
        self.script.borrow_mut().close.push(conn);
        hosts.wake(self.host);
    }

    pub(crate) fn end(&self, hosts: &mut Hosts, conn: usize) {
        self.script.borrow_mut().end.push(conn);
        hosts.wake(self.host);
    }

    /// All events with their connections, without times.
    pub(crate) fn seen(&self) -> Vec<(usize, Seen)> {
        self.script
            .borrow()
            .seen
            .iter()
            .map(|(_, conn, seen)| (*conn, seen.clone()))
            .collect()
    }

    /// All bytes received, on any connection, as text.
    pub(crate) fn text(&self) -> String {
        let script = self.script.borrow();
        let bytes = script.seen.iter().filter_map(|(_, _, seen)| match seen {
            Seen::Bytes(text) => Some(text.as_str()),
            _ => None,
        });
        bytes.collect()
    }

    pub(crate) fn saw(&self, what: &Seen) -> bool {
        self.script
            .borrow()
            .seen
            .iter()
            .any(|(_, _, seen)| seen == what)
    }
}

pub(crate) fn command(words: &[&str]) -> String {
    let words = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect::<Vec<_>>()
        .concat();
    format!("*{}\r\n{words}", words.matches('$').count())
}

pub(crate) fn get(id: &str, class: &str, ms: u32) -> String {
    let fields = format!("c={class},t=distribution,d={ms}");
    command(&["C.GET", "logger/1", id, &fields])
}

pub(crate) fn set(id: &str, class: &str, ms: u32, key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |k| format!(",k={k}"));
    let fields = format!("c={class},t=distribution,d={ms}{key}");
    command(&["C.SET", "logger/1", id, &fields, "value"])
}

pub(crate) fn served(value: &str) -> String {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len())
}

pub(crate) fn calm() -> Scenario {
    Scenario {
        name: "test".to_string(),
        about: String::new(),
        seconds: 5.0,
        nodes: 1,
        servers: 1,
        rate: 100.0,
        faults: Vec::new(),
    }
}

pub(crate) fn listed(number: usize, at: SocketAddr) -> Listed {
    Listed {
        number,
        uid: format!("s-{number}"),
        endpoint: at,
        zone: site::ZONES[0].to_string(),
        kind: site::KINDS[0].to_string(),
        state: AnnouncedState::InService { boot: 0 },
    }
}

/// Starts a node on its own host, whose endpoint list initially contains the servers `known`; returns the host.
pub(crate) fn node(
    hosts: &mut Hosts,
    at: SocketAddr,
    discovery: SocketAddr,
    known: &[Listed],
) -> HostId {
    let host = hosts.world.borrow_mut().add_host("node", 0, site::SOCKETS);
    start_node(hosts, host, at, discovery, known);
    host
}

pub(crate) fn start_node(
    hosts: &mut Hosts,
    host: HostId,
    at: SocketAddr,
    discovery: SocketAddr,
    known: &[Listed],
) {
    start_node_with(hosts, host, at, discovery, known, None);
}

/// Starts a node like `start_node`, with the text of an optional memcached configuration file, which may listen on port
/// 11211 of the node's host.
pub(crate) fn start_node_with(
    hosts: &mut Hosts,
    host: HostId,
    at: SocketAddr,
    discovery: SocketAddr,
    known: &[Listed],
    memcached: Option<&str>,
) {
    hosts.world.borrow_mut().add_address(host, at);
    let text = site::node_config(0, &calm(), at, discovery, 7, (41, known));
    let mut config = config::parse(&text).unwrap();
    if let Some(file) = memcached {
        hosts
            .world
            .borrow_mut()
            .add_address(host, SocketAddr::new(at.ip(), 11211));
        config::enable_memcached(&mut config, file).unwrap();
    }
    let source = Box::new(move || config::parse(&text));
    let node = Node::new(config, hosts.net(host), source).unwrap();
    hosts.place(host, Box::new(node));
}
