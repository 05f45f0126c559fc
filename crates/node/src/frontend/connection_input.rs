//! Reads the requests of a client: splits the input into messages, within what the connection may hold and within its turn.
//!
//! Guarantees: a request is accepted only within [`InputLimits`]; nothing is read for which the connection may hold no memory, and no
//! more in a round than its turn allows.

use bytes::BytesMut;
use sloewick_decision::api::Micros;

use crate::frontend::connection::{ClientConnection, ClientInput, Closing, InputLimits, Reader};
use crate::frontend::pending_response::PendingResponse;
use crate::memory::MemoryAccount;
use crate::transport::{read_into, ReadOutcome, Stream};

/// Bytes of responses that a client has not read, above which no more of its requests are accepted.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// Input that is read before it is accepted, in bytes.
const MAX_READ_AHEAD: usize = 64 << 10;

impl<S: Stream> ClientConnection<S> {
    /// Reads the next request. While too many requests or responses wait, or there is no memory, none is read: the unread input
    /// makes the client stop sending.
    pub(crate) fn next_input(
        &mut self,
        now: Micros,
        limits: InputLimits,
        memory: &mut MemoryAccount,
        scratch: &mut [u8],
    ) -> ClientInput {
        self.turn.begin(limits.round);
        if let Closing::Lingering(_) = self.closing {
            self.discard_input(scratch);
            return ClientInput::Nothing;
        }
        let input = self.parse_or_read(now, limits, memory, scratch);
        self.shrink_buffer();
        self.recharge(memory);
        input
    }

    fn parse_or_read(
        &mut self,
        now: Micros,
        limits: InputLimits,
        memory: &mut MemoryAccount,
        scratch: &mut [u8],
    ) -> ClientInput {
        loop {
            if self.turn.is_over() {
                return ClientInput::Nothing;
            }
            self.awaits_acknowledgement = self.is_uncertain(now) && self.expects_acknowledgement();
            if self.awaits_acknowledgement || !self.accepts_requests(limits, memory) {
                self.read_ahead(now, memory, scratch);
                return ClientInput::Nothing;
            }
            match self.parse_request(memory) {
                ClientInput::Nothing => {}
                malformed @ ClientInput::Malformed { .. } => return malformed,
                input => {
                    self.read_behind_message(now, memory, scratch);
                    self.last_active = now;
                    self.last_request = Some(now);
                    self.request_completed();
                    self.turn.count_message();
                    return input;
                }
            }
            if !self.unread || !self.read_socket(now, memory, scratch) {
                break;
            }
        }
        if self.is_mid_message() {
            self.record_partial_request(now);
        }
        ClientInput::Nothing
    }

    /// Reads a bounded part of the input that is not accepted yet. The end of a connection becomes known sooner, since it stands
    /// behind all input.
    fn read_ahead(&mut self, now: Micros, memory: &mut MemoryAccount, scratch: &mut [u8]) {
        let is_open = self.closing == Closing::No;
        while is_open && self.unread && self.buf.len() < MAX_READ_AHEAD && !self.turn.is_over() {
            if !self.read_socket(now, memory, scratch) {
                break;
            }
        }
        // What has been read is accepted later: no memory is waited for.
        self.waits_for_memory = false;
    }

    /// Reads on behind a message if that may show whether the client is there: an end that was sent with the message would be read
    /// now.
    fn read_behind_message(&mut self, now: Micros, memory: &mut MemoryAccount, scratch: &mut [u8]) {
        if self.unread && self.is_uncertain(now) {
            self.read_socket(now, memory, scratch);
            self.waits_for_memory = false;
        }
    }

    /// Whether the client may have closed the connection too long ago for an attempt to start for it.
    pub(crate) fn is_uncertain(&mut self, now: Micros) -> bool {
        let stream = &self.stream;
        self.liveness
            .is_uncertain(now, || stream.unacknowledged().unwrap_or(usize::MAX))
    }

    /// Whether the client's machine will acknowledge something that has been or will be written.
    fn expects_acknowledgement(&self) -> bool {
        self.has_pending_output() || self.stream.unacknowledged().is_some_and(|bytes| bytes > 0)
    }

    fn request_completed(&mut self) {
        self.input_progress.end();
        self.partial_since = None;
        self.missing_value_bytes = None;
    }

