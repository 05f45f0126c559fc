//! The events of a run in order of their virtual time; events of the same time come in the order in which they were scheduled.
//!
//! Owns the scheduled events and the serial number from which events and requests are numbered.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use sloewick_decision::api::Micros;

use crate::attempt::AttemptIndex;

/// Something that happens in the fleet at its time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FleetEvent {
    /// A client's request arrives.
    Arrival,
    /// A client whose read of this key was rejected retries.
    ClientRetry(usize),
    /// Nodes restart.
    NodeRestart,
    /// A timer of a node expires.
    NodeTimer { node: usize, token: u64 },
    /// A server's core has finished an attempt; stale if the core's run has another number by then.
    WorkDone { server: usize, run: u64 },
    /// A node's timeout for an attempt has passed.
    AttemptTimeout(AttemptIndex),
    /// A server no longer waits for a fetch.
    FetchTimeout(AttemptIndex),
    /// The origin has finished the fetch or write at the head of its queue.
    OriginDone,
    /// The origin's answer arrives at the server.
    FetchDone(AttemptIndex),
}

/// Scheduled events.
#[derive(Default)]
pub(crate) struct EventQueue {
    times: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Events by serial number; a cancelled one is absent here, its time stays in `times`.
    events: HashMap<u64, FleetEvent>,
    last_serial: u64,
}

impl EventQueue {
    /// Takes the next serial number, from 1 on.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Schedules an event.
    pub(crate) fn schedule(&mut self, at: Micros, event: FleetEvent) {
        let serial = self.next_serial();
        self.events.insert(serial, event);
        self.times.push(Reverse((at, serial)));
    }

    /// Takes the next event before `end`, with its time.
    pub(crate) fn pop_before(&mut self, end: Micros) -> Option<(Micros, FleetEvent)> {
        while let Some(Reverse((at, serial))) = self.times.peek().copied() {
            if at >= end {
                return None;
            }
            self.times.pop();
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
