//! The exchange on a connection: writes the request once the connection is established, reads the response, and reports how
//! either fails.

use std::io::ErrorKind;

use bytes::{Bytes, BytesMut};
use sloewick_codec::memcached::Opcode;
use sloewick_codec::resp2::{Element, Reply};
use sloewick_decision::api::{Micros, Status};

use crate::event_trace::ConnectionStep;
use crate::transport::{
    read_into, ReadOutcome, ReadyEvent, Stream, Transport, WriteQueue, MAX_READ,
};
use crate::upstream::connection::{EncodedRequest, Exchange, UpstreamConnection};
use crate::upstream::pool::{ProtocolError, UpstreamContext, UpstreamEvent, UpstreamPools};
use crate::upstream::response_reader::{RequestTag, ResponsePart, ServerReply};

impl<S: Stream> UpstreamPools<S> {
    /// Handles a readiness event of a connection's socket.
    pub(crate) fn ready(
        &mut self,
        connection: usize,
        event: &ReadyEvent,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) {
        let Some(c) = self.connections.get(connection) else {
            return;
        };
        if c.connecting && !self.check_established(connection, context.now) {
            return;
        }
        if !self.connections[connection].awaits_confirmation {
            self.flush(connection);
        }
        if self.is_reservation_broken(connection) {
            if !event.read_closed && !event.error {
                let server = self.connections[connection].server.clone();
                let error = ProtocolError::Unsolicited;
                self.events
                    .push_back(UpstreamEvent::ProtocolError(server, error));
            }
            return self.break_reservation(connection);
        }
        let c = &mut self.connections[connection];
        if event.readable || event.read_closed || event.error {
            c.is_readable = true;
            if c.is_reserved() {
                return;
            }
            match (c.streaming, c.exchange) {
                (true, _) if c.collected.is_some() => self.read_collected(connection, context),
                (true, Some(exchange)) => self
                    .events
                    .push_back(UpstreamEvent::ValueAvailable(exchange)),
                _ => self.read_responses(connection, context),
            }
        }
    }

