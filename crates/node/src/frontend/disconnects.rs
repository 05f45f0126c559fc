//! How recently the sockets were checked, which bounds how long a client's disconnect can go unnoticed.
//!
//! The event loop keeps the guarantee that follows from it: no attempt, first or further, starts for a client whose end has
//! been known for [`MAX_HALF_CLOSED_TIME`], and all sockets have been polled within [`MAX_POLL_AGE`] before one starts. So
//! however long a round takes, and however many requests precede the end in the kernel, an attempt starts well within the
//! 0.1 s after its client has closed in which that is allowed.

use std::collections::BTreeMap;

use sloewick_decision::api::Micros;

use crate::frontend::connection::MAX_HALF_CLOSED_TIME;
use crate::transport::{ReadyEvent, Token};

/// The age of the last poll at which an attempt may start without another one: a twentieth of the 0.1 s, and one poll in
/// 5 ms costs next to nothing.
pub(crate) const MAX_POLL_AGE: Micros = 5_000;
/// A poll that returns so many events may have left some in the kernel: it takes hundreds at most.
const MAX_EVENTS_OF_COMPLETE_POLL: usize = 64;
/// Polls in the middle of one round; together they return more events than most nodes have descriptors. What is left is
/// found by the next ones, before the next attempt.
pub(crate) const MAX_POLLS_WITHIN_ROUND: usize = 16;
/// The longest wait for events while a request is open. Guards against a process that is stopped while it waits: how old the
/// events are shows only from the end of the wait on.
pub(crate) const MAX_WAIT_WITH_OPEN_REQUESTS: Micros = MAX_HALF_CLOSED_TIME;

/// What is known about the state of the sockets, and since when.
#[derive(Default)]
pub(crate) struct SocketFreshness {
    /// Events of the next poll are no older than this.
    next_events_since: Micros,
    /// Events of this round's poll are no older than this.
    events_since: Micros,
    /// When the event loop last had nothing left to do.
    idle_since: Micros,
    /// Connections that are accepted now are no older than this.
    accepts_since: Micros,
    /// Serial of the newest client at the last poll.
    newest_polled_serial: u64,
    /// Events found in the middle of a round, for the next one; one for each socket (and client), which bounds them.
    deferred: BTreeMap<(Token, u64), ReadyEvent>,
}

impl SocketFreshness {
    /// The event loop has nothing left to do until `until`; returns until when it may wait.
    pub(crate) fn record_idle(&mut self, now: Micros, until: Micros) -> Micros {
        self.idle_since = now;
        if self.deferred.is_empty() {
            until
        } else {
            0
        }
    }

    /// Events of this round's poll are no older than this.
    pub(crate) fn events_since(&self) -> Micros {
        self.events_since
    }

    /// Whether the last poll is too old for an attempt of the client with this serial.
    pub(crate) fn is_stale(&self, now: impl FnOnce() -> Micros, client_serial: u64) -> bool {
        client_serial > self.newest_polled_serial || now() - self.next_events_since >= MAX_POLL_AGE
    }

    /// Takes the events that were deferred to this round.
    pub(crate) fn take_deferred(&mut self) -> BTreeMap<(Token, u64), ReadyEvent> {
        std::mem::take(&mut self.deferred)
    }

    /// The round's poll, which was to wait until `wake`, has returned `events` events. `newest`: serial of the newest client.
    pub(crate) fn record_poll(&mut self, now: Micros, wake: Micros, events: usize, newest: u64) {
        // Guards against a process that got no CPU, and against a long round: events that come at once may have come while
        // the round before was running.
        let has_waited = now - self.idle_since >= MAX_POLL_AGE;
        self.events_since = if has_waited {
            now.min(wake).max(self.idle_since)
        } else {
            self.next_events_since
        };
        // A wait that a signal has interrupted returns nothing, whatever has happened: a stopped process continues with one.
        let is_complete = events > 0 && events < MAX_EVENTS_OF_COMPLETE_POLL;
        self.next_events_since = if is_complete { now } else { self.events_since };
        self.newest_polled_serial = newest;
    }

    /// No connection waits to be accepted after this round's poll.
    pub(crate) fn record_empty_accept_queues(&mut self) {
        self.accepts_since = self.events_since;
    }

    /// A poll in the middle of a round has found nothing more.
    pub(crate) fn record_poll_within_round(&mut self, now: Micros, newest: u64) {
        (self.next_events_since, self.newest_polled_serial) = (now, newest);
    }

    /// The earliest time of an end of input that a poll in the middle of a round has found.
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
