//! The memory that a client's connection holds: input that is not parsed, an incomplete request, and responses.
//!
//! Guarantee: the sum that is charged in the [`MemoryAccount`] follows each change of what the connection holds.

use bytes::BytesMut;

use crate::frontend::connection::{ClientConnection, Reader};
use crate::frontend::pending_response::PendingResponse;
use crate::memory::{MemoryAccount, MemoryUse};
use crate::transport::Stream;

/// Memory for a connection besides its buffers, in bytes.
const CONNECTION_BYTES: usize = 1 << 10;

impl<S: Stream> ClientConnection<S> {
    /// Frees the read buffer if it is empty, or most of it if little is in it.
    pub(super) fn shrink_buffer(&mut self) {
        if self.buf_allocated > 2 * self.buf.len() {
            self.buf = BytesMut::from(&self.buf[..]);
            self.buf_allocated = self.buf.len();
        }
    }

    /// Bytes of memory that the connection holds, without those that are reserved for long values.
    pub(crate) fn memory_used(&self) -> usize {
        let request = match &self.reader {
            Reader::Resp2(reader) => reader.unreserved(),
            Reader::Memcached { reader, .. } => reader.unreserved(),
        };
        let output = self.out.memory_used().saturating_sub(self.reserved_output);
        CONNECTION_BYTES + self.buf_allocated + request + self.response_bytes + output
    }

    /// Charges what the connection holds now.
    pub(crate) fn recharge(&mut self, memory: &mut MemoryAccount) {
        let memory_used = self.memory_used();
        memory.recharge(MemoryUse::Clients, &mut self.charged, memory_used);
    }

    /// Releases all that is charged for the connection, which is being dropped.
    pub(crate) fn release(&mut self, memory: &mut MemoryAccount) {
        memory.recharge(MemoryUse::Clients, &mut self.charged, 0);
        memory.release(MemoryUse::Values, self.reserved());
    }

    /// Bytes that the incomplete request and the output have reserved for long values.
    pub(crate) fn reserved(&self) -> usize {
        let request = match &self.reader {
            Reader::Resp2(reader) => reader.reserved(),
            Reader::Memcached { reader, .. } => reader.reserved(),
        };
        request + self.reserved_output
    }

    /// Replaces the response with this number, unless it has been queued for writing.
    pub(crate) fn set_response(&mut self, number: u64, response: PendingResponse) {
        let memory_used = response.memory_used();
        let Some(pending) = self.response_mut(number) else {
            return;
        };
        let before = std::mem::replace(pending, response);
        self.response_bytes = self.response_bytes + memory_used - before.memory_used();
    }

    /// Keeps memory reserved for a complete response until the client has received it. Returns false if there is no such
    /// response any more.
    pub(crate) fn reserve_response(&mut self, number: u64, reserved: usize) -> bool {
        let Some(response) = self.response_mut(number) else {
            return false;
        };
        let before = response.memory_used();
        response.reserve(reserved);
        let memory_used = response.memory_used();
        self.response_bytes = self.response_bytes + memory_used - before;
        true
    }

    /// Takes the bytes reserved for collected values that the client has received.
    pub(crate) fn take_released(&mut self) -> usize {
        if self.out.is_empty() {
            std::mem::take(&mut self.reserved_output)
        } else {
            0
        }
    }
}
