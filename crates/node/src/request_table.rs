//! The table of accepted requests. Each of them needs exactly one final response.
//!
//! Only this table records which response belongs to which client, which attempts of a request are in flight, and how much
//! memory the values of writes occupy. A request stays in the table until its final response has been given (or its client
//! has disconnected) and its last attempt has ended.
//!
//! Keys of type `usize` are slab keys, here and in the event loop; [`PendingRequest::key`] is the key that the request reads
//! or writes in the cache.
//!
//! Bounds: `max_in_flight` limits the number of requests, the [`MemoryAccount`] their memory. A connection may have a multiple of
//! the requests that may still be accepted, so that many connections with many requests leave room for the others.

use std::collections::HashMap;
use std::ops::{Index, IndexMut};

use bytes::Bytes;
use slab::Slab;
use sloewick_decision::api::{Micros, RequestId, ServerId};

use crate::attempt_id::AttemptId;
use crate::frontend::connection::{InputLimits, MAX_PIPELINED_REQUESTS};
use crate::frontend::memcached::KeyedWrite;
use crate::frontend::pending_response::ResponseAddress;
use crate::frontend::response::RequestProtocol;
use crate::memory::{MemoryAccount, MemoryUse};

/// Upper bound of the memory for one request with its timers, its attempts and its arguments but long values, in bytes.
const MAX_REQUEST_MEMORY: usize = 12 << 10;
/// One part in this many of the memory limit is available for requests.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// Memory for one request with its timers and attempts, besides its arguments, in bytes.
pub(crate) const REQUEST_OVERHEAD: usize = 3 << 10;
/// How often a request's key and id are stored: by the request table, the decision module and an attempt that is being written.
pub(crate) const KEY_COPIES: usize = 3;
/// Number of requests for which an empty table keeps its allocations.
const MAX_EMPTY_CAPACITY: usize = 256;
/// A connection may have this many times the requests that may still be accepted.
const PIPELINE_FACTOR: usize = 4;

/// One attempt to get the response to a request from a server.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) started: Micros,
    /// When the attempt times out, or when its streamed value counts as lost.
    pub(crate) expires_at: Micros,
    /// Key of its upstream connection; `None` if the attempt is not in flight.
    pub(crate) connection: Option<usize>,
    /// Until when it waits for a connection, if all connections to its server are in use.
    pub(crate) waits_until: Option<Micros>,
    /// When it next looks for a connection by itself.
    pub(crate) retry_at: Micros,
    /// Whether the idempotency ledger counts it as an attempt that may have run.
    pub(crate) counted_in_ledger: bool,
    /// Bytes that are reserved for its long value, which is being collected.
    pub(crate) reserved: usize,
}

/// The attempt whose long value is being streamed to the client, or collected for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ValueStream {
    pub(crate) attempt: usize,
    /// Time from the start of the attempt to the start of the value.
    pub(crate) latency: Micros,
    /// Whether the value is collected, and given to the client once it is complete.
    pub(crate) is_collected: bool,
}

/// The arguments of a request, as parsed by its frontend.
pub(crate) struct ParsedRequest {
    pub(crate) protocol: RequestProtocol,
    /// The state of a memcached write that has an idempotency key; `None` for all other requests.
    pub(crate) keyed: Option<KeyedWrite>,
    pub(crate) cache_key: Bytes,
    pub(crate) fields: Bytes,
    pub(crate) value: Option<Bytes>,
    /// Bytes that are reserved for `value`.
    pub(crate) reserved: usize,
}

impl ParsedRequest {
    /// Bytes of memory for the request with this id, without its reserved value.
    pub(crate) fn memory(&self, id: &RequestId) -> usize {
        let value = self.value.as_ref().map_or(0, Bytes::len);
        REQUEST_OVERHEAD
            + KEY_COPIES * (id.len() + self.cache_key.len())
            + 2 * self.fields.len()
            + value.saturating_sub(self.reserved)
    }
}

