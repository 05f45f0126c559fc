//! Whether the process that listens at a server's address is the one that the endpoint list names.
//!
//! An entry of the list speaks of one process: its zone and cell, and what it deduplicates. While no connection to a server is open,
//! its process may end, and another one may listen at its address before discovery announces it. What the server deduplicates is
//! unknown until the list names it again, or a connection has been open for so long that a change would have been announced.
//!
//! Guarantee: a keyed request that may have run is not sent to, nor from, an unknown process, unless all servers deduplicate it.

use crate::api::{ConnectionChange, Micros, ServerId, Settings};
use crate::balancer::Balancer;
use crate::server_health::Server;

/// Until a connection to the server is opened again.
const UNTIL_RESUMED: Micros = Micros::MAX;
/// By when a change at a server counts as announced. No setting states it.
const MAX_ANNOUNCEMENT_DELAY: Micros = 6_000_000;

impl Server {
    /// Whether the process at the server's address is the listed one, as far as can be known.
    pub(crate) fn is_process_known(&self, now: Micros) -> bool {
        now >= self.process_unknown_until
    }
}

impl Balancer {
    /// Handles the end of the last connection to a server, and the first one after that.
    pub(crate) fn on_connections_changed(
        &mut self,
        now: Micros,
        id: &ServerId,
        change: ConnectionChange,
    ) {
        match change {
            ConnectionChange::Lost => self.on_connections_lost(now, id),
            ConnectionChange::Closed => self.on_connections_closed(id),
            ConnectionChange::Resumed => self.on_connections_resumed(now, id),
        }
    }

    /// Handles the loss of the last connection to a server.
    fn on_connections_lost(&mut self, now: Micros, id: &ServerId) {
        self.on_connections_closed(id);
        // An attempt that was just sent may have reached the next process already.
        let since = now - self.settings.connect_timeout;
        for request in self.in_flight.requests.values_mut() {
            let attempts = request.attempts.iter_mut();
            for attempt in attempts.filter(|a| a.server == *id && a.sent >= since) {
                attempt.process_known = false;
            }
        }
    }

    /// Handles the end of the last connection to a server.
    fn on_connections_closed(&mut self, id: &ServerId) {
        if let Some(server) = self.listed_server(id) {
            server.process_unknown_until = UNTIL_RESUMED;
        }
    }

    /// Handles a connection to a server after a time without any. It reaches the process that listens when it is established.
    fn on_connections_resumed(&mut self, now: Micros, id: &ServerId) {
        let known_at = now + self.settings.connect_timeout + announcement_delay(&self.settings);
        if let Some(server) = self.listed_server(id) {
            if server.process_unknown_until == UNTIL_RESUMED {
                server.process_unknown_until = known_at;
            }
        }
    }
}

fn announcement_delay(settings: &Settings) -> Micros {
    MAX_ANNOUNCEMENT_DELAY.max(if settings.poll_endpoint_list {
        settings.poll_within
    } else {
        0
    })
}

#[cfg(test)]
#[path = "process_identity_tests.rs"]
mod tests;
