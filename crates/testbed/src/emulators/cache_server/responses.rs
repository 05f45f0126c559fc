//! Responses to nodes: results, rejections, errors, and corrupted responses.

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, Status};
use sloewick_codec::resp2::{write_bulk, write_header};
use sloewick_decision::api::Micros;

use super::{CacheServer, Job, Peer, Timer};
use crate::checker::observations::{AttemptOutcome, Event};
use crate::port::SendTimes;

/// The error with which the server answers an attempt.
#[derive(Clone, Copy)]
pub(super) enum ErrorResponse {
    Busy,
    Failed,
}

/// Appends a successful response of the memcached binary protocol; the response to a write has no value.
fn append_memcached_response(out: &mut Vec<u8>, job: &Job, opaque: u32, value: Vec<u8>) {
    let (opcode, flags, value) = if job.write {
        (Opcode::Set, &[][..], Vec::new())
    } else {
        (Opcode::Get, &[0; 4][..], value)
    };
    memcached::write_response(
        out,
        &memcached::Response {
            opcode: opcode as u8,
            status: Status::Ok as u16,
            opaque,
            cas: 0,
            extras: Bytes::from_static(flags),
            key: Bytes::new(),
            value: value.into(),
        },
    );
}

/// Pause between two pieces of an endless value.
const TRICKLE_INTERVAL: Micros = 10_000;
/// A second copy of a response is sent less than this many microseconds after the first, and discarded if the connection has not
/// accepted it after as many more.
const MAX_LATE_SURPLUS: usize = 10_000;
/// Pause before a copy is sent again whose response the connection has not accepted yet.
const LATE_SURPLUS_RETRY_INTERVAL: Micros = 1_000;
/// Unsent bytes of an endless value from which the server stops sending it.
const MAX_UNSENT_BYTES: usize = 1 << 16;

impl<N: SendTimes> CacheServer<N> {
    pub(super) fn reject(&mut self, job: &Job) {
        self.report_outcome(job, AttemptOutcome::Rejected);
        self.send_error(job, ErrorResponse::Busy);
    }

    pub(super) fn send_error(&mut self, job: &Job, response: ErrorResponse) {
        let bytes = match (job.opaque, response) {
            (None, ErrorResponse::Busy) => Bytes::from_static(b"-BUSY\r\n"),
            (None, ErrorResponse::Failed) => Bytes::from_static(b"-ERR failed\r\n"),
            (Some(opaque), response) => {
                let failed = [
                    Status::OutOfMemory,
                    Status::InternalError,
                    Status::TemporaryFailure,
                ];
                let status = match response {
                    ErrorResponse::Busy => Status::Busy,
                    ErrorResponse::Failed => failed[self.rng.below(failed.len())],
                };
                let opcode = if job.write { Opcode::Set } else { Opcode::Get };
                let mut out = Vec::new();
                memcached::write_status(&mut out, opcode as u8, opaque, status);
                out.into()
            }
        };
        self.send_response(job.conn, job.serial, bytes);
    }

    pub(super) fn report_outcome(&self, job: &Job, outcome: AttemptOutcome) {
        let (id, attempt) = (job.id.clone(), job.attempt);
        self.recorder.record(
            self.port.unix(),
            Event::AttemptOutcome {
                id,
                attempt,
                outcome,
            },
        );
    }

    /// Sends the response to an executed attempt, or what a fault makes of it. `cache_status`: "hit", "miss" or
    /// "pending", and empty for a write.
    pub(super) fn send_result(&mut self, job: &Job, cache_status: &str) {
        self.report_outcome(job, AttemptOutcome::Executed);
        if self.rng.chance(self.error_fraction) {
            return self.send_error(job, ErrorResponse::Failed);
        }
        let length = if self.rng.chance(0.02) {
            1000 + self.rng.below(20_000)
        } else {
            20 + self.rng.below(200)
        };
        let mut value = format!("{}|{}|", job.id, job.key).into_bytes();
        value.resize(value.len() + length, b'.');
        let mut out = Vec::with_capacity(value.len() + 48);
        if let Some(opaque) = job.opaque {
            append_memcached_response(&mut out, job, opaque, value);
        } else {
            write_header(&mut out, b'*', 3);
            write_bulk(&mut out, &value);
            if cache_status.is_empty() {
                out.extend_from_slice(b"$-1\r\n");
            } else {
                write_bulk(&mut out, cache_status.as_bytes());
            }
            out.extend_from_slice(b"$-1\r\n");
        }
        if self.rng.chance(self.corrupted_fraction) {
            return self.send_corrupted(job, out);
        }
        if self.rng.chance(self.surplus_fraction) {
            let surplus: &[u8] = if job.opaque.is_some() && self.rng.chance(0.5) {
                // A response with an opaque that no request has.
                b"\x81\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x09\xff\xff\xff\xff\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00wrong"
            } else if job.opaque.is_none() && self.rng.chance(0.5) {
                b"*3\r\n$5\r\nwrong\r\n$3\r\nhit\r\n$-1\r\n"
            } else {
                b"\x00\x7f$*"
            };
            out.extend_from_slice(surplus);
        }
        let out = Bytes::from(out);
        if self.late_surplus_fraction > 0.0 && self.rng.chance(self.late_surplus_fraction) {
            let at = self.port.now() + 1 + self.rng.below(MAX_LATE_SURPLUS) as Micros;
            self.late_surplus
                .insert((job.conn, job.serial), out.clone());
            self.port
                .set_timer(at, Timer::LateSurplus(job.conn, job.serial));
        }
        self.send_response(job.conn, job.serial, out);
    }

