//! Server health: which servers fail or are silent, by the outcomes of attempts and probes.
//!
//! Owns the state of each listed server ([`Server`]) and this node's averages over all of them
//! ([`FailureAverages`]). A server whose failures in a row are unlikely to be chance is ejected for a time
//! that doubles; after it, one attempt is a probe. Outliers, whose failures are spread, are the matter of
//! [`crate::outlier_detection`].

use std::collections::VecDeque;

use crate::api::{Actions, AttemptOutcome, Endpoint, Micros, ServerId, Settings, Status};
use crate::balancer::Balancer;
use crate::hash::hash;
use crate::in_flight::{Attempt, InFlightRequest};
use crate::latency::LatencySample;
use crate::origin_health::{FALL_FRACTION, RISE_STEP};
use crate::outlier_detection::RequestKind;
use crate::partition::Partition;

/// Odds against chance at which failures in a row eject a server.
const EJECTION_ODDS: f64 = 1000.0;
/// First ejection in connect timeouts and in ticks, at least; the longest is half of the warm-up time.
const EJECTION_CONNECT_TIMEOUTS: i64 = 10;
const MIN_EJECTION_TICKS: i64 = 10;
/// The least fraction of attempts that is taken to be silent by chance.
pub(crate) const MIN_SILENT_FRACTION: f64 = 0.02;
/// Finished requests or attempts over which this node's averages are taken.
pub(crate) const AVERAGING_SPAN: f64 = 64.0;
/// Attempts over which a server's failures are averaged.
const SERVER_AVERAGING_SPAN: f64 = 16.0;
/// Least fraction of its range that an overrun server retains.
pub(crate) const MIN_TIMELY_FRACTION: f64 = 0.1;
/// Timely fraction from which a server counts as able to take its whole range.
const HEALTHY_TIMELY_FRACTION: f64 = 0.9;
/// Fraction of the expected latency within which an error is the server's own: nothing has waited for the
/// origin.
const QUICK_FRACTION: f64 = 0.5;
/// Least fraction of the expected latency that an attempt counts for.
const MIN_LATENCY_FRACTION: f64 = 0.1;

/// A server of the partition, of another zone, or an entry of the origin.
pub(crate) struct Server {
    pub(crate) entry: Endpoint,
    /// Place in the order that all nodes share: a hash of the name.
    pub(crate) order: u64,
    /// Upper bound of its range.
    pub(crate) upper_bound: f64,
    /// Evidence of failures since its last answer: logarithm of the odds against chance.
    pub(crate) failure_log_odds: f64,
    /// End and length of its ejection (length 0: not ejected), and until when a probe request is in flight.
    pub(crate) ejected_until: Micros,
    pub(crate) ejection_time: Micros,
    pub(crate) probe_until: Micros,
    /// Fraction of its range that it answers in time: falls with attempts that outlast their expected
    /// latency.
    pub(crate) timely_fraction: f64,
    /// Fraction of its attempts for recently served keys that failed or were given up.
    pub(crate) failing_fraction: f64,
    /// Attempts of this node in flight to it.
    pub(crate) pending_attempts: u32,
    /// When it was sent attempts while it warmed up, within the overload window: they count against this
    /// node's quota.
    pub(crate) cold_sends: VecDeque<Micros>,
    /// When its zone recovered after it was lost.
    pub(crate) zone_recovered: Option<Micros>,
}

impl Server {
    pub(crate) fn new(entry: Endpoint) -> Server {
        let order = hash(&entry.server);
        Server {
            entry,
            order,
            upper_bound: 1.0,
            failure_log_odds: 0.0,
            ejected_until: 0,
            ejection_time: 0,
            probe_until: 0,
            timely_fraction: 1.0,
            failing_fraction: 0.0,
            pending_attempts: 0,
            cold_sends: VecDeque::new(),
            zone_recovered: None,
        }
    }

    /// Ejected and not answered since, also when the time of the ejection is over.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection_time > 0
    }

    /// Answers so much in time that it counts as able to take its whole range.
    pub(crate) fn is_timely(&self) -> bool {
        self.timely_fraction >= HEALTHY_TIMELY_FRACTION
    }

    /// The fraction of its range that it can take as far as it answers in time.
    pub(crate) fn timely_range_fraction(&self) -> f64 {
        if self.is_timely() {
            1.0
        } else {
            self.timely_fraction
        }
    }

    fn end_attempt(&mut self) {
        self.pending_attempts = self.pending_attempts.saturating_sub(1);
    }

    fn record_timely(&mut self) {
        self.timely_fraction = (self.timely_fraction + RISE_STEP).min(1.0);
    }

    fn record_untimely(&mut self) {
        self.timely_fraction =
            (self.timely_fraction * (1.0 - FALL_FRACTION)).max(MIN_TIMELY_FRACTION);
    }
}

