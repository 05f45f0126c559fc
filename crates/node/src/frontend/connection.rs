//! Client connections: requests come in, responses go out in the order of the requests.
//!
//! Guarantees: a connection takes no further request while [`MAX_PIPELINED_REQUESTS`] wait for their responses or
//! [`MAX_UNSENT_BYTES`] wait to be read by the client; a client that neither writes nor reads is closed after a bounded time;
//! a response is never lost to a reset because unread input was left at the close.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use sloewick_decision::api::Micros;

use crate::frontend::response::Protocol;
use crate::transport::{fill, is_buffer_shortage, ReadOutcome, Stream, WriteQueue};
use sloewick_codec::memcached::{self, ErrorResponse, RequestReader};
use sloewick_codec::resp2::{ByteBudget, Command, CommandReader};

/// Requests of one connection that may wait for their responses; more stay in the kernel.
const MAX_PIPELINED_REQUESTS: usize = 128;
/// Bytes of responses that a client has not read; beyond it no more of its requests are taken.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// A client may take 2 s to write a request; one that does not finish gets an error within 3 s of connecting.
const MAX_REQUEST_TIME: Micros = 2_500_000;
/// The same for a client that writes nothing; a connection may be closed when it has had no request for 2 s.
const MAX_SILENT_TIME: Micros = 2_500_000;
/// A client that reads none of its responses for so long counts as stalled. It follows from no setting: the time of its
/// requests is bounded by their own deadlines, and this bounds how long their responses hold memory.
const MAX_STALLED_TIME: Micros = 10_000_000;
/// How long the end of a client's input is taken for a half-close: requests that came before it are forwarded, also if a
/// connection has to be opened first. What still waits then is not forwarded any more. 0.1 s after a client has closed,
/// nothing may be forwarded for it, and a node without enough CPU time notices late and sends slowly.
pub(crate) const MAX_HALF_CLOSED_TIME: Micros = 20_000;
/// How long input is read and discarded after the end of sending: closing with unread input would send a reset, which can
/// destroy the response under way.
const MAX_LINGER: Micros = 1_000_000;

/// The response to a request, until it has been queued for writing.
pub(crate) enum PendingResponse {
    /// The request with this key is being served.
    Waiting(usize),
    /// The response is known.
    Ready(Vec<Bytes>),
    /// A long value is streamed from an upstream connection; its header, until that has been queued.
    Stream {
        request: usize,
        connection: usize,
        header: Option<Bytes>,
    },
}

/// Where the final response of a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ResponseAddress {
    /// Key of the client connection.
    pub(crate) client: usize,
    /// Serial number of that connection, which tells whether the key still stands for the same one.
    pub(crate) client_serial: u64,
    /// Number of the response among those of the connection.
    pub(crate) response_number: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Closing {
    No,
    /// No more requests are read; the connection ends when all responses are written.
    AfterResponses,
    /// Sending has ended; input is discarded until then.
    Lingering(Micros),
}

/// Splits the input into requests, in the protocol of the client.
enum Reader {
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
    /// Nothing complete is there.
    Nothing,
    /// The input cannot be parsed any further. `respond_to`: the request that the error belongs to, if one is recognisable.
    Malformed {
        reason: &'static str,
        respond_to: Option<ErrorResponse>,
    },
}

/// A client's connection.
pub(crate) struct ClientConnection<S> {
    pub(crate) stream: S,
    pub(crate) serial: u64,
    buf: BytesMut,
    reader: Reader,
    pub(crate) out: WriteQueue,
    pub(crate) responses: VecDeque<PendingResponse>,
    /// Number of the first of `responses`.
    first_response_number: u64,
    /// The kernel may hold unread input.
    unread: bool,
    /// The end of the client's input has been read.
    input_ended: bool,
    /// The earliest time at which the known end of the client's input can have come.
    input_end_since: Option<Micros>,
    /// A timer is set for the end of the client's input.
    input_end_reported: bool,
    closing: Closing,
    /// Since when a request has been incomplete.
    partial_since: Option<Micros>,
    /// Since when responses have waited without being read.
    stalled_since: Option<Micros>,
    /// When a request was last read or a response written.
    pub(crate) last_active: Micros,
    accepted: Micros,
    last_request: Option<Micros>,
    /// It has one of the slots for clients. Without one its requests are rejected.
    pub(crate) has_slot: bool,
    /// It is to be served in this round.
    pub(crate) dirty: bool,
}

