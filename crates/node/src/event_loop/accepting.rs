//! Accepts client connections. When client slots or descriptors run out, idle connections are closed in favour of new ones.

use std::io::ErrorKind;

use bytes::Bytes;
use sloewick_decision::api::Micros;

use super::Node;
use crate::descriptors::REJECTED_CLIENT_DESCRIPTORS;
use crate::engine::DecisionEngine;
use crate::frontend::acceptor::{CLIENT_SEND_BUFFER, MAX_ACCEPTS_PER_ROUND};
use crate::frontend::connection::ClientConnection;
use crate::frontend::delivery::DELIVERY_CHECK_INTERVAL;
use crate::frontend::memcached::MemcachedFrontend;
use crate::frontend::pending_response::PendingResponse;
use crate::frontend::response::{FinalResponse, Protocol, RequestProtocol};
use crate::timers::TimerEvent;
use crate::tokens::client_token;
use crate::transport::{is_descriptor_limit, Stream, Transport};

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    pub(super) fn accept_clients(&mut self) {
        for index in 0..self.frontends.listeners.len() {
            self.accept_from_listener(index);
        }
    }

    /// Accepts the connections in the accept queue of a listener, at most [`MAX_ACCEPTS_PER_ROUND`] of them.
    pub(super) fn accept_from_listener(&mut self, index: usize) {
        let mut accepted = 0;
        while self.frontends.listeners[index].has_pending_connections
            && accepted < MAX_ACCEPTS_PER_ROUND
        {
            let now = self.io.now();
            let Some(has_slot) = self.reserve_connection(now) else {
                return self.set_accept_timer(now);
            };
            let token = client_token(self.frontends.clients.vacant_key());
            let listener = &mut self.frontends.listeners[index];
            match self.io.transport.accept(&mut listener.socket, token) {
                Ok(stream) => {
                    let protocol = listener.protocol;
                    self.add_client(stream, protocol, has_slot);
                    accepted += 1;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    listener.has_pending_connections = false;
                }
                // No descriptor is free: an idle upstream connection is closed to free one. If there is none, the listener
                // stays marked, since an edge-triggered poll does not report the waiting connections again. They are
                // accepted in the next round, which begins with the next sweep at the latest.
                Err(e) if is_descriptor_limit(&e) => {
                    if !self.upstreams.close_longest_idle() {
                        return;
                    }
                }
                // The client disconnected while it waited, or the call failed temporarily: the next accept may succeed.
                Err(_) => accepted += 1,
            }
        }
    }

    /// Accepts connections soon if they may only wait until the output of a client is delivered, which no event reports.
    fn set_accept_timer(&mut self, now: Micros) {
        let frontends = &mut self.frontends;
        if !frontends.has_accept_timer && frontends.has_observed_output_in_transit() {
            frontends.has_accept_timer = true;
            self.timers
                .set(now + DELIVERY_CHECK_INTERVAL, TimerEvent::Accept);
        }
    }

    pub(super) fn retry_accept(&mut self) {
        self.frontends.has_accept_timer = false;
        self.accept_clients();
    }

    fn add_client(&mut self, mut stream: N::Stream, protocol: Protocol, has_slot: bool) {
        stream.limit_send_buffer(CLIENT_SEND_BUFFER);
        let serial = self.serials.next();
        let memcached = self.frontends.memcached.as_ref();
        let max_value = memcached.map_or(0, MemcachedFrontend::max_value);
        let now = self.io.now();
        let opened_since = self.freshness.accepts_since();
        let mut client =
            ClientConnection::new(stream, serial, now, opened_since, protocol, max_value);
        client.has_slot = has_slot;
        let key = self.frontends.clients.insert(client);
        self.frontends.mark_dirty(key);
        self.read_client(key);
    }

    /// Makes room for one more connection, if necessary by closing an idle one. Returns `None` if no connection may be
    /// accepted now, otherwise whether the new connection gets a slot. The requests of a client without a slot are rejected.
    fn reserve_connection(&mut self, now: Micros) -> Option<bool> {
        if self.frontends.clients.len() < self.frontends.slots.limit() {
            return Some(true);
        }
        let has_slot = self.reserve_slot(now);
        let max_connections = self.frontends.slots.limit() + REJECTED_CLIENT_DESCRIPTORS;
        let has_descriptor =
            self.frontends.clients.len() < max_connections || self.close_client_without_slot(now);
        has_descriptor.then_some(has_slot)
    }

    /// Whether a slot is free, if necessary after taking one that the processes share or closing an idle client.
    fn reserve_slot(&mut self, now: Micros) -> bool {
        self.frontends.occupied_slots() < self.frontends.slots.limit()
            || self.frontends.slots.extend(&mut self.io.transport)
            || self.free_slot(now)
    }

    /// Whether a client has a slot. A client without one gets one now if a slot is free or can be freed.
    pub(super) fn ensure_slot(&mut self, key: usize, now: Micros) -> bool {
        let client = self.frontends.clients.get(key);
        if client.is_none_or(|client| client.has_slot) {
            return true;
        }
        let has_slot = self.reserve_slot(now);
        if let Some(client) = self.frontends.clients.get_mut(key) {
            client.has_slot = has_slot;
        }
        has_slot
    }

    /// Closes the connection of a client without a slot once all its requests have been answered, unless it can get a slot
    /// now.
    pub(super) fn close_rejected_client(&mut self, key: usize, now: Micros) {
        let is_rejected = |client: &ClientConnection<N::Stream>| {
            !client.has_slot && client.last_request().is_some() && client.is_idle_without_input()
        };
        let client = self.frontends.clients.get(key);
        if !client.is_some_and(is_rejected) || self.ensure_slot(key, now) {
            return;
        }
        if let Some(client) = self.frontends.clients.get_mut(key) {
            client.close_after_responses();
            self.frontends.mark_dirty(key);
        }
    }

    /// Frees a slot by closing the idle client that [`Frontends::longest_idle`](crate::frontend::Frontends::longest_idle)
    /// selects. Returns false if there is none.
    fn free_slot(&mut self, now: Micros) -> bool {
        let Some(key) = self.frontends.longest_idle(true, now) else {
            return false;
        };
        let client = &self.frontends.clients[key];
        let has_responses =
            client.partial_request_since().is_none() && client.last_request().is_some();
        if client.is_lingering() || has_responses {
            // All its requests have been answered: no rejection is needed, and its next request arrives on a new connection.
            self.drop_client(key);
        } else {
            self.close_with_rejection(key);
        }
        true
    }

    /// Frees a descriptor by closing an idle client without a slot. Returns false if there is none.
    fn close_client_without_slot(&mut self, now: Micros) -> bool {
        let Some(key) = self.frontends.longest_idle(false, now) else {
            return false;
        };
        if !self.frontends.clients[key].is_lingering() {
            self.close_with_rejection(key);
            let client = &mut self.frontends.clients[key];
            client.queue_ready_responses();
            // The connection is dropped whether or not writing fails.
            let _ = client.flush(now);
            client.advance_closing(now);
        }
        self.drop_client(key);
        true
    }

    /// Closes a client's connection. A RESP2 client gets a rejection first, which answers a request that is incomplete or that
    /// the client is just writing.
    fn close_with_rejection(&mut self, key: usize) {
        let Some(client) = self.frontends.clients.get_mut(key) else {
            return;
        };
        client.has_slot = false;
        if client.protocol() == Protocol::Resp2 {
            let busy = RequestProtocol::Resp2.encode(&Bytes::new(), FinalResponse::Busy(0));
            client.push_response(PendingResponse::Control(busy));
        }
        client.close_after_responses();
        self.frontends.mark_dirty(key);
    }
}
