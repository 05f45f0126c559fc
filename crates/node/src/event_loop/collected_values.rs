//! Long values that are collected before they are passed to the client, since the client waits for responses behind them.
//!
//! A value that is streamed may break off, and only the end of the connection tells the client so. The responses behind it would be
//! lost with the connection. If a collected value breaks off, its request alone fails. It may take until its client's deadline.
//!
//! The memory is that of the values of writes. It stays reserved until the client has received the value.

use sloewick_codec::resp2::{ReserveMemory, MAX_VALUE_BYTES};
use sloewick_decision::api::Status;

use super::Node;
use crate::attempt_id::AttemptId;
use crate::engine::DecisionEngine;
use crate::frontend::response::FinalResponse;
use crate::memory::MemoryUse;
use crate::transport::Transport;
use crate::upstream::response::AttemptResult;

/// A long value that a cache server has begun to send.
#[derive(Clone, Copy)]
pub(super) struct LongValue {
    pub(super) attempt: AttemptId,
    /// Key of its upstream connection.
    pub(super) connection: usize,
    /// Length in bytes.
    pub(super) len: usize,
}

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Whether the client of a request waits for responses behind that to this request.
    pub(super) fn has_responses_behind(&mut self, key: usize) -> bool {
        let to = self.requests[key].respond_to;
        let connection = self.frontends.connection_for(to);
        connection.is_some_and(|connection| connection.has_responses_behind(to.response_number))
    }

    /// Starts to collect a long value. While there is no memory for it, it stays with its server.
    pub(super) fn collect_value(&mut self, value: LongValue) {
        if !self.reserve_value(value) {
            self.upstreams.set_awaits_collection(value.connection, true);
            return self.waiting_values.push(value);
        }
        self.upstreams
            .set_awaits_collection(value.connection, false);
        let AttemptId {
            request, attempt, ..
        } = value.attempt;
        self.requests[request].attempts[attempt].reserved = value.len;
        self.with_upstreams(|upstreams, context| {
            upstreams.collect_value(value.connection, value.len, context);
        });
    }

    /// Reserves the memory of a value. A value that is not the next response of its client leaves enough for the longest one that
    /// is: otherwise the values behind it could hold all memory, and wait for it.
    fn reserve_value(&mut self, value: LongValue) -> bool {
        let to = self.requests[value.attempt.request].respond_to;
        let connection = self.frontends.connection_for(to);
        let is_next = connection.is_some_and(|c| c.is_next_response(to.response_number));
        let free_for_next = if is_next { 0 } else { MAX_VALUE_BYTES };
        let memory = &mut self.memory;
        let is_reserved = memory.try_reserve(value.len + free_for_next);
        if is_reserved {
            memory.release(MemoryUse::Values, free_for_next);
        }
        is_reserved
    }

    /// Starts to collect the values that have waited for memory, as far as there is some now.
    pub(super) fn collect_waiting_values(&mut self) {
        for value in std::mem::take(&mut self.waiting_values) {
            let id = value.attempt;
            let is_out = self.requests.is_in_flight(id);
            if is_out && self.requests[id.request].closed {
                self.end_late_value(id.request, id.attempt, value.connection);
            } else if is_out {
                self.collect_value(value);
            }
        }
        self.handle_upstream_events();
    }

    /// Fails a request whose value is being collected.
    pub(super) fn end_collected_value(&mut self, key: usize) {
        let request = self.requests.get(key);
        let stream = request.and_then(|request| request.stream);
        let Some(stream) = stream.filter(|stream| stream.is_collected) else {
            return;
        };
        let Some(connection) = self.requests[key].attempts[stream.attempt].connection else {
            return;
        };
        let now = self.io.now();
        self.upstreams.abandon(connection, now);
        self.respond(key, FinalResponse::Failed);
        self.end_attempt(
            key,
            stream.attempt,
            AttemptResult::with_status(Status::Reset),
        );
    }

    /// Keeps the memory of a collected value reserved until its client has received it. Called when the response is given.
    pub(super) fn keep_reservation(&mut self, id: AttemptId) {
        let request = &mut self.requests[id.request];
        let to = request.respond_to;
        let reserved = std::mem::take(&mut request.attempts[id.attempt].reserved);
        if reserved == 0 {
            return;
        }
        let connection = self.frontends.connection_for(to);
        let is_kept = connection.is_some_and(|c| c.reserve_response(to.response_number, reserved));
        if !is_kept {
            self.memory.release(MemoryUse::Values, reserved);
        }
    }
}