impl<S: Stream> ClientConnection<S> {
    /// `max_value`: longest value of a memcached client, in bytes.
    pub(crate) fn new(
        stream: S,
        serial: u64,
        now: Micros,
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
            reader,
            out: WriteQueue::default(),
            responses: VecDeque::new(),
            first_response_number: 0,
            unread: true,
            input_ended: false,
            input_end_since: None,
            input_end_reported: false,
            closing: Closing::No,
            partial_since: None,
            stalled_since: None,
            last_active: now,
            accepted: now,
            last_request: None,
            has_slot: true,
            dirty: false,
        }
    }

    /// There is input to read; `closed`: the client has ended its sending behind it, at `since` at the earliest.
    pub(crate) fn input_available(&mut self, closed: bool, since: Micros) {
        self.unread = true;
        if closed {
            self.observe_input_end(since);
        }
    }

    /// The end of the client's input is in the kernel, and has come at `since` at the earliest.
    pub(crate) fn observe_input_end(&mut self, since: Micros) {
        self.input_end_since = Some(self.input_end_since.map_or(since, |known| known.min(since)));
    }

    /// The time of the end of the client's input, once, when it has become known.
    pub(crate) fn take_observed_input_end(&mut self) -> Option<Micros> {
        let since = self.input_end_since.filter(|_| !self.input_end_reported)?;
        self.input_end_reported = true;
        Some(since)
    }

    /// Whether no attempt may be started for this client any more: it has disconnected, or has half-closed the connection
    /// for long enough. Which of the two shows only when something is written to it.
    pub(crate) fn is_disconnected(&self, now: Micros) -> bool {
        self.input_end_since
            .is_some_and(|since| now - since >= MAX_HALF_CLOSED_TIME)
    }

    /// The requests of this client that have no response yet.
    pub(crate) fn waiting_requests(&self) -> Vec<usize> {
        let waiting = |response: &PendingResponse| match response {
            PendingResponse::Waiting(request) => Some(*request),
            _ => None,
        };
        self.responses.iter().filter_map(waiting).collect()
    }

    /// Reads the next request. None is taken while too much waits: unread input holds the client back.
    pub(crate) fn next_input(
        &mut self,
        now: Micros,
        budget: &mut ByteBudget,
        scratch: &mut [u8],
    ) -> ClientInput {
        if let Closing::Lingering(_) = self.closing {
            self.discard_input(scratch);
            return ClientInput::Nothing;
        }
        loop {
            if !self.accepts_requests() {
                return ClientInput::Nothing;
            }
            match self.parse_request(budget) {
                ClientInput::Nothing => {}
                malformed @ ClientInput::Malformed { .. } => return malformed,
                input => {
                    self.last_active = now;
                    self.last_request = Some(now);
                    self.partial_since = None;
                    return input;
                }
            }
            if !self.unread || !self.read_socket(now, scratch) {
                break;
            }
        }
        if self.is_mid_message() {
            self.partial_since.get_or_insert(now);
        } else {
            // Idle connections hold no buffers.
            self.buf = BytesMut::new();
        }
        ClientInput::Nothing
    }

    fn accepts_requests(&self) -> bool {
        // Nothing is taken behind a long value that is being streamed: if it breaks off, the connection must end, and a
        // request taken behind it could not be answered.
        self.closing == Closing::No
            && !self.is_streaming()
            && self.responses.len() < MAX_PIPELINED_REQUESTS
            && self.out.len() <= MAX_UNSENT_BYTES
    }

    /// Parses what has been read so far.
    fn parse_request(&mut self, budget: &mut ByteBudget) -> ClientInput {
        match &mut self.reader {
            Reader::Resp2(reader) => match reader.next(&mut self.buf, budget) {
                Ok(command) => command.map_or(ClientInput::Nothing, ClientInput::Command),
                Err(error) => ClientInput::Malformed {
                    reason: error.message(),
                    respond_to: None,
                },
            },
            Reader::Memcached { reader, max_value } => {
                match reader.next(&mut self.buf, budget, *max_value) {
                    Ok(request) => request.map_or(ClientInput::Nothing, ClientInput::Request),
                    Err(error) => ClientInput::Malformed {
                        reason: error.kind.message(),
                        respond_to: error.response,
                    },
                }
            }
        }
    }

    /// Reads from the socket once; false if there is nothing new to parse.
    fn read_socket(&mut self, now: Micros, scratch: &mut [u8]) -> bool {
        match fill(&mut self.stream, &mut self.buf, scratch) {
            ReadOutcome::More => true,
            ReadOutcome::Empty => {
                self.unread = false;
                false
            }
            ReadOutcome::Closed | ReadOutcome::Failed => {
                (self.unread, self.input_ended) = (false, true);
                self.input_end_since.get_or_insert(now);
                false
            }
        }
    }

    fn is_mid_message(&self) -> bool {
        let in_message = match &self.reader {
            Reader::Resp2(reader) => reader.is_mid_message(),
            Reader::Memcached { reader, .. } => reader.is_mid_message(),
        };
        in_message || !self.buf.is_empty()
    }

    /// Whether the header of a long value has been queued and its end has not.
    fn is_streaming(&self) -> bool {
        matches!(
            self.responses.front(),
            Some(PendingResponse::Stream { header: None, .. })
        )
    }

    /// Bytes of the budget that its incomplete request holds.
    pub(crate) fn reserved(&self) -> usize {
        match &self.reader {
            Reader::Resp2(reader) => reader.reserved(),
            Reader::Memcached { reader, .. } => reader.reserved(),
        }
    }

    pub(crate) fn protocol(&self) -> Protocol {
        match self.reader {
            Reader::Resp2(_) => Protocol::Resp2,
            Reader::Memcached { .. } => Protocol::Memcached,
        }
    }

    /// Whether the connection has failed. The mere end of the client's input does not show whether the client has
    /// disconnected or only half-closed the connection: until a write fails, its requests are answered.
    pub(crate) fn has_failed(&self) -> bool {
        matches!(self.stream.take_error(), Ok(Some(_)) | Err(_))
    }

    /// Appends a response and returns its number.
    pub(crate) fn push_response(&mut self, response: PendingResponse) -> u64 {
        self.responses.push_back(response);
        self.first_response_number + self.responses.len() as u64 - 1
    }

    /// The response with this number, unless it has been queued for writing.
    pub(crate) fn response_mut(&mut self, number: u64) -> Option<&mut PendingResponse> {
        let index = usize::try_from(number.checked_sub(self.first_response_number)?).ok()?;
        self.responses.get_mut(index)
    }

    /// Queues the responses that are next in order and ready.
    pub(crate) fn queue_ready_responses(&mut self) {
        while let Some(PendingResponse::Ready(chunks)) = self.responses.front_mut() {
            for chunk in std::mem::take(chunks) {
                self.out.push(chunk);
            }
            self.responses.pop_front();
            self.first_response_number += 1;
        }
    }

    /// Writes queued bytes.
    ///
    /// # Errors
    /// The client has disconnected.
    pub(crate) fn flush(&mut self, now: Micros) -> std::io::Result<()> {
        let written = match self.out.flush(&mut self.stream) {
            // No event tells of a buffer that is free again: the sweep repeats it.
            Err(e) if is_buffer_shortage(&e) => 0,
            flushed => flushed?,
        };
        if self.out.is_empty() {
            self.stalled_since = None;
        } else if written > 0 || self.stalled_since.is_none() {
            self.stalled_since = Some(now);
        }
        if written > 0 {
            self.last_active = now;
        }
        Ok(())
    }

    /// Closes the connection once its responses are written.
    pub(crate) fn close_after_responses(&mut self) {
        if self.closing == Closing::No {
            self.closing = Closing::AfterResponses;
        }
    }

    /// Closes the connection behind the bytes that are queued already, and returns the responses that cannot be given on it.
    pub(crate) fn cancel_responses(&mut self) -> VecDeque<PendingResponse> {
        self.first_response_number += self.responses.len() as u64;
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

    /// Whether it is idle and the kernel holds no input either. Prevents closing a connection on which the next request has
    /// already arrived.
    pub(crate) fn is_idle_without_input(&self) -> bool {
        self.is_idle() && self.stream.has_no_input()
    }

    /// Since when a request has been incomplete, unless the connection is closing.
    pub(crate) fn partial_request_since(&self) -> Option<Micros> {
        self.partial_since
            .filter(|_| self.closing == Closing::No && !self.input_ended)
    }

    /// When it was accepted.
    pub(crate) fn accepted(&self) -> Micros {
        self.accepted
    }

    /// When its last complete request was read.
    pub(crate) fn last_request(&self) -> Option<Micros> {
        self.last_request
    }

    /// Requests whose responses have not been written completely.
    pub(crate) fn unfinished_responses(&self) -> usize {
        // A long value that is being streamed stays in `responses` until it is complete.
        self.responses.len() + usize::from(!self.out.is_empty() && !self.is_streaming())
    }

    fn has_no_output(&self) -> bool {
        self.responses.is_empty() && self.out.is_empty()
    }

    /// Advances the closing of the connection; true when it can be dropped.
    pub(crate) fn advance_closing(&mut self, now: Micros) -> bool {
        match self.closing {
            Closing::Lingering(until) => self.input_ended || now >= until,
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

    fn discard_input(&mut self, scratch: &mut [u8]) {
        while self.unread {
            match fill(&mut self.stream, &mut self.buf, scratch) {
                ReadOutcome::More => self.buf.clear(),
                ReadOutcome::Empty => self.unread = false,
                ReadOutcome::Closed | ReadOutcome::Failed => {
                    (self.unread, self.input_ended) = (false, true);
                }
            }
        }
    }

    /// Whether the client reads none of its responses, or has sent nothing since it connected.
    ///
    /// Guards against clients that connect by the hundreds and send nothing: they would hold descriptors until these run
    /// out, and others would be closed with them. Input that waits unread in the kernel counts as sent.
    pub(crate) fn has_stalled(&self, now: Micros) -> bool {
        let is_silent = self.last_request.is_none()
            && now - self.last_active >= MAX_SILENT_TIME
            && self.is_idle_without_input();
        is_silent
            || self
                .stalled_since
                .is_some_and(|since| now - since >= MAX_STALLED_TIME)
    }

    /// Whether the client has taken too long to write a request, and no more of it waits in the kernel.
    pub(crate) fn is_request_overdue(&self, now: Micros) -> bool {
        let is_late = self
            .partial_since
            .is_some_and(|since| now - since >= MAX_REQUEST_TIME);
        self.closing == Closing::No && is_late && self.stream.has_no_input()
    }

    /// Whether sending has ended and only input is being discarded.
    pub(crate) fn is_lingering(&self) -> bool {
        matches!(self.closing, Closing::Lingering(_))
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
