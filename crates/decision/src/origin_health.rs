//! Origin health: this node's estimate of the health of the origin behind the cache servers, and the
//! admission of requests that may need the origin.
//!
//! There are two signals:
//! - *Overload*: hardly any fetch is answered in time. [`sloewick_overload::OverloadDetector`] pools the
//!   outcomes of all servers, so that a node with little traffic detects an overload within two seconds.
//!   During an overload a fraction of the requests that may need the origin is rejected at once, the
//!   remaining fetches are left to their servers, and no attempt is retried.
//! - *Failing servers*: requests for recently served keys fail at the median server, whatever the reason.
//!   While servers fail, few requests for keys not served recently are admitted; the admission of recently
//!   served keys and of writes is reduced less.
//!
//! Guarantees: while servers fail without an overload, at least one request for a key not served recently
//! is admitted in each deadline; during an overload the admitted fraction is never zero. So the end of
//! either state is detected. No clock and no random numbers of its own.

use sloewick_overload::{AdmissionRamp, Outcome, OverloadDetector, RequestKind};

use crate::api::{AttemptOutcome, CacheMode, CacheResult, Micros, Status};
use crate::balancer::Balancer;
use crate::server_health::{AttemptEvidence, Server};

/// Admitted fraction: by which fraction it falls with each failed attempt, by how much it rises with each
/// response, and its minimum. In equilibrium about one attempt in six fails. The timely fraction of a
/// server falls and rises by the same steps.
pub(crate) const FALL_FRACTION: f64 = 0.05;
pub(crate) const RISE_STEP: f64 = 0.01;
pub(crate) const MIN_ADMITTED_FRACTION: f64 = 0.002;
/// Failing fraction of attempts for recently served keys, at the median server, above which failed fetches
/// are attributed to the origin.
const MAX_CACHED_FAILURE_FRACTION: f64 = 0.1;
/// Time constant of the moving average of answered attempts for recently served keys, in attempts.
const CACHED_AVERAGING_SPAN: f64 = 32.0;

/// Health of the origin; see the module documentation.
pub(crate) struct OriginHealth {
    mode: CacheMode,
    detector: OverloadDetector,
    ramp: AdmissionRamp,
    /// Moving average of the fraction of attempts for recently served keys that were answered. It falls
    /// during an overload, when writes invalidate the cached keys one by one.
    cached_success_fraction: f64,
    /// Fraction of the requests for keys not served recently that is admitted.
    pub(crate) admitted_fraction: f64,
    /// When a request for a key not served recently was last admitted.
    last_admitted: Micros,
}

impl OriginHealth {
    /// The state of a healthy origin.
    pub(crate) fn new(mode: CacheMode, now: Micros) -> OriginHealth {
        OriginHealth {
            mode,
            detector: OverloadDetector::new(now),
            ramp: AdmissionRamp::new(now),
            cached_success_fraction: 1.0,
            admitted_fraction: 1.0,
            last_admitted: now,
        }
    }

    /// Whether the origin is overloaded and requests of this kind may need it.
    pub(crate) fn is_overloaded_for(&self, now: Micros, kind: RequestKind) -> bool {
        kind != RequestKind::LikelyCached && self.detector.is_overloaded(now)
    }

    /// Whether the origin is or may be overloaded, so that a hedged request could only add to the load that
    /// keeps it from answering.
    pub(crate) fn may_be_overloaded(&self, now: Micros) -> bool {
        self.detector.may_be_overloaded(now)
    }

    /// Records the outcome of an attempt. `status` is None if the attempt was abandoned without an outcome.
    pub(crate) fn record_attempt(
        &mut self,
        now: Micros,
        kind: RequestKind,
        status: Option<Status>,
        cache_result: Option<CacheResult>,
    ) {
        let counted =
            status.is_none_or(|s| matches!(s, Status::Ok | Status::Timeout | Status::Rejected));
        if kind == RequestKind::LikelyCached && counted {
            let answered = f64::from(u8::from(status == Some(Status::Ok)));
            self.cached_success_fraction +=
                (answered - self.cached_success_fraction) / CACHED_AVERAGING_SPAN;
        }
        let outcome = match (status, cache_result) {
            // In cache-aside mode the node itself sends requests to the origin, and a fetch does not fill a
            // cache.
            _ if self.mode == CacheMode::CacheAside => return,
            (Some(Status::Ok), _) if kind == RequestKind::Write => Outcome::ServedByOrigin,
            (Some(Status::Ok), Some(CacheResult::Hit)) => Outcome::ServedFromCache,
            (Some(Status::Ok), Some(_)) => Outcome::ServedByOrigin,
            (Some(Status::Ok), None) => Outcome::ServedByUnknownSource,
            (None | Some(Status::Timeout | Status::Rejected | Status::Error), _) => {
                Outcome::NotServedInTime
            }
            _ => return,
        };
        self.detector.record(now, kind, outcome);
    }

