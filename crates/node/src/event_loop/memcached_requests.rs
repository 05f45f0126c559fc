//! Routes the requests of memcached clients and passes them to the request table, and records their attempts in the
//! idempotency ledger.

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, Status};
use sloewick_decision::api::{Micros, Request, Status as AttemptStatus};

use super::Node;
use crate::engine::DecisionEngine;
use crate::executed_ids::digest;
use crate::frontend::memcached::{encode_stat, MemcachedFrontend, Rejection, RoutingContext};
use crate::frontend::pending_response::PendingResponse;
use crate::frontend::response::{FinalResponse, RequestProtocol};
use crate::memory::MemoryUse;
use crate::request_table::{ParsedRequest, KEY_COPIES, REQUEST_OVERHEAD};
use crate::transport::Transport;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Handles a request of a memcached client.
    pub(super) fn handle_memcached_request(
        &mut self,
        client: usize,
        request: memcached::Request,
        now: Micros,
    ) {
        let reserved = request.reserved;
        let opaque = request.opaque;
        let Some(opcode) = Opcode::from_code(request.opcode) else {
            let mut out = Vec::new();
            let status = Status::UnknownCommand;
            memcached::write_status(&mut out, request.opcode, opaque, status);
            return self.respond_at_once(
                client,
                PendingResponse::Control(vec![out.into()]),
                reserved,
            );
        };
        let protocol = RequestProtocol::Memcached { opcode, opaque };
        let chunks = match (request.error_status, opcode.without_quiet()) {
            // No memory for its value: rejected before anything else is checked. Nothing of it has run, so a retry is harmless.
            (Some(Status::OutOfMemory), _) => protocol.encode(&request.key, FinalResponse::Busy(0)),
            (Some(status), _) => protocol.encode_status(status, None),
            (None, Opcode::Get | Opcode::GetK | Opcode::Set) => {
                let key = request.key.clone();
                match self.route_memcached_request(client, opcode, request, now) {
                    Ok(()) => return,
                    Err(rejection) => encode_rejection(protocol, &key, rejection),
                }
            }
            (None, Opcode::Noop) => protocol.encode_status(Status::Ok, None),
            (None, Opcode::Version) => {
                protocol.encode_status(Status::Ok, Some(env!("CARGO_PKG_VERSION")))
            }
            (None, Opcode::Stat) => vec![self.encode_statistics(opcode, opaque, &request.key)],
            (None, Opcode::Quit) => {
                let chunks = protocol.encode_status(Status::Ok, None);
                self.respond_at_once(client, PendingResponse::Control(chunks), reserved);
                if let Some(connection) = self.frontends.clients.get_mut(client) {
                    connection.close_after_responses();
                }
                return;
            }
            _ => protocol.encode_status(Status::UnknownCommand, None),
        };
        // NOOP ends a sequence of quiet requests, whose responses it stands for.
        let response = match opcode.without_quiet() {
            Opcode::Get | Opcode::GetK | Opcode::Set | Opcode::Noop => {
                PendingResponse::Ready(chunks)
            }
            _ => PendingResponse::Control(chunks),
        };
        self.respond_at_once(client, response, reserved);
    }

    /// Responds to a request that was not accepted, after the responses to earlier requests.
    fn respond_at_once(&mut self, client: usize, response: PendingResponse, reserved: usize) {
        self.memory.release(MemoryUse::Values, reserved);
        self.frontends.push_complete(client, response);
        self.frontends.recharge(client, &mut self.memory);
    }

    /// The response to STAT: a few statistics, or an empty list if the client requests a group of statistics by `name`.
    fn encode_statistics(&self, opcode: Opcode, opaque: u32, name: &Bytes) -> Bytes {
        if !name.is_empty() {
            return encode_stat(opcode, opaque, &[]);
        }
        let memcached = self.frontends.memcached.as_ref();
        let ledger_keys = memcached.map_or(0, MemcachedFrontend::ledger_len);
        let statistics = [
            ("version", env!("CARGO_PKG_VERSION").to_string()),
            ("curr_connections", self.frontends.clients.len().to_string()),
            ("open_requests", self.requests.len().to_string()),
            ("ledger_keys", ledger_keys.to_string()),
        ];
        encode_stat(opcode, opaque, &statistics)
    }

    /// Routes a request and accepts it; returns the rejection if it cannot be accepted.
    fn route_memcached_request(
        &mut self,
        client: usize,
        opcode: Opcode,
        request: memcached::Request,
        now: Micros,
    ) -> Result<(), Rejection> {
        let memory = REQUEST_OVERHEAD + request.key.len() * KEY_COPIES + request.value.len()
            - request.reserved;
        let context = RoutingContext {
            now,
            unix_time: self.io.transport.unix_time_at_start() + now,
            is_rejecting: self.rejects_requests(client, now)
                || !self.may_hold_request(client, memory),
        };
        let Some(frontend) = &mut self.frontends.memcached else {
            return Err(Rejection::Answered(FinalResponse::Failed));
        };
        let routed = frontend.route(opcode, &request, context)?;
        let opaque = request.opaque;
        let accepted = Request {
            id: frontend.request_id(self.serials.next(), opaque).into(),
            class: routed.class,
            tenant: routed.tenant,
            is_client_retry: routed.earlier_request_sent().is_some(),
            earlier_request_sent: routed.earlier_request_sent(),
            key: Some(routed.key),
            budget: routed.deadline,
            work: None,
            size: None,
            write: routed.write,
        };
        let parsed = ParsedRequest {
            protocol: RequestProtocol::Memcached { opcode, opaque },
            keyed: routed.keyed,
            cache_key: request.key,
            fields: routed.fields.into(),
            value: routed.write.then_some(request.value),
            reserved: request.reserved,
        };
        self.accept_request(client, accepted, parsed, now);
        Ok(())
    }

    /// Counts an attempt of a keyed write in the idempotency ledger. Returns false if the attempt must not start. Attempts of
    /// all other requests may start.
    pub(super) fn count_attempt_in_ledger(
        &mut self,
        key: usize,
        attempt: usize,
        now: Micros,
    ) -> bool {
        let request = &mut self.requests[key];
        let (Some(keyed), Some(frontend)) = (&mut request.keyed, &mut self.frontends.memcached)
        else {
            return true;
        };
        let may_start = frontend.start_attempt(keyed, now);
        request.attempts[attempt].counted_in_ledger = may_start;
        may_start
    }

    /// Records the end of an attempt that the idempotency ledger has counted.
    pub(super) fn end_attempt_in_ledger(&mut self, key: usize, status: AttemptStatus) {
        let request = &mut self.requests[key];
        if let (Some(keyed), Some(frontend)) = (&mut request.keyed, &mut self.frontends.memcached) {
            frontend.end_attempt(keyed, status);
        }
    }

    /// Removes a request that is closed and has no attempt in flight. The end of a keyed write is recorded in the idempotency
    /// ledger.
    pub(super) fn remove_finished(&mut self, key: usize) {
        let finished = self.requests.remove_finished(key, &mut self.memory);
        if let Some(request) = finished.as_ref().filter(|r| r.runs_once && r.may_have_run) {
            self.executed_ids.insert(digest(&request.id));
        }
        let Some(keyed) = finished.and_then(|request| request.keyed) else {
            return;
        };
        let now = self.io.now();
        if let Some(frontend) = &mut self.frontends.memcached {
            frontend.end_write(&keyed, now);
        }
    }
}

fn encode_rejection(protocol: RequestProtocol, key: &Bytes, rejection: Rejection) -> Vec<Bytes> {
    match (rejection.status(), rejection) {
        (_, Rejection::Answered(response)) => protocol.encode(key, response),
        (status, rejection) => {
            let status = status.unwrap_or(Status::InvalidArguments);
            protocol.encode_status(status, Some(&rejection.to_string()))
        }
    }
}
