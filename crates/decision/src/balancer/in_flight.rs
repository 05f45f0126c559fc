//! A request that is owed its final answer, its attempts, and what the rules allow for it.
//!
//! Guaranteed: an attempt is allowed, and an attempt that waited for its connection is written, only where the class
//! permits it beside every other attempt that may have run; a refusal only where another try is harmless.

use super::Balancer;
use crate::api::{
    DeduplicationScope, Endpoint, Idempotency, Micros, Request, RequestId, ServerId, Settings,
    Status,
};
use crate::outlier_detection::Asked;

/// One attempt of a held request.
pub(super) struct Attempt {
    pub server: ServerId,
    pub zone: Option<u16>,
    pub cell: Option<u32>,
    pub sent: Micros,
    /// How long an answer of its class may well take; passed with nothing heard.
    pub patience: Micros,
    pub silent: bool,
    /// Left to its server when its request ends: a fetch that is dropped fills no cache.
    pub stays: bool,
    pub status: Option<Status>,
}

impl Attempt {
    pub fn pending(&self) -> bool {
        self.status.is_none()
    }

    pub fn may_have_run(&self) -> bool {
        !self.status.is_some_and(Status::never_ran)
    }
}

/// A request that is owed its final answer.
pub(super) struct Held {
    pub request: Request,
    pub at: f64,
    pub key: Option<u64>,
    pub arrived: Micros,
    /// No answer after this is worth anything: the module ends it then.
    pub end: Micros,
    pub attempts: Vec<Attempt>,
    pub streaming: bool,
    /// Nothing more is sent: its client seems to have left, or the node is about to end.
    pub no_more: bool,
    /// Not served lately by what this node knows: likely a fetch from the origin.
    pub doubtful: bool,
    /// The cache lacked it (aside): the origin is next.
    pub missed: bool,
}

impl Held {
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.pending()).count()
    }

    pub fn asked(&self) -> Asked {
        match (self.request.write, self.doubtful) {
            (true, _) => Asked::Write,
            (false, true) => Asked::Doubtful,
            (false, false) => Asked::Known,
        }
    }

    /// May another attempt go to this server now? Guards "no effect twice" for all classes.
    pub fn may_send(&self, set: &Settings, to: &Endpoint, now: Micros) -> bool {
        if self.attempts.len() >= set.max_attempts || (self.out() > 0 && !set.hedging) {
            return false;
        }
        self.may_write(set, to, now, self.attempts.len())
    }

    /// May this attempt be written to its server now, whatever held when it was chosen? One that waited for its
    /// connection comes to this question late, when the others may have run.
    pub fn may_write(&self, set: &Settings, to: &Endpoint, now: Micros, attempt: usize) -> bool {
        let class = &set.classes[self.request.class];
        if self.streaming || self.no_more || now >= self.end {
            return false;
        }
        let others = self
            .attempts
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != attempt);
        let mut ran = others.map(|(_, a)| a).filter(|a| a.may_have_run());
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::Keyed => ran.all(|a| {
                now + set.tick < a.sent + class.deduplication_window
                    && match class.deduplication_scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => a.zone.is_some() && a.zone == to.zone,
                        DeduplicationScope::Cell => a.cell.is_some() && a.cell == to.cell,
                    }
            }),
        }
    }

    /// May it be refused, which tells the client that another try is harmless?
    pub fn may_refuse(&self, set: &Settings) -> bool {
        let class = &set.classes[self.request.class];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed if class.deduplication_scope == DeduplicationScope::All => true,
            _ => !self.attempts.iter().any(Attempt::may_have_run),
        }
    }
}

impl Balancer {
    /// Whether an attempt that has waited for its connection is to be written now. What held when it was chosen may hold
    /// no more: the request may be over, its server drain, be gone or have started anew, the memory of the group that
    /// drops its repeats be over.
    pub fn may_start_attempt(&self, now: Micros, request: &RequestId, attempt: usize) -> bool {
        let Some(held) = self
            .ids
            .get(request)
            .and_then(|serial| self.held.get(serial))
        else {
            return false;
        };
        let Some(a) = held.attempts.get(attempt).filter(|a| a.pending()) else {
            return false;
        };
        let near = [&self.line, &self.far]
            .into_iter()
            .find_map(|line| Some(&line.servers[*line.index.get(&a.server)?]));
        let server = near.or_else(|| self.origins.iter().find(|s| s.entry.server == a.server));
        server.is_some_and(|s| {
            let same = s.entry.started.is_none_or(|started| started <= a.sent);
            same && held.may_write(&self.set, &s.entry, now, attempt)
        })
    }
}