/// Fractions of what this node has finished last, at all servers.
pub(crate) struct FailureAverages {
    /// Requests that failed or were answered after their latency objective.
    pub(crate) late: f64,
    /// Attempts that were not answered within their expected latency.
    pub(crate) silent: f64,
    /// Attempts whose connection broke.
    pub(crate) reset: f64,
}

impl Default for FailureAverages {
    fn default() -> FailureAverages {
        FailureAverages {
            late: 0.0,
            silent: MIN_SILENT_FRACTION,
            reset: 0.0,
        }
    }
}

impl FailureAverages {
    /// A request ended.
    pub(crate) fn record_request(&mut self, late: bool) {
        self.late += (f64::from(u8::from(late)) - self.late) / AVERAGING_SPAN;
    }

    fn record_connection(&mut self, status: Status) {
        if matches!(status, Status::Ok | Status::Error | Status::Reset) {
            let reset = f64::from(u8::from(status == Status::Reset));
            self.reset += (reset - self.reset) / AVERAGING_SPAN;
        }
    }

    fn record_answered(&mut self) {
        self.silent -= self.silent / AVERAGING_SPAN;
    }

    fn record_silent(&mut self) {
        self.silent += (1.0 - self.silent) / AVERAGING_SPAN;
    }
}

/// What the end of an attempt says, by its request as it was then.
pub(crate) struct AttemptEvidence {
    pub(crate) kind: RequestKind,
    pub(crate) likely_uncached: bool,
    key: Option<u64>,
    /// Failed for a reason that may be the origin's as well as the server's.
    pub(crate) failed: bool,
    /// Time taken, as a fraction of the expected latency.
    pub(crate) latency_fraction: f64,
    /// An error too soon for anything to have waited for the origin: the server's own.
    pub(crate) quick_error: bool,
    /// Answered or failed by the server's own doing.
    attributed_to_server: bool,
    /// More time has passed since the request arrived than the latency objective of its class.
    pub(crate) past_objective: bool,
}

impl AttemptEvidence {
    pub(crate) fn new(
        now: Micros,
        outcome: &AttemptOutcome,
        request: &InFlightRequest,
        settings: &Settings,
    ) -> AttemptEvidence {
        let objective = settings.classes[request.request.class].latency_objective;
        let attempt = request.attempts.get(outcome.attempt);
        let expected = attempt.map_or(0, |a| a.expected_latency);
        let status = outcome.status;
        let latency_fraction =
            (outcome.latency as f64 / expected.max(1) as f64).clamp(MIN_LATENCY_FRACTION, 1.0);
        let quick_error = status == Status::Error && latency_fraction < QUICK_FRACTION;
        // Silence for too long is evidence already when the expected latency passes.
        let answered = matches!(status, Status::Ok | Status::Miss) && outcome.latency < expected;
        AttemptEvidence {
            kind: request.kind(),
            likely_uncached: request.likely_uncached,
            key: request.key,
            failed: matches!(status, Status::Error | Status::Timeout),
            latency_fraction,
            quick_error,
            attributed_to_server: quick_error || answered,
            past_objective: now - request.arrived > objective,
        }
    }
}

impl Balancer {
    /// The servers among which a listed one stands.
    pub(crate) fn partition_of(&mut self, server: &ServerId) -> &mut Partition {
        if self.other_zones.index.contains_key(server) {
            &mut self.other_zones
        } else {
            &mut self.partition
        }
    }

    pub(crate) fn listed_server(&mut self, server: &ServerId) -> Option<&mut Server> {
        let partition = self.partition_of(server);
        let index = *partition.index.get(server)?;
        Some(&mut partition.servers[index])
    }

    /// A server that an endpoint list has named, or an entry of the origin.
    pub(crate) fn known_server(&self, server: &ServerId) -> Option<&Server> {
        let listed = [&self.partition, &self.other_zones]
            .into_iter()
            .find_map(|p| Some(&p.servers[*p.index.get(server)?]));
        listed.or_else(|| self.origins.iter().find(|s| s.entry.server == *server))
    }

    fn partition_server(&mut self, server: &ServerId) -> Option<&mut Server> {
        let index = *self.partition.index.get(server)?;
        Some(&mut self.partition.servers[index])
    }

