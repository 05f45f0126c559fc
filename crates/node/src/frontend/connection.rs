//! Client connections: they read requests, and write the responses in the order of the requests.
//!
//! Guarantees: no further request of a connection is accepted while as many of its requests wait for their responses, or its
//! responses hold as much memory, as [`InputLimits`] allow; nothing is read for which it may hold no memory; a client that neither
//! writes nor reads is closed after a bounded time; no response is lost to a reset that is caused by closing with unread input.

use std::collections::VecDeque;

use bytes::BytesMut;
use sloewick_decision::api::Micros;

use crate::frontend::client_liveness::ClientLiveness;
use crate::frontend::delivery::Delivery;
use crate::frontend::input_turns::InputTurn;
use crate::frontend::pending_response::PendingResponse;
use crate::frontend::response::Protocol;
use crate::transfer_progress::TransferProgress;
use crate::transport::{is_buffer_shortage, Stream, WriteQueue};
use sloewick_codec::memcached::{self, ErrorResponse, RequestReader};
use sloewick_codec::resp2::{Command, CommandReader};

/// Maximum number of requests of one connection that wait for their responses; further requests stay in the kernel.
pub(crate) const MAX_PIPELINED_REQUESTS: usize = 128;
/// How long a request may stay incomplete without its long value moving. A client may take 2 s to write a request; one that does
/// not finish gets an error within 3 s of connecting.
const MAX_REQUEST_TIME: Micros = 2_500_000;
/// How long a client may take to write a request with a long value that moves.
const MAX_VALUE_TIME: Micros = 30_000_000;
/// How long a new client may send nothing. A connection may be closed when it has had no request for 2 s.
const MAX_SILENT_TIME: Micros = 2_500_000;
/// A client that reads next to nothing of its responses for this long counts as stalled. Sound clients pause for seconds, and their
/// machines may acknowledge only after some seconds of reading that they have room again.
const MAX_STALLED_TIME: Micros = 15_000_000;
/// How long the end of a client's input is treated as a half-close: requests that arrived before it are forwarded, even if a
/// connection has to be opened first. Requests that still wait after this time are no longer forwarded. Later than 0.1 s after
/// a client has closed its connection, nothing may be forwarded for it, and a node short of CPU time notices the close late and
/// sends slowly.
pub(crate) const MAX_HALF_CLOSED_TIME: Micros = 20_000;
/// How long input is read and discarded at least after sending has ended, unless the client ends its sending too. Closing with
/// unread input would send a reset, which can destroy a response that is still on its way.
const MAX_LINGER: Micros = 1_000_000;

/// How far the closing of a connection has advanced.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Closing {
    No,
    /// No more requests are read; sending ends when all responses are written.
    AfterResponses,
    /// Sending has ended; input is read and discarded until this time, and until the client's machine has acknowledged all output.
    Lingering(Micros),
}

/// Splits the input into requests, in the protocol of the client.
pub(super) enum Reader {
    Resp2(CommandReader),
    Memcached {
        reader: RequestReader,
        /// Longest value that is accepted, in bytes.
        max_value: usize,
    },
}

/// The next input of a client.
pub(crate) enum ClientInput {
    Command(Command),
    Request(memcached::Request),
    /// No complete request has been read.
    Nothing,
    /// The input cannot be parsed any further. `respond_to`: the memcached request that the error refers to, if one was
    /// recognised.
    Malformed {
        reason: &'static str,
        respond_to: Option<ErrorResponse>,
    },
}

/// What a connection may hold when its next request is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InputLimits {
    /// Requests that wait for their responses.
    pub(crate) pipelined: usize,
    /// Number of the round of the event loop, in which the connection has one turn.
    pub(crate) round: u64,
}

