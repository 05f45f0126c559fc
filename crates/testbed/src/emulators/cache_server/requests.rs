//! Requests from nodes, in RESP2 and the memcached binary protocol: decoding them and queueing their attempts.

use std::collections::HashMap;

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, RequestReader, Status};
use sloewick_codec::resp2::{ByteBudget, Command, CommandReader};
use sloewick_decision::api::Micros;

use super::{CacheServer, Job, Peer};
use crate::checker::observations::{short_id, Event, Id};
use crate::port::SendTimes;

/// Limit of the bytes of one request's values.
const MAX_VALUE_BYTES: usize = 8 << 20;

/// Time limit of a request that states none (memcached): longer than any node waits.
const MAX_WAIT: Micros = 2_500_000;

/// Decodes what a node sends, in the server's protocol.
pub(super) enum Reader {
    Resp(CommandReader),
    Memcached(RequestReader),
}

/// A decoded message of either protocol.
enum Input {
    Command(Command),
    Request(memcached::Request),
}

/// A request of a node, from a message of either protocol.
struct NodeRequest {
    id: Id,
    key: Id,
    write: bool,
    idempotency_key: Option<Id>,
    /// How long the node waits for the response.
    wait: Micros,
    /// The opaque of a memcached request; None for RESP2.
    opaque: Option<u32>,
}

/// Returns the id by which the checker knows a request. If the client is a memcached client, which gives no id, the
/// node made one that ends with the client's opaque.
fn recorded_id(id: &str) -> Id {
    match id.strip_prefix('m').and_then(|rest| rest.rsplit_once('-')) {
        Some((_, opaque)) => short_id(u32::from_str_radix(opaque, 16).unwrap_or(0)),
        None => id.into(),
    }
}

impl<N: SendTimes> CacheServer<N> {
    pub(super) fn read_requests(&mut self, conn: usize) {
        loop {
            let (now, unix) = (self.port.now(), self.port.unix());
            let Some(Peer::Node {
                reader,
                busy,
                corrupted,
                last_active,
                ..
            }) = self.peers.get_mut(&conn)
            else {
                return;
            };
            if *corrupted {
                if let Some(port_connection) = self.port.connection(conn) {
                    port_connection.buf.clear();
                }
                return;
            }
            if *busy {
                return;
            }
            let Some(port_connection) = self.port.connection(conn) else {
                return;
            };
            let first_byte = port_connection.since;
            let mut budget = ByteBudget::new(MAX_VALUE_BYTES);
            let first = port_connection.buf.first().copied();
            let next = match reader {
                Reader::Resp(reader) => match reader.next(&mut port_connection.buf, &mut budget) {
                    Ok(command) => Ok(command.map(Input::Command)),
                    Err(error) => Err(error.message()),
                },
                Reader::Memcached(reader) => {
                    match reader.next(&mut port_connection.buf, &mut budget, MAX_VALUE_BYTES) {
                        Ok(request) => Ok(request.map(Input::Request)),
                        Err(error) => Err(error.kind.message()),
                    }
                }
            };
            if !port_connection.buf.is_empty() {
                port_connection.since = unix;
            }
            match next {
                Ok(Some(input)) => {
                    *last_active = now;
                    match input {
                        Input::Command(command) => self.handle_command(conn, &command, first_byte),
                        Input::Request(request) => {
                            self.handle_memcached_request(conn, &request, first_byte);
                        }
                    }
                }
                Ok(None) => return,
                Err(error) => {
                    self.report_unreadable(first, error.to_string());
                    return self.close_connection(conn);
                }
            }
        }
    }

    /// Reports bytes that cannot be decoded; `first`: the first byte of the message.
    pub(super) fn report_unreadable(&mut self, first: Option<u8>, why: String) {
        // An earlier server at this address may have used the other protocol.
        let other_protocol = if self.settings.memcached { b'*' } else { 0x80 };
        if first == Some(other_protocol) {
            let server = self.settings.number;
            self.recorder
                .record(self.port.unix(), Event::WrongProtocol { server });
        } else {
            self.report_unexpected(why);
        }
    }

    /// Reports a command that no client's request leads to.
    pub(super) fn report_unexpected(&self, bytes: String) {
        self.recorder.record(
            self.port.unix(),
            Event::MalformedCommand {
                server: self.settings.number,
                bytes,
            },
        );
    }