    /// Not ejected or due for a probe, in a zone that is not lost.
    pub(crate) fn is_available(&self, now: Micros, index: usize) -> bool {
        let server = &self.partition.servers[index];
        let probe_due = now >= server.ejected_until && now >= server.probe_until;
        (!server.is_ejected() || probe_due) && !self.zone_health.is_lost(server.entry.zone)
    }

    /// What an outcome, or silence (no status), says of a server and its zone.
    pub(crate) fn observe_server(
        &mut self,
        now: Micros,
        server: &ServerId,
        status: Option<Status>,
        actions: &mut Actions,
    ) {
        self.observe_zone(now, server, status, actions);
        let evidence = self.failure_evidence(status);
        let settings = &self.settings;
        let min_ejection = (EJECTION_CONNECT_TIMEOUTS * settings.connect_timeout)
            .max(MIN_EJECTION_TICKS * settings.tick);
        let max_ejection = (settings.warm_up_time / 2).max(min_ejection);
        let Some(server) = self.listed_server(server) else {
            return;
        };
        if status == Some(Status::Rejected) {
            server.record_untimely();
        }
        if matches!(status, Some(Status::Ok | Status::Miss)) {
            server.failure_log_odds = 0.0;
            server.ejection_time = 0;
            return;
        }
        let Some(evidence) = evidence else { return };
        server.failure_log_odds += evidence;
        let unlikely = server.failure_log_odds >= EJECTION_ODDS.ln() - 1e-9;
        if !unlikely || (server.is_ejected() && now < server.ejected_until) {
            return;
        }
        server.ejection_time = (server.ejection_time * 2).clamp(min_ejection, max_ejection);
        server.ejected_until = now + server.ejection_time;
        server.probe_until = 0;
        let reason = status.map_or("silence".to_string(), |s| s.to_string());
        let text = format!(
            "server_ejected: server={} duration_ms={} reason={reason}",
            server.entry.server,
            server.ejection_time / 1000
        );
        self.log(text, actions);
    }

    /// How much an outcome, or silence, says against its server: logarithm of the odds against chance. None:
    /// nothing.
    fn failure_evidence(&self, status: Option<Status>) -> Option<f64> {
        match status {
            // Connection refused: "not to this node", however many other servers did the same.
            Some(Status::ConnectFailed) => Some(EJECTION_ODDS.ln()),
            // Guards against healthy servers ejected because idle connections end at all of them: two in a
            // row look like a crash only where few break.
            Some(Status::Reset) => Some((EJECTION_ODDS.ln() / 2.0).min(-self.averages.reset.ln())),
            None => Some(-self.averages.silent.max(MIN_SILENT_FRACTION).ln()),
            // Late timeouts and errors say as much of the origin and the load as of the server.
            Some(_) => None,
        }
    }

    /// The end of an attempt of whatever request, also of one that is no longer in flight.
    pub(crate) fn observe_attempt_end(
        &mut self,
        now: Micros,
        outcome: &AttemptOutcome,
        actions: &mut Actions,
    ) {
        self.observe_server(now, &outcome.server, Some(outcome.status), actions);
        self.averages.record_connection(outcome.status);
    }

    /// What an attempt of a request in flight says of its server beside all others.
    pub(crate) fn record_server_evidence(
        &mut self,
        now: Micros,
        outcome: &AttemptOutcome,
        evidence: &AttemptEvidence,
    ) {
        let servers = self.partition.servers.len();
        if evidence.attributed_to_server && self.partition.index.contains_key(&outcome.server) {
            let failed = evidence.quick_error;
            self.outliers
                .record(now, &outcome.server, evidence.kind, failed, servers);
        }
        let cached_key = evidence.key.filter(|_| !evidence.likely_uncached);
        let Some(key) = cached_key.filter(|_| outcome.status == Status::Ok || evidence.failed)
        else {
            return;
        };
        let failed = evidence.failed && !evidence.quick_error;
        self.record_cached_attempt(&outcome.server, failed);
        if failed {
            self.recently_served.remove(key);
        }
    }

    /// An attempt for a recently served key was answered, or failed or was given up.
    pub(crate) fn record_cached_attempt(&mut self, server: &ServerId, failed: bool) {
        if let Some(server) = self.partition_server(server) {
            let failed = f64::from(u8::from(failed));
            server.failing_fraction += (failed - server.failing_fraction) / SERVER_AVERAGING_SPAN;
        }
    }

