//! Listeners for clients, and the selection of the idle client that is closed in favour of another one.
//!
//! Guarantees: a new client gets a slot as long as any client is idle or has left its request incomplete for too long, and is
//! rejected otherwise; a connection with unread input, or with output that its client's machine has not acknowledged, is never closed
//! in favour of another one.

use sloewick_decision::api::Micros;

use super::Frontends;
use crate::frontend::connection::ClientConnection;
use crate::frontend::response::Protocol;
use crate::transport::{Stream, Token, Transport};

/// Maximum number of connections accepted from one listener in one round, so that a flood of new connections leaves time for
/// the existing ones.
pub(crate) const MAX_ACCEPTS_PER_ROUND: usize = 64;
/// How long after its accept a new client is not closed in favour of others: its first bytes follow its handshake immediately
/// and may still be on their way.
const FIRST_REQUEST_GRACE: Micros = 100_000;
/// How long a request may stay incomplete before its client may be closed in favour of others. If no other client needs its
/// place, the client has more time.
const PARTIAL_REQUEST_GRACE: Micros = 250_000;
/// Size of the kernel's send buffer for a client, in bytes. By default it would grow to megabytes for each client that does not
/// read.
pub(crate) const CLIENT_SEND_BUFFER: usize = 128 << 10;

/// A listener for clients of one protocol.
pub(crate) struct Listener<L> {
    pub(crate) socket: L,
    pub(crate) token: Token,
    /// The socket was inherited from the platform, and another process may accept from it too.
    pub(crate) inherited: bool,
    pub(crate) protocol: Protocol,
    /// Connections may be waiting to be accepted.
    pub(crate) has_pending_connections: bool,
}

impl<N: Transport> Frontends<N> {
    /// Records an event on the listener with this token: connections may be waiting there.
    pub(crate) fn listener_ready(&mut self, token: Token) {
        let mut listeners = self.listeners.iter_mut();
        if let Some(listener) = listeners.find(|listener| listener.token == token) {
            listener.has_pending_connections = true;
        }
    }

    /// Number of clients that hold a slot.
    pub(crate) fn occupied_slots(&self) -> usize {
        let clients = self.clients.iter();
        clients.filter(|(_, client)| client.has_slot).count()
    }

    /// Selects the client to close in favour of another one, among the clients with a slot (or those without one) that are
    /// idle, have received all output and have no unread input: a lingering one if there is any, otherwise the one that has gone
    /// longest without a complete request.
    pub(crate) fn longest_idle(&mut self, has_slot: bool, now: Micros) -> Option<usize> {
        let clients = self.clients.iter();
        let mut idle: Vec<_> = clients
            .filter(|(_, client)| client.has_slot == has_slot)
            .filter_map(|(key, client)| Some((idle_rank(client, now)?, key)))
            .collect();
        idle.sort_unstable();
        idle.into_iter()
            .map(|(_, key)| key)
            .find(|key| self.clients[*key].is_delivered_without_input(now))
    }
}

/// The rank of a client in the order in which idle clients are closed in favour of others: lingering ones first, then by time.
/// `None` if the client is not idle.
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
