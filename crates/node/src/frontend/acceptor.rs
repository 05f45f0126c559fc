//! Listeners for clients, and which client is closed for another one.
//!
//! Guarantees: a new client gets a slot as long as any client is idle or leaves its request incomplete for too long, and
//! otherwise a rejection; a connection with unread input is never closed for another one.

use sloewick_decision::api::Micros;

use super::Frontends;
use crate::frontend::connection::ClientConnection;
use crate::frontend::response::Protocol;
use crate::transport::{Stream, Token, Transport};

/// Connections accepted from one listener in one round, so that a flood of them leaves time for the existing ones.
pub(crate) const MAX_ACCEPTS_PER_ROUND: usize = 64;
/// A new client's first bytes come right behind its handshake: it is not closed for others while they may be on their way.
const FIRST_REQUEST_GRACE: Micros = 100_000;
/// How long a request may stay incomplete before its client is closed for others. Without others it has longer.
const PARTIAL_REQUEST_GRACE: Micros = 250_000;
/// What the kernel buffers for a client that does not read; by itself it would grow to megabytes for each.
pub(crate) const CLIENT_SEND_BUFFER: usize = 128 << 10;

/// A listener for clients of one protocol.
pub(crate) struct Listener<L> {
    pub(crate) socket: L,
    pub(crate) token: Token,
    /// The platform holds the socket; another process may accept from it.
    pub(crate) inherited: bool,
    pub(crate) protocol: Protocol,
    /// Connections may wait to be accepted.
    pub(crate) has_pending_connections: bool,
}

impl<N: Transport> Frontends<N> {
    /// An event on the listener with this token: connections may wait there.
    pub(crate) fn listener_ready(&mut self, token: Token) {
        let mut listeners = self.listeners.iter_mut();
        if let Some(listener) = listeners.find(|listener| listener.token == token) {
            listener.has_pending_connections = true;
        }
    }

    /// Clients that hold a slot.
    pub(crate) fn occupied_slots(&self) -> usize {
        let clients = self.clients.iter();
        clients.filter(|(_, client)| client.has_slot).count()
    }

    /// Of the clients with a slot, or of those without, that are idle and have no unread input: one that is lingering
    /// already, otherwise the one that has gone longest without a complete request.
    pub(crate) fn longest_idle(&self, has_slot: bool, now: Micros) -> Option<usize> {
        let clients = self.clients.iter();
        let mut idle: Vec<_> = clients
            .filter(|(_, client)| client.has_slot == has_slot)
            .filter_map(|(key, client)| Some((idle_rank(client, now)?, key)))
            .collect();
        idle.sort_unstable();
        idle.into_iter()
            .map(|(_, key)| key)
            .find(|key| self.clients[*key].stream.has_no_input())
    }
}

/// The order in which idle clients are closed for others: lingering ones first, then by time. None: it is not idle.
fn idle_rank<S: Stream>(client: &ClientConnection<S>, now: Micros) -> Option<(bool, Micros)> {
    let accepted = client.accepted();
    match client.partial_request_since() {
        _ if client.is_lingering() => Some((false, accepted)),
        Some(since) => {
            let is_late = now - since >= PARTIAL_REQUEST_GRACE;
            (client.unfinished_responses() == 0 && is_late).then_some((true, since))
        }
        None if !client.is_idle() => None,
        None if client.last_request().is_none() && now - accepted < FIRST_REQUEST_GRACE => None,
        None => Some((true, client.last_active)),
    }
}
