//! Signals, reloads of the configuration, and the steps of a graceful shutdown.

use sloewick_decision::api::{Micros, Status};

use super::Node;
use crate::engine::DecisionEngine;
use crate::frontend::connection::ClientConnection;
use crate::lifecycle::AcceptMode;
use crate::reload::ReloadOutcome;
use crate::timers::TimerEvent;
use crate::transport::Transport;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    pub(super) fn handle_signals(&mut self, now: Micros) {
        let signals = self.io.transport.take_signals();
        if signals.reload {
            self.start_reload(now);
        }
        let longest_deadline = self.requests.longest_deadline;
        if signals.stop && self.lifecycle.stop(now, longest_deadline) {
            self.timers
                .set(self.lifecycle.respond_by(), TimerEvent::FinalResponses);
            self.timers.set(self.lifecycle.exit_by(), TimerEvent::Exit);
            self.io.log("told to stop");
        }
    }

    fn start_reload(&mut self, now: Micros) {
        let outcome = self.reload.handle_signal(now, &mut self.timers);
        self.handle_reload(outcome);
    }

    pub(super) fn retry_reload(&mut self, now: Micros) {
        let outcome = self.reload.timer_expired(now, &mut self.timers);
        if let Some(outcome) = outcome {
            self.handle_reload(outcome);
        }
    }

    /// Applies the discovery address of a reloaded configuration. All other settings keep the values that they had at the
    /// start. If the file cannot be used, the node continues with the previous configuration.
    fn handle_reload(&mut self, outcome: ReloadOutcome) {
        match outcome {
            ReloadOutcome::Done(config) => {
                self.io
                    .log(&format!("config_reloaded: discovery={}", config.discovery));
                self.discovery.client.change_address(config.discovery);
            }
            ReloadOutcome::Failed(error) => {
                self.io.log(&format!("config_reload_failed: error={error}"));
            }
            ReloadOutcome::StillFailing => {}
            ReloadOutcome::GivenUp(error) => {
                self.io
                    .log(&format!("config_reload_given_up: error={error}"));
            }
        }
    }

    /// Ends the attempts of all open requests when the end of a graceful shutdown is near, so that each request gets its final
    /// response while there is time to write it. Streamed values continue.
    pub(super) fn force_final_responses(&mut self) {
        for key in self.requests.open_keys() {
            self.end_collected_value(key);
            self.stop_attempts(key);
            let request = self.requests.get(key);
            let request = request.filter(|request| request.stream.is_none());
            let attempts = request.map_or(0, |request| request.attempts.len());
            for attempt in 0..attempts {
                self.abandon_attempt(key, attempt, Status::Cancelled);
            }
        }
    }

    /// Advances a graceful shutdown. Returns true when the node has stopped.
    ///
    /// New connections are accepted for a while, since a load balancer in front of the node goes on sending them. Then the
    /// accept queues are emptied, idle connections are closed and open requests are answered.
    pub(super) fn advance_shutdown(&mut self) -> bool {
        let now = self.io.now();
        let lifecycle = &self.lifecycle;
        let listeners = &mut self.frontends.listeners;
        listeners.retain(|listener| lifecycle.accepts(now, listener.inherited) != AcceptMode::No);
        let accepts_are_last = listeners
            .iter()
            .any(|listener| lifecycle.accepts(now, listener.inherited) == AcceptMode::DrainQueue);
        if accepts_are_last && !self.close_listeners() {
            let has_undelivered_responses = self.awaits_delivery_at_exit(now);
            return self
                .lifecycle
                .should_exit(now, true, has_undelivered_responses);
        }
        if self.frontends.listeners.is_empty() {
            self.lifecycle.listeners_closed();
        }
        let has_undelivered_responses = self.awaits_delivery_at_exit(now);
        self.lifecycle.should_exit(
            now,
            !self.frontends.clients.is_empty(),
            has_undelivered_responses,
        )
    }

    /// Whether a client is still owed output when the process is to exit.
    fn awaits_delivery_at_exit(&self, now: Micros) -> bool {
        self.lifecycle.is_exit_due(now) && self.frontends.has_undelivered_responses()
    }

    /// Whether the input of a client waits until its output is written, since the process only stays to deliver that.
    pub(super) fn defers_input(&self, key: usize, now: Micros) -> bool {
        let client = self.frontends.clients.get(key);
        self.lifecycle.is_exit_due(now) && client.is_some_and(|client| !client.has_no_output())
    }

    /// Whether a client that is served now has its last turn: all its output is written, and the process only stays for what
    /// clients have not received.
    pub(super) fn is_last_turn(&self, key: usize, now: Micros) -> bool {
        let client = self.frontends.clients.get(key);
        self.lifecycle.is_exit_due(now) && client.is_some_and(ClientConnection::has_no_output)
    }

    /// Closes a client's connection after the responses to what has been read in its last turn.
    pub(super) fn close_after_last_turn(&mut self, key: usize) {
        if let Some(client) = self.frontends.clients.get_mut(key) {
            client.close_after_responses();
            self.frontends.mark_dirty(key);
        }
    }

    /// Closes each listener whose accept queue is empty. Returns true if all are closed. A listener is closed immediately after
    /// its last accept, since the system resets connections that are established between the two.
    fn close_listeners(&mut self) -> bool {
        for index in (0..self.frontends.listeners.len()).rev() {
            self.frontends.listeners[index].has_pending_connections = true;
            self.accept_from_listener(index);
            if !self.frontends.listeners[index].has_pending_connections {
                self.frontends.listeners.remove(index);
            }
        }
        self.frontends.listeners.is_empty()
    }

    /// Closes a client's connection if it is idle, the node is evacuating or shutting down, and the connection's idle time is
    /// over; or after its responses, if its time during an evacuation is over.
    pub(super) fn close_idle_client(&mut self, key: usize, now: Micros) {
        let Some(client) = self.frontends.clients.get_mut(key) else {
            return;
        };
        let accepted = client.accepted();
        if self.lifecycle.ends_busy_connections(now, accepted) && client.is_between_requests() {
            client.close_after_responses();
            self.frontends.mark_dirty(key);
            return;
        }
        let closes = self
            .lifecycle
            .should_close_idle(now, accepted, client.last_request());
        if closes && client.is_idle_without_input() {
            client.close_after_responses();
            // Sending ends at once: a request that arrived between the check and the end of sending would not be answered.
            if client.advance_closing(now) {
                return self.drop_client(key);
            }
            self.frontends.mark_dirty(key);
        }
    }
}
