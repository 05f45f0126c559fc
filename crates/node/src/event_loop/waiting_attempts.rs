//! Attempts that wait: for a connection to a server that has as many as it may have, or until their clients are known to be connected.

use sloewick_decision::api::Micros;

use super::Node;
use crate::attempt_id::AttemptId;
use crate::engine::DecisionEngine;
use crate::frontend::connection::ClientConnection;
use crate::timers::TimerEvent;
use crate::transport::Transport;

/// How often an attempt that waits looks for a connection by itself.
const CONNECTION_RETRY_INTERVAL: Micros = 3_000;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Has an attempt wait until its client is known to be connected, or a connection to its server can be used.
    pub(super) fn postpone_attempt(&mut self, id: AttemptId, wait_until: Micros, now: Micros) {
        let retry_at = now + CONNECTION_RETRY_INTERVAL;
        let attempt = &mut self.requests[id.request].attempts[id.attempt];
        attempt.waits_until = Some(wait_until);
        attempt.retry_at = retry_at;
        self.timers.set(retry_at, TimerEvent::AwaitedConnection(id));
    }

    /// Starts attempts on the connections that have become idle. Comes before the attempts of new requests, which would take
    /// these connections otherwise.
    pub(super) fn start_waiting_attempts(&mut self) {
        for server in self.waiting_attempts.servers() {
            for _ in 0..self.waiting_attempts.len(&server) {
                if !self.upstreams.has_free_connection(&server) {
                    break;
                }
                let clients = &self.frontends.clients;
                let open_requests = |client| {
                    let client = clients.get(client);
                    client.map_or(0, ClientConnection::unfinished_responses)
                };
                let next = self.waiting_attempts.take_next(&server, open_requests);
                if let Some(id) = next {
                    self.retry_connection(id);
                }
            }
        }
    }

    /// Tries again to find a connection for an attempt whose timer has expired, unless that was done since the timer was set.
    pub(super) fn awaited_connection_due(&mut self, id: AttemptId, now: Micros) {
        let attempt = self.requests.attempt(id);
        if attempt.is_some_and(|attempt| attempt.retry_at <= now) {
            self.retry_connection(id);
        }
    }

    /// Tries again to find a connection for an attempt that waits for one.
    fn retry_connection(&mut self, id: AttemptId) {
        let now = self.io.now();
        let request = self
            .requests
            .get_mut(id.request)
            .filter(|request| request.serial == id.serial);
        let waiting = request.and_then(|request| request.attempts.get_mut(id.attempt));
        let Some(wait_until) = waiting.and_then(|waiting| waiting.waits_until.take()) else {
            return;
        };
        self.reconnect_attempt(id, now, Some(wait_until));
    }

    /// Forgets the attempts that have ended while they waited for a connection.
    pub(super) fn purge_waiting_attempts(&mut self) {
        let requests = &self.requests;
        self.waiting_attempts.retain(|id| requests.is_waiting(id));
    }
}
