//! Requests of nodes, in RESP2 and the memcached binary protocol: reading them and taking them up.

use std::collections::HashMap;

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, RequestReader, Status};
use sloewick_codec::resp2::{ByteBudget, Command, CommandReader};
use sloewick_decision::api::Micros;

use super::{CacheServer, Job, Peer};
use crate::checker::observations::{short_id, Event, Id};
use crate::port::SendTimes;

/// Memory for values of writes that wait.
const MAX_VALUE_BYTES: usize = 8 << 20;

/// How long a box works on what tells no time: longer than any node waits.
const MAX_WAIT: Micros = 2_500_000;

/// Cuts what a node sends.
pub(super) enum Reader {
    Resp(CommandReader),
    Memcached(RequestReader),
}

enum Input {
    Command(Command),
    Request(memcached::Request),
}

/// What a node sent, in either protocol.
struct NodeRequest {
    id: Id,
    key: Id,
    write: bool,
    idempotency_key: Option<Id>,
    /// How long the node waits.
    wait: Micros,
    opaque: Option<u32>,
}

/// A request's name: of a client that gave none, what its node made ends with the client's opaque.
fn name(id: &str) -> Id {
    match id.strip_prefix('m').and_then(|rest| rest.rsplit_once('-')) {
        Some((_, opaque)) => short_id(u32::from_str_radix(opaque, 16).unwrap_or(0)),
        None => id.into(),
    }
}

impl<N: SendTimes> CacheServer<N> {
    pub(super) fn read(&mut self, conn: usize) {
        loop {
            let (now, unix) = (self.port.now(), self.port.unix());
            let Some(Peer::Node {
                reader,
                busy,
                corrupted,
                active,
                ..
            }) = self.peers.get_mut(&conn)
            else {
                return;
            };
            if *corrupted {
                if let Some(line) = self.port.connection(conn) {
                    line.buf.clear();
                }
                return;
            }
            if *busy {
                return;
            }
            let Some(line) = self.port.connection(conn) else {
                return;
            };
            let first_byte = line.since;
            let mut budget = ByteBudget::new(MAX_VALUE_BYTES);
            let first = line.buf.first().copied();
            let next = match reader {
                Reader::Resp(reader) => match reader.next(&mut line.buf, &mut budget) {
                    Ok(command) => Ok(command.map(Input::Command)),
                    Err(broken) => Err(broken.message()),
                },
                Reader::Memcached(reader) => {
                    match reader.next(&mut line.buf, &mut budget, MAX_VALUE_BYTES) {
                        Ok(request) => Ok(request.map(Input::Request)),
                        Err(broken) => Err(broken.kind.message()),
                    }
                }
            };
            if !line.buf.is_empty() {
                line.since = unix;
            }
            match next {
                Ok(Some(input)) => {
                    *active = now;
                    match input {
                        Input::Command(command) => self.command(conn, &command, first_byte),
                        Input::Request(request) => self.request(conn, &request, first_byte),
                    }
                }
                Ok(None) => return,
                Err(broken) => {
                    self.unreadable(first, broken.to_string());
                    return self.close(conn);
                }
            }
        }
    }

    /// Reports bytes that cannot be read; `first`: the first byte of the message.
    pub(super) fn unreadable(&mut self, first: Option<u8>, why: String) {
        // A server that had the address before may have spoken the other protocol.
        let other_protocol = if self.set.memcached { b'*' } else { 0x80 };
        if first == Some(other_protocol) {
            let server = self.set.number;
            self.recorder
                .record(self.port.unix(), Event::WrongProtocol { server });
        } else {
            self.report_unexpected(why);
        }
    }

    /// A node sent what no client asks for.
    pub(super) fn report_unexpected(&self, bytes: String) {
        self.recorder.record(
            self.port.unix(),
            Event::MalformedCommand {
                server: self.set.number,
                bytes,
            },
        );
    }

    pub(super) fn request(&mut self, conn: usize, r: &memcached::Request, first_byte: Micros) {
        let key = std::str::from_utf8(&r.key).unwrap_or_default();
        let plain = r.error_status.is_none() && r.cas == 0 && r.extras.iter().all(|b| *b == 0);
        let (write, idempotency_key) = match Opcode::from_code(r.opcode).filter(|_| plain) {
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
                        return self
                            .report_unexpected("a value without a key before it".to_string())
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
        self.take(conn, request, first_byte);
    }

    pub(super) fn command(&mut self, conn: usize, command: &Command, first_byte: Micros) {
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
        let known = (write && words.len() == 5) || (text(0) == "C.GET" && words.len() == 4);
        let (Some(wait), true, true) = (wait, known, fields.contains_key("c")) else {
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
            id: name(text(2)),
            key: text(1).into(),
            write,
            idempotency_key: fields.get("k").map(|k| Id::from(*k)),
            wait: (wait * 1000.0) as Micros,
            opaque: None,
        };
        self.take(conn, request, first_byte);
    }

    fn take(&mut self, conn: usize, request: NodeRequest, first_byte: Micros) {
        let write = request.write;
        self.attempts += 1;
        let (now, unix) = (self.port.now(), self.port.unix());
        let mean = if write {
            self.set.write_work
        } else {
            self.set.read_work
        } as f64;
        let work = (mean / 4.0 + self.rng.exponential(mean * 0.75)) as Micros;
        let job = Job {
            conn,
            serial: self.port.connection(conn).map_or(0, |l| l.serial),
            attempt: self.attempts,
            id: request.id,
            key: request.key,
            write,
            idempotency_key: request.idempotency_key,
            work,
            over: now + request.wait,
            opaque: request.opaque,
        };
        self.recorder.record(
            unix,
            Event::Attempt {
                id: job.id.clone(),
                attempt: job.attempt,
                server: self.set.number,
                first_byte: self.recorder.since_start(first_byte),
                idempotency_key: job.idempotency_key.clone(),
                work,
            },
        );
        self.receive(work);
        if self.fallen {
            return;
        }
        let full = self.draining || self.queue.len() >= self.set.queue_capacity;
        if full || job.over <= now {
            return self.reject(&job);
        }
        if let Some(Peer::Node { busy, .. }) = self.peers.get_mut(&conn) {
            *busy = true;
        }
        self.queue.push_back(job);
        self.start();
    }
}