    /// Records that a request is incomplete, and whether its long value moves.
    fn record_partial_request(&mut self, now: Micros) {
        self.partial_since.get_or_insert(now);
        self.input_progress.begin(now);
        let missing = match &self.reader {
            Reader::Resp2(reader) => reader.missing_value_bytes(),
            Reader::Memcached { reader, .. } => reader.missing_value_bytes(),
        };
        match (self.missing_value_bytes, missing) {
            (None, Some(_)) => self.input_progress.restart(now),
            (Some(before), Some(after)) => {
                self.input_progress
                    .record(now, before.saturating_sub(after));
            }
            (_, None) => {}
        }
        self.missing_value_bytes = missing;
    }

    /// Whether a response is pending or not written completely.
    pub(super) fn has_pending_output(&self) -> bool {
        !self.responses.is_empty() || !self.out.is_empty()
    }

    fn accepts_requests(&self, limits: InputLimits, memory: &MemoryAccount) -> bool {
        // No request is accepted behind a long value that is or will be streamed: if the value breaks off, the connection must
        // end, and the request could not be answered.
        let ends_with_stream =
            matches!(self.responses.back(), Some(PendingResponse::Stream { .. }));
        self.closing == Closing::No
            && !ends_with_stream
            && self.responses.len() < limits.pipelined
            && self.out.len() <= MAX_UNSENT_BYTES
            && (!self.has_pending_output() || self.memory_used() <= memory.share())
    }

    /// Parses the next request from the bytes that have been read.
    fn parse_request(&mut self, memory: &mut MemoryAccount) -> ClientInput {
        match &mut self.reader {
            Reader::Resp2(reader) => match reader.next(&mut self.buf, memory) {
                Ok(command) => command.map_or(ClientInput::Nothing, ClientInput::Command),
                Err(error) => ClientInput::Malformed {
                    reason: error.message(),
                    respond_to: None,
                },
            },
            Reader::Memcached { reader, max_value } => {
                match reader.next(&mut self.buf, memory, *max_value) {
                    Ok(request) => request.map_or(ClientInput::Nothing, ClientInput::Request),
                    Err(error) => ClientInput::Malformed {
                        reason: error.kind.message(),
                        respond_to: error.response,
                    },
                }
            }
        }
    }

    /// Reads from the socket once. Returns false if no new bytes were read.
    fn read_socket(&mut self, now: Micros, memory: &mut MemoryAccount, scratch: &mut [u8]) -> bool {
        let allowance = memory.read_allowance(self.memory_used()).min(scratch.len());
        self.waits_for_memory = allowance == 0;
        if self.waits_for_memory {
            memory.record_refusal(self.memory_used());
            return false;
        }
        let before = self.buf.len();
        match read_into(&mut self.stream, &mut self.buf, &mut scratch[..allowance]) {
            ReadOutcome::More => {
                self.turn.count_bytes(self.buf.len() - before);
                self.liveness.record_read(self.buf.len() - before);
                self.buf_allocated = self.buf_allocated.max(self.buf.capacity());
                self.recharge(memory);
                true
            }
            ReadOutcome::Empty => {
                self.unread = false;
                self.liveness.input_drained(now, !self.is_mid_message());
                false
            }
            ReadOutcome::Closed | ReadOutcome::Failed => {
                (self.unread, self.input_ended) = (false, true);
                self.input_end_since.get_or_insert(now);
                false
            }
        }
    }

    /// Whether the turn ended before all input was read that may be read.
    pub(crate) fn has_unread_input(&self) -> bool {
        self.turn.is_over() && (self.unread || !self.buf.is_empty())
    }

    pub(super) fn is_mid_message(&self) -> bool {
        let in_message = match &self.reader {
            Reader::Resp2(reader) => reader.is_mid_message(),
            Reader::Memcached { reader, .. } => reader.is_mid_message(),
        };
        in_message || !self.buf.is_empty()
    }

    pub(super) fn discard_input(&mut self, scratch: &mut [u8]) {
        while self.unread && !self.turn.is_over() {
            match read_into(&mut self.stream, &mut self.buf, scratch) {
                ReadOutcome::More => {
                    self.turn.count_bytes(self.buf.len());
                    self.buf.clear();
                }
                ReadOutcome::Empty => self.unread = false,
                ReadOutcome::Closed | ReadOutcome::Failed => {
                    (self.unread, self.input_ended) = (false, true);
                }
            }
        }
        (self.buf, self.buf_allocated) = (BytesMut::new(), 0);
    }
}