    pub(super) fn handle_memcached_request(
        &mut self,
        conn: usize,
        r: &memcached::Request,
        first_byte: Micros,
    ) {
        let key = std::str::from_utf8(&r.key).unwrap_or_default();
        let is_plain = r.error_status.is_none() && r.cas == 0 && r.extras.iter().all(|b| *b == 0);
        let (write, idempotency_key) = match Opcode::from_code(r.opcode).filter(|_| is_plain) {
            Some(Opcode::Get) => (false, None),
            Some(Opcode::Noop) => {
                let mut out = Vec::new();
                memcached::write_status(&mut out, r.opcode, r.opaque, Status::Ok);
                return self.port.send(conn, out.into());
            }
            Some(Opcode::Set) => {
                let end = r.value.iter().position(|b| *b == b':');
                match end.and_then(|end| std::str::from_utf8(&r.value[..end]).ok()) {
                    Some(idempotency_key) => (
                        true,
                        Some(Id::from(idempotency_key))
                            .filter(|idempotency_key| &**idempotency_key != "-"),
                    ),
                    None => {
                        return self.report_unexpected(
                            "the value has no idempotency key before it".to_string(),
                        )
                    }
                }
            }
            _ => return self.report_unexpected(format!("{r:?}").chars().take(200).collect()),
        };
        let (id, opaque) = (short_id(r.opaque), Some(r.opaque));
        let request = NodeRequest {
            id,
            key: key.into(),
            write,
            idempotency_key,
            wait: MAX_WAIT,
            opaque,
        };
        self.accept_attempt(conn, request, first_byte);
    }

    pub(super) fn handle_command(&mut self, conn: usize, command: &Command, first_byte: Micros) {
        let words = &command.arguments;
        let text = |i: usize| {
            words
                .get(i)
                .and_then(|w| std::str::from_utf8(w).ok())
                .unwrap_or_default()
        };
        match text(0) {
            "PING" => return self.port.send(conn, Bytes::from_static(b"+PONG\r\n")),
            "INFO" => return self.port.send(conn, Bytes::from_static(b"-NOPERM\r\n")),
            _ => {}
        }
        let write = text(0) == "C.SET";
        let fields: HashMap<&str, &str> = text(3)
            .split(',')
            .filter_map(|f| f.split_once('='))
            .collect();
        let wait = fields
            .get("d")
            .and_then(|d| d.parse::<f64>().ok())
            .filter(|d| *d >= 0.0);
        let is_known_command =
            (write && words.len() == 5) || (text(0) == "C.GET" && words.len() == 4);
        let (Some(wait), true, true) = (wait, is_known_command, fields.contains_key("c")) else {
            self.report_unexpected(
                words
                    .iter()
                    .map(|w| String::from_utf8_lossy(w))
                    .collect::<Vec<_>>()
                    .join(" "),
            );
            self.port.send(conn, Bytes::from_static(b"-SYNTAX\r\n"));
            return;
        };
        let request = NodeRequest {
            id: recorded_id(text(2)),
            key: text(1).into(),
            write,
            idempotency_key: fields.get("k").map(|k| Id::from(*k)),
            wait: (wait * 1000.0) as Micros,
            opaque: None,
        };
        self.accept_attempt(conn, request, first_byte);
    }

    /// Records a request as a new attempt and queues or rejects it. `first_byte`: Unix time of the request's first
    /// byte.
    fn accept_attempt(&mut self, conn: usize, request: NodeRequest, first_byte: Micros) {
        let write = request.write;
        self.last_attempt += 1;
        let (now, unix) = (self.port.now(), self.port.unix());
        let mean_work = if write {
            self.settings.write_work
        } else {
            self.settings.read_work
        };
        let mean = mean_work as f64;
        let work = (mean / 4.0 + self.rng.exponential(mean * 0.75)) as Micros;
        let job = Job {
            conn,
            serial: self.port.connection(conn).map_or(0, |l| l.serial),
            attempt: self.last_attempt,
            id: request.id,
            key: request.key,
            write,
            idempotency_key: request.idempotency_key,
            work,
            expires_at: now + request.wait,
            opaque: request.opaque,
        };
        self.recorder.record(
            unix,
            Event::Attempt {
                id: job.id.clone(),
                attempt: job.attempt,
                server: self.settings.number,
                first_byte: self.recorder.since_start(first_byte),
                idempotency_key: job.idempotency_key.clone(),
                work,
            },
        );
        self.count_received_work(mean_work);
        if self.has_crashed {
            return;
        }
        let is_full = self.draining || self.queue.len() >= self.settings.queue_capacity;
        if is_full || job.expires_at <= now {
            return self.reject(&job);
        }
        if let Some(Peer::Node { busy, .. }) = self.peers.get_mut(&conn) {
            *busy = true;
        }
        self.queue.push_back(job);
        self.start_next_task();
    }
}
