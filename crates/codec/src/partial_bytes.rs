//! A part of a message whose length is known and whose bytes arrive in pieces.
//!
//! The bytes are copied out of the read buffer as they arrive: a slice of the read buffer would keep all of it in memory for as long
//! as the message lives. The capacity is at most twice what has arrived (or [`MIN_CAPACITY`]), and never more than the length.

use bytes::{Buf, Bytes, BytesMut};

/// Capacity in bytes that is allocated for the first bytes.
const MIN_CAPACITY: usize = 4096;

/// The bytes that have arrived of a part of a message.
#[derive(Debug, Default)]
pub(crate) struct PartialBytes {
    bytes: Vec<u8>,
    /// Length of the complete part.
    len: usize,
}

impl PartialBytes {
    /// A part of `len` bytes, of which none has arrived.
    pub(crate) fn new(len: usize) -> PartialBytes {
        PartialBytes {
            bytes: Vec::new(),
            len,
        }
    }

    /// Length of the complete part in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Bytes that have not arrived.
    pub(crate) fn missing(&self) -> usize {
        self.len - self.bytes.len()
    }

    /// Bytes of memory that are allocated.
    pub(crate) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Moves the bytes of the part from the start of `buf`. Returns whether the part is complete.
    pub(crate) fn fill(&mut self, buf: &mut BytesMut) -> bool {
        let arrived = buf.len().min(self.len - self.bytes.len());
        let needed = self.bytes.len() + arrived;
        if needed > self.bytes.capacity() {
            let capacity = (2 * needed).max(MIN_CAPACITY).min(self.len);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(&buf[..arrived]);
        buf.advance(arrived);
        self.bytes.len() == self.len
    }

    /// Takes the complete part.
    pub(crate) fn take(&mut self) -> Bytes {
        self.len = 0;
        std::mem::take(&mut self.bytes).into()
    }
}

#[cfg(test)]
#[path = "partial_bytes_tests.rs"]
mod tests;
