//! Carries outcomes from the upstream pools to the request table, and final responses to the frontends.

use bytes::Bytes;
use sloewick_decision::api::{Event, Micros, Status};

use super::collected_values::LongValue;
use super::Node;
use crate::attempt_id::AttemptId;
use crate::engine::DecisionEngine;
use crate::frontend::connection::ClientConnection;
use crate::frontend::pending_response::PendingResponse;
use crate::frontend::response::FinalResponse;
use crate::request_table::ValueStream;
use crate::timers::TimerEvent;
use crate::transport::Transport;
use crate::upstream::connection::Exchange;
use crate::upstream::pool::UpstreamEvent;
use crate::upstream::response::{final_response, interpret, interpret_probe, AttemptResult};
use crate::upstream::response_reader::ServerReply;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Handles the queued events of the upstream connections.
    pub(super) fn handle_upstream_events(&mut self) {
        while let Some(event) = self.upstreams.events.pop_front() {
            match event {
                UpstreamEvent::Reply(Exchange::Probe { serial }, reply) => {
                    let result = interpret_probe(&reply);
                    self.end_probe(serial, result.status, result.load);
                }
                UpstreamEvent::Ended(Exchange::Probe { serial }, status) => {
                    self.end_probe(serial, status, None);
                }
                UpstreamEvent::Reply(Exchange::Attempt(id), reply) => {
                    self.handle_attempt_reply(id, reply);
                }
                UpstreamEvent::Ended(Exchange::Attempt(id), status) => {
                    self.handle_attempt_failure(id, status);
                }
                UpstreamEvent::Unwritten(Exchange::Attempt(id)) => self.restart_attempt(id),
                UpstreamEvent::Unwritten(Exchange::Probe { serial }) => {
                    self.end_probe(serial, Status::NotSent, None);
                }
                UpstreamEvent::ValueStarted {
                    exchange: Exchange::Attempt(id),
                    connection,
                    len,
                } => self.start_stream(id, connection, len),
                UpstreamEvent::ValueAvailable(Exchange::Attempt(id)) => {
                    if self.requests.is_in_flight(id) {
                        let client = self.requests[id.request].respond_to.client;
                        self.frontends.mark_dirty(client);
                    }
                }
                // A streamed value in response to a probe has no client that it could go to: the probe ends by its timeout.
                UpstreamEvent::ValueStarted { .. } | UpstreamEvent::ValueAvailable(_) => {}
                UpstreamEvent::ConnectionsChanged(server, change) => {
                    self.engine.push(Event::ConnectionsChanged(server, change));
                }
                UpstreamEvent::ProtocolError(server, error) => {
                    self.io.log(&format!("server {server}: {error}"));
                }
            }
        }
    }

    fn handle_attempt_reply(&mut self, id: AttemptId, reply: ServerReply) {
        if !self.requests.is_in_flight(id) {
            return;
        }
        let request = &self.requests[id.request];
        let mut result = interpret(&reply, request.write);
        if request.is_streaming(id.attempt) && !request.is_collecting() {
            result.status = Status::Ok;
            self.end_stream(id.request, true);
        } else if result.status == Status::Ok && !request.closed {
            self.respond(id.request, final_response(reply));
            self.keep_reservation(id);
        } else if request.is_collecting() && !request.closed {
            self.respond(id.request, FinalResponse::Failed);
        }
        self.end_attempt(id.request, id.attempt, result);
    }

    fn handle_attempt_failure(&mut self, id: AttemptId, status: Status) {
        if !self.requests.is_in_flight(id) {
            return;
        }
        let status = if self.requests[id.request].is_streaming(id.attempt) {
            self.log_broken_value(id, status);
            self.end_stream(id.request, false);
            Status::Reset
        } else {
            status
        };
        self.end_attempt(id.request, id.attempt, AttemptResult::with_status(status));
    }

    /// Logs that a long value has broken off, and why: its server has stalled (timeout), has ended the connection (reset) or has
    /// sent something else (error), or it waited for memory on a connection that another request needs (cancelled).
    fn log_broken_value(&mut self, id: AttemptId, status: Status) {
        let request = &self.requests[id.request];
        let server = &request.attempts[id.attempt].server;
        let name = &request.id;
        let line = format!("value_broken: request={name} server={server} reason={status:?}");
        self.io.log(&line);
    }

    /// Gives a request its final response and counts it in the metrics.
    pub(super) fn respond(&mut self, key: usize, response: FinalResponse) {
        let request = &self.requests[key];
        self.admin.metrics.count(request.class, &response);
        let chunks = request.protocol.encode(&request.cache_key, response);
        self.respond_encoded(key, chunks);
    }

    /// Gives a request its encoded final response and closes it, so that it gets no second one.
    fn respond_encoded(&mut self, key: usize, chunks: Vec<Bytes>) {
        self.requests.close(key, &mut self.memory);
        let to = self.requests[key].respond_to;
        self.frontends
            .set_response(to, PendingResponse::Ready(chunks));
        self.frontends.recharge(to.client, &mut self.memory);
    }

    /// Starts to stream a long value of `len` bytes to the client, or to collect it if the client waits for responses behind it.
    /// Its attempt provides the response from now on, and the other attempts of the request are cancelled.
    fn start_stream(&mut self, id: AttemptId, connection: usize, len: usize) {
        if !self.requests.is_in_flight(id) {
            return;
        }
        let (key, attempt) = (id.request, id.attempt);
        if self.requests[key].closed {
            return self.end_late_value(key, attempt, connection);
        }
        if !self.upstreams.may_pass_on_value(connection) {
            return self.abandon_attempt(key, attempt, Status::Cancelled);
        }
        let is_collected = self.has_responses_behind(key);
        let now = self.io.now();
        let request = &mut self.requests[key];
        let streamed = &mut request.attempts[attempt];
        request.stream = Some(ValueStream {
            attempt,
            latency: now - streamed.started,
            is_collected,
        });
        // A streamed value may take as long as it moves.
        streamed.expires_at = Micros::MAX;
        if is_collected {
            streamed.expires_at = request.deadline;
            self.timers.set(request.deadline, TimerEvent::Attempt(id));
        }
        let header = request
            .protocol
            .encode_value_header(&request.cache_key, len);
        let to = request.respond_to;
        self.engine.push(Event::ResponseStarted {
            request: request.id.clone(),
            attempt,
        });
        let attempts = request.attempts.len();
        for other in (0..attempts).filter(|other| *other != attempt) {
            self.abandon_attempt(key, other, Status::Cancelled);
        }
        if is_collected {
            return self.collect_value(LongValue {
                attempt: id,
                connection,
                len,
            });
        }
        let stream = PendingResponse::Stream {
            request: key,
            connection,
            header: Some(header),
        };
        self.frontends.set_response(to, stream);
    }

    /// Ends an attempt whose long value starts after its request got its final response: nobody would read it. The decision engine
    /// gets the outcome, since it learns from it how long the server takes.
    pub(super) fn end_late_value(&mut self, key: usize, attempt: usize, connection: usize) {
        let now = self.io.now();
        self.upstreams.abandon(connection, now);
        self.end_attempt(key, attempt, AttemptResult::with_status(Status::Ok));
    }

    /// Ends a collected value that is still incomplete when its time is over.
    pub(super) fn end_overdue_stream(&mut self, key: usize, attempt: usize, now: Micros) {
        let request = self.requests.get(key);
        let Some(request) = request.filter(|request| request.is_streaming(attempt)) else {
            return;
        };
        let streamed = &request.attempts[attempt];
        let Some(connection) = streamed.connection.filter(|_| now >= streamed.expires_at) else {
            return;
        };
        self.upstreams.abandon(connection, now);
        self.end_stream(key, false);
        self.end_attempt(key, attempt, AttemptResult::with_status(Status::Reset));
    }

    /// Ends a streamed value that is complete or has broken off. A client that has received a part of an incomplete value must
    /// notice that it is incomplete, which only the end of the connection can show.
    fn end_stream(&mut self, key: usize, is_complete: bool) {
        let request = &self.requests[key];
        let (to, class, protocol) = (request.respond_to, request.class, request.protocol);
        match self.stream_progress(key) {
            // The client does not wait for this value any more: its connection is left alone.
            StreamProgress::Ended => self.requests.close(key, &mut self.memory),
            _ if is_complete => {
                // Counts as served; the value itself has been streamed.
                self.admin.metrics.count(class, &FinalResponse::NoValue);
                self.respond_encoded(key, protocol.encode_value_trailer());
            }
            StreamProgress::NotBegun => self.respond(key, FinalResponse::Failed),
            StreamProgress::Begun => {
                self.admin.metrics.count(class, &FinalResponse::Failed);
                self.respond_encoded(key, Vec::new());
                // The connection is not closed at once: if unread requests were left, closing would send a reset, which destroys
                // responses that are still on their way.
                let connection = self.frontends.clients.get_mut(to.client);
                let responses = connection.map(ClientConnection::cancel_responses);
                self.cancel_requests(responses.unwrap_or_default());
            }
        }
    }

    /// How far the streamed value of a request has been passed to its client.
    fn stream_progress(&mut self, key: usize) -> StreamProgress {
        let request = &self.requests[key];
        let to = request.respond_to;
        if request.is_collecting() && !request.closed {
            return StreamProgress::NotBegun;
        }
        let connection = self.frontends.connection_for(to);
        let response = connection.and_then(|c| c.response_mut(to.response_number));
        match response {
            Some(PendingResponse::Stream {
                request, header, ..
            }) if *request == key => {
                if header.is_some() {
                    StreamProgress::NotBegun
                } else {
                    StreamProgress::Begun
                }
            }
            _ => StreamProgress::Ended,
        }
    }
}

/// How far a streamed value has been passed to its client.
enum StreamProgress {
    /// Its header has not been queued for writing.
    NotBegun,
    /// Its header has been queued for writing.
    Begun,
    /// It is not, or no longer, the client's response.
    Ended,
}
