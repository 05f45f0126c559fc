//! Clients that have asked once and rest on their connections, so many at each node. Whoever is ended comes back at
//! once, so that a node's descriptors stay filled as long as they last.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use sloewick_decision::api::Micros;

use crate::commands::CommandQueue;
use crate::port::{Actor, ConnectionEvent, Port, SendTimes};

/// How often those that are missing come, and in how many times of that all are there.
const STEP: Micros = 10_000;
const STEPS: usize = 50;

/// The idle clients of a site.
pub struct Idle<N: SendTimes> {
    port: Port<N, ()>,
    nodes: Vec<SocketAddr>,
    command_queue: CommandQueue<usize>,
    /// So many at each node.
    wanted: usize,
    open: Vec<usize>,
    /// Each connection's node.
    conns: HashMap<usize, usize>,
    ticking: bool,
    events: Vec<(usize, ConnectionEvent)>,
}

impl<N: SendTimes> Idle<N> {
    /// `command_queue`: how many rest at each node; none: all leave.
    pub fn new(net: N, nodes: Vec<SocketAddr>, command_queue: CommandQueue<usize>) -> Idle<N> {
        let open = vec![0; nodes.len()];
        let (conns, events) = (HashMap::new(), Vec::new());
        Idle {
            port: Port::new(net),
            nodes,
            command_queue,
            wanted: 0,
            open,
            conns,
            ticking: false,
            events,
        }
    }

    fn step(&mut self) {
        self.ticking = self.wanted > 0;
        if !self.ticking {
            return;
        }
        self.port.set_timer(self.port.now() + STEP, ());
        for node in 0..self.nodes.len() {
            let missing = self.wanted.saturating_sub(self.open[node]);
            for _ in 0..missing.min(self.wanted.div_ceil(STEPS)) {
                if let Ok(conn) = self.port.connect(self.nodes[node]) {
                    self.open[node] += 1;
                    self.conns.insert(conn, node);
                }
            }
        }
    }

    fn over(&mut self, conn: usize) {
        if let Some(node) = self.conns.remove(&conn) {
            self.open[node] -= 1;
        }
        self.port.close(conn);
    }
}

impl<N: SendTimes> Actor for Idle<N> {
    fn turn(&mut self, wait: Micros) -> io::Result<()> {
        let mut events = std::mem::take(&mut self.events);
        self.port.poll(wait, &mut events)?;
        for (conn, what) in &events {
            match what {
                ConnectionEvent::Connected => self
                    .port
                    .send(*conn, Bytes::from_static(b"*1\r\n$4\r\nPING\r\n")),
                ConnectionEvent::Received => {
                    if let Some(line) = self.port.connection(*conn) {
                        line.buf.clear();
                    }
                }
                ConnectionEvent::ReadClosed | ConnectionEvent::Failed { .. } => self.over(*conn),
                ConnectionEvent::Accepted(_) => {}
            }
        }
        self.events = events;
        while self.port.pop_due().is_some() {
            self.step();
        }
        Ok(())
    }

    fn prepare(&mut self) -> Option<Micros> {
        while let Some(wanted) = self.command_queue.pop() {
            self.wanted = wanted;
            if wanted == 0 {
                // In one order, whatever the map's.
                self.port
                    .conns()
                    .into_iter()
                    .for_each(|conn| self.over(conn));
            } else if !std::mem::replace(&mut self.ticking, true) {
                self.port.set_timer(self.port.now(), ());
            }
        }
        Some(self.port.next_due())
    }
}