/// The connection of a client.
pub(crate) struct ClientConnection<S> {
    pub(crate) stream: S,
    pub(crate) serial: u64,
    pub(super) buf: BytesMut,
    /// Size of the allocation of `buf`.
    pub(super) buf_allocated: usize,
    pub(super) reader: Reader,
    pub(crate) out: WriteQueue,
    pub(crate) responses: VecDeque<PendingResponse>,
    /// Bytes that `responses` hold.
    pub(super) response_bytes: usize,
    /// Bytes that are reserved for collected values which are queued in `out`.
    pub(super) reserved_output: usize,
    /// Bytes in the [`MemoryAccount`] for this connection.
    pub(super) charged: usize,
    /// There is input, and no memory for it.
    pub(crate) waits_for_memory: bool,
    /// Number of the first entry of `responses` among all responses of the connection.
    pub(super) first_response_number: u64,
    /// The kernel may hold unread input.
    pub(super) unread: bool,
    /// The end of the client's input has been read.
    pub(super) input_ended: bool,
    /// The earliest time at which the end of the client's input can have arrived; `None` while it is not known to have ended.
    pub(super) input_end_since: Option<Micros>,
    /// [`Self::take_observed_input_end`] has returned the end of the input, for which a timer is set.
    pub(super) input_end_reported: bool,
    pub(super) closing: Closing,
    /// Whether an incomplete request moves.
    pub(super) input_progress: TransferProgress,
    /// When the incomplete request began; `None` if no request is incomplete.
    pub(super) partial_since: Option<Micros>,
    /// Bytes that the long value of the incomplete request lacks; `None` outside a long value.
    pub(super) missing_value_bytes: Option<usize>,
    /// Whether the client reads the responses that wait.
    pub(super) output_progress: TransferProgress,
    /// Whether the client's machine has acknowledged what was written.
    pub(super) delivery: Delivery,
    /// When a request was last read or a response written.
    pub(crate) last_active: Micros,
    /// When the connection was accepted.
    pub(super) accepted: Micros,
    /// When the last complete request was read; `None` if there was none.
    pub(super) last_request: Option<Micros>,
    /// Whether the client has a slot. The requests of a client without one are rejected.
    pub(crate) has_slot: bool,
    /// Whether the client is to be served in this round.
    pub(crate) dirty: bool,
    /// The current turn of reading input.
    pub(super) turn: InputTurn,
    /// The client waits for its next turn.
    pub(crate) is_queued: bool,
    pub(super) liveness: ClientLiveness,
    /// No request is read until the client's machine acknowledges what was written.
    pub(crate) awaits_acknowledgement: bool,
    /// A timer is set that ends this wait.
    pub(crate) has_acknowledgement_timer: bool,
}

impl<S: Stream> ClientConnection<S> {
    /// Creates the connection of a client that was accepted at `now` and connected no earlier than `opened_since`. `max_value`: longest memcached value, in bytes.
    pub(crate) fn new(
        stream: S,
        serial: u64,
        now: Micros,
        opened_since: Micros,
        protocol: Protocol,
        max_value: usize,
    ) -> ClientConnection<S> {
        let reader = match protocol {
            Protocol::Resp2 => Reader::Resp2(CommandReader::default()),
            Protocol::Memcached => Reader::Memcached {
                reader: RequestReader::default(),
                max_value,
            },
        };
        ClientConnection {
            stream,
            serial,
            buf: BytesMut::new(),
            buf_allocated: 0,
            reader,
            out: WriteQueue::default(),
            responses: VecDeque::new(),
            response_bytes: 0,
            reserved_output: 0,
            charged: 0,
            waits_for_memory: false,
            first_response_number: 0,
            unread: true,
            input_ended: false,
            input_end_since: None,
            input_end_reported: false,
            closing: Closing::No,
            input_progress: TransferProgress::default(),
            partial_since: None,
            missing_value_bytes: None,
            output_progress: TransferProgress::default(),
            delivery: Delivery::default(),
            last_active: now,
            accepted: now,
            last_request: None,
            has_slot: true,
            dirty: false,
            turn: InputTurn::default(),
            is_queued: false,
            liveness: ClientLiveness::new(opened_since),
            awaits_acknowledgement: false,
            has_acknowledgement_timer: false,
        }
    }

    /// Records that there may be input to read. `closed`: the client has ended its sending after it, at `since` at the
    /// earliest.
    pub(crate) fn input_available(&mut self, closed: bool, since: Micros) {
        self.unread = true;
        self.liveness.input_arrived(since);
        if closed {
            self.observe_input_end(since);
        }
    }

    /// Records that the end of the client's input has arrived in the kernel, at `since` at the earliest.
    pub(crate) fn observe_input_end(&mut self, since: Micros) {
        self.input_end_since = Some(self.input_end_since.map_or(since, |known| known.min(since)));
    }

    /// The earliest time of the end of the client's input, if it is known to have ended. Returned only once.
    pub(crate) fn take_observed_input_end(&mut self) -> Option<Micros> {
        let since = self.input_end_since.filter(|_| !self.input_end_reported)?;
        self.input_end_reported = true;
        Some(since)
    }

