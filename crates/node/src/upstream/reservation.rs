//! Reserved connections: what an exchange does when no connection to its server can be added and all idle ones are quarantined.
//!
//! Guarantees: nothing is written on a reserved connection before its quarantine ends, and nothing if anything arrives on it until
//! then.

use sloewick_decision::api::{Micros, ServerId, Status};

use crate::event_trace::ConnectionStep;
use crate::timers::TimerEvent;
use crate::transport::{Stream, Transport};
use crate::upstream::connection::{EncodedRequest, Exchange};
use crate::upstream::pool::{
    UpstreamContext, UpstreamEvent, UpstreamPools, MAX_CONNECTIONS_PER_SERVER, PROBE_TIMEOUT,
};

/// A server that has answered within this time is expected to free a connection soon.
const MAX_ANSWER_AGE: Micros = 60_000;
impl<S: Stream> UpstreamPools<S> {
    /// Starts an exchange when no connection can be added and all idle ones are quarantined: reserves the one that has rested
    /// longest.
    pub(super) fn start_at_limit(
        &mut self,
        exchange: Exchange,
        server: &ServerId,
        request: &EncodedRequest,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) -> Result<usize, Status> {
        while let Some(connection) = self.take_longest_quarantined(server) {
            if self.is_reusable(connection, context.now) {
                self.reserve(connection, exchange, request, context);
                return Ok(connection);
            }
            self.close(connection, ConnectionStep::Broken);
        }
        Err(Status::NotSent)
    }

    /// Whether a connection to a server is idle or may be added.
    pub(crate) fn has_free_connection(&self, server: &ServerId) -> bool {
        self.pools.get(server).is_some_and(|pool| {
            !pool.idle.is_empty() || pool.open_count < MAX_CONNECTIONS_PER_SERVER
        })
    }

    /// Whether a connection to a server that has as many as it may have is likely to be free soon, since the server answers.
    pub(crate) fn is_connection_expected(&self, server: &ServerId, now: Micros) -> bool {
        self.pools.get(server).is_some_and(|pool| {
            let last_answer = pool.last_answer.unwrap_or(now - MAX_ANSWER_AGE);
            pool.open_count >= MAX_CONNECTIONS_PER_SERVER && now - last_answer < MAX_ANSWER_AGE
        })
    }

    /// Reserves a quarantined connection for an exchange, whose request is written when the quarantine ends.
    fn reserve(
        &mut self,
        connection: usize,
        exchange: Exchange,
        request: &EncodedRequest,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) {
        let c = &mut self.connections[connection];
        c.exchange = Some(exchange);
        c.exchange_started = context.now;
        c.awaits_confirmation = true;
        c.send_count_pending = matches!(exchange, Exchange::Attempt(_));
        c.queue(request);
        let serial = c.serial;
        let event = TimerEvent::Upstream { connection, serial };
        context
            .timers
            .set(c.quarantine_end().unwrap_or(context.now), event);
        if let Exchange::Probe { .. } = exchange {
            let event = TimerEvent::Upstream { connection, serial };
            context.timers.set(context.now + PROBE_TIMEOUT, event);
        }
    }

    /// Takes the idle connection that has been quarantined longest out of the server's pool.
    fn take_longest_quarantined(&mut self, server: &ServerId) -> Option<usize> {
        let connections = &self.connections;
        let pool = self.pools.get_mut(server)?;
        let index = (0..pool.idle.len())
            .min_by_key(|index| connections[pool.idle[*index]].last_untagged_response)?;
        Some(pool.idle.remove(index))
    }

    /// Whether something has arrived on a connection that is reserved for an exchange: surplus bytes, or its end.
    pub(crate) fn is_reservation_broken(&self, connection: usize) -> bool {
        self.connections
            .get(connection)
            .is_some_and(|c| c.is_reserved() && !c.stream.has_no_input())
    }

    /// Closes a connection that is reserved for an exchange, which another connection has to carry.
    pub(crate) fn break_reservation(&mut self, connection: usize) {
        let c = &mut self.connections[connection];
        if let Some(exchange) = c.exchange.take() {
            self.events.push_back(UpstreamEvent::Unwritten(exchange));
        }
        self.close(connection, ConnectionStep::Broken);
    }
}
