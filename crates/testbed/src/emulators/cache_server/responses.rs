//! Responses to nodes: served, rejected, failed and corrupted ones.

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, Status};
use sloewick_codec::resp2::{write_bulk, write_header};
use sloewick_decision::api::Micros;

use super::{CacheServer, Due, Job, Peer};
use crate::checker::observations::{AttemptOutcome, Event};
use crate::port::SendTimes;

/// How an attempt that is not served is answered.
#[derive(Clone, Copy)]
pub(super) enum ErrorResponse {
    Busy,
    Failed,
}

/// A served answer of the binary protocol; a write's has no value.
fn put_answer(out: &mut Vec<u8>, job: &Job, opaque: u32, value: Vec<u8>) {
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

/// Pause between two pieces of a value without end, and the bytes of it that may be unsent.
const TRICKLE_INTERVAL: Micros = 10_000;
const MAX_UNSENT: usize = 1 << 16;

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
        self.answer(job.conn, job.serial, bytes);
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

    pub(super) fn finish(&mut self, job: &Job, how: &str) {
        self.report_outcome(job, AttemptOutcome::Executed);
        if self.rng.chance(self.errors) {
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
            put_answer(&mut out, job, opaque, value);
        } else {
            write_header(&mut out, b'*', 3);
            write_bulk(&mut out, &value);
            if how.is_empty() {
                out.extend_from_slice(b"$-1\r\n");
            } else {
                write_bulk(&mut out, how.as_bytes());
            }
            out.extend_from_slice(b"$-1\r\n");
        }
        if self.rng.chance(self.spoil) {
            return self.send_corrupted(job, out);
        }
        if self.rng.chance(self.surplus) {
            let more: &[u8] = if job.opaque.is_some() && self.rng.chance(0.5) {
                // An answer to no request.
                b"\x81\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x09\xff\xff\xff\xff\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00wrong"
            } else if job.opaque.is_none() && self.rng.chance(0.5) {
                b"*3\r\n$5\r\nwrong\r\n$3\r\nhit\r\n$-1\r\n"
            } else {
                b"\x00\x7f$*"
            };
            out.extend_from_slice(more);
        }
        self.answer(job.conn, job.serial, out.into());
    }

    /// An answer that cannot be read, in one of several ways; the connection is of no further use.
    pub(super) fn send_corrupted(&mut self, job: &Job, whole: Vec<u8>) {
        let out: Vec<u8> = match self.rng.below(6) {
            kind if job.opaque.is_some() => self.corrupted_memcached(job, kind, whole),
            0 => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n".to_vec(),
            1 => vec![b'x'; 700],
            2 => b"*3\r\n$-7\r\n".to_vec(),
            3 => whole[..whole.len() / 2].to_vec(),
            4 => b"*3\r\n$3\r\nabcdefgh\r\n$3\r\nhit\r\n$-1\r\n".to_vec(),
            _ => {
                let serial = job.serial;
                self.port.set_timer(
                    self.port.now() + TRICKLE_INTERVAL,
                    Due::Trickle(job.conn, serial),
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

    pub(super) fn corrupted_memcached(
        &mut self,
        job: &Job,
        kind: usize,
        mut whole: Vec<u8>,
    ) -> Vec<u8> {
        match kind {
            0 => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n".to_vec(),
            // Another's opaque, another opcode, a key beyond its body.
            1 => {
                whole[12] ^= 0x80;
                whole
            }
            2 => {
                whole[1] = Opcode::Delete as u8;
                whole
            }
            3 => {
                whole[2..4].copy_from_slice(&[0xff, 0xff]);
                whole
            }
            4 => whole[..whole.len() / 2].to_vec(),
            _ => {
                // A body of 4 GB.
                self.port.set_timer(
                    self.port.now() + TRICKLE_INTERVAL,
                    Due::Trickle(job.conn, job.serial),
                );
                whole[8..12].copy_from_slice(&[0xff; 4]);
                whole
            }
        }
    }

    /// Sends more of a value without end, while the node reads it.
    pub(super) fn trickle(&mut self, conn: usize, serial: u64) {
        let is_same = self
            .port
            .connection(conn)
            .is_some_and(|l| l.serial == serial);
        if is_same && self.port.unsent(conn) < MAX_UNSENT {
            self.port.send(conn, Bytes::from_static(&[b'z'; 4096]));
            self.port.set_timer(
                self.port.now() + TRICKLE_INTERVAL,
                Due::Trickle(conn, serial),
            );
        }
    }

    pub(super) fn answer(&mut self, conn: usize, serial: u64, bytes: Bytes) {
        if self
            .port
            .connection(conn)
            .is_none_or(|l| l.serial != serial)
        {
            return;
        }
        let now = self.port.now();
        if let Some(Peer::Node { busy, active, .. }) = self.peers.get_mut(&conn) {
            (*busy, *active) = (false, now);
        }
        self.port.send(conn, bytes);
        self.read(conn);
    }
}
