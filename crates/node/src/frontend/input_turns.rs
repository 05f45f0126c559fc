//! Turns in which the input of clients is read, so that a client that sends at full speed delays the others by a bounded time.
//!
//! A client has one turn in each round of the event loop. A client that has not been read to its end when its turn is over waits
//! in a queue; the queue is served for a bounded time per round. The other clients are read as soon as something arrives.

use std::collections::VecDeque;

use sloewick_decision::api::Micros;

use crate::transport::MAX_READ;

/// Most messages that are read in a turn. It is no less than a client may have in flight.
const MAX_MESSAGES: usize = 128;
/// Bytes after which a turn ends.
const MAX_BYTES: usize = MAX_READ;
/// How long the queue is served per round.
const MAX_QUEUE_TIME: Micros = 4_000;

/// What a client has used of its turn.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InputTurn {
    round: u64,
    messages: usize,
    bytes: usize,
}

impl InputTurn {
    /// Begins a turn unless the client has had one in this round.
    pub(crate) fn begin(&mut self, round: u64) {
        if self.round != round {
            *self = InputTurn {
                round,
                ..InputTurn::default()
            };
        }
    }

    /// Counts a message that was read.
    pub(crate) fn count_message(&mut self) {
        self.messages += 1;
    }

    /// Counts bytes that were read.
    pub(crate) fn count_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Whether the turn is over.
    pub(crate) fn is_over(&self) -> bool {
        self.messages >= MAX_MESSAGES || self.bytes >= MAX_BYTES
    }
}

/// The clients whose turns were over before their input was read, in the order in which they are served.
#[derive(Debug, Default)]
pub(crate) struct InputQueue {
    clients: VecDeque<usize>,
}

impl InputQueue {
    /// Adds a client, which must not be in the queue.
    pub(crate) fn push(&mut self, client: usize) {
        self.clients.push_back(client);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Number of clients in the queue.
    pub(crate) fn len(&self) -> usize {
        self.clients.len()
    }

    /// Takes the next client if the queue has been served since `started` for less than it may be.
    pub(crate) fn next(&mut self, started: Micros, now: Micros) -> Option<usize> {
        if now - started >= MAX_QUEUE_TIME {
            return None;
        }
        self.clients.pop_front()
    }
}

#[cfg(test)]
#[path = "input_turns_tests.rs"]
mod tests;
