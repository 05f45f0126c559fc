//! One connection to a cache server.
//!
//! A connection carries one exchange at a time, because an attempt is abandoned by closing its connection, and that must
//! not end other exchanges.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use sloewick_decision::api::{Micros, ServerId};

use crate::attempt_id::AttemptId;
use crate::frontend::response::Protocol;
use crate::transfer_progress::TransferProgress;
use crate::transport::{Stream, WriteQueue};
use crate::upstream::response_reader::{RequestTag, ResponseReader};

/// How long a connection is not reused after a RESP2 response. A faulty server may send a second response some milliseconds
/// later, and because RESP2 responses carry no request id, the next request would get it. No setting states this time; the
/// latency of connections across zones alone varies by some milliseconds.
const QUARANTINE_TIME: Micros = 30_000;

/// The use of a connection for one request and its response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Exchange {
    /// An attempt of a request.
    Attempt(AttemptId),
    /// A probe request, by its serial number.
    Probe { serial: u64 },
}

/// An encoded request, as chunks to be written in order, with the tag that its response repeats.
pub(crate) struct EncodedRequest {
    pub(crate) chunks: Vec<Bytes>,
    pub(crate) tag: RequestTag,
    /// Whether it is a write, which must not reach its server any more once it is abandoned.
    pub(crate) write: bool,
}

impl EncodedRequest {
    fn len(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

/// An upstream connection.
pub(crate) struct UpstreamConnection<S> {
    pub(crate) stream: S,
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    /// Distinguishes this connection from others that had the same key.
    pub(crate) serial: u64,
    /// The connection is not established yet.
    pub(crate) connecting: bool,
    /// The connection is established, but the event loop has not yet confirmed that the attempt is still to be written. A
    /// quarantined connection that is reserved for an exchange is confirmed when its quarantine ends.
    pub(crate) awaits_confirmation: bool,
    /// The exchange in progress; None while the connection is idle.
    pub(crate) exchange: Option<Exchange>,
    /// The tag of the last request.
    pub(crate) tag: RequestTag,
    pub(crate) write_queue: WriteQueue,
    pub(crate) read_buffer: BytesMut,
    /// Size of the allocation of `read_buffer`.
    pub(crate) read_buffer_allocated: usize,
    pub(crate) reader: ResponseReader,
    /// Bytes for which there is memory, of the response that is being received.
    pub(crate) reserved_for_response: usize,
    /// The response waits for memory.
    pub(crate) awaits_memory: bool,
    /// The response is a long value that waits for memory in which it can be collected.
    pub(crate) awaits_collection: bool,
    /// Bytes that count for this connection in the sum of all connections.
    pub(crate) recorded_memory: usize,
    /// The response in progress is a long value, which is read only as fast as the client reads it.
    pub(crate) streaming: bool,
    /// The bytes of the long value so far, if the value is collected in place of being read by its client.
    pub(crate) collected: Option<BytesMut>,
    /// The socket was reported as readable, and has not been read until it was empty.
    pub(crate) is_readable: bool,
    /// When the connection began to be opened.
    pub(crate) connect_started: Micros,
    /// When the exchange in progress was assigned.
    pub(crate) exchange_started: Micros,
    /// When the last exchange ended; for a new connection, when it began to be opened.
    pub(crate) idle_since: Micros,
    /// When the last response arrived, if that response does not identify its request (RESP2).
    pub(crate) last_untagged_response: Option<Micros>,
    /// Whether the server writes the long value that is being received.
    pub(crate) value_progress: TransferProgress,
    /// The exchange is an attempt that has not been added to the number of sends yet.
    pub(crate) send_count_pending: bool,
    /// Length of the last request, in bytes.
    pub(crate) request_len: usize,
    /// Number of the last attempt among all attempts of the node, in the order in which they were written completely.
    pub(crate) write_number: u64,
    /// Closing the connection resets it, since the request in progress is a write.
    resets_on_close: bool,
}

/// The server, address and protocol of an upstream connection.
#[derive(Clone)]
pub(crate) struct Destination {
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) protocol: Protocol,
}

impl<S: Stream> UpstreamConnection<S> {
    /// A connection that is being opened.
    pub(crate) fn new(stream: S, to: Destination, serial: u64, now: Micros) -> Self {
        UpstreamConnection {
            stream,
            server: to.server,
            address: to.address,
            serial,
            connecting: true,
            awaits_confirmation: false,
            exchange: None,
            tag: RequestTag::default(),
            write_queue: WriteQueue::default(),
            read_buffer: BytesMut::new(),
            read_buffer_allocated: 0,
            reserved_for_response: 0,
            awaits_memory: false,
            awaits_collection: false,
            recorded_memory: 0,
            reader: ResponseReader::new(to.protocol),
            streaming: false,
            collected: None,
            is_readable: false,
            connect_started: now,
            exchange_started: now,
            idle_since: now,
            last_untagged_response: None,
            value_progress: TransferProgress::default(),
            send_count_pending: false,
            request_len: 0,
            write_number: 0,
            resets_on_close: false,
        }
    }

    /// Whether the kernel has accepted the complete request, so that the server may execute it.
    pub(crate) fn is_written(&self) -> bool {
        !self.is_unwritten() && self.write_queue.is_empty()
    }

    /// Whether nothing of the request has been written.
    pub(crate) fn is_unwritten(&self) -> bool {
        self.connecting || self.awaits_confirmation
    }

    /// Whether a second response to the last request may still arrive, which would be mistaken for the response to the next
    /// one.
    pub(crate) fn is_quarantined(&self, now: Micros) -> bool {
        self.quarantine_end().is_some_and(|end| now < end)
    }

    /// When the quarantine after the last response ends; None if there was no response that needs one.
    pub(crate) fn quarantine_end(&self) -> Option<Micros> {
        self.last_untagged_response.map(|at| at + QUARANTINE_TIME)
    }

    /// Whether the connection has carried an exchange before and is reserved for the next one, of which nothing is written.
    pub(crate) fn is_reserved(&self) -> bool {
        self.awaits_confirmation && self.last_untagged_response.is_some()
    }

    /// Queues a request for writing.
    pub(crate) fn queue(&mut self, request: &EncodedRequest) {
        self.tag = request.tag;
        self.request_len = request.len();
        self.reset_on_close(request.write);
        for chunk in &request.chunks {
            self.write_queue.push(chunk.clone());
        }
    }

    /// Sets whether closing the connection resets it.
    pub(crate) fn reset_on_close(&mut self, reset: bool) {
        if reset != self.resets_on_close {
            self.resets_on_close = reset;
            self.stream.set_reset_on_close(reset);
        }
    }
}