    /// Checks whether a connection that is being opened is established. Returns false if it is not established yet or has
    /// failed.
    fn check_established(&mut self, connection: usize, now: Micros) -> bool {
        let c = &mut self.connections[connection];
        match (c.stream.take_error(), c.stream.check_connected()) {
            (Ok(None), Ok(())) => {
                c.connecting = false;
                if let Some(Exchange::Attempt(_)) = c.exchange {
                    c.awaits_confirmation = true;
                    self.established.push_back((connection, c.serial));
                }
                let elapsed = now - c.connect_started;
                self.record_step(connection, ConnectionStep::Established(elapsed));
                true
            }
            (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => false,
            _ => {
                self.fail(connection);
                false
            }
        }
    }

    /// Takes the next connection that was established for an attempt. Nothing is written on it before
    /// [`UpstreamPools::write_confirmed`] is called.
    pub(crate) fn next_established(&mut self) -> Option<(usize, Exchange)> {
        while let Some((connection, serial)) = self.established.pop_front() {
            let c = self.connections.get(connection);
            let awaiting = c.filter(|c| c.serial == serial && c.awaits_confirmation);
            if let Some(exchange) = awaiting.and_then(|c| c.exchange) {
                return Some((connection, exchange));
            }
        }
        None
    }

    /// Writes an attempt on the connection that was established for it. `request` replaces the one encoded at the start of
    /// the attempt, since its deadline has become shorter meanwhile.
    pub(crate) fn write_confirmed(&mut self, connection: usize, request: &EncodedRequest) {
        let c = self.connections.get_mut(connection);
        let Some(c) = c.filter(|c| c.awaits_confirmation) else {
            return;
        };
        (c.awaits_confirmation, c.write_queue) = (false, WriteQueue::default());
        c.queue(request);
        self.flush(connection);
    }

    /// Whether nothing of a connection's request has been written; false if the connection does not exist.
    pub(crate) fn is_unwritten(&self, connection: usize) -> bool {
        self.connections
            .get(connection)
            .is_some_and(UpstreamConnection::is_unwritten)
    }

    /// Ends the exchange of a connection that has failed, and closes the connection.
    pub(super) fn fail(&mut self, connection: usize) {
        let c = &mut self.connections[connection];
        let status = if c.is_written() {
            Status::Reset
        } else {
            Status::ConnectFailed
        };
        let step = if c.connecting {
            ConnectionStep::Refused
        } else {
            ConnectionStep::Broken
        };
        if let Some(exchange) = c.exchange.take() {
            self.events
                .push_back(UpstreamEvent::Ended(exchange, status));
        }
        self.close(connection, step);
    }

    /// Reports a protocol violation by the server, ends the exchange with an error, and closes the connection, since
    /// nothing more on it can be trusted.
    fn end_with_protocol_error(&mut self, connection: usize, error: ProtocolError) {
        let c = &mut self.connections[connection];
        self.events
            .push_back(UpstreamEvent::ProtocolError(c.server.clone(), error));
        if let Some(exchange) = c.exchange.take() {
            self.events
                .push_back(UpstreamEvent::Ended(exchange, Status::Error));
        }
        self.close(connection, ConnectionStep::Broken);
    }

    /// Reads responses until the socket is empty or a long value starts.
    fn read_responses(
        &mut self,
        connection: usize,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) {
        while let Some(c) = self
            .connections
            .get_mut(connection)
            .filter(|c| !c.streaming)
        {
            match c.reader.next(&mut c.read_buffer) {
                Ok(Some(ResponsePart::Complete(reply))) => {
                    self.complete_exchange(connection, reply, context.now);
                }
                Ok(Some(ResponsePart::ValueStart { len, tag })) => {
                    if let Err(error) = self.start_value(connection, len, tag, context.now) {
                        return self.end_with_protocol_error(connection, error);
                    }
                }
                Ok(Some(ResponsePart::ValueBytes(_))) => {
                    return self
                        .end_with_protocol_error(connection, ProtocolError::UnexpectedValue);
                }
                // Guards against an unsolicited response after the last one, which would be taken for that to the next
                // request.
                Ok(None)
                    if c.exchange.is_none()
                        && (c.reader.is_mid_message() || !c.read_buffer.is_empty()) =>
                {
                    return self.end_with_protocol_error(connection, ProtocolError::Unsolicited);
                }
                Ok(None) if !c.is_readable => return self.shrink_read_buffer(connection),
                Ok(None) => {
                    if !self.read_socket(connection, context) {
                        return self.shrink_read_buffer(connection);
                    }
                }
                Err(_) => {
                    return self.end_with_protocol_error(connection, ProtocolError::MalformedReply)
                }
            }
        }
    }

    /// Frees the read buffer of a connection if little is in it, so that idle connections hold none.
    fn shrink_read_buffer(&mut self, connection: usize) {
        if let Some(c) = self.connections.get_mut(connection) {
            if c.read_buffer_allocated > 2 * c.read_buffer.len() {
                c.read_buffer = BytesMut::from(&c.read_buffer[..]);
                c.read_buffer_allocated = c.read_buffer.len();
            }
            self.update_memory(connection);
        }
    }

    /// Reads from the socket once. Returns false if the response has to wait for memory, the peer has closed the connection or it
    /// has failed.
    fn read_socket(
        &mut self,
        connection: usize,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) -> bool {
        let allowance = self.read_allowance(connection, context);
        if allowance == 0 {
            return false;
        }
        let scratch = &mut context.scratch[..allowance.min(MAX_READ)];
        let c = &mut self.connections[connection];
        match read_into(&mut c.stream, &mut c.read_buffer, scratch) {
            ReadOutcome::More => {
                c.read_buffer_allocated = c.read_buffer_allocated.max(c.read_buffer.capacity());
                self.update_memory(connection);
                self.recharge(context.memory);
            }
            ReadOutcome::Empty => c.is_readable = false,
            ReadOutcome::Closed | ReadOutcome::Failed => {
                self.fail(connection);
                return false;
            }
        }
        true
    }

    /// Starts the streaming of a long value. Returns an error if the value cannot be the response to this connection's
    /// request.
    fn start_value(
        &mut self,
        connection: usize,
        len: usize,
        tag: Option<RequestTag>,
        now: Micros,
    ) -> Result<(), ProtocolError> {
        let c = &mut self.connections[connection];
        let exchange = c.exchange.ok_or(ProtocolError::Unsolicited)?;
        if !c.is_written() {
            return Err(ProtocolError::PrematureResponse);
        }
        if tag.is_some_and(|tag| tag != c.tag || tag.opcode != Opcode::Get as u8) {
            return Err(ProtocolError::TagMismatch);
        }
        c.streaming = true;
        c.value_progress.end();
        self.record_answer(connection, now);
        self.events.push_back(UpstreamEvent::ValueStarted {
            exchange,
            connection,
            len,
        });
        Ok(())
    }

    /// Collects the long value of `len` bytes that has started on a connection; its response then contains it.
    pub(crate) fn collect_value(
        &mut self,
        connection: usize,
        len: usize,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) {
        if let Some(c) = self.connections.get_mut(connection).filter(|c| c.streaming) {
            c.collected = Some(BytesMut::with_capacity(len));
            self.read_collected(connection, context);
        }
    }

    /// Reads what has arrived of a long value that is collected.
    fn read_collected(
        &mut self,
        connection: usize,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) {
        while let Some(bytes) = self.read_value(connection, context) {
            let c = &mut self.connections[connection];
            if let Some(collected) = &mut c.collected {
                collected.extend_from_slice(&bytes);
            }
        }
    }

    /// Ends the exchange of a connection with a complete response.
    fn complete_exchange(&mut self, connection: usize, mut reply: ServerReply, now: Micros) {
        let c = &mut self.connections[connection];
        if let Some(value) = c.collected.take() {
            reply.set_value(value.freeze());
        }
        let Some(exchange) = c.exchange else {
            return self.end_with_protocol_error(connection, ProtocolError::Unsolicited);
        };
        if !is_expected(c, exchange, &reply) {
            return self.end_with_protocol_error(connection, ProtocolError::UnexpectedResponse);
        }
        let is_early = !c.is_written();
        // A value that arrives before the last byte of the request is written belongs to another request.
        if is_early && matches!(reply, ServerReply::Resp2(Reply::Array(_))) {
            return self.end_with_protocol_error(connection, ProtocolError::PrematureResponse);
        }
        c.exchange = None;
        c.streaming = false;
        c.value_progress.end();
        c.reserved_for_response = 0;
        c.last_untagged_response = matches!(reply, ServerReply::Resp2(_)).then_some(now);
        if !is_early {
            self.record_answer(connection, now);
        }
        self.events.push_back(UpstreamEvent::Reply(exchange, reply));
        if is_early {
            self.close(connection, ConnectionStep::Broken);
        } else {
            self.make_idle(connection, now);
        }
    }

    /// Returns the next bytes of a long value. Returns None if none have arrived, or if the value has ended or failed,
    /// which an event reports.
    pub(crate) fn read_value(
        &mut self,
        connection: usize,
        context: &mut UpstreamContext<'_, impl Transport<Stream = S>>,
    ) -> Option<Bytes> {
        loop {
            let c = self
                .connections
                .get_mut(connection)
                .filter(|c| c.streaming)?;
            match c.reader.next(&mut c.read_buffer) {
                Ok(Some(ResponsePart::ValueBytes(bytes))) => {
                    c.value_progress.record(context.now, bytes.len());
                    return Some(bytes);
                }
                Ok(Some(ResponsePart::Complete(reply))) => {
                    self.complete_exchange(connection, reply, context.now);
                    self.read_responses(connection, context);
                    return None;
                }
                Ok(Some(ResponsePart::ValueStart { .. })) | Err(_) => {
                    self.end_with_protocol_error(connection, ProtocolError::MalformedValue);
                }
                Ok(None) if !c.is_readable => {
                    c.value_progress.begin(context.now);
                    self.shrink_read_buffer(connection);
                    return None;
                }
                Ok(None) => {
                    self.read_socket(connection, context);
                }
            }
        }
    }
}

/// Whether a response is of a type, and in memcached has the tag, that the exchange of its connection can get.
fn is_expected<S>(c: &UpstreamConnection<S>, exchange: Exchange, reply: &ServerReply) -> bool {
    match (reply, exchange) {
        (ServerReply::Resp2(Reply::Array(elements)), Exchange::Attempt(_)) => {
            c.streaming || matches!(elements[0], Element::Bulk(_))
        }
        (ServerReply::Resp2(Reply::Single(Element::Error(line))), _) => {
            !line.starts_with(b"SYNTAX")
        }
        (
            ServerReply::Resp2(Reply::Single(Element::Simple(_) | Element::Bulk(_))),
            Exchange::Probe { .. },
        ) => true,
        (ServerReply::Memcached(response), _) => {
            (response.opcode, response.opaque) == (c.tag.opcode, c.tag.opaque)
        }
        _ => false,
    }
}
