//! The cached keys, and the connection to the origin through which the server fetches and writes them.

use sloewick_codec::resp2::{write_bulk, write_header, DecodeEvent, Element, Reply, ReplyReader};
use sloewick_decision::api::Micros;

use super::responses::ErrorResponse;
use super::{CacheServer, Job, Peer, Timer};
use crate::checker::observations::{AttemptOutcome, Id};
use crate::port::SendTimes;
use crate::rng::Rng;

/// Limit of the keys recorded as cached and as invalidated; a run has far fewer keys.
const MAX_KEYS: usize = 200_000;

/// Pause before the server reconnects to the origin.
const ORIGIN_RECONNECT_PAUSE: Micros = 50_000;

fn hash(text: &str, salt: u64) -> u64 {
    let mut rng = Rng::stream(salt, text, 0);
    rng.next_u64()
}

impl<N: SendTimes> CacheServer<N> {
    pub(super) fn is_cached(&self, key: &Id) -> bool {
        if self.cached.contains_key(key) {
            return true;
        }
        if self.settings.cold || self.invalidated.contains(key) {
            return false;
        }
        let is_invalidated = self
            .invalidated_fractions
            .iter()
            .any(|(fraction, salt)| hash(key, *salt) % 1000 < *fraction);
        !is_invalidated
            && (hash(key, self.settings.seed) % 1000) as f64
                <= self.settings.initial_hit_fraction * 1000.0
    }

    pub(super) fn invalidate(&mut self, key: &str) {
        self.cached.remove(key);
        if self.invalidated.len() < MAX_KEYS {
            self.invalidated.insert(key.into());
        }
    }

    /// Sends an attempt to the origin: a write, or the fetch of a key that is not cached.
    pub(super) fn call_origin(&mut self, job: Job, write: bool) {
        let Some(origin) = self.origin.filter(|_| self.origin_up) else {
            self.report_outcome(&job, AttemptOutcome::Executed);
            return self.send_error(&job, ErrorResponse::Failed);
        };
        self.last_origin_call += 1;
        let tag = self.last_origin_call.to_string();
        let mut out = Vec::new();
        if write {
            let idempotency_key = job.idempotency_key.as_deref().unwrap_or("-");
            write_header(&mut out, b'*', 5);
            for word in ["O.SET", &tag, &job.key, &job.id, idempotency_key] {
                write_bulk(&mut out, word.as_bytes());
            }
        } else {
            *self.fetching.entry(job.key.clone()).or_default() += 1;
            write_header(&mut out, b'*', 3);
            for word in ["O.GET", &tag, &job.key] {
                write_bulk(&mut out, word.as_bytes());
            }
        }
        self.port.send(origin, out.into());
        self.origin_calls.insert(self.last_origin_call, job);
    }

    pub(super) fn handle_origin_reply(&mut self, parts: &[Element]) {
        let text = |i: usize| match parts.get(i) {
            Some(Element::Bulk(bytes)) => std::str::from_utf8(bytes).ok(),
            _ => None,
        };
        let number = |i: usize| text(i).and_then(|t| t.parse::<u64>().ok());
        match text(0) {
            Some("VOID") => self.invalidate(text(1).unwrap_or_default()),
            Some("VOIDPART") => {
                let (Some(fraction), Some(salt)) = (number(1), number(2)) else {
                    return;
                };
                self.cached
                    .retain(|key, _| hash(key, salt) % 1000 >= fraction);
                self.invalidated_fractions.push((fraction, salt));
            }
            Some(tag) => {
                let Some(job) = tag
                    .parse()
                    .ok()
                    .and_then(|tag: u64| self.origin_calls.remove(&tag))
                else {
                    return;
                };
                let Some(version) = number(1) else {
                    self.fetch_ended(&job);
                    self.report_outcome(&job, AttemptOutcome::Executed);
                    return self.send_error(&job, ErrorResponse::Failed);
                };
                if !job.write {
                    if self.cached.len() < MAX_KEYS {
                        self.cached.insert(job.key.clone(), version);
                        self.invalidated.remove(&job.key);
                    }
                    let others = self.fetch_ended(&job);
                    return self.send_result(&job, if others { "pending" } else { "miss" });
                }
                self.send_result(&job, "");
            }
            None => {}
        }
    }

    /// Counts the end of a fetch. Returns whether other fetches of its key are still in flight.
    pub(super) fn fetch_ended(&mut self, job: &Job) -> bool {
        let Some(in_flight) = self.fetching.get_mut(&job.key) else {
            return false;
        };
        *in_flight -= 1;
        let others = *in_flight > 0;
        if !others {
            self.fetching.remove(&job.key);
        }
        others
    }

    /// Opens the connection to the origin unless it exists.
    pub(super) fn connect_origin(&mut self) {
        if self.origin.is_some() {
            return;
        }
        match self.port.connect(self.settings.origin) {
            Ok(conn) => {
                self.origin = Some(conn);
                self.origin_reader = ReplyReader::default();
                self.peers.insert(conn, Peer::Origin);
            }
            Err(_) => self.port.set_timer(
                self.port.now() + ORIGIN_RECONNECT_PAUSE,
                Timer::ConnectOrigin,
            ),
        }
    }

    pub(super) fn read_origin(&mut self, conn: usize) {
        loop {
            let Some(port_connection) = self.port.connection(conn) else {
                return;
            };
            match self.origin_reader.next(&mut port_connection.buf) {
                Ok(Some(DecodeEvent::Complete(Reply::Array(parts)))) => {
                    self.handle_origin_reply(&parts);
                }
                Ok(Some(_)) => {}
                Ok(None) => return,
                Err(_) => return self.handle_origin_close(),
            }
        }
    }

    pub(super) fn handle_origin_close(&mut self) {
        if let Some(conn) = self.origin.take() {
            self.port.close(conn);
        }
        self.origin_up = false;
        let mut calls: Vec<(u64, Job)> =
            std::mem::take(&mut self.origin_calls).into_iter().collect();
        calls.sort_by_key(|(call, _)| *call);
        for (_, job) in calls {
            self.fetch_ended(&job);
            self.report_outcome(&job, AttemptOutcome::Executed);
            self.send_error(&job, ErrorResponse::Failed);
        }
        self.port.set_timer(
            self.port.now() + ORIGIN_RECONNECT_PAUSE,
            Timer::ConnectOrigin,
        );
    }
}