    /// Whether no attempt may be started for this client any more, since it has disconnected, or half-closed the connection
    /// [`MAX_HALF_CLOSED_TIME`] ago. Only writing to the client can show which of the two has happened.
    pub(crate) fn is_disconnected(&self, now: Micros) -> bool {
        self.input_end_since
            .is_some_and(|since| now - since >= MAX_HALF_CLOSED_TIME)
    }

    /// Slab keys of the requests of this client that have no response yet.
    pub(crate) fn waiting_requests(&self) -> Vec<usize> {
        let waiting = |response: &PendingResponse| match response {
            PendingResponse::Waiting(request) => Some(*request),
            _ => None,
        };
        self.responses.iter().filter_map(waiting).collect()
    }

    /// Whether a long value is being streamed: its header has been queued for writing, and the value has not ended.
    pub(crate) fn is_streaming(&self) -> bool {
        matches!(
            self.responses.front(),
            Some(PendingResponse::Stream { header: None, .. })
        )
    }

    pub(crate) fn protocol(&self) -> Protocol {
        match self.reader {
            Reader::Resp2(_) => Protocol::Resp2,
            Reader::Memcached { .. } => Protocol::Memcached,
        }
    }

    /// Whether the connection has failed. The end of the client's input alone does not show whether the client has
    /// disconnected or has only half-closed the connection: its requests are answered until a write fails.
    pub(crate) fn has_failed(&self) -> bool {
        matches!(self.stream.take_error(), Ok(Some(_)) | Err(_))
    }

    /// Appends a response and returns its number.
    pub(crate) fn push_response(&mut self, response: PendingResponse) -> u64 {
        self.response_bytes += response.memory_used();
        self.responses.push_back(response);
        self.first_response_number + self.responses.len() as u64 - 1
    }

    /// The response with this number, unless it has been queued for writing.
    pub(crate) fn response_mut(&mut self, number: u64) -> Option<&mut PendingResponse> {
        let index = usize::try_from(number.checked_sub(self.first_response_number)?).ok()?;
        self.responses.get_mut(index)
    }

    /// Whether the client waits for responses behind the one with this number.
    pub(crate) fn has_responses_behind(&self, number: u64) -> bool {
        number + 1 < self.first_response_number + self.responses.len() as u64
    }

    /// Whether the response with this number is the next one to be written.
    pub(crate) fn is_next_response(&self, number: u64) -> bool {
        number == self.first_response_number
    }

    /// Queues complete responses for writing, up to the first one that is not complete.
    pub(crate) fn queue_ready_responses(&mut self) {
        loop {
            let memory_used = self
                .responses
                .front()
                .map_or(0, PendingResponse::memory_used);
            let is_final = self
                .responses
                .front()
                .is_some_and(PendingResponse::is_final_response);
            let chunks = match self.responses.front_mut() {
                Some(PendingResponse::Ready(chunks) | PendingResponse::Control(chunks)) => {
                    std::mem::take(chunks)
                }
                Some(PendingResponse::Collected { chunks, reserved }) => {
                    self.reserved_output += *reserved;
                    std::mem::take(chunks)
                }
                _ => return,
            };
            for chunk in chunks {
                self.out.push(chunk);
            }
            if is_final {
                self.delivery.record_response(self.out.len());
            }
            self.response_bytes -= memory_used;
            self.responses.pop_front();
            self.first_response_number += 1;
        }
    }

    /// Writes as many of the queued bytes as the kernel takes.
    ///
    /// # Errors
    /// The connection has failed: the client has disconnected.
    pub(crate) fn flush(&mut self, now: Micros) -> std::io::Result<()> {
        let written = match self.out.flush(&mut self.stream) {
            // No event reports that a buffer is free again, so the write is repeated by the sweep.
            Err(e) if is_buffer_shortage(&e) => 0,
            flushed => flushed?,
        };
        if self.out.is_empty() {
            self.output_progress.end();
        } else {
            self.output_progress.begin(now);
            self.output_progress.record(now, written);
        }
        if written > 0 {
            self.last_active = now;
            self.liveness.record_write(now, written);
            self.delivery.record_write(written);
        }
        Ok(())
    }

    /// Closes the connection once all its responses are written.
    pub(crate) fn close_after_responses(&mut self) {
        if self.closing == Closing::No {
            self.closing = Closing::AfterResponses;
        }
    }