    /// Sends the second copy of a response, unless its connection has closed or carries another attempt. Waits for the response if
    /// the connection has not accepted that yet.
    pub(super) fn send_late_surplus(&mut self, conn: usize, serial: u64) {
        let Some(copy) = self.late_surplus.remove(&(conn, serial)) else {
            return;
        };
        if !self.is_idle_connection(conn, serial) {
            return;
        }
        let now = self.port.now();
        if self.port.unsent(conn) > 0 {
            self.late_surplus.insert((conn, serial), copy);
            let again = now + LATE_SURPLUS_RETRY_INTERVAL;
            return self.port.set_timer(again, Timer::LateSurplus(conn, serial));
        }
        self.port.send(conn, copy);
        let over = now + MAX_LATE_SURPLUS as Micros;
        self.port
            .set_timer(over, Timer::LateSurplusOver(conn, serial));
    }

    /// Discards what its connection has not accepted of a second copy, since it would be later than servers are.
    pub(super) fn end_late_surplus(&mut self, conn: usize, serial: u64) {
        if self.is_idle_connection(conn, serial) {
            self.port.discard_unsent(conn);
        }
    }

    /// Whether a connection is open still and carries no attempt.
    fn is_idle_connection(&mut self, conn: usize, serial: u64) -> bool {
        let connection = self.port.connection(conn);
        let is_same = connection.is_some_and(|connection| connection.serial == serial);
        is_same && matches!(self.peers.get(&conn), Some(Peer::Node { busy: false, .. }))
    }

    /// Sends a response that cannot be decoded, of one of several kinds, and stops reading from the connection.
    pub(super) fn send_corrupted(&mut self, job: &Job, valid: Vec<u8>) {
        let out: Vec<u8> = match self.rng.below(6) {
            kind if job.opaque.is_some() => self.corrupted_memcached(job, kind, valid),
            0 => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n".to_vec(),
            1 => vec![b'x'; 700],
            2 => b"*3\r\n$-7\r\n".to_vec(),
            3 => valid[..valid.len() / 2].to_vec(),
            4 => b"*3\r\n$3\r\nabcdefgh\r\n$3\r\nhit\r\n$-1\r\n".to_vec(),
            _ => {
                let serial = job.serial;
                self.port.set_timer(
                    self.port.now() + TRICKLE_INTERVAL,
                    Timer::Trickle(job.conn, serial),
                );
                b"*3\r\n$3000000000\r\n".to_vec()
            }
        };
        if let Some(Peer::Node { corrupted, .. }) = self.peers.get_mut(&job.conn) {
            *corrupted = true;
        }
        if self
            .port
            .connection(job.conn)
            .is_some_and(|l| l.serial == job.serial)
        {
            self.port.send(job.conn, out.into());
        }
    }

    /// Returns a corrupted memcached response of one of several kinds, made from a valid one.
    pub(super) fn corrupted_memcached(
        &mut self,
        job: &Job,
        kind: usize,
        mut valid: Vec<u8>,
    ) -> Vec<u8> {
        match kind {
            0 => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n".to_vec(),
            // The opaque of another request.
            1 => {
                valid[12] ^= 0x80;
                valid
            }
            // Another opcode.
            2 => {
                valid[1] = Opcode::Delete as u8;
                valid
            }
            // A key longer than the body.
            3 => {
                valid[2..4].copy_from_slice(&[0xff, 0xff]);
                valid
            }
            4 => valid[..valid.len() / 2].to_vec(),
            _ => {
                // A body of 4 GB.
                self.port.set_timer(
                    self.port.now() + TRICKLE_INTERVAL,
                    Timer::Trickle(job.conn, job.serial),
                );
                valid[8..12].copy_from_slice(&[0xff; 4]);
                valid
            }
        }
    }

    /// Sends the next piece of an endless value, as long as the node reads it.
    pub(super) fn send_trickle(&mut self, conn: usize, serial: u64) {
        let is_same = self
            .port
            .connection(conn)
            .is_some_and(|l| l.serial == serial);
        if is_same && self.port.unsent(conn) < MAX_UNSENT_BYTES {
            self.port.send(conn, Bytes::from_static(&[b'z'; 4096]));
            self.port.set_timer(
                self.port.now() + TRICKLE_INTERVAL,
                Timer::Trickle(conn, serial),
            );
        }
    }

    /// Sends a response, unless its connection has closed, and reads the next request.
    pub(super) fn send_response(&mut self, conn: usize, serial: u64, bytes: Bytes) {
        if self
            .port
            .connection(conn)
            .is_none_or(|l| l.serial != serial)
        {
            return;
        }
        let now = self.port.now();
        if let Some(Peer::Node {
            busy, last_active, ..
        }) = self.peers.get_mut(&conn)
        {
            (*busy, *last_active) = (false, now);
        }
        self.port.send(conn, bytes);
        self.read_requests(conn);
    }
}
