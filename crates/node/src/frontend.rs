//! Frontends: they decode the bytes of clients into requests and encode final responses into bytes.
//!
//! This module owns the listeners and the client connections. It keeps the responses of each connection in order; which
//! response belongs to which request is recorded in the request table.

pub(crate) mod acceptor;
mod client_liveness;
pub(crate) mod client_slots;
pub(crate) mod connection;
mod connection_input;
mod connection_memory;
pub(crate) mod delivery;
pub(crate) mod disconnects;
pub(crate) mod input_turns;
pub(crate) mod memcached;
pub(crate) mod pending_response;
pub(crate) mod resp2;
pub(crate) mod response;

use slab::Slab;
use sloewick_decision::api::Micros;

use crate::memory::MemoryAccount;
use crate::transport::Transport;
use acceptor::Listener;
use client_slots::ClientSlots;
use connection::ClientConnection;
use input_turns::InputQueue;
use memcached::MemcachedFrontend;
use pending_response::{PendingResponse, ResponseAddress};

/// The listeners, the client connections and the state of the memcached frontend.
pub(crate) struct Frontends<N: Transport> {
    pub(crate) listeners: Vec<Listener<N::Listener>>,
    pub(crate) clients: Slab<ClientConnection<N::Stream>>,
    /// Client slots, that is, connections whose requests are served at the same time.
    pub(crate) slots: ClientSlots,
    /// Present if the memcached protocol is configured.
    pub(crate) memcached: Option<MemcachedFrontend>,
    /// Keys of the clients that are to be served in this round, without duplicates.
    dirty: Vec<usize>,
    /// A timer is set at which connections are accepted that could not be accepted before.
    pub(crate) has_accept_timer: bool,
    /// Clients whose turns were over before all their input was read.
    pub(crate) input_queue: InputQueue,
}

impl<N: Transport> Frontends<N> {
    pub(crate) fn new(
        listeners: Vec<Listener<N::Listener>>,
        slots: ClientSlots,
        memcached: Option<MemcachedFrontend>,
    ) -> Frontends<N> {
        Frontends {
            listeners,
            clients: Slab::new(),
            slots,
            memcached,
            dirty: Vec::new(),
            has_accept_timer: false,
            input_queue: InputQueue::default(),
        }
    }

    /// Schedules a client to be served in this round: its responses are written and its requests are read.
    pub(crate) fn mark_dirty(&mut self, client: usize) {
        if let Some(connection) = self.clients.get_mut(client) {
            if !std::mem::replace(&mut connection.dirty, true) {
                self.dirty.push(client);
            }
        }
    }

    /// Leaves the shared slots that no client needs any longer to the other processes of the node.
    pub(crate) fn release_unused_slots(&mut self, transport: &mut N) {
        self.slots.release_unused(self.clients.len(), transport);
    }

    /// Whether clients are to be served although no event arrives.
    pub(crate) fn has_work(&self) -> bool {
        !self.dirty.is_empty() || !self.input_queue.is_empty()
    }

    /// Has a client wait for its next turn if its turn is over.
    pub(crate) fn queue_input(&mut self, client: usize) {
        if let Some(connection) = self.clients.get_mut(client) {
            if connection.has_unread_input() && !connection.is_queued {
                connection.is_queued = true;
                self.input_queue.push(client);
            }
        }
    }

    /// Takes the next client whose turn it is; None if the queue has been served for long enough since `started`.
    pub(crate) fn next_turn(&mut self, started: Micros, now: Micros) -> Option<usize> {
        while let Some(client) = self.input_queue.next(started, now) {
            let connection = self.clients.get_mut(client);
            // The key may stand for another client by now.
            if let Some(connection) = connection.filter(|c| c.is_queued) {
                connection.is_queued = false;
                return Some(client);
            }
        }
        None
    }

    pub(crate) fn take_dirty(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.dirty)
    }

    /// The connection that a response goes to; `None` if it is closed.
    pub(crate) fn connection_for(
        &mut self,
        to: ResponseAddress,
    ) -> Option<&mut ClientConnection<N::Stream>> {
        self.clients
            .get_mut(to.client)
            .filter(|connection| connection.serial == to.client_serial)
    }

    /// Replaces the pending response at this address.
    pub(crate) fn set_response(&mut self, to: ResponseAddress, response: PendingResponse) {
        if let Some(connection) = self.connection_for(to) {
            connection.set_response(to.response_number, response);
            self.mark_dirty(to.client);
        }
    }

    /// Charges what a client's connection holds now.
    pub(crate) fn recharge(&mut self, client: usize, memory: &mut MemoryAccount) {
        if let Some(connection) = self.clients.get_mut(client) {
            connection.recharge(memory);
        }
    }

    /// Appends a response that is complete already.
    pub(crate) fn push_complete(&mut self, client: usize, response: PendingResponse) {
        if let Some(connection) = self.clients.get_mut(client) {
            connection.push_response(response);
            self.mark_dirty(client);
        }
    }

    /// Whether the output of a client was in transit when it was last observed.
    pub(crate) fn has_observed_output_in_transit(&self) -> bool {
        let mut clients = self.clients.iter();
        clients.any(|(_, client)| client.has_observed_output_in_transit())
    }

    /// Whether a client has not received a response, which the end of the process could destroy.
    pub(crate) fn has_undelivered_responses(&self) -> bool {
        let mut clients = self.clients.iter();
        clients.any(|(_, client)| client.has_undelivered_response())
    }

    /// Number of requests whose responses have not been written completely.
    pub(crate) fn unfinished_responses(&self) -> usize {
        let connections = self.clients.iter().map(|(_, connection)| connection);
        connections
            .map(ClientConnection::unfinished_responses)
            .sum()
    }
}
