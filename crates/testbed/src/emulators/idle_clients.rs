//! Emulators of idle clients: each sends one PING and then keeps its connection open without using it.
//!
//! A client whose connection a node closes reconnects at the next interval, so that the descriptors of the node stay in
//! use for as long as idle clients are configured.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use sloewick_decision::api::Micros;

use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};

/// Interval at which missing clients connect.
const CONNECT_INTERVAL: Micros = 10_000;
/// Number of intervals in which all clients have connected.
const INTERVALS_UNTIL_CONNECTED: usize = 50;

/// The idle clients of a site.
pub struct IdleClients<N: SendTimes> {
    port: Port<N, ()>,
    nodes: Vec<SocketAddr>,
    command_queue: CommandQueue<usize>,
    /// Number of clients at each node.
    wanted: usize,
    /// Number of connections to each node.
    open: Vec<usize>,
    /// The node of each connection.
    conns: HashMap<usize, usize>,
    /// Whether the timer for the next interval is set.
    is_timer_set: bool,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> IdleClients<N> {
    /// Creates the clients. Each command in `command_queue` is the number of clients at each node; 0 disconnects all.
    pub fn new(
        net: N,
        nodes: Vec<SocketAddr>,
        command_queue: CommandQueue<usize>,
    ) -> IdleClients<N> {
        let open = vec![0; nodes.len()];
        let (conns, events) = (HashMap::new(), Vec::new());
        IdleClients {
            port: Port::new(net),
            nodes,
            command_queue,
            wanted: 0,
            open,
            conns,
            is_timer_set: false,
            events,
        }
    }

    /// Connects some of the missing clients.
    fn connect_missing(&mut self) {
        self.is_timer_set = self.wanted > 0;
        if !self.is_timer_set {
            return;
        }
        self.port.set_timer(self.port.now() + CONNECT_INTERVAL, ());
        for node in 0..self.nodes.len() {
            let missing = self.wanted.saturating_sub(self.open[node]);
            for _ in 0..missing.min(self.wanted.div_ceil(INTERVALS_UNTIL_CONNECTED)) {
                if let Ok(conn) = self.port.connect(self.nodes[node]) {
                    self.open[node] += 1;
                    self.conns.insert(conn, node);
                }
            }
        }
    }

    fn close(&mut self, conn: usize) {
        if let Some(node) = self.conns.remove(&conn) {
            self.open[node] -= 1;
        }
        self.port.close(conn);
    }
}

impl<N: SendTimes> Actor for IdleClients<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, event) in &events {
            match event {
                ConnectionEvent::Connected => self
                    .port
                    .send(*conn, Bytes::from_static(b"*1\r\n$4\r\nPING\r\n")),
                ConnectionEvent::Received => {
                    if let Some(port_connection) = self.port.connection(*conn) {
                        port_connection.buf.clear();
                    }
                }
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => self.close(*conn),
                ConnectionEvent::Accepted(_) => {}
            }
        }
        self.events = events;
        while self.port.pop_due().is_some() {
            self.connect_missing();
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        while let Some(wanted) = self.command_queue.pop() {
            self.wanted = wanted;
            if wanted == 0 {
                // In the order of connection indices: the order of the map would differ between runs.
                self.port
                    .conns()
                    .into_iter()
                    .for_each(|conn| self.close(conn));
            } else if !std::mem::replace(&mut self.is_timer_set, true) {
                self.port.set_timer(self.port.now(), ());
            }
        }
        Some(self.port.next_due())
    }
}
