//! Connections to the nodes: requests are written on idle ones, and their responses or the ends of their connections handled.

use sloewick_codec::memcached::{self, ResponseReader};
use sloewick_codec::resp2::{DecodeEvent, Element, Reply, ReplyReader};
use sloewick_decision::api::Micros;

use super::answers::{memcached_answer, resp_answer, NodeReply, MAX_BODY_BYTES};
use super::{
    ClientPool, Connection, CrossedClose, PendingRequest, Reader, Timer, GIVE_UP_MARGIN,
    MAX_CONNECTIONS, PING_INTERVAL,
};
use crate::checker::observations::{Answer, Event};
use crate::port::SendTimes;

impl<N: SendTimes> ClientPool<N> {
    /// Sends a request on an idle connection, or on a new one, or queues it until a connection is free.
    pub(super) fn dispatch(&mut self, number: u64) {
        let Some((node, memcached)) = self.requests.get(&number).map(|r| (r.node, r.memcached))
        else {
            return;
        };
        let listener = self.listener(node, memcached);
        while let Some(conn) = self.idle[listener].pop() {
            if self.port.connection(conn).is_some()
                && self.conns.get(&conn).is_some_and(|c| c.is_connected)
            {
                return self.write_request(conn, number);
            }
        }
        if self.open[listener] >= MAX_CONNECTIONS {
            return self.waiting[listener].push_back(number);
        }
        let to = if memcached {
            self.settings.memcached[node]
        } else {
            self.settings.nodes[node]
        };
        match self.port.connect(to) {
            Ok(conn) => {
                self.open[listener] += 1;
                self.add_connection(conn, node, Some(number), false);
            }
            Err(_) => self.request_interrupted(number, false, true, true),
        }
    }

    pub(super) fn listener(&self, node: usize, memcached: bool) -> usize {
        node + if memcached { self.is_up.len() } else { 0 }
    }

    /// Returns the listener that a connection goes to.
    pub(super) fn listener_of(&self, conn: usize) -> Option<usize> {
        let connection = self.conns.get(&conn)?;
        Some(self.listener(
            connection.node,
            matches!(connection.reader, Reader::Memcached(_)),
        ))
    }

    pub(super) fn add_connection(
        &mut self,
        conn: usize,
        node: usize,
        request_number: Option<u64>,
        is_ping: bool,
    ) {
        let memcached = request_number
            .and_then(|n| self.requests.get(&n))
            .is_some_and(|request| request.memcached);
        let reader = if memcached {
            Reader::Memcached(ResponseReader::default())
        } else {
            Reader::Resp(ReplyReader::default())
        };
        self.conns.insert(
            conn,
            Connection {
                node,
                is_connected: false,
                answers: 0,
                reader,
                request_number,
                is_ping,
                partial: false,
            },
        );
        if let Some(request) = request_number.and_then(|n| self.requests.get_mut(&n)) {
            request.conn = Some(conn);
        }
    }

