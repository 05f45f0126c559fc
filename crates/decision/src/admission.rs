//! Admission: which requests are rejected on arrival, and how a request without a response ends.
//!
//! Guarantees: a request is rejected only if a retry is harmless, and fails otherwise.

use crate::api::{Action, Actions, Micros};
use crate::balancer::Balancer;
use crate::selection::Target;
use crate::status::DecisionReason;

/// Fractions of late requests above which the node counts as overloaded: it rejects requests of tenants over
/// their quota, and requests beyond what an overrun server answers in time.
const OVER_QUOTA_LATE_FRACTION: f64 = 0.25;
const OVERRUN_LATE_FRACTION: f64 = 0.2;

impl Balancer {
    /// Returns why a request that has just arrived is rejected, or None if it is admitted.
    pub(crate) fn rejection_reason(
        &mut self,
        now: Micros,
        serial: u64,
        over_quota: bool,
    ) -> Option<DecisionReason> {
        let request = &self.in_flight.requests[&serial];
        let (useful_until, kind) = (request.useful_until, request.kind());
        if useful_until <= now {
            return Some(DecisionReason::BudgetTooShort);
        }
        if over_quota && self.failure_fractions.late > OVER_QUOTA_LATE_FRACTION {
            return Some(DecisionReason::OverQuota);
        }
        if self
            .origin_health
            .should_shed(now, kind, || self.rng.next_unit())
        {
            return Some(DecisionReason::OriginOverload);
        }
        if !self.is_admitted(now, serial) {
            return Some(DecisionReason::Admission);
        }
        self.would_overrun_server(now, serial)
            .then_some(DecisionReason::ServerOverrun)
    }

    /// Returns whether a request is admitted while attempts fail. Guards against congestion behind a slow or
    /// overloaded origin: failing fetches occupy their servers until nothing is answered. Requests for keys
    /// not served recently, which would be fetched, are admitted rarely, with one as a probe from time to
    /// time; recently served keys and writes are restricted later.
    pub(crate) fn is_admitted(&mut self, now: Micros, serial: u64) -> bool {
        let request = &self.in_flight.requests[&serial];
        let deadline = self.settings.classes[request.request.class].deadline;
        self.origin_health
            .should_admit(now, request.kind(), deadline, || self.rng.next_unit())
    }

    /// Returns whether a request is beyond what its server can answer in time. Guards against queues that
    /// make every response late: what an overrun home cannot answer in time and no healthy server takes is
    /// rejected, always the same keys first. A home that warms up and that no healthy server relieves is
    /// protected even if few responses are late: it would be overloaded.
    fn would_overrun_server(&self, now: Micros, serial: u64) -> bool {
        let request = &self.in_flight.requests[&serial];
        let Some(Target::Partition(index)) = self.select(now, request) else {
            return false;
        };
        let server = &self.partition.servers[index];
        let distance = if index == self.partition.home(request.position) {
            self.partition.distance_from_middle(request.position, index)
        } else {
            0.0
        };
        let is_late = self.failure_fractions.late > OVERRUN_LATE_FRACTION;
        if !server.is_timely() && is_late && distance >= server.timely_fraction {
            return true;
        }
        let warm_up = self.warm_up_fraction(now, server);
        let max_fraction = self.slow_start.max_range_fraction(warm_up);
        warm_up < 1.0 && !self.is_within_range(now, request, index, max_fraction)
    }

    /// Ends a request without a response: rejects it if that is allowed, fails it otherwise.
    pub(crate) fn finish(
        &mut self,
        now: Micros,
        serial: u64,
        reason: DecisionReason,
        actions: &mut Actions,
    ) {
        let request = &self.in_flight.requests[&serial];
        self.last_reason = reason;
        let (id, kind) = (request.request.id.clone(), request.kind());
        let waited = now - request.arrived;
        let objective = self.settings.classes[request.request.class].latency_objective;
        let may_reject = request.may_reject(&self.settings, now, 0);
        let retry_after = may_reject.then(|| self.retry_after(reason, waited >= objective / 2));
        let request = &self.in_flight.requests[&serial];
        let is_harmless = |wait: &Micros| request.may_reject(&self.settings, now, *wait);
        actions.push(match retry_after.filter(is_harmless) {
            Some(retry_after) => Action::Reject {
                request: id,
                retry_after,
            },
            None => Action::Fail { request: id },
        });
        self.record_unanswered(now, serial);
        let overloaded = self.origin_health.is_overloaded_for(now, kind);
        self.end_request(serial, overloaded, actions);
    }

    /// Returns the Retry-After of a rejected request (0: none).
    fn retry_after(&mut self, reason: DecisionReason, waited_long: bool) -> Micros {
        let longest = self.settings.max_retry_after;
        match reason {
            // Drawn, so that the clients do not all retry at the same time.
            DecisionReason::OriginOverload => {
                longest - (longest as f64 * self.rng.next_unit() / 2.0) as Micros
            }
            _ if waited_long => longest,
            _ => 0,
        }
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
