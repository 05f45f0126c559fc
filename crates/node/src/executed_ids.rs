//! The ids of requests that may have run and must not run twice.
//!
//! Clients use a new id for each request. An id that comes again nevertheless is the same request, which no server may get again:
//! its effect could happen twice. Where two processes of a node serve side by side, each learns the ids of the other.
//!
//! Guarantee: at most a given number of ids is remembered, the newest ones. The module performs no I/O.

use std::collections::{HashSet, VecDeque};

use sha2::{Digest, Sha256};

/// Bytes of memory for an id.
const ID_BYTES: usize = 64;
/// One part in this many of the memory limit is available for ids.
const MEMORY_DIVISOR: usize = 32;
/// Most ids that are remembered.
const MAX_IDS: usize = 1 << 16;

/// The beginning of the SHA-256 digest of an id, which is the same in all processes.
pub(crate) type IdDigest = u128;

/// The digest of a request's id.
pub(crate) fn digest(id: &str) -> IdDigest {
    let digest = Sha256::digest(id.as_bytes());
    let mut bytes = [0; size_of::<IdDigest>()];
    bytes.copy_from_slice(&digest[..size_of::<IdDigest>()]);
    IdDigest::from_be_bytes(bytes)
}

/// The ids that may have run. See the module documentation.
pub(crate) struct ExecutedIds {
    known: HashSet<IdDigest>,
    /// The known ids, oldest first.
    order: VecDeque<IdDigest>,
    max_ids: usize,
}

impl ExecutedIds {
    /// Remembers as many ids as fit a fraction of this many bytes of memory.
    pub(crate) fn new(memory: usize) -> ExecutedIds {
        ExecutedIds {
            known: HashSet::new(),
            order: VecDeque::new(),
            max_ids: (memory / MEMORY_DIVISOR / ID_BYTES).min(MAX_IDS),
        }
    }

    /// Records that the request with this id may run, or have run.
    pub(crate) fn insert(&mut self, id: IdDigest) {
        if !self.known.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > self.max_ids {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Whether the request with this id may have run.
    pub(crate) fn contains(&self, id: IdDigest) -> bool {
        self.known.contains(&id)
    }
}

#[cfg(test)]
#[path = "executed_ids_tests.rs"]
mod tests;
