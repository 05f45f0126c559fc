//! Cached copies, and the connection to the origin by which they are fetched and written.

use sloewick_codec::resp2::{write_bulk, write_header, DecodeEvent, Element, Reply, ReplyReader};
use sloewick_decision::api::Micros;

use super::responses::ErrorResponse;
use super::{CacheServer, Due, Job, Peer};
use crate::checker::observations::{AttemptOutcome, Id};
use crate::port::SendTimes;
use crate::rng::Rng;

/// Keys whose fate is remembered; far more than a run has.
const MAX_KEYS: usize = 200_000;

/// How long a box tries to reach the origin again after a break.
const ORIGIN_RETRY_INTERVAL: Micros = 50_000;

fn hash(text: &str, salt: u64) -> u64 {
    let mut rng = Rng::stream(salt, text, 0);
    rng.next_u64()
}

impl<N: SendTimes> CacheServer<N> {
    pub(super) fn is_cached(&self, key: &Id) -> bool {
        if self.cached.contains_key(key) {
            return true;
        }
        if self.set.cold || self.voided.contains(key) {
            return false;
        }
        let void = self
            .void_parts
            .iter()
            .any(|(fraction, salt)| hash(key, *salt) % 1000 < *fraction);
        !void && (hash(key, self.set.seed) % 1000) as f64 <= self.set.initial_hit_fraction * 1000.0
    }

    pub(super) fn void(&mut self, key: &str) {
        self.cached.remove(key);
        if self.voided.len() < MAX_KEYS {
            self.voided.insert(key.into());
        }
    }

    pub(super) fn ask(&mut self, job: Job, write: bool) {
        let Some(origin) = self.origin.filter(|_| self.origin_up) else {
            self.report_outcome(&job, AttemptOutcome::Executed);
            return self.send_error(&job, ErrorResponse::Failed);
        };
        self.call += 1;
        let tag = self.call.to_string();
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
        self.calls.insert(self.call, job);
    }

    pub(super) fn origin_reply(&mut self, parts: &[Element]) {
        let text = |i: usize| match parts.get(i) {
            Some(Element::Bulk(bytes)) => std::str::from_utf8(bytes).ok(),
            _ => None,
        };
        let number = |i: usize| text(i).and_then(|t| t.parse::<u64>().ok());
        match text(0) {
            Some("VOID") => self.void(text(1).unwrap_or_default()),
            Some("VOIDPART") => {
                let (Some(fraction), Some(salt)) = (number(1), number(2)) else {
                    return;
                };
                self.cached
                    .retain(|key, _| hash(key, salt) % 1000 >= fraction);
                self.void_parts.push((fraction, salt));
            }
            Some(tag) => {
                let Some(job) = tag
                    .parse()
                    .ok()
                    .and_then(|tag: u64| self.calls.remove(&tag))
                else {
                    return;
                };
                let Some(version) = number(1) else {
                    self.fetched(&job);
                    self.report_outcome(&job, AttemptOutcome::Executed);
                    return self.send_error(&job, ErrorResponse::Failed);
                };
                if !job.write {
                    if self.cached.len() < MAX_KEYS {
                        self.cached.insert(job.key.clone(), version);
                        self.voided.remove(&job.key);
                    }
                    let others = self.fetched(&job);
                    return self.finish(&job, if others { "pending" } else { "miss" });
                }
                self.finish(&job, "");
            }
            None => {}
        }
    }

    /// A fetch has ended; whether others of its key are still out.
    pub(super) fn fetched(&mut self, job: &Job) -> bool {
        let Some(out) = self.fetching.get_mut(&job.key) else {
            return false;
        };
        *out -= 1;
        let others = *out > 0;
        if !others {
            self.fetching.remove(&job.key);
        }
        others
    }

    /// Opens the connection to the origin, unless there is one.
    pub(super) fn connect_origin(&mut self) {
        if self.origin.is_some() {
            return;
        }
        match self.port.connect(self.set.origin) {
            Ok(conn) => {
                self.origin = Some(conn);
                self.origin_reader = ReplyReader::default();
                self.peers.insert(conn, Peer::Origin);
            }
            Err(_) => self
                .port
                .set_timer(self.port.now() + ORIGIN_RETRY_INTERVAL, Due::Origin),
        }
    }

    pub(super) fn origin_bytes(&mut self, conn: usize) {
        loop {
            let Some(line) = self.port.connection(conn) else {
                return;
            };
            match self.origin_reader.next(&mut line.buf) {
                Ok(Some(DecodeEvent::Complete(Reply::Array(parts)))) => self.origin_reply(&parts),
                Ok(Some(_)) => {}
                Ok(None) => return,
                Err(_) => return self.origin_lost(),
            }
        }
    }

    pub(super) fn origin_lost(&mut self) {
        if let Some(conn) = self.origin.take() {
            self.port.close(conn);
        }
        self.origin_up = false;
        let mut calls: Vec<(u64, Job)> = std::mem::take(&mut self.calls).into_iter().collect();
        calls.sort_by_key(|(call, _)| *call);
        for (_, job) in calls {
            self.fetched(&job);
            self.report_outcome(&job, AttemptOutcome::Executed);
            self.send_error(&job, ErrorResponse::Failed);
        }
        self.port
            .set_timer(self.port.now() + ORIGIN_RETRY_INTERVAL, Due::Origin);
    }
}
