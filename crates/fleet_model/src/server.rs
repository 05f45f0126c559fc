//! A cache server: a queue, one core, fetch slots, cached keys and idle connections. Each server owns its own state; the model
//! moves attempts through it.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::attempt::AttemptIndex;

/// State of a cache server.
#[derive(Default)]
pub(crate) struct Server {
    /// Attempts that wait for the core.
    pub(crate) queue: VecDeque<AttemptIndex>,
    /// Attempt that the core works on.
    pub(crate) active: Option<AttemptIndex>,
    /// Number of the core's current run; the end of an earlier run is stale.
    pub(crate) run: u64,
    /// Fetches and writes in flight to the origin.
    pub(crate) fetches: usize,
    /// Keys in the cache.
    pub(crate) cached: HashSet<usize>,
    /// Number of idle connections, by node.
    idle_connections: HashMap<usize, usize>,
}

impl Server {
    /// A server that has cached all of this many keys.
    pub(crate) fn with_cached_keys(keys: usize) -> Server {
        Server {
            cached: (0..keys).collect(),
            ..Server::default()
        }
    }

    /// Takes an idle connection of a node; false if there is none and a handshake is due.
    pub(crate) fn take_idle_connection(&mut self, node: usize) -> bool {
        let idle = self.idle_connections.entry(node).or_default();
        let found = *idle > 0;
        *idle = idle.saturating_sub(1);
        found
    }

    /// A connection of a node becomes idle.
    pub(crate) fn return_connection(&mut self, node: usize) {
        *self.idle_connections.entry(node).or_default() += 1;
    }

    /// The core starts to work on an attempt; returns the number of this run.
    pub(crate) fn start_work(&mut self, attempt: AttemptIndex) -> u64 {
        self.run += 1;
        self.active = Some(attempt);
        self.run
    }

    /// The core stops without a result.
    pub(crate) fn abort_work(&mut self) {
        self.active = None;
        self.run += 1;
    }

    /// Attempts in the queue and at the core.
    pub(crate) fn backlog(&self) -> usize {
        self.queue.len() + usize::from(self.active.is_some())
    }
}
