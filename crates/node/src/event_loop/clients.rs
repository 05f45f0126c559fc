//! Carries requests from client connections to the request table, and responses back.

use std::collections::VecDeque;

use bytes::Bytes;
use sloewick_codec::memcached::{self, ErrorResponse};
use sloewick_codec::resp2::Command;
use sloewick_decision::api::{Event, Micros, Request, Status};

use super::Node;
use crate::engine::DecisionEngine;
use crate::executed_ids::digest;
use crate::frontend::connection::ClientInput;
use crate::frontend::pending_response::{PendingResponse, ResponseAddress};
use crate::frontend::resp2::{encode_pong, parse_command, CommandError, ParsedCommand};
use crate::frontend::response::{FinalResponse, Protocol, RequestProtocol};
use crate::memory::MemoryUse;
use crate::request_table::{NewRequest, ParsedRequest};
use crate::transport::{ReadyEvent, Transport, MAX_READ};
use crate::upstream::response::AttemptResult;

/// While this many bytes of a streamed value, or more, wait to be written to the client, no more is read from the server, which
/// slows the server down.
const MAX_UNSENT_STREAM_BYTES: usize = MAX_READ;

/// Bytes of a streamed value that are forwarded per round, so that a fast value leaves time for the other clients.
const MAX_STREAMED_PER_ROUND: usize = 256 << 10;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Handles an event on a client's connection.
    pub(super) fn client_ready(&mut self, key: usize, event: &ReadyEvent) {
        let Some(client) = self.frontends.clients.get_mut(key) else {
            return;
        };
        if event.error && client.has_failed() {
            return self.drop_client(key);
        }
        if event.readable || event.read_closed {
            client.input_available(event.read_closed, self.freshness.events_since());
        }
        self.frontends.mark_dirty(key);
        self.read_client(key);
    }

    /// Reads the requests of a client and handles them.
    pub(super) fn read_client(&mut self, key: usize) {
        let now = self.io.now();
        if self.frontends.clients.get(key).is_some_and(|c| c.is_queued)
            || self.defers_input(key, now)
        {
            return;
        }
        loop {
            let capacity = self.upstreams.capacity();
            let limits = self.requests.input_limits(self.round, capacity);
            let Some(client) = self.frontends.clients.get_mut(key) else {
                break;
            };
            match client.next_input(now, limits, &mut self.memory, &mut self.io.scratch) {
                ClientInput::Command(command) => self.handle_command(key, &command, now),
                ClientInput::Request(request) => self.handle_memcached_request(key, request, now),
                ClientInput::Nothing => break,
                ClientInput::Malformed { reason, respond_to } => {
                    self.close_with_error(key, reason, respond_to);
                    break;
                }
            }
        }
        self.frontends.queue_input(key);
        self.wait_for_memory(key);
        self.await_acknowledgement(key, now);
        self.set_disconnect_timer(key);
        self.close_rejected_client(key, now);
    }

    /// Whether a request that arrives now is rejected before anything else is checked, because the node is at a limit, the
    /// client has disconnected, or the node is about to stop. Nothing of the request has run, so a retry is harmless.
    pub(super) fn rejects_requests(&mut self, client: usize, now: Micros) -> bool {
        let connection = self.frontends.clients.get_mut(client);
        self.requests.is_full()
            || now >= self.lifecycle.respond_by()
            || connection.is_some_and(|c| c.is_disconnected(now))
            || !self.ensure_slot(client, now)
    }

    /// Closes a client's connection with an error response, after the responses to its earlier requests. `respond_to`: the
    /// memcached request that the error refers to, if one was recognised.
    pub(super) fn close_with_error(
        &mut self,
        key: usize,
        reason: &str,
        respond_to: Option<ErrorResponse>,
    ) {
        let Some(client) = self.frontends.clients.get_mut(key) else {
            return;
        };
        let mut out = Vec::new();
        match (client.protocol(), respond_to) {
            (Protocol::Resp2, _) => {
                out.extend_from_slice(format!("-ERR protocol: {reason}\r\n").as_bytes());
            }
            (Protocol::Memcached, Some(header)) => memcached::write_text_response(
                &mut out,
                header.opcode,
                header.opaque,
                header.status,
                reason,
            ),
            // No request was recognised that a response could refer to.
            (Protocol::Memcached, None) => {}
        }
        client.push_response(PendingResponse::Control(vec![out.into()]));
        client.close_after_responses();
        self.frontends.mark_dirty(key);
    }

    /// Handles a RESP2 command.
    fn handle_command(&mut self, client: usize, command: &Command, now: Micros) {
        if let Some(response) = self.respond_or_accept(client, command, now) {
            self.memory.release(MemoryUse::Values, command.reserved);
            self.frontends.push_complete(client, response);
            self.frontends.recharge(client, &mut self.memory);
        }
    }

    /// Returns the response to a command that is answered at once, or `None` if the command was accepted as a request.
    fn respond_or_accept(
        &mut self,
        client: usize,
        command: &Command,
        now: Micros,
    ) -> Option<PendingResponse> {
        let words = &command.arguments;
        let request = match parse_command(words, &self.engine.names) {
            Ok(ParsedCommand::Ping(text)) => {
                let pong = encode_pong(text.as_ref(), self.lifecycle.answers_ping());
                return Some(PendingResponse::Control(vec![pong]));
            }
            Ok(ParsedCommand::Request(request)) => request,
            Err(error) => return Some(PendingResponse::Control(vec![error.encode()])),
        };
        if self.requests.key_of(&request.id).is_some() || self.may_have_run(&request) {
            let error = CommandError::IdInUse.encode();
            return Some(PendingResponse::Ready(vec![error]));
        }
        if command.value_discarded || self.rejects_requests(client, now) {
            return Some(self.reject(request.class));
        }
        let parsed = ParsedRequest {
            protocol: RequestProtocol::Resp2,
            keyed: None,
            cache_key: words[1].clone(),
            fields: words[3].clone(),
            value: words.get(4).cloned(),
            reserved: command.reserved,
        };
        if !self.may_hold_request(client, parsed.memory(&request.id)) {
            return Some(self.reject(request.class));
        }
        self.accept_request(client, request, parsed, now);
        None
    }

    /// Whether a request must not run twice and may have run before, at this process or another one of this node.
    fn may_have_run(&mut self, request: &Request) -> bool {
        if !self.requests.runs_once(request.class) {
            return false;
        }
        let id = digest(&request.id);
        // Published before the ids of the others are read: of two processes that get an id at once, one learns of it.
        self.io.transport.publish_id(id);
        for peer_id in self.io.transport.peer_ids() {
            self.executed_ids.insert(peer_id);
        }
        self.executed_ids.contains(id)
    }

    /// Counts a request that is rejected on arrival, and returns the response.
    fn reject(&mut self, class: usize) -> PendingResponse {
        self.admin.metrics.count(class, &FinalResponse::Busy(0));
        PendingResponse::Ready(vec![Bytes::from_static(b"-BUSY\r\n")])
    }

    /// Accepts a request. From now on it needs exactly one final response.
    pub(super) fn accept_request(
        &mut self,
        client: usize,
        mut request: Request,
        parsed: ParsedRequest,
        now: Micros,
    ) {
        // During a shutdown, the client's budget ends when the last final responses are given.
        let remaining = self.lifecycle.respond_by().saturating_sub(now);
        request.budget = request.budget.min(remaining);
        let Some(connection) = self.frontends.clients.get_mut(client) else {
            return;
        };
        let runs_once = self.requests.runs_once(request.class);
        let waiting = PendingResponse::Waiting(self.requests.vacant_key());
        let respond_to = ResponseAddress {
            client,
            client_serial: connection.serial,
            response_number: connection.push_response(waiting),
        };
        let new = NewRequest {
            id: request.id.clone(),
            serial: self.serials.next(),
            class: request.class,
            write: request.write,
            runs_once,
            deadline: now + request.budget,
            respond_to,
        };
        self.requests.insert(new, parsed, &mut self.memory);
        self.engine.push(Event::Request(request));
    }

    /// Removes a client's connection, which closes it, and cancels its requests.
    pub(super) fn drop_client(&mut self, key: usize) {
        let Some(mut client) = self.frontends.clients.try_remove(key) else {
            return;
        };
        let responses = client.cancel_responses();
        client.release(&mut self.memory);
        self.cancel_requests(responses);
    }

    /// Cancels the requests whose responses can no longer be delivered.
    pub(super) fn cancel_requests(&mut self, responses: VecDeque<PendingResponse>) {
        for response in responses {
            match response {
                PendingResponse::Waiting(request) => self.cancel_request(request),
                PendingResponse::Stream {
                    request,
                    connection,
                    ..
                } => self.cancel_stream(request, connection),
                PendingResponse::Collected { reserved, .. } => {
                    self.memory.release(MemoryUse::Values, reserved);
                }
                PendingResponse::Ready(_) | PendingResponse::Control(_) => {}
            }
        }
    }

    fn cancel_request(&mut self, key: usize) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let collecting = request.stream.filter(|stream| stream.is_collected);
        let connection = collecting.and_then(|stream| request.attempts[stream.attempt].connection);
        if let Some(connection) = connection {
            return self.cancel_stream(key, connection);
        }
        let id = request.id.clone();
        self.requests.close(key, &mut self.memory);
        self.engine.push(Event::ClientDisconnected(id));
        self.abandon_unwritten_attempts(key);
        self.remove_finished(key);
    }

    /// Cancels a request whose value is being streamed. The attempt is ended here, since the decision engine does not cancel
    /// a streaming attempt itself.
    fn cancel_stream(&mut self, key: usize, connection: usize) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let Some(stream) = request.stream else {
            return self.cancel_request(key);
        };
        self.requests.close(key, &mut self.memory);
        let now = self.io.now();
        self.upstreams.abandon(connection, now);
        self.end_attempt(
            key,
            stream.attempt,
            AttemptResult::with_status(Status::Cancelled),
        );
    }

    /// Serves the clients that were marked as dirty: writes their responses and reads their requests.
    pub(super) fn flush_clients(&mut self) {
        for key in self.frontends.take_dirty() {
            let now = self.io.now();
            let Some(client) = self.frontends.clients.get_mut(key) else {
                continue;
            };
            client.dirty = false;
            client.queue_ready_responses();
            if now >= self.lifecycle.respond_by() {
                client.make_room_for_output();
            }
            if client.flush(now).is_err() {
                self.drop_client(key);
                continue;
            }
            let released = client.take_released();
            self.memory.release(MemoryUse::Values, released);
            self.frontends.recharge(key, &mut self.memory);
            let is_last_turn = self.is_last_turn(key, now);
            self.stream_value(key);
            self.read_client(key);
            if is_last_turn {
                self.close_after_last_turn(key);
            }
            if self.lifecycle.closes_clients() {
                self.close_idle_client(key, now);
            }
            let Some(client) = self.frontends.clients.get_mut(key) else {
                continue;
            };
            if client.advance_closing(now) {
                self.drop_client(key);
            }
            // The decision engine handles the events of this client before those of the next one.
            self.handle_engine_events();
        }
    }

    /// Reads the clients whose turns were over before all their input was read, for a bounded time and each at most once.
    pub(super) fn serve_input_queue(&mut self) {
        let started = self.io.now();
        for _ in 0..self.frontends.input_queue.len() {
            let now = self.io.now();
            let Some(client) = self.frontends.next_turn(started, now) else {
                return;
            };
            self.read_client(client);
            self.frontends.mark_dirty(client);
            self.handle_engine_events();
        }
    }

    /// Forwards the received bytes of a streamed value to its client, only as fast as the client reads them.
    fn stream_value(&mut self, key: usize) {
        let mut streamed = 0;
        loop {
            let Some(client) = self.frontends.clients.get_mut(key) else {
                return;
            };
            let Some(PendingResponse::Stream {
                connection, header, ..
            }) = client.responses.front_mut()
            else {
                return;
            };
            let connection = *connection;
            if streamed >= MAX_STREAMED_PER_ROUND {
                return self.frontends.mark_dirty(key);
            }
            if client.out.len() >= MAX_UNSENT_STREAM_BYTES {
                return self.upstreams.pause_value(connection);
            }
            if let Some(header) = header.take() {
                client.out.push(header);
            }
            client.recharge(&mut self.memory);
            let max_read = self.memory.read_allowance(client.memory_used());
            client.waits_for_memory = max_read == 0;
            if client.waits_for_memory {
                self.upstreams.pause_value(connection);
                return self.wait_for_memory(key);
            }
            let bytes = self.with_upstreams(|upstreams, context| {
                context.max_read = max_read;
                upstreams.read_value(connection, context)
            });
            let now = self.io.now();
            let has_more = bytes.is_some();
            if let (Some(bytes), Some(client)) = (bytes, self.frontends.clients.get_mut(key)) {
                streamed += bytes.len();
                client.out.push(bytes);
            }
            if !has_more {
                self.handle_upstream_events();
            }
            let Some(client) = self.frontends.clients.get_mut(key) else {
                return;
            };
            client.queue_ready_responses();
            if client.flush(now).is_err() {
                return self.drop_client(key);
            }
            self.frontends.recharge(key, &mut self.memory);
            if !has_more {
                return;
            }
        }
    }

    /// Logs that the node closes a client's connection, unless nothing was ever sent on it.
    pub(super) fn log_closed_client(&mut self, key: usize, reason: &str) {
        let Some(client) = self.frontends.clients.get(key) else {
            return;
        };
        if client.last_request().is_none() && client.partial_request_since().is_none() {
            return;
        }
        let memory_used = client.memory_used() + client.reserved();
        let pending = client.unfinished_responses();
        let line = format!("client_closed: reason={reason} held={memory_used} pending={pending}");
        self.io.log(&line);
    }

    /// Closes clients that have stalled or take too long to write a request, and idle ones during an evacuation or shutdown.
    /// Clients with unwritten bytes and lingering ones are marked as dirty, to be served again.
    pub(super) fn sweep_clients(&mut self, now: Micros) {
        let keys: Vec<usize> = self.frontends.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.close_idle_client(key, now);
            let is_exit_due = self.lifecycle.is_exit_due(now);
            let Some(client) = self.frontends.clients.get_mut(key) else {
                continue;
            };
            if is_exit_due || client.awaits_delivery() {
                client.observe_delivery(now);
            }
            if client.has_stalled(now) {
                self.log_closed_client(key, "stalled");
                self.drop_client(key);
            } else if client.is_request_overdue(now) {
                self.log_closed_client(key, "request_overdue");
                self.close_with_error(key, "command not finished", None);
            } else if client.is_lingering() || !client.out.is_empty() {
                self.frontends.mark_dirty(key);
            }
        }
    }
}
