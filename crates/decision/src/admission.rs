//! Admission: which requests are rejected at once, and how a request ends that is not answered.
//!
//! Guarantees: a request is rejected only where a retry is harmless, and fails otherwise.

use crate::api::{Action, Actions, Micros};
use crate::balancer::Balancer;
use crate::selection::Target;
use crate::status::DecisionReason;

/// Late fraction above which the node counts as overloaded: tenants over their quota are rejected, and
/// requests beyond what an overrun server answers in time.
const OVER_QUOTA_LATE_FRACTION: f64 = 0.25;
const OVERRUN_LATE_FRACTION: f64 = 0.2;

impl Balancer {
    /// Why a request that has just arrived is rejected, if it is.
    pub(crate) fn rejection(
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
        if over_quota && self.averages.late > OVER_QUOTA_LATE_FRACTION {
            return Some(DecisionReason::OverQuota);
        }
        if self.origin_health.sheds(now, kind, || self.rng.next_unit()) {
            return Some(DecisionReason::OriginOverload);
        }
        if !self.is_admitted(now, serial) {
            return Some(DecisionReason::Admission);
        }
        self.is_overrun(now, serial)
            .then_some(DecisionReason::ServerOverrun)
    }

    /// Guards against congestion behind a slow or flooded origin: fetches that fail hold their servers until
    /// nothing is answered. While attempts fail, keys not served recently, which would be fetched, are let
    /// through rarely, recently served keys and writes longer; now and then one is a probe.
    pub(crate) fn is_admitted(&mut self, now: Micros, serial: u64) -> bool {
        let request = &self.in_flight.requests[&serial];
        let deadline = self.settings.classes[request.request.class].deadline;
        self.origin_health
            .admits(now, request.kind(), deadline, || self.rng.next_unit())
    }

    /// Guards against queues that make every answer late: what an overrun home server cannot answer in time
    /// and no healthy one takes is rejected at once, the same keys first. A home that warms up and that no
    /// healthy server relieves is protected in any case: it would be overloaded.
    fn is_overrun(&self, now: Micros, serial: u64) -> bool {
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
        let is_late = self.averages.late > OVERRUN_LATE_FRACTION;
        if !server.is_timely() && is_late && distance >= server.timely_fraction {
            return true;
        }
        let warm_up = self.warm_up_fraction(now, server);
        let max_fraction = self.slow_start.max_range_fraction(warm_up);
        warm_up < 1.0 && !self.is_within_range(now, request, index, max_fraction)
    }

    /// Ends a request without an answer: rejected where that is allowed, failed otherwise.
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
        let rejected = request.may_reject(&self.settings);
        let waited = now - request.arrived;
        let objective = self.settings.classes[request.request.class].latency_objective;
        actions.push(if rejected {
            let retry_after = self.retry_after(reason, waited >= objective / 2);
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        });
        self.record_unanswered(now, serial);
        let overloaded = self.origin_health.is_overloaded_for(now, kind);
        self.end_request(serial, overloaded, actions);
    }

    /// When the client of a rejected request ought to come back (0: no advice).
    fn retry_after(&mut self, reason: DecisionReason, waited_long: bool) -> Micros {
        let longest = self.settings.max_retry_after;
        match reason {
            // Not all of them at one time.
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
