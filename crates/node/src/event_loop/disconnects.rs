//! Prevents attempts for clients that have disconnected: if the last poll is too old, the sockets are polled again before an
//! attempt starts. See [`SocketFreshness`](crate::frontend::disconnects::SocketFreshness).

use sloewick_decision::api::{Event, Micros, Status};

use super::Node;
use crate::engine::DecisionEngine;
use crate::frontend::connection::{ClientConnection, MAX_HALF_CLOSED_TIME};
use crate::frontend::disconnects::MAX_POLLS_WITHIN_ROUND;
use crate::frontend::pending_response::ResponseAddress;
use crate::timers::TimerEvent;
use crate::tokens::{TokenOwner, DISCOVERY};
use crate::transport::{ReadyEvent, Token, Transport};

/// What is known of the client of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientPresence {
    Connected,
    /// It may have closed its connection; what its machine acknowledges next will show.
    Uncertain,
    Disconnected,
}

/// How often a client is tried again whose requests are not read until its machine acknowledges what was written.
const ACKNOWLEDGEMENT_INTERVAL: Micros = 5_000;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Polls the sockets into `ready`, waiting at most `wait` microseconds. Then handles the events that were deferred in the
    /// previous round, which come before those in `ready`; if there are any, the poll does not wait.
    pub(super) fn poll(
        &mut self,
        ready: &mut Vec<ReadyEvent>,
        wait: Micros,
    ) -> std::io::Result<()> {
        let deferred = self.freshness.take_deferred();
        let wake = self.io.now() + if deferred.is_empty() { wait } else { 0 };
        let wait = wake - self.io.now();
        self.io.transport.poll(ready, wait.max(0))?;
        let now = self.io.now();
        let newest = self.serials.last();
        self.freshness.record_poll(now, wake, ready.len(), newest);
        let mut listeners = self.frontends.listeners.iter();
        if !listeners.any(|listener| listener.has_pending_connections) {
            self.freshness.record_empty_accept_queues();
        }
        for ((token, serial), event) in deferred {
            if self.client_serial_of(token) == serial {
                self.handle_ready_event(&event);
            }
        }
        Ok(())
    }

    /// Serial number of the client that a token refers to; 0 for all other tokens.
    fn client_serial_of(&self, token: Token) -> u64 {
        match TokenOwner::of(token) {
            TokenOwner::Client(key) => {
                let client = self.frontends.clients.get(key);
                client.map_or(0, |client| client.serial)
            }
            _ => 0,
        }
    }

    /// Polls all sockets in the middle of a round. The ends of clients' input are recorded and events of discovery are handled
    /// at once; all other handling is deferred to the next round.
    fn poll_within_round(&mut self) {
        let mut ready = Vec::new();
        for _ in 0..MAX_POLLS_WITHIN_ROUND {
            let now = self.io.now();
            // A failure of polling is reported by the next round.
            if self.io.transport.poll(&mut ready, 0).is_err() || ready.is_empty() {
                self.freshness
                    .record_poll_within_round(now, self.serials.last());
                return;
            }
            for event in &ready {
                self.defer_event(event);
            }
        }
    }

    fn defer_event(&mut self, event: &ReadyEvent) {
        // Handled at once: by the next round the token may stand for the connection of another request.
        if event.token == DISCOVERY {
            return self.handle_ready_event(event);
        }
        if let TokenOwner::Client(key) = TokenOwner::of(event.token) {
            let client = self.frontends.clients.get_mut(key);
            if let Some(client) = client.filter(|_| event.read_closed) {
                let since = self.freshness.earliest_input_end(client.serial);
                // After a reset the client reads no response, so it counts as disconnected at once.
                let backdated_by = if event.error { MAX_HALF_CLOSED_TIME } else { 0 };
                client.observe_input_end(since - backdated_by);
            }
        }
        let serial = self.client_serial_of(event.token);
        self.freshness.defer(event, serial);
    }

    /// Whether the client of a response is connected. An attempt may start for it only if it is. Polls the sockets first if the
    /// last poll is too old.
    pub(super) fn client_presence(&mut self, to: ResponseAddress) -> ClientPresence {
        if self.freshness.is_stale(|| self.io.now(), to.client_serial) {
            self.poll_within_round();
        }
        let now = self.io.now();
        match self.frontends.connection_for(to) {
            Some(connection) if !connection.is_disconnected(now) => {
                if connection.is_uncertain(now) {
                    ClientPresence::Uncertain
                } else {
                    ClientPresence::Connected
                }
            }
            _ => ClientPresence::Disconnected,
        }
    }

    /// Has a client tried again soon whose requests are not read until its machine acknowledges what was written.
    pub(super) fn await_acknowledgement(&mut self, key: usize, now: Micros) {
        let client = self.frontends.clients.get_mut(key);
        let Some(client) = client.filter(|client| client.awaits_acknowledgement) else {
            return;
        };
        if !std::mem::replace(&mut client.has_acknowledgement_timer, true) {
            let serial = client.serial;
            let event = TimerEvent::ClientAcknowledgement {
                client: key,
                serial,
            };
            self.timers.set(now + ACKNOWLEDGEMENT_INTERVAL, event);
        }
    }

    /// Tries a client again that waits for its machine to acknowledge what was written.
    pub(super) fn retry_acknowledgement(&mut self, key: usize, serial: u64) {
        let client = self.frontends.clients.get_mut(key);
        let Some(client) = client.filter(|client| client.serial == serial) else {
            return;
        };
        client.has_acknowledgement_timer = false;
        if client.awaits_acknowledgement {
            self.frontends.mark_dirty(key);
        }
    }

    /// When a client's input is found to have ended, sets the timer at which the client counts as disconnected and its
    /// unwritten attempts are abandoned.
    pub(super) fn set_disconnect_timer(&mut self, key: usize) {
        let Some(client) = self.frontends.clients.get_mut(key) else {
            return;
        };
        if let Some(since) = client.take_observed_input_end() {
            let event = TimerEvent::ClientDisconnected {
                client: key,
                serial: client.serial,
            };
            self.timers.set(since + MAX_HALF_CLOSED_TIME, event);
        }
    }

    /// Stops the attempts of a client that has disconnected, or ended its sending some time ago. Its requests without an
    /// attempt in flight are answered at once: a client that still reads gets its final response, and writing it shows
    /// whether the client is still there.
    pub(super) fn stop_attempts_of_client(&mut self, client: usize) {
        let connection = self.frontends.clients.get(client);
        let waiting = connection.map(ClientConnection::waiting_requests);
        for request in waiting.unwrap_or_default() {
            self.stop_attempts(request);
        }
    }

    /// Prevents further attempts for a request. Attempts that have been written may still answer it; unwritten ones are
    /// abandoned.
    pub(super) fn stop_attempts(&mut self, key: usize) {
        let request = self.requests.get_mut(key);
        let Some(request) = request.filter(|r| !r.closed && r.stream.is_none()) else {
            return;
        };
        if std::mem::replace(&mut request.attempts_stopped, true) {
            return;
        }
        // Must come before the outcomes of the abandoned attempts, or else the decision engine would start other attempts.
        self.engine.push(Event::StopAttempts(request.id.clone()));
        self.abandon_unwritten_attempts(key);
    }

    /// Abandons those attempts of a request of which no byte has been written.
    pub(super) fn abandon_unwritten_attempts(&mut self, key: usize) {
        let request = self.requests.get(key);
        let attempts = request.map_or(0, |request| request.attempts.len());
        for attempt in 0..attempts {
            let request = self.requests.get(key);
            let connection = request.and_then(|request| request.attempts[attempt].connection);
            let waits = request.is_some_and(|r| r.attempts[attempt].waits_until.is_some());
            if waits || connection.is_some_and(|c| self.upstreams.is_unwritten(c)) {
                self.abandon_attempt(key, attempt, Status::NotSent);
            }
        }
    }
}

#[cfg(test)]
#[path = "disconnects_tests.rs"]
mod tests;
