//! Keeps attempts from starting for clients that have disconnected: polls the sockets before an attempt if the last poll is
//! too old. See [`SocketFreshness`](crate::frontend::disconnects::SocketFreshness).

use sloewick_decision::api::{Event, Micros, Status};

use super::Node;
use crate::engine::DecisionEngine;
use crate::frontend::connection::{ClientConnection, ResponseAddress, MAX_HALF_CLOSED_TIME};
use crate::frontend::disconnects::MAX_POLLS_WITHIN_ROUND;
use crate::timers::TimerEvent;
use crate::tokens::{TokenOwner, DISCOVERY};
use crate::transport::{ReadyEvent, Token, Transport};

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Waits for events; those that were found in the middle of the previous round come first.
    pub(super) fn poll(
        &mut self,
        ready: &mut Vec<ReadyEvent>,
        wait: Micros,
    ) -> std::io::Result<()> {
        let deferred = self.freshness.take_deferred();
        let wake = self.io.now() + if deferred.is_empty() { wait } else { 0 };
        let wait = wake - self.io.now();
        self.io.net.poll(ready, wait.max(0))?;
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

    /// The serial of the client that a token stands for; 0 for all other tokens.
    fn client_serial_of(&self, token: Token) -> u64 {
        match TokenOwner::of(token) {
            TokenOwner::Client(key) => {
                let client = self.frontends.clients.get(key);
                client.map_or(0, |client| client.serial)
            }
            _ => 0,
        }
    }

    /// Polls all sockets in the middle of a round: ends of clients are known from now on, all other events are deferred to the
    /// next round.
    fn poll_within_round(&mut self) {
        let mut ready = Vec::new();
        for _ in 0..MAX_POLLS_WITHIN_ROUND {
            let now = self.io.now();
            // If polling fails, the next round reports it.
            if self.io.net.poll(&mut ready, 0).is_err() || ready.is_empty() {
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
        // Not deferred: by the next round the token may stand for another request.
        if event.token == DISCOVERY {
            return self.handle_ready_event(event);
        }
        if let TokenOwner::Client(key) = TokenOwner::of(event.token) {
            let client = self.frontends.clients.get_mut(key);
            if let Some(client) = client.filter(|_| event.read_closed) {
                let since = self.freshness.earliest_input_end(client.serial);
                // After a reset nobody reads the response.
                let backdated_by = if event.error { MAX_HALF_CLOSED_TIME } else { 0 };
                client.observe_input_end(since - backdated_by);
            }
        }
        let serial = self.client_serial_of(event.token);
        self.freshness.defer(event, serial);
    }

    /// Whether an attempt may start for this client now.
    pub(super) fn is_client_connected(&mut self, to: ResponseAddress) -> bool {
        if self.freshness.is_stale(|| self.io.now(), to.client_serial) {
            self.poll_within_round();
        }
        let now = self.io.now();
        let connection = self.frontends.connection_for(to);
        connection.is_some_and(|connection| !connection.is_disconnected(now))
    }

    /// Sets a timer for a client whose end has become known: its unwritten attempts are abandoned a little later.
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

    /// A client has ended its sending some time ago, or has disconnected: requests without an attempt are answered at once. A
    /// client that still reads has its final response by that; writing it shows whether there is one.
    pub(super) fn stop_attempts_of_client(&mut self, client: usize) {
        let connection = self.frontends.clients.get(client);
        let waiting = connection.map(ClientConnection::waiting_requests);
        for request in waiting.unwrap_or_default() {
            self.stop_attempts(request);
        }
    }

    /// Starts no further attempt for a request; those in flight may still answer it.
    pub(super) fn stop_attempts(&mut self, key: usize) {
        let request = self.requests.get_mut(key);
        let Some(request) = request.filter(|r| !r.closed && r.stream.is_none()) else {
            return;
        };
        if std::mem::replace(&mut request.attempts_stopped, true) {
            return;
        }
        // Before the outcomes: the decision engine must not start another attempt for them.
        self.engine.push(Event::StopAttempts(request.id.clone()));
        self.abandon_unwritten_attempts(key);
    }

    /// Abandons the attempts of a request of which nothing has been written.
    pub(super) fn abandon_unwritten_attempts(&mut self, key: usize) {
        let request = self.requests.get(key);
        let attempts = request.map_or(0, |request| request.attempts.len());
        for attempt in 0..attempts {
            let request = self.requests.get(key);
            let connection = request.and_then(|request| request.attempts[attempt].connection);
            if connection.is_some_and(|connection| self.upstreams.is_unwritten(connection)) {
                self.abandon_attempt(key, attempt, Status::NotSent);
            }
        }
    }
}

#[cfg(test)]
#[path = "disconnects_tests.rs"]
mod tests;