    /// An attempt is not pending any more at its server.
    pub(crate) fn record_end_of_attempt(&mut self, server: &ServerId) {
        if let Some(server) = self.partition_server(server) {
            server.end_attempt();
        }
    }

    /// A request has its final answer.
    pub(crate) fn record_answer(&mut self, outcome: &AttemptOutcome, evidence: &AttemptEvidence) {
        let late = evidence.past_objective;
        // What was fetched is late by the origin's time, however little the servers have to do.
        if outcome.is_hit() || !late {
            self.averages
                .record_request(outcome.status != Status::Ok || late);
        }
    }

    /// Closes the attempt that a report is about, and counts it as timely where it is.
    pub(crate) fn end_attempt(&mut self, serial: u64, outcome: &AttemptOutcome) {
        let Some(request) = self.in_flight.requests.get_mut(&serial) else {
            return;
        };
        let likely_uncached = request.likely_uncached;
        let Some(attempt) = request.attempts.get_mut(outcome.attempt) else {
            return;
        };
        let was_pending = attempt.is_pending();
        attempt.status = Some(outcome.status);
        let timely = !attempt.silent && matches!(outcome.status, Status::Ok | Status::Miss);
        if timely {
            self.averages.record_answered();
        }
        let Some(server) = self.partition_server(&outcome.server) else {
            return;
        };
        if was_pending {
            server.end_attempt();
        }
        if timely && !likely_uncached {
            server.record_timely();
        }
    }

    /// A server served a request: what it took, and that the key is likely cached now.
    pub(crate) fn record_served(&mut self, now: Micros, serial: u64, outcome: &AttemptOutcome) {
        let Some(request) = self.in_flight.requests.get(&serial) else {
            return;
        };
        if let Some(key) = request.key.filter(|_| !request.request.write) {
            let max_age = self.settings.warm_up_time / 2;
            self.recently_served.record(key, now, max_age);
        }
        if let Some(index) = self.partition.index.get(&outcome.server) {
            self.latencies.record(&LatencySample {
                class: request.request.class,
                latency: outcome.latency,
                work: request.request.work,
                server: &self.partition.servers[*index].entry,
                hit: outcome.is_hit(),
            });
        }
    }

    /// Attempts of a request have outlasted their expected latency.
    pub(crate) fn record_silence(&mut self, now: Micros, serial: u64, actions: &mut Actions) {
        let request = self.in_flight.requests.get_mut(&serial);
        let Some(request) = request.filter(|r| !r.streaming) else {
            return;
        };
        let mut silent = Vec::new();
        for attempt in &mut request.attempts {
            let overdue = now >= attempt.sent + attempt.expected_latency;
            if attempt.is_pending() && !attempt.silent && overdue {
                attempt.silent = true;
                silent.push(attempt.server.clone());
            }
        }
        let (likely_uncached, kind) = (request.likely_uncached, request.kind());
        let servers = self.partition.servers.len();
        for id in silent {
            if let Some(server) = self.partition_server(&id) {
                if !likely_uncached {
                    server.record_untimely();
                }
                self.outliers.record(now, &id, kind, true, servers);
            }
            self.averages.record_silent();
            self.observe_server(now, &id, None, actions);
        }
    }

    /// What a request that ends without an answer says of servers, origin, retries and this node.
    pub(crate) fn record_unanswered(&mut self, now: Micros, serial: u64) {
        let request = &self.in_flight.requests[&serial];
        let pending = request.attempts.iter().filter(|a| a.is_pending());
        let servers: Vec<ServerId> = pending.map(|a| a.server.clone()).collect();
        let (kind, likely_uncached) = (request.kind(), request.likely_uncached);
        let first_pending = request.attempts.first().is_some_and(Attempt::is_pending);
        let retry_pending = request.attempts.iter().skip(1).any(Attempt::is_pending);
        // What its client's disconnect or the node's end cut short says nothing of the load.
        let counts_as_late = !request.attempts.is_empty() && !request.attempts_stopped;
        if retry_pending {
            self.retry_budget.record(false);
        }
        if likely_uncached && !servers.is_empty() {
            self.record_fetch(false);
        } else {
            for server in &servers {
                self.record_cached_attempt(server, true);
            }
        }
        if counts_as_late {
            self.averages.record_request(true);
        }
        if first_pending {
            self.origin_health.record_attempt(now, kind, None, None);
        }
    }
}

#[cfg(test)]
#[path = "server_health_tests.rs"]
mod tests;
