//! Retries and hedged requests: the retry budget, the hedging delay, and sending the next attempt.
//!
//! Guarantees: the tokens spent on retries are at most a fraction of the requests (`TOKENS_PER_REQUEST`) plus
//! a bounded number, and fewer while retries are not answered either or while responses are late.

use crate::api::{Action, Actions, AttemptOutcome, Idempotency, Micros, RequestId, Status};
use crate::balancer::Balancer;
use crate::in_flight::{Attempt, InFlightRequest};
use crate::selection::Target;
use crate::server_health::{AttemptEvidence, AVERAGING_SPAN};
use crate::status::DecisionReason;
use crate::timer_token::TimerToken;

/// Tokens that each request adds, and the most that are saved up.
const TOKENS_PER_REQUEST: f64 = 0.2;
pub(crate) const MAX_TOKENS: f64 = 10.0;
/// Fraction of retries answered in time from which requests add all of their tokens, and below which they add
/// only the fraction `MIN_REFILL_FRACTION` of them.
const FULL_REFILL_SUCCESS_FRACTION: f64 = 0.9;
const MIN_REFILL_SUCCESS_FRACTION: f64 = 0.5;
const MIN_REFILL_FRACTION: f64 = 0.1;
/// Tokens for a retry after an attempt whose connection broke or was not established: that is no evidence of
/// load, and leaves the server less to do.
const CONNECTION_FAILURE_COST: f64 = 0.25;
/// Tokens for a retry after an attempt that was rejected or not sent.
const NEVER_RAN_COST: f64 = 0.5;
/// Tokens for a hedged request, or for a retry after any other outcome.
const FULL_COST: f64 = 1.0;

/// Tokens for retries and hedged requests, and the fraction of these that succeed.
pub(crate) struct RetryBudget {
    pub(crate) tokens: f64,
    /// Moving average of the fraction of retries that were answered in time.
    pub(crate) success_fraction: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            tokens: MAX_TOKENS / 2.0,
            success_fraction: 1.0,
        }
    }
}

impl RetryBudget {
    /// Adds the tokens of a request that arrived. If retries are not answered either, they only add to the
    /// load that causes them; a few are sent nevertheless, or else the node would not notice that they are
    /// answered again. `late_fraction`: recent fraction of requests that were answered late or not at all.
    pub(crate) fn refill(&mut self, late_fraction: f64) {
        let success = (self.success_fraction - MIN_REFILL_SUCCESS_FRACTION)
            / (FULL_REFILL_SUCCESS_FRACTION - MIN_REFILL_SUCCESS_FRACTION);
        let fraction = success.clamp(MIN_REFILL_FRACTION, 1.0);
        let refill = TOKENS_PER_REQUEST * fraction * (1.0 - 2.0 * late_fraction).max(0.0);
        self.tokens = (self.tokens + refill).min(MAX_TOKENS);
    }

    /// Records the end of a retry, or of its request: whether it was answered in time.
    pub(crate) fn record(&mut self, answered: bool) {
        let answered = f64::from(u8::from(answered));
        self.success_fraction += (answered - self.success_fraction) / AVERAGING_SPAN;
    }
}

/// Returns the tokens that a retry costs after an attempt with this status.
fn retry_cost(status: Status, evidence: &AttemptEvidence) -> f64 {
    match status {
        Status::Miss => 0.0,
        Status::Reset | Status::ConnectFailed => CONNECTION_FAILURE_COST,
        // The sooner it failed, the less work it caused.
        Status::Error => evidence.latency_fraction,
        _ if status.never_ran() => NEVER_RAN_COST,
        _ => FULL_COST,
    }
}

impl Balancer {
    /// Records the outcome of a retry or hedged request; a first attempt is ignored.
    pub(crate) fn record_retry(&mut self, now: Micros, serial: u64, outcome: &AttemptOutcome) {
        let conclusive = matches!(
            outcome.status,
            Status::Ok | Status::Error | Status::Timeout | Status::Rejected
        );
        if outcome.attempt == 0 || !conclusive {
            return;
        }
        let useful_until = self.in_flight.requests[&serial].useful_until;
        self.retry_budget
            .record(outcome.status == Status::Ok && now < useful_until);
    }

    /// Sends the next attempt, or ends the request, after its last pending attempt gave no final response.
    pub(crate) fn retry_or_finish(
        &mut self,
        now: Micros,
        serial: u64,
        outcome: &AttemptOutcome,
        evidence: &AttemptEvidence,
        actions: &mut Actions,
    ) {
        let status = outcome.status;
        let cost = retry_cost(status, evidence);
        let suspects_origin = matches!(status, Status::Timeout | Status::Rejected | Status::Error)
            && !evidence.quick_error;
        // While the origin is overloaded, a retry would cause another fetch, or repeat the write.
        if suspects_origin && self.origin_health.is_overloaded_for(now, evidence.kind) {
            self.finish(now, serial, DecisionReason::OriginOverload, actions);
        } else if self.retry_budget.tokens < cost {
            self.finish(now, serial, DecisionReason::RetryBudget, actions);
        } else if self.send_next(now, serial, actions) {
            self.retry_budget.tokens -= cost;
        } else {
            self.finish(now, serial, DecisionReason::NoServer, actions);
        }
    }