/// A request that has no final response yet, or whose attempts are still in flight.
pub(crate) struct PendingRequest {
    pub(crate) id: RequestId,
    /// Serial number, which shows whether a slab key still refers to this request.
    pub(crate) serial: u64,
    pub(crate) class: usize,
    pub(crate) respond_to: ResponseAddress,
    pub(crate) protocol: RequestProtocol,
    pub(crate) keyed: Option<KeyedWrite>,
    pub(crate) cache_key: Bytes,
    pub(crate) fields: Bytes,
    pub(crate) write: bool,
    /// The value of a write, until the request is closed.
    pub(crate) value: Option<Bytes>,
    /// Bytes that are reserved for the value.
    reserved: usize,
    /// Bytes that are charged for the rest of the request.
    charged: usize,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) attempts_in_flight: usize,
    /// The final response was given, or the client has disconnected.
    pub(crate) closed: bool,
    /// No further attempt may be started.
    pub(crate) attempts_stopped: bool,
    /// An attempt that has ended may have run.
    pub(crate) may_have_run: bool,
    /// It must not run twice.
    pub(crate) runs_once: bool,
    /// Set once a long value is being streamed or collected as the response.
    pub(crate) stream: Option<ValueStream>,
}

impl PendingRequest {
    /// Whether the value of this attempt is being streamed to the client, or collected for it.
    pub(crate) fn is_streaming(&self, attempt: usize) -> bool {
        self.stream.is_some_and(|stream| stream.attempt == attempt)
    }

    /// Whether a long value is being collected as the response.
    pub(crate) fn is_collecting(&self) -> bool {
        self.stream.is_some_and(|stream| stream.is_collected)
    }
}

/// The properties of a request that the event loop adds to a [`ParsedRequest`] for [`RequestTable::insert`].
pub(crate) struct NewRequest {
    pub(crate) id: RequestId,
    pub(crate) serial: u64,
    pub(crate) class: usize,
    pub(crate) write: bool,
    /// It must not run twice.
    pub(crate) runs_once: bool,
    pub(crate) deadline: Micros,
    pub(crate) respond_to: ResponseAddress,
}

/// All requests that need a final response or have attempts in flight. See the module documentation.
pub(crate) struct RequestTable {
    requests: Slab<PendingRequest>,
    keys: HashMap<RequestId, usize>,
    max_in_flight: usize,
    /// For each class, whether its requests may run more than once.
    idempotent_classes: Vec<bool>,
    /// The longest deadline of any class.
    pub(crate) longest_deadline: Micros,
}

impl RequestTable {
    /// Creates a table that holds at most `max_in_flight` requests and uses a fixed fraction of `memory` bytes.
    /// `longest_deadline`: the longest deadline of any class. `idempotent_classes`: for each class, whether its requests may run more
    /// than once.
    pub(crate) fn new(
        memory: usize,
        max_in_flight: usize,
        longest_deadline: Micros,
        idempotent_classes: Vec<bool>,
    ) -> Self {
        RequestTable {
            requests: Slab::new(),
            keys: HashMap::new(),
            idempotent_classes,
            max_in_flight: max_in_flight.min(memory / REQUEST_MEMORY_DIVISOR / MAX_REQUEST_MEMORY),
            longest_deadline,
        }
    }