    /// Closes the connection after the bytes that are queued already. Returns the pending responses, which can no longer be
    /// written to it.
    pub(crate) fn cancel_responses(&mut self) -> VecDeque<PendingResponse> {
        self.first_response_number += self.responses.len() as u64;
        self.response_bytes = 0;
        self.close_after_responses();
        std::mem::take(&mut self.responses)
    }

    /// Whether no response is pending and the input read so far holds no part of a request.
    pub(crate) fn is_idle(&self) -> bool {
        self.closing == Closing::No
            && !self.input_ended
            && self.has_no_output()
            && !self.is_mid_message()
    }

    /// Whether responses are pending and the input read so far holds no part of a further request.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.closing == Closing::No && !self.has_no_output() && !self.is_mid_message()
    }

    /// Whether the connection is idle and the kernel holds no input. Prevents closing a connection on which the next request
    /// has already arrived.
    pub(crate) fn is_idle_without_input(&self) -> bool {
        self.is_idle() && self.stream.has_no_input()
    }

    /// Since when an incomplete request has not moved; `None` if no request is incomplete, or if the connection is closing or its
    /// input has ended.
    pub(crate) fn partial_request_since(&self) -> Option<Micros> {
        self.input_progress
            .since()
            .filter(|_| self.closing == Closing::No && !self.input_ended)
    }

    /// When a byte was last read from or written to the client, or, if it reads none of its responses, since when.
    pub(crate) fn last_moved(&self) -> Micros {
        let awaited = self.output_progress.since();
        awaited
            .or(self.input_progress.since())
            .unwrap_or(self.last_active)
    }

    /// When the connection was accepted.
    pub(crate) fn accepted(&self) -> Micros {
        self.accepted
    }

    /// When the last complete request was read; `None` if there was none.
    pub(crate) fn last_request(&self) -> Option<Micros> {
        self.last_request
    }

    /// Number of requests whose responses have not been written completely.
    pub(crate) fn unfinished_responses(&self) -> usize {
        // A long value that is being streamed stays in `responses` until it is complete.
        self.responses.len() + usize::from(!self.out.is_empty() && !self.is_streaming())
    }

    /// Whether no response is pending and no output waits to be written.
    pub(crate) fn has_no_output(&self) -> bool {
        self.responses.is_empty() && self.out.is_empty()
    }

    /// Advances the closing of the connection. Returns true when the connection can be dropped.
    pub(crate) fn advance_closing(&mut self, now: Micros) -> bool {
        match self.closing {
            Closing::Lingering(until) => {
                self.input_ended || now >= until && !self.is_output_in_transit()
            }
            _ if !self.has_no_output() => false,
            _ if self.input_ended => true,
            Closing::No => false,
            Closing::AfterResponses => {
                if self.stream.shutdown_write().is_err() {
                    return true;
                }
                (self.closing, self.unread) = (Closing::Lingering(now + MAX_LINGER), true);
                false
            }
        }
    }

    /// Whether the client has read next to nothing of its responses for [`MAX_STALLED_TIME`], or has sent nothing for
    /// [`MAX_SILENT_TIME`] since it connected.
    ///
    /// Guards against hundreds of clients that connect and send nothing: they would hold descriptors until none is left, and
    /// other clients would be closed too. Unread input in the kernel counts as sent.
    pub(crate) fn has_stalled(&self, now: Micros) -> bool {
        let is_silent = self.last_request.is_none()
            && now - self.last_active >= MAX_SILENT_TIME
            && self.is_idle_without_input();
        is_silent
            || self.output_progress.has_stalled(now, MAX_STALLED_TIME)
            || self.delivery.has_stalled(now, MAX_STALLED_TIME)
    }

    /// Whether the client has not written a request, or its long value, for [`MAX_REQUEST_TIME`], or has taken
    /// [`MAX_VALUE_TIME`] for it; and either the kernel holds no more of the request, or there is no memory for it.
    pub(crate) fn is_request_overdue(&self, now: Micros) -> bool {
        let has_stalled = self.input_progress.has_stalled(now, MAX_REQUEST_TIME);
        let is_late = self
            .partial_since
            .is_some_and(|since| now - since >= MAX_VALUE_TIME);
        self.closing == Closing::No
            && (has_stalled || is_late)
            && (self.waits_for_memory || self.stream.has_no_input())
    }

    /// Whether sending has ended, and input is only read to be discarded.
    pub(crate) fn is_lingering(&self) -> bool {
        matches!(self.closing, Closing::Lingering(_))
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