    /// Records silent attempts when the hedging delay has passed, and hedges if allowed and useful.
    pub(crate) fn on_hedge_timer(&mut self, now: Micros, serial: u64, actions: &mut Actions) {
        self.record_overdue_attempts(now, serial, actions);
        let request = self.in_flight.requests.get(&serial);
        let awaits_one_attempt =
            request.is_some_and(|r| !r.streaming && !r.missed && r.pending_attempts() == 1);
        let may_be_overloaded = self.origin_health.may_be_overloaded(now);
        let hedge = self.settings.hedging && awaits_one_attempt && !may_be_overloaded;
        if hedge && self.retry_budget.tokens >= FULL_COST && self.send_next(now, serial, actions) {
            self.retry_budget.tokens -= FULL_COST;
        }
    }

    /// Sends no further attempt for a request; if none is pending, it gets its final response at once.
    pub(crate) fn stop_attempts(&mut self, now: Micros, id: &RequestId, actions: &mut Actions) {
        if let Some(request) = self.in_flight.by_id(id) {
            request.attempts_stopped = true;
        }
        let serial = self.in_flight.serial(id);
        if let Some(serial) = serial.filter(|serial| self.is_idle(*serial)) {
            self.finish(now, serial, DecisionReason::AttemptsStopped, actions);
        }
    }

    /// Sends the next attempt of a request. Returns false if there is no server that it may go to.
    pub(crate) fn send_next(&mut self, now: Micros, serial: u64, actions: &mut Actions) -> bool {
        let request = &self.in_flight.requests[&serial];
        let Some(target) = self.select(now, request) else {
            return false;
        };
        let server = self.target_server(target);
        let entry = &server.entry;
        if !request.may_send(&self.settings, server, now) {
            return false;
        }
        let remaining = request.useful_until - now;
        let hedging_delay = self.hedging_delay(request);
        // If fetches were cancelled with their requests, no cache would be filled during an overload.
        let outlives_request =
            !request.request.write && self.origin_health.is_overloaded_for(now, request.kind());
        let to_origin = matches!(target, Target::Origin(_));
        let attempt = Attempt {
            server: entry.server.clone(),
            zone: entry.zone,
            cell: entry.cell,
            sent: now,
            expected_latency: if to_origin { remaining } else { hedging_delay },
            silent: false,
            outlives_request,
            process_known: server.is_process_known(now),
            status: None,
        };
        actions.push(Action::Send {
            request: request.request.id.clone(),
            server: attempt.server.clone(),
            timeout: Some(self.attempt_timeout(request, &attempt, target)),
        });
        if hedging_delay < remaining && !to_origin {
            actions.push(TimerToken::Hedge(serial).after(hedging_delay));
        }
        self.record_sent(now, serial, target, attempt);
        self.set_deduplication_timers(now, serial, actions);
        true
    }

    /// Returns a high latency quantile of a request's class, within bounds: after it, hedging is useful.
    fn hedging_delay(&self, request: &InFlightRequest) -> Micros {
        let class = &self.settings.classes[request.request.class];
        let quantile = self.latencies.high_quantile[request.request.class] as Micros;
        quantile.clamp(class.latency_objective / 8, class.latency_objective * 5 / 8)
    }

    /// Returns the timeout of an attempt: until its request ends, or half of that for a probe, so that a
    /// retry is still useful. An attempt that outlives its request has until the client's deadline.
    fn attempt_timeout(&self, request: &InFlightRequest, attempt: &Attempt, to: Target) -> Micros {
        let class = &self.settings.classes[request.request.class];
        let may_retry = request.attempts.len() + 1 < self.settings.max_attempts
            && class.idempotency != Idempotency::NonIdempotent;
        let mut timeout = request.useful_until - attempt.sent;
        if may_retry && !self.settings.hedging && self.is_probe(to) {
            timeout /= 2;
        }
        if attempt.outlives_request {
            let waited = attempt.sent - request.arrived;
            timeout = timeout.max(class.deadline.min(request.request.budget) - waited);
        }
        timeout.max(self.settings.tick)
    }

    /// Whether an attempt at this target is a probe of an ejected server.
    fn is_probe(&self, target: Target) -> bool {
        matches!(target, Target::Partition(_)) && self.target_server(target).is_ejected()
    }

    /// Records an attempt that was sent, for its request, its hot key and its server.
    fn record_sent(&mut self, now: Micros, serial: u64, target: Target, attempt: Attempt) {
        let is_probe = self.is_probe(target);
        let Some(request) = self.in_flight.requests.get_mut(&serial) else {
            return;
        };
        request.attempts.push(attempt);
        if let Some(key) = request.key {
            self.partition.hot_keys.rotate(key);
        }
        let Target::Partition(index) = target else {
            return;
        };
        let objective = self.settings.classes[request.request.class].latency_objective;
        let server = &mut self.partition.servers[index];
        server.pending_attempts += 1;
        let started = server.started(now);
        self.slow_start
            .record_send(&mut server.cold_sends, started, now);
        if is_probe {
            server.probe_until = now + objective;
        }
    }
}

#[cfg(test)]
#[path = "retry_tests.rs"]
mod tests;
