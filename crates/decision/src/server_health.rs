//! Server health: detects servers that fail or do not respond, from the outcomes of attempts and probes.
//!
//! [`Server`] holds the state of one server. A server is ejected when its failures in a row are unlikely to
//! be chance. Each further ejection lasts twice as long; when one has expired, one attempt at a time is sent
//! as a probe. Outliers, whose failures are interspersed with successes, are detected by
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
/// Minimum ejection time: this many connect timeouts or this many ticks, whichever is longer. The maximum
/// is half of the warm-up time, but at least the minimum.
const MIN_EJECTION_CONNECT_TIMEOUTS: i64 = 10;
const MIN_EJECTION_TICKS: i64 = 10;
/// Lower bound of the fraction of attempts that are assumed to exceed their expected latency by chance.
pub(crate) const MIN_SILENT_FRACTION: f64 = 0.02;
/// Time constant of this node's moving averages, in finished requests or attempts.
pub(crate) const AVERAGING_SPAN: f64 = 64.0;
/// Time constant of the moving average of a server's failures, in attempts.
const SERVER_AVERAGING_SPAN: f64 = 16.0;
/// Lower bound of a server's timely fraction: even an overrun server retains this fraction of its range.
pub(crate) const MIN_TIMELY_FRACTION: f64 = 0.1;
/// Timely fraction at or above which a server is given its whole range.
const HEALTHY_TIMELY_FRACTION: f64 = 0.9;
/// An error within this fraction of the expected latency is attributed to the server: the request has not
/// waited for the origin.
const QUICK_ERROR_FRACTION: f64 = 0.5;
/// Lower bound of [`AttemptEvidence::latency_fraction`].
const MIN_LATENCY_FRACTION: f64 = 0.1;

/// State of a server in the partition or in another zone, or of an origin entry.
pub(crate) struct Server {
    pub(crate) entry: Endpoint,
    /// Sort key in the order of servers that all nodes share: a hash of the name.
    pub(crate) order: u64,
    /// Upper bound of its range in the key space, from 0 to 1.
    pub(crate) upper_bound: f64,
    /// Evidence of failures since its last successful response: logarithm of the odds against chance.
    pub(crate) failure_log_odds: f64,
    /// End of its ejection.
    pub(crate) ejected_until: Micros,
    /// Duration of its ejection; 0 if it is not ejected.
    pub(crate) ejection_time: Micros,
    /// Until when a probe request counts as in flight.
    pub(crate) probe_until: Micros,
    /// Fraction of its range that it can serve in time: falls with each attempt that it rejects or that
    /// exceeds its expected latency, rises with each timely response.
    pub(crate) timely_fraction: f64,
    /// Moving average of the fraction of its attempts for recently served keys that failed or were
    /// abandoned.
    pub(crate) failing_fraction: f64,
    /// Attempts of this node that are in flight to it.
    pub(crate) pending_attempts: u32,
    /// Times of the attempts sent to it while it warmed up, within the overload window. They count against
    /// this node's quota.
    pub(crate) cold_sends: VecDeque<Micros>,
    /// When its zone recovered from a loss. None: not lost, or the endpoint list has announced a start
    /// since.
    pub(crate) zone_recovered: Option<Micros>,
    /// Until when it is unknown whether its process is the listed one.
    pub(crate) process_unknown_until: Micros,
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
            process_unknown_until: 0,
        }
    }

    /// Whether the server was ejected and has not responded successfully since, even if the ejection has
    /// expired.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection_time > 0
    }

    /// Whether the server serves enough in time to be given its whole range.
    pub(crate) fn is_timely(&self) -> bool {
        self.timely_fraction >= HEALTHY_TIMELY_FRACTION
    }

    /// Fraction of its range that the server can take, going by its timely fraction alone.
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

/// Evidence from the end of an attempt, with the state of its request at that time.
pub(crate) struct AttemptEvidence {
    pub(crate) kind: RequestKind,
    pub(crate) likely_uncached: bool,
    /// Hash of the key.
    key: Option<u64>,
    /// Ended with an error or a timeout, of which the server or the origin may be the cause.
    pub(crate) failed: bool,
    /// Latency as a fraction of the expected latency, at most 1.
    pub(crate) latency_fraction: f64,
    /// An error too early for the request to have waited for the origin, so that the server is its cause.
    pub(crate) quick_error: bool,
    /// The server alone accounts for the outcome: a quick error, or a response within the expected latency.
    attributed_to_server: bool,
    /// The time since the request arrived exceeds the latency objective of its class.
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
        let quick_error = status == Status::Error && latency_fraction < QUICK_ERROR_FRACTION;
        // An attempt beyond its expected latency has already been counted as a failure by
        // `record_overdue_attempts`.
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
    /// The partition that holds a listed server: that of the other zones or this node's own.
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

    /// A listed server or an origin entry.
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