    /// Whether a request is rejected at once because the origin is overloaded or was a moment ago: more
    /// requests than it can serve would only lengthen its queue until nothing is answered in time. `drawn`
    /// returns a random number from 0 to 1.
    pub(crate) fn should_shed(
        &mut self,
        now: Micros,
        kind: RequestKind,
        drawn: impl FnOnce() -> f64,
    ) -> bool {
        let overloaded = self.detector.is_overloaded(now);
        let admitted = self.ramp.admitted_fraction(now, overloaded);
        let fraction = if kind == RequestKind::LikelyCached {
            admitted.max(self.cached_success_fraction)
        } else {
            admitted
        };
        admitted < 1.0 && drawn() >= fraction
    }

    /// Whether a request is admitted while servers may be failing. `drawn` returns a random number from 0
    /// to 1.
    pub(crate) fn should_admit(
        &mut self,
        now: Micros,
        kind: RequestKind,
        deadline: Micros,
        drawn: impl FnOnce() -> f64,
    ) -> bool {
        let exponent = match kind {
            RequestKind::Write => 0.5,
            RequestKind::LikelyUncached => 1.0,
            RequestKind::LikelyCached => 0.1,
        };
        let uncached = kind == RequestKind::LikelyUncached;
        let probe = uncached && now - self.last_admitted > deadline;
        let admitted = probe
            || self.admitted_fraction >= 1.0
            || drawn() < self.admitted_fraction.powf(exponent);
        if admitted && uncached {
            self.last_admitted = now;
        }
        admitted
    }

    /// Records the end of a request for a key not served recently. `cached_failures` returns the failing
    /// fraction for recently served keys at the median server; a few slow or broken servers are not a fault
    /// of the origin.
    pub(crate) fn record_fetch(&mut self, answered: bool, cached_failures: impl FnOnce() -> f64) {
        if answered {
            self.admitted_fraction = (self.admitted_fraction + RISE_STEP).min(1.0);
        } else if self.mode == CacheMode::CacheAside
            || cached_failures() > MAX_CACHED_FAILURE_FRACTION
        {
            self.admitted_fraction =
                (self.admitted_fraction * (1.0 - FALL_FRACTION)).max(MIN_ADMITTED_FRACTION);
        }
    }
}

/// Failing fraction of attempts for recently served keys at the median server. An overload behind the
/// servers delays all of them; the median ignores a few that are slow or broken.
fn median_cached_failures(servers: &[Server]) -> f64 {
    let mut all: Vec<f64> = servers.iter().map(|s| s.failing_fraction).collect();
    let middle = all.len() / 2;
    if all.is_empty() {
        return 0.0;
    }
    *all.select_nth_unstable_by(middle, f64::total_cmp).1
}

impl Balancer {
    /// Records the outcome of an attempt for a key not served recently as evidence of the origin's health.
    pub(crate) fn record_fetch(&mut self, answered: bool) {
        let servers = &self.partition.servers;
        self.origin_health
            .record_fetch(answered, || median_cached_failures(servers));
    }

    /// Updates the health of the origin when an attempt of a request in flight ends.
    pub(crate) fn record_origin_evidence(
        &mut self,
        now: Micros,
        outcome: &AttemptOutcome,
        evidence: &AttemptEvidence,
    ) {
        let status = outcome.status;
        if evidence.quick_error {
            return;
        }
        if evidence.likely_uncached && (status == Status::Ok || evidence.failed) {
            // A late fetch counts as failed: the queue of the origin delays responses before requests fail.
            self.record_fetch(!evidence.failed && !evidence.past_objective);
        }
        // The failures of a request count once, however many attempts it has.
        if outcome.attempt == 0 || status == Status::Ok {
            self.origin_health.record_attempt(
                now,
                evidence.kind,
                Some(status),
                outcome.cache_result,
            );
        }
    }
}

#[cfg(test)]
#[path = "origin_health_tests.rs"]
mod tests;
