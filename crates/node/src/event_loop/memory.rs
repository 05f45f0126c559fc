//! Resumes what waits for memory, observes the resident size of the process, and ends the client that holds most within an
//! incomplete request when memory stays short.

use sloewick_decision::api::Micros;

use super::Node;
use crate::engine::DecisionEngine;
use crate::frontend::connection::ClientConnection;
use crate::memory::MemoryUse;
use crate::tokens::upstream_token;
use crate::transport::{ReadyEvent, Transport};
use crate::upstream::connection::Exchange;

/// How long a client must have moved no byte before its connection may be ended for the memory that it holds.
const MIN_STALL_TIME: Micros = 5_000_000;
/// Most clients that are ended per sweep.
const MAX_ENDED_PER_SWEEP: usize = 16;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Bytes that the client holds whose response arrives on an upstream connection.
    pub(super) fn client_memory_of(&mut self, connection: usize) -> usize {
        match self.upstreams.exchange_of(connection) {
            Some(Exchange::Attempt(id)) if self.requests.is_in_flight(id) => {
                let to = self.requests[id.request].respond_to;
                let client = self.frontends.connection_for(to);
                client.map_or(0, |client| client.memory_used())
            }
            _ => 0,
        }
    }

    /// Whether a client may hold the memory of one more request.
    pub(super) fn may_hold_request(&mut self, client: usize, bytes: usize) -> bool {
        let connection = self.frontends.clients.get(client);
        let memory_used = connection.map_or(0, ClientConnection::memory_used);
        let may_hold = self.memory.may_hold(memory_used, bytes);
        if !may_hold {
            self.memory.record_refusal(memory_used);
        }
        may_hold
    }

    /// Remembers a client whose input waits for memory.
    pub(super) fn wait_for_memory(&mut self, client: usize) {
        let connection = self.frontends.clients.get(client);
        if connection.is_some_and(|connection| connection.waits_for_memory) {
            self.clients_waiting_for_memory.insert(client);
        }
    }

    /// Tries again what waits for memory, if enough has been released.
    pub(super) fn resume_if_memory_released(&mut self) {
        self.upstreams.recharge(&mut self.memory);
        if self.memory.should_resume() {
            self.resume_waiting_for_memory();
        }
    }

    /// Tries again what waits for memory.
    pub(super) fn resume_waiting_for_memory(&mut self) {
        for client in std::mem::take(&mut self.clients_waiting_for_memory) {
            self.frontends.mark_dirty(client);
        }
        for waiting in self.upstreams.take_awaiting_memory() {
            let event = ReadyEvent {
                token: upstream_token(waiting.connection),
                readable: true,
                writable: false,
                read_closed: false,
                error: false,
            };
            self.handle_ready_event(&event);
        }
    }

    /// Charges what the response of discovery holds now.
    pub(super) fn recharge_discovery(&mut self) {
        let memory_used = self.discovery.client.memory_used();
        let charged = &mut self.discovery.charged;
        self.memory
            .recharge(MemoryUse::Discovery, charged, memory_used);
    }

    /// Compares the account with the resident size of the process, and ends clients that hold most and move nothing while memory
    /// is short.
    pub(super) fn observe_memory(&mut self) {
        self.recharge_discovery();
        if let Some(resident) = self.io.transport.resident_memory() {
            if self.memory.observe_resident(resident) {
                self.io.transport.release_unused_memory();
                let resident = self.io.transport.resident_memory();
                self.memory.record_trim(resident.unwrap_or(0));
            }
        }
        if !self.memory.take_refused() {
            return;
        }
        let now = self.io.now();
        for _ in 0..MAX_ENDED_PER_SWEEP {
            if !self.memory.is_short() || !self.end_heaviest_client(now) {
                return;
            }
        }
    }

    /// Ends the connection of the client that holds most memory among those that have moved nothing for [`MIN_STALL_TIME`] and wait
    /// for no response. Returns false if there is none.
    fn end_heaviest_client(&mut self, now: Micros) -> bool {
        let clients = self.frontends.clients.iter();
        let stalled = clients.filter(|(_, client)| {
            client.has_no_output() && now - client.last_moved() >= MIN_STALL_TIME
        });
        let memory_used =
            |client: &ClientConnection<N::Stream>| client.memory_used() + client.reserved();
        let heaviest = stalled.max_by_key(|(_, client)| memory_used(client));
        let heaviest = heaviest.filter(|(_, client)| self.memory.is_heavy(memory_used(client)));
        let Some((key, _)) = heaviest else {
            return false;
        };
        self.log_closed_client(key, "memory");
        self.drop_client(key);
        true
    }
}
