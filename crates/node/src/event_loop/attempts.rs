//! Starts, confirms, abandons and ends attempts: updates the request table and drives the upstream pools.

use sloewick_decision::api::{AttemptOutcome, Event, Micros, RequestId, ServerId, Status};

use super::disconnects::ClientPresence;
use super::Node;
use crate::attempt_id::AttemptId;
use crate::engine::DecisionEngine;
use crate::frontend::memcached::MemcachedFrontend;
use crate::frontend::response::Protocol;
use crate::memory::MemoryUse;
use crate::request_table::{Attempt, PendingRequest};
use crate::timers::TimerEvent;
use crate::transport::Transport;
use crate::upstream::connection::{EncodedRequest, Exchange};
use crate::upstream::request::{encode_memcached, encode_resp2, fits_memcached};
use crate::upstream::response::AttemptResult;

/// How long an attempt waits at most: for a connection to a server that has as many as it may have, or until its client is known to
/// be connected.
const MAX_CONNECTION_WAIT: Micros = 60_000;

/// Whether an attempt of `request` may start at a server that speaks `protocol`, with `wait` as its timeout.
fn may_start(request: &PendingRequest, protocol: Protocol, wait: Micros) -> bool {
    let is_over = request.closed || request.attempts_stopped || request.stream.is_some();
    let is_encodable = protocol == Protocol::Resp2 || fits_memcached(request);
    !is_over && wait > 0 && is_encodable
}

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Starts an attempt of a request. If that is not possible, the attempt ends at once, with a status that says that it
    /// never ran. `timeout`: `None` stands for the request's deadline, which always applies.
    pub(super) fn start_attempt(
        &mut self,
        id: &RequestId,
        server: &ServerId,
        timeout: Option<Micros>,
        now: Micros,
    ) {
        let Some(key) = self.requests.key_of(id) else {
            return;
        };
        // Must come before the server is looked up: the check may poll the sockets, and an endpoint list that arrives may
        // change the server's address.
        let presence = self.client_presence(self.requests[key].respond_to);
        let protocol = self.upstreams.protocol(server);
        let request = &mut self.requests[key];
        let attempt = request.attempts.len();
        let attempt_id = AttemptId {
            request: key,
            serial: request.serial,
            attempt,
        };
        let remaining = request.deadline - now;
        // The server gets this time as the deadline and drops the request when it expires, so that no server works on a
        // request whose client has stopped waiting.
        let wait = timeout.unwrap_or(remaining).min(remaining);
        request.attempts.push(Attempt {
            server: server.clone(),
            started: now,
            expires_at: now + wait,
            connection: None,
            waits_until: None,
            retry_at: 0,
            counted_in_ledger: false,
            reserved: 0,
        });
        request.attempts_in_flight += 1;
        let may_start = may_start(request, protocol, wait);
        let is_disconnected = presence == ClientPresence::Disconnected;
        if is_disconnected {
            // Must come before the outcome, or else the decision engine would start another attempt.
            self.stop_attempts(key);
        }
        if !may_start || is_disconnected || !self.count_attempt_in_ledger(key, attempt, now) {
            return self.end_attempt(key, attempt, AttemptResult::with_status(Status::NotSent));
        }
        self.timers.set(now + wait, TimerEvent::Attempt(attempt_id));
        let wait_until = now + MAX_CONNECTION_WAIT;
        if presence == ClientPresence::Uncertain {
            return self.postpone_attempt(attempt_id, wait_until, now);
        }
        self.connect_attempt(attempt_id, Some(wait_until));
    }

    /// Writes an attempt on a connection to its server, or has it wait for one. `wait_until`: how long it may wait.
    fn connect_attempt(&mut self, id: AttemptId, wait_until: Option<Micros>) {
        let (key, attempt, now) = (id.request, id.attempt, self.io.now());
        let started = &self.requests[key].attempts[attempt];
        let (server, wait) = (started.server.clone(), started.expires_at - now);
        // The clock may have run on since the attempt was checked: no server is told a deadline that is over.
        if wait <= 0 {
            return self.end_attempt(key, attempt, AttemptResult::with_status(Status::NotSent));
        }
        let protocol = self.upstreams.protocol(&server);
        let encoded = self.encode_request(key, protocol, wait);
        let exchange = Exchange::Attempt(id);
        let started = self.with_upstreams(|upstreams, context| {
            upstreams.start(exchange, &server, &encoded, context)
        });
        let may_wait = self.upstreams.is_connection_expected(&server, now);
        let wait_until = wait_until.filter(|until| may_wait && now < *until);
        match (started, wait_until) {
            (Ok(connection), _) => {
                self.requests[key].attempts[attempt].connection = Some(connection);
            }
            (Err(Status::NotSent), Some(wait_until)) => {
                let client = self.requests[key].respond_to.client;
                self.waiting_attempts.add(&server, client, id);
                self.postpone_attempt(id, wait_until, now);
            }
            (Err(status), _) => self.end_attempt(key, attempt, AttemptResult::with_status(status)),
        }
    }

    /// Encodes a request for its server. `wait` is the deadline that a RESP2 server gets.
    fn encode_request(&mut self, key: usize, protocol: Protocol, wait: Micros) -> EncodedRequest {
        match protocol {
            Protocol::Resp2 => encode_resp2(&self.requests[key], wait),
            Protocol::Memcached => {
                let frontend = self.frontends.memcached.as_mut();
                let sequence = frontend.map_or(0, MemcachedFrontend::next_upstream_sequence);
                encode_memcached(&self.requests[key], sequence)
            }
        }
    }

    /// Writes the attempts whose connections were established in this round, or whose quarantine has ended. Abandons them if they
    /// must not start any more: meanwhile the client may have disconnected, the request may have ended, or the server may have
    /// started draining or changed its address. Called when all events of the round have been handled.
    pub(super) fn write_confirmed_attempts(&mut self) {
        while let Some((connection, exchange)) = self.upstreams.next_established() {
            let now = self.io.now();
            let Exchange::Attempt(id) = exchange else {
                continue;
            };
            if !self.requests.is_in_flight(id) {
                continue;
            }
            let (key, attempt) = (id.request, id.attempt);
            let presence = self.client_presence(self.requests[key].respond_to);
            let request = &self.requests[key];
            let remaining = request.attempts[attempt].expires_at - now;
            let server = request.attempts[attempt].server.clone();
            let is_over = request.closed || request.attempts_stopped || remaining <= 0;
            if is_over
                || presence != ClientPresence::Connected
                || !self.upstreams.is_current(connection)
                || !self
                    .engine
                    .engine
                    .may_start_attempt(now, &request.id, attempt)
            {
                self.abandon_attempt(key, attempt, Status::NotSent);
                continue;
            }
            if self.upstreams.is_reservation_broken(connection) {
                self.upstreams.break_reservation(connection);
                continue;
            }
            let protocol = self.upstreams.protocol(&server);
            let encoded = self.encode_request(key, protocol, remaining);
            self.upstreams.write_confirmed(connection, &encoded);
        }
        self.handle_upstream_events();
    }

    /// Starts an attempt on another connection, since the one that was reserved for it has ended before anything was written.
    pub(super) fn restart_attempt(&mut self, id: AttemptId) {
        if !self.requests.is_in_flight(id) {
            return;
        }
        let (key, attempt, now) = (id.request, id.attempt, self.io.now());
        self.requests[key].attempts[attempt].connection = None;
        self.reconnect_attempt(id, now, Some(now + MAX_CONNECTION_WAIT));
    }

    /// Connects an attempt of which nothing has been written, if it may still start.
    pub(super) fn reconnect_attempt(
        &mut self,
        id: AttemptId,
        now: Micros,
        wait_until: Option<Micros>,
    ) {
        let (key, attempt) = (id.request, id.attempt);
        let presence = self.client_presence(self.requests[key].respond_to);
        let request = &self.requests[key];
        let started = &request.attempts[attempt];
        let protocol = self.upstreams.protocol(&started.server);
        let may_start = may_start(request, protocol, started.expires_at - now)
            && self
                .engine
                .engine
                .may_start_attempt(now, &request.id, attempt);
        let wait_longer = wait_until.filter(|until| now < *until);
        match (presence, wait_longer) {
            (ClientPresence::Connected, _) if may_start => {
                return self.connect_attempt(id, wait_until);
            }
            (ClientPresence::Uncertain, Some(wait_until)) if may_start => {
                return self.postpone_attempt(id, wait_until, now);
            }
            // Must come before the outcome, or else the decision engine would start another attempt.
            (ClientPresence::Uncertain | ClientPresence::Disconnected, _) => {
                self.stop_attempts(key);
            }
            (ClientPresence::Connected, _) => {}
        }
        self.end_attempt(key, attempt, AttemptResult::with_status(Status::NotSent));
    }

    /// Abandons an attempt in flight and ends it with `status`, unless its value is being streamed.
    pub(super) fn abandon_attempt(&mut self, key: usize, attempt: usize, status: Status) {
        let now = self.io.now();
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let Some(abandoned) = request.attempts.get(attempt) else {
            return;
        };
        if abandoned.waits_until.is_some() {
            self.requests[key].attempts[attempt].waits_until = None;
            return self.end_attempt(key, attempt, AttemptResult::with_status(Status::NotSent));
        }
        let connection = abandoned.connection;
        let Some(connection) = connection.filter(|_| !request.is_streaming(attempt)) else {
            return;
        };
        let awaits_memory = self.upstreams.awaits_memory(connection);
        let may_have_run = self.upstreams.abandon(connection, now);
        // The timeout must not count against the server if the last byte was never written, since the attempt cannot have run
        // then, nor if this node had no memory to read the response.
        let status = match status {
            Status::Timeout if !may_have_run => Status::NotSent,
            Status::Timeout if awaits_memory => Status::Cancelled,
            status => status,
        };
        self.end_attempt(key, attempt, AttemptResult::with_status(status));
    }

    /// Abandons an attempt in flight unless its server has certainly read the request.
    pub(super) fn cancel_unreceived_attempt(&mut self, key: usize, attempt: usize) {
        let attempts = self.requests.get(key).map(|request| &request.attempts);
        let cancelled = attempts.and_then(|attempts| attempts.get(attempt));
        if cancelled.is_some_and(|cancelled| cancelled.waits_until.is_some()) {
            return self.abandon_attempt(key, attempt, Status::NotSent);
        }
        let connection = cancelled.and_then(|cancelled| cancelled.connection);
        let Some(connection) = connection.filter(|c| !self.upstreams.has_received(*c)) else {
            return;
        };
        let status = if self.upstreams.is_written(connection) {
            Status::Cancelled
        } else {
            Status::NotSent
        };
        self.abandon_attempt(key, attempt, status);
    }

    /// Reports the end of an attempt to the decision engine. Called exactly once for each attempt.
    pub(super) fn end_attempt(&mut self, key: usize, attempt: usize, result: AttemptResult) {
        let now = self.io.now();
        let request = &mut self.requests[key];
        let ended = &mut request.attempts[attempt];
        ended.connection = None;
        let is_counted = std::mem::take(&mut ended.counted_in_ledger);
        let reserved = std::mem::take(&mut ended.reserved);
        self.memory.release(MemoryUse::Values, reserved);
        let request = &mut self.requests[key];
        request.attempts_in_flight -= 1;
        request.may_have_run |= !result.status.never_ran();
        if is_counted {
            self.end_attempt_in_ledger(key, result.status);
        }
        let request = &self.requests[key];
        let ended = &request.attempts[attempt];
        let stream = request.stream.filter(|stream| stream.attempt == attempt);
        let latency = stream.map_or(now - ended.started, |stream| stream.latency);
        self.engine.push(Event::AttemptEnded(AttemptOutcome {
            request: request.id.clone(),
            server: ended.server.clone(),
            attempt,
            latency,
            status: result.status,
            is_final: request.closed,
            cache_result: result.cache_result,
            load: result.load,
        }));
        self.remove_finished(key);
    }
}
