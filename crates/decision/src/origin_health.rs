//! The health of the origin behind the cache servers, as this node sees it, and which requests it lets
//! through to it.
//!
//! Two signals. *Overload*: hardly any fetch is answered in time ([`sloewick_overload::OverloadDetector`],
//! pooled over all servers, so that a node with little traffic detects it within two seconds). And *failing
//! servers*: requests for recently served keys fail at the median server, whatever the reason. During an
//! overload a part of what may need the origin is rejected at once, the remaining fetches are left to their
//! servers, and no attempt is repeated; while servers fail, keys not served recently are let through rarely,
//! recently served keys and writes longer.
//!
//! Guarantees: while servers fail and there is no overload, a request for an unknown key is let through once
//! in a deadline at least; during an overload a fraction that is never zero. So the end of either is
//! detected. No clock and no random numbers of its own.

use sloewick_overload::{AdmissionRamp, Outcome, OverloadDetector, RequestKind};

use crate::api::{AttemptOutcome, CacheMode, CacheResult, Micros, Status};
use crate::balancer::Balancer;
use crate::server_health::{AttemptEvidence, Server};

/// Admitted fraction: its fall with each failed attempt, its rise with each answer, its minimum. In balance
/// about one attempt in six fails.
pub(crate) const FALL_FRACTION: f64 = 0.05;
pub(crate) const RISE_STEP: f64 = 0.01;
pub(crate) const MIN_ADMITTED_FRACTION: f64 = 0.002;
/// Failing fraction for recently served keys above which failed fetches are attributed to the origin.
const MAX_CACHED_FAILURE_FRACTION: f64 = 0.1;
/// Attempts for recently served keys over which the fraction of answered ones is averaged.
const CACHED_SPAN: f64 = 32.0;

/// See the module.
pub(crate) struct OriginHealth {
    mode: CacheMode,
    detector: OverloadDetector,
    ramp: AdmissionRamp,
    /// Fraction of attempts for recently served keys that were answered. During an overload writes invalidate
    /// them one by one.
    cached_success_fraction: f64,
    /// Fraction of requests for unknown keys that is let through, and when the last one was.
    pub(crate) admitted_fraction: f64,
    last_admitted: Micros,
}

impl OriginHealth {
    /// An origin that is healthy.
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

    /// Whether a request of this kind needs the origin, and the origin is overloaded.
    pub(crate) fn is_overloaded_for(&self, now: Micros, kind: RequestKind) -> bool {
        kind != RequestKind::LikelyCached && self.detector.is_overloaded(now)
    }

    /// Whether a hedged request may only add to what keeps the origin from answering: it is or may be
    /// overloaded.
    pub(crate) fn may_be_overloaded(&self, now: Micros) -> bool {
        self.detector.may_be_overloaded(now)
    }

    /// An attempt ended so, or was given up without an outcome (no status).
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
            self.cached_success_fraction += (answered - self.cached_success_fraction) / CACHED_SPAN;
        }
        let outcome = match (status, cache_result) {
            // Beside the caches the origin is requested by the node itself, and a fetch fills no cache by
            // itself.
            _ if self.mode == CacheMode::CacheAside => return,
            (Some(Status::Ok), _) if kind == RequestKind::Write => Outcome::ServedByOrigin,
            (Some(Status::Ok), Some(CacheResult::Hit)) => Outcome::ServedFromCache,
            (Some(Status::Ok), Some(_)) => Outcome::ServedByOrigin,
            (Some(Status::Ok), None) => Outcome::ServedBySomeone,
            (None | Some(Status::Timeout | Status::Rejected | Status::Error), _) => Outcome::Late,
            _ => return,
        };
        self.detector.record(now, kind, outcome);
    }

    /// Whether a request is rejected at once because the origin is overloaded, or was a moment ago: more than
    /// it can serve would only keep its queue so long that nothing is answered in time. `drawn`: from 0 to 1.
    pub(crate) fn sheds(
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

    /// Whether a request is let through while servers may be failing. `drawn`: from 0 to 1.
    pub(crate) fn admits(
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

    /// A request for a key not served recently ended. `cached_failures`: failing fraction for recently served
    /// keys at the median server; a few servers that are slow or broken are not the origin.
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

/// Failing fraction of attempts for recently served keys at the median server. An overload behind the origin
/// holds up all servers; a few that are slow or broken are none.
fn median_cached_failures(servers: &[Server]) -> f64 {
    let mut all: Vec<f64> = servers.iter().map(|s| s.failing_fraction).collect();
    let middle = all.len() / 2;
    if all.is_empty() {
        return 0.0;
    }
    *all.select_nth_unstable_by(middle, f64::total_cmp).1
}

impl Balancer {
    /// An attempt for a key not served recently ended: its outcome is evidence of the origin's health.
    pub(crate) fn record_fetch(&mut self, answered: bool) {
        let servers = &self.partition.servers;
        self.origin_health
            .record_fetch(answered, || median_cached_failures(servers));
    }

    /// What an attempt of a request in flight says of the origin.
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
            // A late fetch counts as a failed one: the origin's queue shows before it fails.
            self.record_fetch(!evidence.failed && !evidence.past_objective);
        }
        // A request that fails, however many attempts it has, is one failure.
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
