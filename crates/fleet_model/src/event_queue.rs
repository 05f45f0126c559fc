//! The scheduled events of a run in order of virtual time; events at the same time are taken in the order in which they were
//! scheduled.
//!
//! The queue also owns the counter from which both events and requests get their serial numbers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use sloewick_decision::api::Micros;

use crate::attempt::AttemptIndex;

/// An event in the fleet at a scheduled time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FleetEvent {
    /// A client's first request arrives at a node.
    Arrival,
    /// A client retries its rejected or failed read of this key.
    ClientRetry(usize),
    /// The nodes of [`Site::node_restart`](crate::site::Site::node_restart) restart.
    NodeRestart,
    /// A timer of a node expires.
    NodeTimer { node: usize, token: u64 },
    /// A server's core has finished its work on an attempt; stale if `work_serial` is no longer the core's current work.
    WorkDone { server: usize, work_serial: u64 },
    /// A node's timeout for an attempt expires.
    AttemptTimeout(AttemptIndex),
    /// A server's timeout for a fetch or write at the origin expires.
    FetchTimeout(AttemptIndex),
    /// The origin has finished the fetch or write at the head of its queue.
    OriginDone,
    /// The origin's answer to a fetch or write arrives at the server.
    FetchDone(AttemptIndex),
}

/// Priority queue of scheduled events, with cancellation.
#[derive(Default)]
pub(crate) struct EventQueue {
    /// Time and serial number of each event, including cancelled ones; the earliest first.
    due_times: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Events by serial number. A cancelled event is removed here only; its entry in `due_times` is skipped later.
    events: HashMap<u64, FleetEvent>,
    last_serial: u64,
}

impl EventQueue {
    /// Returns the next serial number; the first is 1.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Schedules an event at a point of virtual time.
    pub(crate) fn schedule(&mut self, at: Micros, event: FleetEvent) {
        let serial = self.next_serial();
        self.events.insert(serial, event);
        self.due_times.push(Reverse((at, serial)));
    }

    /// Removes and returns the next event with its time. Returns None if no event is due before `end`.
    pub(crate) fn pop_before(&mut self, end: Micros) -> Option<(Micros, FleetEvent)> {
        while let Some(Reverse((at, serial))) = self.due_times.peek().copied() {
            if at >= end {
                return None;
            }
            self.due_times.pop();
            if let Some(event) = self.events.remove(&serial) {
                return Some((at, event));
            }
        }
        None
    }

    /// Cancels all timers of a node.
    pub(crate) fn cancel_timers(&mut self, node: usize) {
        self.events.retain(
            |_, event| !matches!(event, FleetEvent::NodeTimer { node: of, .. } if *of == node),
        );
    }
}