    /// Whether the requests of a class must not run twice.
    pub(crate) fn runs_once(&self, class: usize) -> bool {
        self.idempotent_classes.get(class) == Some(&false)
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What a connection may hold when its next request is read. `attempt_capacity`: number of attempts that may be in flight.
    pub(crate) fn input_limits(&self, round: u64, attempt_capacity: usize) -> InputLimits {
        let capacity = self.max_in_flight.min(attempt_capacity);
        let vacant = capacity.saturating_sub(self.requests.len());
        InputLimits {
            round,
            pipelined: (vacant * PIPELINE_FACTOR).clamp(1, MAX_PIPELINED_REQUESTS),
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.requests.len() >= self.max_in_flight
    }

    pub(crate) fn get(&self, key: usize) -> Option<&PendingRequest> {
        self.requests.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: usize) -> Option<&mut PendingRequest> {
        self.requests.get_mut(key)
    }

    /// Slab key of the request with this id.
    pub(crate) fn key_of(&self, id: &RequestId) -> Option<usize> {
        self.keys.get(id).copied()
    }

    /// Slab keys of the requests that are not closed.
    pub(crate) fn open_keys(&self) -> Vec<usize> {
        let open = self.requests.iter().filter(|(_, request)| !request.closed);
        open.map(|(key, _)| key).collect()
    }

    /// The slab key that the next request gets.
    pub(crate) fn vacant_key(&self) -> usize {
        self.requests.vacant_key()
    }

    /// Adds a request. From now on it needs exactly one final response.
    pub(crate) fn insert(
        &mut self,
        new: NewRequest,
        parsed: ParsedRequest,
        memory: &mut MemoryAccount,
    ) {
        let id = new.id.clone();
        let charged = parsed.memory(&id);
        memory.charge(MemoryUse::Requests, charged);
        let key = self.requests.insert(PendingRequest {
            id: new.id,
            serial: new.serial,
            class: new.class,
            respond_to: new.respond_to,
            protocol: parsed.protocol,
            keyed: parsed.keyed,
            cache_key: parsed.cache_key,
            fields: parsed.fields,
            write: new.write,
            value: parsed.value,
            reserved: parsed.reserved,
            charged,
            deadline: new.deadline,
            attempts: Vec::new(),
            attempts_in_flight: 0,
            closed: false,
            attempts_stopped: false,
            may_have_run: false,
            runs_once: new.runs_once,
            stream: None,
        });
        self.keys.insert(id, key);
    }

    /// Closes a request, since its final response is given or its client has disconnected. Releases the memory of its value,
    /// which no further attempt can need, unless an attempt may still be writing it.
    pub(crate) fn close(&mut self, key: usize, memory: &mut MemoryAccount) {
        let request = &mut self.requests[key];
        request.closed = true;
        request.value = None;
        if request.attempts_in_flight == 0 {
            memory.release(MemoryUse::Values, std::mem::take(&mut request.reserved));
        }
    }

    /// Removes and returns a request if it is closed and has no attempt in flight.
    pub(crate) fn remove_finished(
        &mut self,
        key: usize,
        memory: &mut MemoryAccount,
    ) -> Option<PendingRequest> {
        self.requests
            .get(key)
            .filter(|request| request.closed && request.attempts_in_flight == 0)?;
        let request = self.requests.remove(key);
        memory.release(MemoryUse::Values, request.reserved);
        memory.release(MemoryUse::Requests, request.charged);
        self.keys.remove(&request.id);
        Some(request)
    }

    /// Frees what was allocated for many requests, once there are none.
    pub(crate) fn shrink_if_empty(&mut self) {
        if self.requests.is_empty() && self.requests.capacity() > MAX_EMPTY_CAPACITY {
            self.requests.shrink_to_fit();
            self.keys.shrink_to_fit();
        }
    }

    /// Whether a request has an attempt in flight, or one that waits for a connection.
    pub(crate) fn has_attempt_in_flight(&self, id: AttemptId) -> bool {
        let request = self.get(id.request);
        request.is_some_and(|r| r.serial == id.serial && r.attempts_in_flight > 0)
    }

    /// Whether an attempt is still in flight.
    pub(crate) fn is_in_flight(&self, id: AttemptId) -> bool {
        let attempt = self.attempt(id);
        attempt.is_some_and(|attempt| attempt.connection.is_some())
    }

    /// Whether an attempt waits for a connection, or for its client.
    pub(crate) fn is_waiting(&self, id: AttemptId) -> bool {
        let attempt = self.attempt(id);
        attempt.is_some_and(|attempt| attempt.waits_until.is_some())
    }

    /// An attempt, if its request is open still.
    pub(crate) fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        let request = self
            .get(id.request)
            .filter(|request| request.serial == id.serial)?;
        request.attempts.get(id.attempt)
    }
}

impl Index<usize> for RequestTable {
    type Output = PendingRequest;

    fn index(&self, key: usize) -> &PendingRequest {
        &self.requests[key]
    }
}

impl IndexMut<usize> for RequestTable {
    fn index_mut(&mut self, key: usize) -> &mut PendingRequest {
        &mut self.requests[key]
    }
}

#[cfg(test)]
#[path = "request_table_tests.rs"]
mod tests;
