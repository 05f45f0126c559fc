//! Carries events between the admin interface and the components that it reports on or controls.

use sloewick_decision::api::Micros;

use super::Node;
use crate::admin::handlers::GaugeSources;
use crate::engine::DecisionEngine;
use crate::memory::MemoryUse;
use crate::metrics::MemoryGauges;
use crate::transport::{ReadyEvent, Transport};

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    pub(super) fn accept_admin_clients(&mut self) {
        let now = self.io.now();
        if let Some(server) = &mut self.admin.server {
            server.accept(&mut self.io.transport, now);
        }
    }

    /// Handles an event on the connection of an admin client.
    pub(super) fn admin_client_ready(&mut self, key: usize, event: &ReadyEvent, now: Micros) {
        let Some(mut server) = self.admin.server.take() else {
            return;
        };
        let mut scratch = std::mem::take(&mut self.io.scratch);
        let resident = self.io.transport.resident_memory();
        let sources = GaugeSources {
            upstreams: &self.upstreams,
            engine: &self.engine,
            unfinished_responses: self.frontends.unfinished_responses(),
            memory: MemoryGauges::read(&self.memory, resident),
        };
        let (admin, lifecycle, io) = (&self.admin, &mut self.lifecycle, &mut self.io);
        server.client_ready(key, event, now, &mut scratch, |request| {
            admin.handle(request, now, lifecycle, io, &sources)
        });
        self.io.scratch = scratch;
        let charged = &mut self.admin.charged;
        self.memory
            .recharge(MemoryUse::Admin, charged, server.memory_used());
        self.admin.server = Some(server);
    }

    /// Saves a snapshot for the next process of this node, if one is due.
    pub(super) fn save_snapshot(&mut self, now: Micros) {
        let hot_restart = self.hot_restart.as_mut().filter(|h| h.is_due(now));
        let Some(hot_restart) = hot_restart.filter(|_| self.lifecycle.saves_snapshots(now)) else {
            return;
        };
        hot_restart.save(now, &mut self.io, &self.engine.engine);
    }
}
