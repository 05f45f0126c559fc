//! Records how recently the sockets were polled, which bounds how long a client's disconnect can go unnoticed.
//!
//! The event loop uses it to guarantee that no attempt, first or further, starts for a client whose input is known to have
//! ended [`MAX_HALF_CLOSED_TIME`] ago, and that all sockets have been polled within [`MAX_POLL_AGE`] before an attempt starts.
//! Attempts are allowed within 0.1 s after a client has closed its connection. They start well within that time, however long
//! a round takes and however many requests precede the end of the client's input in the kernel.

use std::collections::BTreeMap;

use sloewick_decision::api::Micros;

use crate::frontend::connection::MAX_HALF_CLOSED_TIME;
use crate::transport::{ReadyEvent, Token};

/// An attempt may start without another poll if the last one is younger than this. It is a twentieth of the 0.1 s, and one poll
/// in 5 ms costs next to nothing.
pub(crate) const MAX_POLL_AGE: Micros = 5_000;
/// A poll that returns at least this many events may have left some in the kernel, since one poll takes some hundreds of events
/// at most.
const MAX_EVENTS_OF_COMPLETE_POLL: usize = 64;
/// Maximum number of successive polls in the middle of a round. Together they return more events than most nodes have
/// descriptors. Events that remain are found by the polls before the next attempt.
pub(crate) const MAX_POLLS_WITHIN_ROUND: usize = 16;
/// The longest wait for events while a request is open. Guards against a process that is stopped while it waits: its events
/// count as no older than the planned end of the wait, so their age is underestimated by up to the length of the wait.
pub(crate) const MAX_WAIT_WITH_OPEN_REQUESTS: Micros = MAX_HALF_CLOSED_TIME;

/// How recent the node's view of the state of its sockets is.
#[derive(Default)]
pub(crate) struct SocketFreshness {
    /// The events of the next poll happened no earlier than this.
    next_events_since: Micros,
    /// The events of this round's poll happened no earlier than this.
    events_since: Micros,
    /// When the event loop last ran out of work.
    idle_since: Micros,
    /// Connections that are accepted now were established no earlier than this.
    accepts_since: Micros,
    /// Serial number of the newest client at the last poll.
    newest_polled_serial: u64,
    /// Events found in the middle of a round, to be handled in the next one, by token and client serial number. There is at
    /// most one for each socket (and client), which bounds their number.
    deferred: BTreeMap<(Token, u64), ReadyEvent>,
}

impl SocketFreshness {
    /// Records that the event loop has no work left until `until`. Returns until when it may wait, which is 0 if events are
    /// deferred.
    pub(crate) fn record_idle(&mut self, now: Micros, until: Micros) -> Micros {
        self.idle_since = now;
        if self.deferred.is_empty() {
            until
        } else {
            0
        }
    }

    /// The events of this round's poll happened no earlier than this.
    pub(crate) fn events_since(&self) -> Micros {
        self.events_since
    }

    /// Whether the last poll is too old for starting an attempt for the client with this serial number.
    pub(crate) fn is_stale(&self, now: impl FnOnce() -> Micros, client_serial: u64) -> bool {
        client_serial > self.newest_polled_serial || now() - self.next_events_since >= MAX_POLL_AGE
    }

    /// Takes the events that were deferred to this round.
    pub(crate) fn take_deferred(&mut self) -> BTreeMap<(Token, u64), ReadyEvent> {
        std::mem::take(&mut self.deferred)
    }

    /// Records that the round's poll, which was to wait until `wake`, has returned `events` events. `newest`: serial number of
    /// the newest client.
    pub(crate) fn record_poll(&mut self, now: Micros, wake: Micros, events: usize, newest: u64) {
        // Guards against a process that got no CPU time, and against a long round: if the poll returned without a wait, its
        // events may have happened while the previous round was running.
        let has_waited = now - self.idle_since >= MAX_POLL_AGE;
        self.events_since = if has_waited {
            now.min(wake).max(self.idle_since)
        } else {
            self.next_events_since
        };
        // A wait that was interrupted by a signal returns no events, even if some have happened. This concerns each process
        // that was stopped, since a signal continues it.
        let is_complete = events > 0 && events < MAX_EVENTS_OF_COMPLETE_POLL;
        self.next_events_since = if is_complete { now } else { self.events_since };
        self.newest_polled_serial = newest;
    }

    /// Records that no connection was waiting to be accepted after this round's poll.
    pub(crate) fn record_empty_accept_queues(&mut self) {
        self.accepts_since = self.events_since;
    }

    /// Connections that are accepted now were established no earlier than this.
    pub(crate) fn accepts_since(&self) -> Micros {
        self.accepts_since
    }

    /// Records that a poll in the middle of a round found no more events. `newest`: serial number of the newest client.
    pub(crate) fn record_poll_within_round(&mut self, now: Micros, newest: u64) {
        (self.next_events_since, self.newest_polled_serial) = (now, newest);
    }

    /// The earliest time at which an end of input that was found by a poll in the middle of a round can have happened.
    pub(crate) fn earliest_input_end(&self, client_serial: u64) -> Micros {
        if client_serial > self.newest_polled_serial {
            self.accepts_since
        } else {
            self.next_events_since
        }
    }

    /// Keeps an event for the next round, merged with earlier ones of the same socket.
    pub(crate) fn defer(&mut self, event: &ReadyEvent, client_serial: u64) {
        let deferred = self
            .deferred
            .entry((event.token, client_serial))
            .or_insert(*event);
        deferred.readable |= event.readable;
        deferred.writable |= event.writable;
        deferred.read_closed |= event.read_closed;
        deferred.error |= event.error;
    }
}
