//! The memory that responses of cache servers hold while they are being received.
//!
//! Guarantees: no response is read for which its client may hold no memory; it stays with its server until there is some. A
//! response whose length is known is read only if there is memory for all of it, so that responses which are received in part do
//! not keep each other from being completed.

use sloewick_decision::api::{ServerId, Status};

use crate::event_trace::ConnectionStep;
use crate::memory::{MemoryAccount, MemoryUse};
use crate::transport::{Stream, Transport, MAX_READ};
use crate::upstream::connection::{Exchange, UpstreamConnection};
use crate::upstream::pool::{UpstreamContext, UpstreamEvent, UpstreamPools};

/// Memory for a connection besides its buffers, in bytes.
const CONNECTION_BYTES: usize = 2 << 10;

/// A connection whose response waits for memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AwaitingMemory {
    pub(crate) connection: usize,
    pub(crate) serial: u64,
}

impl<S> UpstreamConnection<S> {
    /// Bytes of memory that the connection holds.
    fn memory_used(&self) -> usize {
        let collected = if self.collected.is_some() {
            0
        } else {
            self.reader.allocated()
        };
        let response = self.read_buffer_allocated + collected;
        CONNECTION_BYTES + response.max(self.reserved_for_response)
    }
}

impl<S: Stream> UpstreamPools<S> {
    /// How many bytes of a response may be read now; 0 if it has to wait for memory.
    pub(super) fn read_allowance(
        &mut self,
        connection: usize,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) -> usize {
        let c = &mut self.connections[connection];
        if c.collected.is_some() || c.reserved_for_response > 0 {
            return MAX_READ;
        }
        if c.streaming {
            return context.max_read;
        }
        let (memory, memory_used) = (&*context.memory, c.memory_used() - CONNECTION_BYTES);
        let expected = c.reader.expected_len();
        let client_memory = context.client_memory + memory_used;
        let allowance = match expected {
            Some(len) if memory.may_hold(context.client_memory, len) => {
                c.reserved_for_response = len;
                MAX_READ
            }
            Some(_) => 0,
            None => memory.read_allowance(client_memory),
        };
        if allowance == 0 {
            context.memory.record_refusal(context.client_memory);
            self.hold_back(connection);
        }
        allowance
    }

    fn hold_back(&mut self, connection: usize) {
        let c = &mut self.connections[connection];
        if !std::mem::replace(&mut c.awaits_memory, true) {
            self.awaiting_memory.push(AwaitingMemory {
                connection,
                serial: c.serial,
            });
        }
    }

    /// Takes the connections whose responses wait for memory, to try them again.
    pub(crate) fn take_awaiting_memory(&mut self) -> Vec<AwaitingMemory> {
        let mut waiting = std::mem::take(&mut self.awaiting_memory);
        waiting.retain(|waiting| {
            let connection = self.connections.get_mut(waiting.connection);
            let connection = connection.filter(|c| c.serial == waiting.serial);
            connection.is_some_and(|c| std::mem::take(&mut c.awaits_memory))
        });
        waiting
    }

    /// The exchange in progress on a connection.
    pub(crate) fn exchange_of(&self, connection: usize) -> Option<Exchange> {
        self.connections.get(connection)?.exchange
    }

    /// Whether the response on a connection waits for memory.
    pub(crate) fn awaits_memory(&self, connection: usize) -> bool {
        let c = self.connections.get(connection);
        c.is_some_and(|c| c.awaits_memory)
    }

    /// Records whether the long value on a connection waits for memory in which it can be collected.
    pub(crate) fn set_awaits_collection(&mut self, connection: usize, awaits_collection: bool) {
        if let Some(c) = self.connections.get_mut(connection) {
            c.awaits_collection = awaits_collection;
        }
    }

    /// Ends an exchange whose response waits for memory, to free its connection for another one. Nothing of such a response has
    /// been passed on: its request is attempted again, rejected or failed. `server`: None for a connection to any server. Returns
    /// false if there is none.
    pub(super) fn end_waiting_response(&mut self, server: Option<&ServerId>) -> bool {
        let mut connections = self.connections.iter();
        let waiting = connections.find(|(_, c)| {
            let is_at_server = server.is_none_or(|server| *server == c.server);
            is_at_server && (c.awaits_memory || c.awaits_collection)
        });
        let Some((connection, _)) = waiting else {
            return false;
        };
        self.end_exchange(connection, Status::Cancelled);
        true
    }

    /// Ends the exchange of a connection with this status, and closes the connection.
    pub(super) fn end_exchange(&mut self, connection: usize, status: Status) {
        if let Some(exchange) = self.connections[connection].exchange.take() {
            let ended = UpstreamEvent::Ended(exchange, status);
            self.events.push_back(ended);
        }
        self.close(connection, ConnectionStep::AttemptAbandoned);
    }

    /// Records that a long value is not read, since its client does not read.
    pub(crate) fn pause_value(&mut self, connection: usize) {
        let c = self.connections.get_mut(connection);
        if let Some(c) = c.filter(|c| c.streaming) {
            c.value_progress.end();
        }
    }

    /// Records what a connection holds now.
    pub(super) fn update_memory(&mut self, connection: usize) {
        let Some(c) = self.connections.get_mut(connection) else {
            return;
        };
        let memory_used = c.memory_used();
        self.memory_used =
            self.memory_used + memory_used - std::mem::replace(&mut c.recorded_memory, memory_used);
    }

    /// Charges what all connections hold now.
    pub(crate) fn recharge(&mut self, memory: &mut MemoryAccount) {
        memory.recharge(MemoryUse::Upstream, &mut self.charged, self.memory_used);
    }
}