    pub(super) fn write_request(&mut self, conn: usize, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.conn = Some(conn);
        if request.written_at.is_none() {
            // The time limit counts from when the request is written, however long its connection took to open.
            let now = self.port.now();
            request.written_at = Some(now);
            self.port
                .set_timer(now + request.budget + GIVE_UP_MARGIN, Timer::GiveUp(number));
        }
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.request_number = Some(number);
        }
        let bytes = request.bytes.clone();
        let event = if request.resent {
            Event::Resent {
                id: request.id.clone(),
                node: request.node,
            }
        } else {
            Event::RequestSent {
                id: request.id.clone(),
                node: request.node,
                class: request.class,
                tenant: request.tenant,
                key: request.key,
                idempotency_key: request.idempotency_key.clone(),
                first: request.first.clone(),
                budget: request.budget,
            }
        };
        self.recorder.record(self.port.unix(), event);
        self.port.send(conn, bytes);
    }

    pub(super) fn read_replies(&mut self, conn: usize) {
        loop {
            let Some(connection) = self.conns.get_mut(&conn) else {
                return;
            };
            let Some(port_connection) = self.port.connection(conn) else {
                return;
            };
            let next = match &mut connection.reader {
                Reader::Resp(reader) => match reader.next(&mut port_connection.buf) {
                    Ok(Some(DecodeEvent::Complete(reply))) => {
                        Ok(Some(Some(NodeReply::Resp(reply))))
                    }
                    Ok(Some(_)) => Ok(Some(None)),
                    Ok(None) => Ok(None),
                    Err(error) => Err(error.message()),
                },
                Reader::Memcached(reader) => {
                    match reader.next(&mut port_connection.buf, MAX_BODY_BYTES) {
                        Ok(Some(memcached::DecodeEvent::Complete(response))) => {
                            Ok(Some(Some(NodeReply::Memcached(response))))
                        }
                        Ok(Some(_)) => Ok(Some(None)),
                        Ok(None) => Ok(None),
                        Err(error) => Err(error.kind.message()),
                    }
                }
            };
            match next {
                Ok(Some(Some(reply))) => self.handle_reply(conn, reply),
                Ok(Some(None)) => connection.partial = true,
                Ok(None) => {
                    let is_mid_message = match &connection.reader {
                        Reader::Resp(reader) => reader.is_mid_message(),
                        Reader::Memcached(reader) => reader.is_mid_message(),
                    };
                    connection.partial = is_mid_message || !port_connection.buf.is_empty();
                    return;
                }
                Err(error) => {
                    let bytes = error.to_string();
                    self.recorder.record(
                        self.port.unix(),
                        Event::UnsolicitedBytes {
                            node: connection.node,
                            bytes,
                        },
                    );
                    return self.handle_close(conn);
                }
            }
        }
    }

    pub(super) fn handle_reply(&mut self, conn: usize, reply: NodeReply) {
        let Some(connection) = self.conns.get_mut(&conn) else {
            return;
        };
        let node = connection.node;
        if std::mem::take(&mut connection.is_ping) {
            if matches!(&reply, NodeReply::Resp(Reply::Single(Element::Simple(text))) if text == "PONG")
            {
                self.is_up[node] = true;
                self.recorder
                    .record(self.port.unix(), Event::NodeReady { node });
                if self.is_classified_by_key() {
                    // Pings use the RESP2 listener. The connection is closed so that neither protocol has an open
                    // connection before the other.
                    self.port.close(conn);
                    self.conns.remove(&conn);
                    return;
                }
                self.open[node] += 1;
                return self.release_connection(conn);
            }
            self.port.close(conn);
            self.conns.remove(&conn);
            return self
                .port
                .set_timer(self.port.now() + PING_INTERVAL, Timer::Ping(node));
        }
        let Some(number) = connection.request_number.take() else {
            let bytes = format!("{reply:?}").chars().take(120).collect();
            self.recorder
                .record(self.port.unix(), Event::UnsolicitedBytes { node, bytes });
            return;
        };
        connection.answers += 1;
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        let write = self.settings.classes[request.class].write;
        let answer = match reply {
            NodeReply::Resp(reply) => resp_answer(&reply, &request.id, write),
            NodeReply::Memcached(response) => {
                memcached_answer(&response, &request.id, number as u32, write)
            }
        };
        self.recorder.record(
            self.port.unix(),
            Event::Answered {
                id: request.id.clone(),
                answer: answer.clone(),
            },
        );
        self.release_connection(conn);
        self.retry_if_allowed(request, &answer);
    }

    /// Uses a connection for the next waiting request, or marks it as idle.
    pub(super) fn release_connection(&mut self, conn: usize) {
        let Some(listener) = self.listener_of(conn) else {
            return;
        };
        match self.waiting[listener].pop_front() {
            Some(number) => self.write_request(conn, number),
            None => self.idle[listener].push(conn),
        }
    }

    /// Schedules a retry if the answer and the class allow one and the client draws one.
    pub(super) fn retry_if_allowed(&mut self, request: PendingRequest, answer: &Answer) {
        let class = &self.settings.classes[request.class];
        let is_retryable = match answer {
            Answer::Busy(_) => true,
            Answer::Failed => class.free || class.keyed,
            _ => false,
        };
        if !request.is_first || !is_retryable || !self.rng.chance(self.settings.retries) {
            return;
        }
        let wait = match answer {
            Answer::Busy(Some(ms)) => (*ms as Micros * 1000).min(1_000_000),
            _ => self.settings.backoff,
        };
        let now = self.port.now();
        if now + wait - request.first_at < class.deadline {
            self.last_number += 1;
            self.port
                .set_timer(now + wait, Timer::Retry(self.last_number));
            self.requests.insert(
                self.last_number,
                PendingRequest {
                    conn: None,
                    ..request
                },
            );
        }
    }

    /// Handles the end of a connection.
    pub(super) fn handle_close(&mut self, conn: usize) {
        self.port.close(conn);
        let Some(listener) = self.listener_of(conn) else {
            return;
        };
        let Some(connection) = self.conns.remove(&conn) else {
            return;
        };
        self.idle[listener].retain(|i| *i != conn);
        if connection.is_ping {
            return self.port.set_timer(
                self.port.now() + PING_INTERVAL,
                Timer::Ping(connection.node),
            );
        }
        self.open[listener] -= 1;
        if let Some(number) = connection.request_number {
            if connection.is_connected && !connection.partial && connection.answers == 0 {
                if let Some(request) = self.requests.get(&number) {
                    let (id, node) = (request.id.clone(), request.node);
                    self.recorder
                        .record(self.port.unix(), Event::NewConnectionClosed { id, node });
                }
            }
            self.request_interrupted(
                number,
                connection.partial,
                connection.is_connected,
                connection.answers == 0,
            );
        }
        if self.open[listener] < MAX_CONNECTIONS {
            if let Some(number) = self.waiting[listener].pop_front() {
                self.dispatch(number);
            }
        }
    }

    /// Handles the end of a request's connection without a complete answer. `partial`: a part of the answer had been
    /// received; `sent`: the request had been written to the connection; `is_first`: it was the first one on it.
    pub(super) fn request_interrupted(
        &mut self,
        number: u64,
        partial: bool,
        sent: bool,
        is_first: bool,
    ) {
        let now = self.port.now();
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.conn = None;
        if !sent {
            // The request was not sent: the node is unreachable, and the client may retry at another node.
            let Some(request) = self.requests.remove(&number) else {
                return;
            };
            if request.resent {
                // It had been sent on its first connection, so a node may have executed it.
                let answer = Answer::Ended { partial: false };
                self.recorder.record(
                    self.port.unix(),
                    Event::Answered {
                        id: request.id.clone(),
                        answer,
                    },
                );
                return self.retry_if_allowed(request, &Answer::Failed);
            }
            return self.retry_if_allowed(request, &Answer::Busy(None));
        }
        let class = &self.settings.classes[request.class];
        // A request that may not be repeated is not resent: the node may have read it.
        if !partial && !request.resent && (class.free || class.keyed) {
            // A node may close a connection between requests; a request that crossed the close is resent once.
            request.resent = true;
            request.crossed_close = Some(CrossedClose {
                node: request.node,
                after: now - request.written_at.unwrap_or(now),
                is_first,
            });
            let nodes = self.is_up.len();
            let up = (0..nodes)
                .map(|i| (request.node + i) % nodes)
                .find(|n| self.is_up[*n]);
            if let Some(node) = up {
                request.node = node;
                return self.dispatch(number);
            }
        }
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        self.recorder.record(
            self.port.unix(),
            Event::Answered {
                id: request.id.clone(),
                answer: Answer::Ended { partial },
            },
        );
        self.retry_if_allowed(request, &Answer::Failed);
    }
}
