//! The servers of the endpoint list, each with its pool of connections.

use std::net::SocketAddr;

use sloewick_decision::api::ServerId;

use crate::event_trace::ConnectionStep;
use crate::frontend::response::Protocol;
use crate::transport::Stream;
use crate::upstream::pool::{Pool, UpstreamPools, MAX_CONNECTIONS_PER_SERVER};

impl<S: Stream> UpstreamPools<S> {
    /// Adds or updates a server of the endpoint list. Connections with an earlier address or protocol of it are not reused.
    pub(crate) fn add_server(
        &mut self,
        server: &ServerId,
        address: SocketAddr,
        protocol: Protocol,
    ) {
        let new_pool = || Pool {
            address,
            protocol,
            listed: true,
            idle: Vec::new(),
            open_count: 0,
            has_lost_all: false,
            last_answered_write: 0,
            last_answer: None,
        };
        let pool = self.pools.entry(server.clone()).or_insert_with(new_pool);
        pool.listed = true;
        if (pool.address, pool.protocol) != (address, protocol) {
            (pool.address, pool.protocol) = (address, protocol);
            self.close_idle(server);
        }
    }

    /// Removes a server that is no longer in the endpoint list. Its attempts continue, its idle connections are closed.
    pub(crate) fn remove_server(&mut self, server: &ServerId) {
        if let Some(pool) = self.pools.get_mut(server) {
            pool.listed = false;
            self.close_idle(server);
            self.remove_unused_pool(server);
        }
    }

    /// The protocol of a server; RESP2 if the server is unknown.
    pub(crate) fn protocol(&self, server: &ServerId) -> Protocol {
        self.pools
            .get(server)
            .map_or(Protocol::Resp2, |pool| pool.protocol)
    }

    /// The servers in the endpoint list.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.pools
            .iter()
            .filter(|(_, pool)| pool.listed)
            .map(|(server, _)| server)
    }

    /// Number of exchanges that may be in progress at the same time.
    pub(crate) fn capacity(&self) -> usize {
        let servers = self.pools.len().max(1);
        self.max_connections
            .min(servers * MAX_CONNECTIONS_PER_SERVER)
    }

    pub(super) fn remove_unused_pool(&mut self, server: &ServerId) {
        let pool = self.pools.get(server);
        if pool.is_some_and(|pool| !pool.listed && pool.open_count == 0) {
            self.pools.remove(server);
        }
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&mut self, server: &ServerId) {
        let pool = self.pools.get_mut(server);
        let idle = pool.map(|pool| std::mem::take(&mut pool.idle));
        for connection in idle.into_iter().flatten() {
            self.close(connection, ConnectionStep::NotNeeded);
        }
    }
}
