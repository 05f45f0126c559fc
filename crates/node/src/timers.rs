//! Deadlines: what is due when, earliest first.
//!
//! A deadline cannot be taken back; whoever set it ignores it when it no longer matters, as the module does
//! with its timers. Each request sets a bounded number and all pass within its time, which bounds the heap.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sloewick_decision::api::Micros;

/// What is due. Keys are slab places, serials tell whether the place still holds the same thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module's own timer.
    DecisionEngine(u64),
    /// The time-out of an attempt.
    Attempt {
        request: usize,
        serial: u64,
        attempt: usize,
    },
    /// A connection that is still being opened, or a probe, has taken too long.
    Upstream { conn: usize, serial: u64 },
    /// A client has not been heard for long enough.
    Left { client: usize, serial: u64 },
    /// A planned stop: what is open gets its final answer now.
    LastAnswers,
    /// A list call is over its time, or the next one is due.
    Discovery { serial: u64 },
    /// Time for a look at all that waits with no deadline of its own.
    Sweep,
}

/// The heap of deadlines; equal times keep the order in which they were set.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    set: u64,
}

impl Timers {
    pub fn set(&mut self, at: Micros, due: Due) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, due)));
    }

    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    pub fn pop_due(&mut self, now: Micros) -> Option<Due> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((.., due))| due)
    }
}

#[cfg(test)]
#[path = "timers_tests.rs"]
mod tests;
