//! Requests in flight, their attempts, and what the rules allow for them.
//!
//! Guarantees: an attempt is sent, and one that waited for its connection is written, only if the class of
//! the request permits it in addition to every other attempt that may have run; a request is rejected only if
//! a retry is harmless; each request gets exactly one final response.

use std::collections::{BTreeMap, HashMap};

use crate::api::{
    Action, Actions, Idempotency, Micros, Request, RequestId, ServerId, Settings, Status,
};
use crate::balancer::Balancer;
use crate::outlier_detection::RequestKind;
use crate::server_health::Server;

/// Number of requests for which the index keeps its allocation while it is empty.
const MAX_EMPTY_CAPACITY: usize = 256;

/// One attempt of a request in flight.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) zone: Option<u16>,
    pub(crate) cell: Option<u32>,
    pub(crate) sent: Micros,
    /// Time since `sent` after which a pending attempt counts as silent.
    pub(crate) expected_latency: Micros,
    /// Whether `expected_latency` has passed without a response.
    pub(crate) silent: bool,
    /// Whether it may continue when its request ends: a fetch that is cancelled fills no cache.
    pub(crate) outlives_request: bool,
    /// Whether the process that it reached is the one that the endpoint list named then.
    pub(crate) process_known: bool,
    /// How it ended. None while it is pending.
    pub(crate) status: Option<Status>,
}

impl Attempt {
    pub(crate) fn is_pending(&self) -> bool {
        self.status.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        !self.status.is_some_and(Status::never_ran)
    }
}

/// A request that has not had its final response yet.
pub(crate) struct InFlightRequest {
    pub(crate) request: Request,
    /// Position in the key space, from 0 to 1: from the hash of the key, or drawn if it has none.
    pub(crate) position: f64,
    /// Hash of the key.
    pub(crate) key: Option<u64>,
    pub(crate) arrived: Micros,
    /// Time after which no response is useful: the request is ended then.
    pub(crate) useful_until: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// A streamed response has begun.
    pub(crate) streaming: bool,
    /// No further attempt is sent: the client seems to be disconnected, or the node is about to stop.
    pub(crate) attempts_stopped: bool,
    /// This node has not seen the key served recently: likely needs a fetch from the origin.
    pub(crate) likely_uncached: bool,
    /// The cache server answered with a miss (cache-aside): the next attempt goes to the origin.
    pub(crate) missed: bool,
}

impl InFlightRequest {
    pub(crate) fn pending_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_pending()).count()
    }

    pub(crate) fn kind(&self) -> RequestKind {
        match (self.request.write, self.likely_uncached) {
            (true, _) => RequestKind::Write,
            (false, true) => RequestKind::LikelyUncached,
            (false, false) => RequestKind::LikelyCached,
        }
    }

    /// Whether another attempt may go to this server now. Guards all classes against duplicate effects.
    pub(crate) fn may_send(&self, settings: &Settings, to: &Server, now: Micros) -> bool {
        let would_hedge = self.pending_attempts() > 0;
        if self.attempts.len() >= settings.max_attempts || (would_hedge && !settings.hedging) {
            return false;
        }
        self.may_write(settings, to, now, self.attempts.len())
    }

    /// Whether this attempt may be written to its server now. One that waited for its connection is checked
    /// again, since other attempts may have run in the meantime.
    fn may_write(&self, settings: &Settings, to: &Server, now: Micros, attempt: usize) -> bool {
        let class = &settings.classes[self.request.class];
        if self.streaming || self.attempts_stopped || now >= self.useful_until {
            return false;
        }
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => self.others_that_may_have_run(attempt).next().is_none(),
            Idempotency::Keyed => self.is_deduplicated(settings, to, now, attempt),
        }
    }
}

/// The requests in flight, by serial number, which follows the order of arrival.
#[derive(Default)]
pub(crate) struct InFlightRequests {
    pub(crate) requests: BTreeMap<u64, InFlightRequest>,
    pub(crate) serials: HashMap<RequestId, u64>,
    pub(crate) next_serial: u64,
}

impl InFlightRequests {
    pub(crate) fn insert(&mut self, request: InFlightRequest) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.serials.insert(request.request.id.clone(), serial);
        self.requests.insert(serial, request);
        serial
    }

    fn remove(&mut self, serial: u64) -> Option<InFlightRequest> {
        let request = self.requests.remove(&serial)?;
        self.serials.remove(&request.request.id);
        if self.serials.is_empty() && self.serials.capacity() > MAX_EMPTY_CAPACITY {
            self.serials.shrink_to_fit();
        }
        Some(request)
    }

    pub(crate) fn serial(&self, id: &RequestId) -> Option<u64> {
        self.serials.get(id).copied()
    }

    pub(crate) fn by_id(&mut self, id: &RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(self.serials.get(id)?)
    }
}

impl Balancer {
    /// Returns whether an attempt that waited for its connection is to be written now. Meanwhile the request
    /// may have got its response, the server may be draining, removed or restarted, or the servers that
    /// deduplicate the request's retries may have forgotten it.
    pub fn may_start_attempt(&self, now: Micros, request: &RequestId, attempt: usize) -> bool {
        let serial = self.in_flight.serial(request);
        let Some(request) = serial.and_then(|serial| self.in_flight.requests.get(&serial)) else {
            return false;
        };
        let Some(pending) = request.attempts.get(attempt).filter(|a| a.is_pending()) else {
            return false;
        };
        self.known_server(&pending.server).is_some_and(|server| {
            let started = server.entry.started;
            let same_process = started.is_none_or(|started| started <= pending.sent);
            same_process && request.may_write(&self.settings, server, now, attempt)
        })
    }

    /// Removes a request and cancels its pending attempts, if that is allowed; if `keep_outliving`, all but
    /// those that outlive the request.
    pub(crate) fn end_request(&mut self, serial: u64, keep_outliving: bool, actions: &mut Actions) {
        let Some(request) = self.in_flight.remove(serial) else {
            return;
        };
        for (number, attempt) in request
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.is_pending())
        {
            let id = request.request.id.clone();
            if self.settings.cancel && !(keep_outliving && attempt.outlives_request) {
                actions.push(Action::Cancel {
                    request: id,
                    attempt: number,
                });
            } else if request.forgotten_at(&self.settings, number).is_some() {
                // The timers of the request no longer stop the attempt when the others are forgotten.
                actions.push(Action::CancelUnreceived {
                    request: id,
                    attempt: number,
                });
            }
            self.decrement_pending_attempts(&attempt.server);
        }
    }
}
