//! Frontends: they turn the bytes of clients into requests and final responses into bytes.
//!
//! This module owns the listeners and the client connections. It knows the order of the responses of each connection, not
//! what they will be: that is the request table's.

pub(crate) mod acceptor;
pub(crate) mod connection;
pub(crate) mod disconnects;
pub(crate) mod memcached;
pub(crate) mod resp2;
pub(crate) mod response;

use bytes::Bytes;
use slab::Slab;

use crate::transport::Transport;
use acceptor::Listener;
use connection::{ClientConnection, PendingResponse, ResponseAddress};
use memcached::MemcachedFrontend;

/// The listeners, the client connections and the state of the memcached frontend.
pub(crate) struct Frontends<N: Transport> {
    pub(crate) listeners: Vec<Listener<N::Listener>>,
    pub(crate) clients: Slab<ClientConnection<N::Stream>>,
    /// Number of client slots: connections whose requests are served.
    pub(crate) max_clients: usize,
    /// Present where the memcached protocol is switched on.
    pub(crate) memcached: Option<MemcachedFrontend>,
    /// Clients that are to be served in this round, each once.
    dirty: Vec<usize>,
}

impl<N: Transport> Frontends<N> {
    pub(crate) fn new(
        listeners: Vec<Listener<N::Listener>>,
        max_clients: usize,
        memcached: Option<MemcachedFrontend>,
    ) -> Frontends<N> {
        Frontends {
            listeners,
            clients: Slab::new(),
            max_clients,
            memcached,
            dirty: Vec::new(),
        }
    }

    /// Has a client served in this round: its responses are written and its requests are read.
    pub(crate) fn mark_dirty(&mut self, client: usize) {
        if let Some(connection) = self.clients.get_mut(client) {
            if !std::mem::replace(&mut connection.dirty, true) {
                self.dirty.push(client);
            }
        }
    }

    pub(crate) fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    pub(crate) fn take_dirty(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.dirty)
    }

    /// The connection that a response goes to, if it is still there.
    pub(crate) fn connection_for(
        &mut self,
        to: ResponseAddress,
    ) -> Option<&mut ClientConnection<N::Stream>> {
        self.clients
            .get_mut(to.client)
            .filter(|connection| connection.serial == to.client_serial)
    }

    /// Puts a response in the place that was reserved for it.
    pub(crate) fn set_response(&mut self, to: ResponseAddress, response: PendingResponse) {
        if let Some(connection) = self.connection_for(to) {
            if let Some(pending) = connection.response_mut(to.response_number) {
                *pending = response;
            }
            self.mark_dirty(to.client);
        }
    }

    /// Appends a response that is known at once.
    pub(crate) fn push_ready(&mut self, client: usize, chunks: Vec<Bytes>) {
        if let Some(connection) = self.clients.get_mut(client) {
            connection.push_response(PendingResponse::Ready(chunks));
            self.mark_dirty(client);
        }
    }

    /// Requests whose responses have not been written completely.
    pub(crate) fn unfinished_responses(&self) -> usize {
        let connections = self.clients.iter().map(|(_, connection)| connection);
        connections
            .map(ClientConnection::unfinished_responses)
            .sum()
    }
}
