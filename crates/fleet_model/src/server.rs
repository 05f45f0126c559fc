//! The state of a cache server: a queue, one core, fetch slots, cached keys and idle connections. The model moves attempts
//! through a server; servers share no state.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::attempt::AttemptIndex;

/// State of a cache server.
#[derive(Default)]
pub(crate) struct Server {
    /// Attempts that wait for the core, in order of arrival.
    pub(crate) queue: VecDeque<AttemptIndex>,
    /// The attempt that the core processes, if it is busy.
    pub(crate) active: Option<AttemptIndex>,
    /// Serial number of the core's current work; a `WorkDone` event with another number is stale and is ignored.
    pub(crate) work_serial: u64,
    /// Fetches and writes in flight to the origin.
    pub(crate) fetches: usize,
    /// Keys whose values are cached.
    pub(crate) cached: HashSet<usize>,
    /// Number of idle connections by node.
    idle_connections: HashMap<usize, usize>,
}

impl Server {
    /// A server that has cached the keys from 0 to `key_count - 1`.
    pub(crate) fn with_cached_keys(key_count: usize) -> Server {
        Server {
            cached: (0..key_count).collect(),
            ..Server::default()
        }
    }

    /// Takes an idle connection of a node. Returns false if there is none, so that a new connection needs a handshake.
    pub(crate) fn take_idle_connection(&mut self, node: usize) -> bool {
        let idle = self.idle_connections.entry(node).or_default();
        let found = *idle > 0;
        *idle = idle.saturating_sub(1);
        found
    }

    /// Adds a connection of a node to its idle connections.
    pub(crate) fn return_connection(&mut self, node: usize) {
        *self.idle_connections.entry(node).or_default() += 1;
    }

    /// Starts the core's work on an attempt and returns the serial number of this work.
    pub(crate) fn start_work(&mut self, attempt: AttemptIndex) -> u64 {
        self.work_serial += 1;
        self.active = Some(attempt);
        self.work_serial
    }

    /// Stops the core's work without a result and makes its `WorkDone` event stale.
    pub(crate) fn abort_work(&mut self) {
        self.active = None;
        self.work_serial += 1;
    }

    /// Number of attempts in the queue and at the core.
    pub(crate) fn backlog(&self) -> usize {
        self.queue.len() + usize::from(self.active.is_some())
    }
}
