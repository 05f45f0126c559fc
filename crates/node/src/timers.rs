//! The node's timers, earliest first.
//!
//! A timer cannot be cancelled; the code that set it ignores its expiry when it no longer matters, as the decision module does
//! with its own timers. Each request sets a bounded number of timers. Those that no longer matter are removed when they are
//! more than the others, since a request may end long before its deadline.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sloewick_decision::api::Micros;

use crate::attempt_id::AttemptId;

/// The event that a timer was set for. Keys are slab keys; a serial tells whether a key still refers to the same object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// A timer of the decision module, identified by its token, has expired.
    DecisionEngine(u64),
    /// An attempt times out.
    Attempt(AttemptId),
    /// An attempt that waits for a connection looks for one again.
    AwaitedConnection(AttemptId),
    /// An upstream connection has taken too long to be established, or a probe to be answered.
    Upstream {
        /// Key of the connection.
        connection: usize,
        /// Serial of the connection.
        serial: u64,
    },
    /// A client that has shut down its sending side counts as disconnected from now on.
    ClientDisconnected {
        /// Key of the client connection.
        client: usize,
        /// Serial of the client connection.
        serial: u64,
    },
    /// Connections are accepted that waited until a client's output was delivered.
    Accept,
    /// A client's machine may have acknowledged what was written to it.
    ClientAcknowledgement {
        /// Key of the client connection.
        client: usize,
        /// Serial of the client connection.
        serial: u64,
    },
    /// During a graceful shutdown: all open requests get their final response now.
    FinalResponses,
    /// During a graceful shutdown: the process exits now.
    Exit,
    /// A request to discovery has timed out, or the next one is due.
    Discovery {
        /// Serial of the request.
        serial: u64,
    },
    /// A failed reload is retried.
    Reload,
    /// The periodic check of everything that has no timer of its own is due.
    Sweep,
}

/// The heap of timers. Timers for the same time expire in the order in which they were set.
#[derive(Default)]
pub(crate) struct Timers {
    /// Time, sequence number and event of each timer.
    heap: BinaryHeap<Reverse<(Micros, u64, TimerEvent)>>,
    last_sequence: u64,
    /// Number of timers above which those that no longer matter are removed.
    purge_above: usize,
}

/// Least number of timers that are worth a purge.
const MIN_PURGED: usize = 1024;

impl Timers {
    /// Removes the timers for which `is_needed` is false, if many have been set since this was last done.
    pub(crate) fn purge(&mut self, mut is_needed: impl FnMut(&TimerEvent) -> bool) {
        if self.heap.len() <= self.purge_above.max(MIN_PURGED) {
            return;
        }
        self.heap.retain(|Reverse((.., event))| is_needed(event));
        self.purge_above = 2 * self.heap.len();
        self.heap.shrink_to(self.purge_above.max(MIN_PURGED));
    }

    /// Sets a timer that expires at `at`.
    pub(crate) fn set(&mut self, at: Micros, event: TimerEvent) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, event)));
    }

    /// The time of the earliest timer; None if no timer is set.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Takes the earliest timer if it has expired by `now`.
    pub(crate) fn pop_expired(&mut self, now: Micros) -> Option<TimerEvent> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., event))| event)
    }
}

#[cfg(test)]
#[path = "timers_tests.rs"]
mod tests;