    /// Whether a server of the partition may get requests: not ejected or due for a probe, in a zone that
    /// is not lost.
    pub(crate) fn is_available(&self, now: Micros, index: usize) -> bool {
        let server = &self.partition.servers[index];
        let probe_due = now >= server.ejected_until && now >= server.probe_until;
        (!server.is_ejected() || probe_due) && !self.zone_health.is_lost(server.entry.zone)
    }

    /// Updates the health of a server and its zone from the outcome of an attempt or a probe, and ejects
    /// the server if its failures are unlikely to be chance. `status` is None for an attempt that has
    /// exceeded its expected latency without a response.
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
        let min_ejection = (MIN_EJECTION_CONNECT_TIMEOUTS * settings.connect_timeout)
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

    /// Evidence of an outcome against its server, as the logarithm of the odds against chance. `status` is
    /// None for an attempt that has exceeded its expected latency. Returns None if the outcome is no
    /// evidence.
    fn failure_evidence(&self, status: Option<Status>) -> Option<f64> {
        match status {
            // A server that cannot be connected to takes no requests from this node, however many other
            // servers fail likewise.
            Some(Status::ConnectFailed) => Some(EJECTION_ODDS.ln()),
            // Two resets in a row eject a server only where few connections break. Guards against ejecting
            // healthy servers when idle connections end at all of them.
            Some(Status::Reset) => {
                Some((EJECTION_ODDS.ln() / 2.0).min(-self.failure_fractions.reset.ln()))
            }
            None => Some(-self.failure_fractions.silent.max(MIN_SILENT_FRACTION).ln()),
            // Timeouts and late errors may be caused by the origin or the load as well as by the server.
            Some(_) => None,
        }
    }

    /// Updates server health and the connection average when an attempt ends, even if its request is no
    /// longer in flight.
    pub(crate) fn observe_attempt_end(
        &mut self,
        now: Micros,
        outcome: &AttemptOutcome,
        actions: &mut Actions,
    ) {
        self.observe_server(now, &outcome.server, Some(outcome.status), actions);
        self.failure_fractions.record_connection(outcome.status);
    }

    /// Updates the outlier detector and the failing fraction of the server when an attempt of a request in
    /// flight ends. A key whose attempt failed no longer counts as recently served.
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

    /// Updates the failing fraction of a server after an attempt for a recently served key. `failed`: it
    /// failed or was abandoned.
    pub(crate) fn record_cached_attempt(&mut self, server: &ServerId, failed: bool) {
        if let Some(server) = self.partition_server(server) {
            let failed = f64::from(u8::from(failed));
            server.failing_fraction += (failed - server.failing_fraction) / SERVER_AVERAGING_SPAN;
        }
    }

    /// Decrements the number of pending attempts of a server.
    pub(crate) fn decrement_pending_attempts(&mut self, server: &ServerId) {
        if let Some(server) = self.partition_server(server) {
            server.end_attempt();
        }
    }

    /// Records the response that an attempt gave to its request as the final one.
    pub(crate) fn record_final_response(
        &mut self,
        outcome: &AttemptOutcome,
        evidence: &AttemptEvidence,
    ) {
        let late = evidence.past_objective;
        // A late response that was fetched is not counted: the origin may have delayed it, however little
        // load the servers have.
        if outcome.is_hit() || !late {
            self.failure_fractions
                .record_request(outcome.status != Status::Ok || late);
        }
    }

    /// Marks an attempt as ended, and records it as timely if it was answered within its expected latency.
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
            self.failure_fractions.record_answered();
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

    /// Records a successful response: its latency, and that the key of a read is likely cached now.
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

    /// Marks the attempts of a request that have exceeded their expected latency as silent, and counts them
    /// against their servers. Attempts of a streamed response are exempt.
    pub(crate) fn record_overdue_attempts(
        &mut self,
        now: Micros,
        serial: u64,
        actions: &mut Actions,
    ) {
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
            self.failure_fractions.record_silent();
            self.observe_server(now, &id, None, actions);
        }
    }

    /// Updates the statistics of servers, origin, retries and this node when a request ends without a
    /// response.
    pub(crate) fn record_unanswered(&mut self, now: Micros, serial: u64) {
        let request = &self.in_flight.requests[&serial];
        let pending = request.attempts.iter().filter(|a| a.is_pending());
        let servers: Vec<ServerId> = pending.map(|a| a.server.clone()).collect();
        let (kind, likely_uncached) = (request.kind(), request.likely_uncached);
        let first_pending = request.attempts.first().is_some_and(Attempt::is_pending);
        let retry_pending = request.attempts.iter().skip(1).any(Attempt::is_pending);
        // A request cut short by its client's disconnect or by the shutdown of the node is no evidence of
        // load.
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
            self.failure_fractions.record_request(true);
        }
        if first_pending {
            self.origin_health.record_attempt(now, kind, None, None);
        }
    }
}

#[cfg(test)]
#[path = "server_health_tests.rs"]
mod tests;
