//! The connections that long values may hold.
//!
//! Guarantees: a long value that is being passed on is not ended for another request, however long its client pauses. Some
//! connections to each server, and some of all, are left to short responses: a value that starts when long values hold all
//! others is rejected, of which its client has received nothing.

use crate::transport::Stream;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::pool::{UpstreamPools, MAX_CONNECTIONS_PER_SERVER};

/// Percentage of the connections to a server, and of all connections, that long values may hold.
const MAX_LONG_VALUE_PERCENT: usize = 75;

impl<S: Stream> UpstreamPools<S> {
    /// Whether the long value that has started on a connection may be passed on.
    pub(crate) fn may_pass_on_value(&self, connection: usize) -> bool {
        let Some(started) = self.connections.get(connection) else {
            return false;
        };
        let connections = self.connections.iter().map(|(_, c)| c);
        let long_values: Vec<&UpstreamConnection<S>> =
            connections.filter(|c| c.streaming).collect();
        let at_server = long_values.iter().filter(|c| c.server == started.server);
        at_server.count() <= max_long_values(MAX_CONNECTIONS_PER_SERVER)
            && long_values.len() <= max_long_values(self.max_connections)
    }
}

/// How many of so many connections long values may hold.
fn max_long_values(connections: usize) -> usize {
    (connections * MAX_LONG_VALUE_PERCENT / 100).max(1)
}
