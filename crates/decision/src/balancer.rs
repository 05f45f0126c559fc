//! The [`Balancer`] owns the decision state of one node and dispatches each event to the module that handles
//! it.
//!
//! Guarantees: the same settings, seed and events at the same times produce the same actions. The code does
//! no I/O and reads no clock.
//!
//! `partition` and `hot_keys` assign keys to servers, `selection` chooses the server of an attempt, `retry`
//! sends attempts, `admission` rejects requests, and `in_flight` stores the requests in flight and checks
//! what the rules allow for them. Further modules track health, slow start, tenant quotas and membership.

use crate::api::{
    Actions, AttemptOutcome, CacheMode, Event, InvalidSettings, Micros, Request, Settings, Status,
};
use crate::checkpoint::RestoredCheckpoint;
use crate::failure_fractions::FailureFractions;
use crate::hash::{hash, unit_interval};
use crate::in_flight::{InFlightRequest, InFlightRequests};
use crate::latency::LatencyEstimates;
use crate::membership::EndpointListPolls;
use crate::origin_health::OriginHealth;
use crate::outlier_detection::OutlierDetector;
use crate::partition::Partition;
use crate::recently_served::RecentlyServed;
use crate::retry::RetryBudget;
use crate::rng::Rng;
use crate::server_health::{AttemptEvidence, Server};
use crate::slow_start::SlowStart;
use crate::status::DecisionReason;
use crate::tenant_quota::TenantQuotas;
use crate::timer_token::TimerToken;
use crate::zone_health::ZoneHealth;

/// The decision engine of one node.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    /// The servers among which the key space is partitioned.
    pub(crate) partition: Partition,
    /// The servers of other zones, if zones are separated; empty otherwise.
    pub(crate) other_zones: Partition,
    /// Endpoints of the origin (cache-aside mode), sorted by name.
    pub(crate) origins: Vec<Server>,
    /// Range weights of the partition's servers, in partition order, as of the last update.
    pub(crate) weights: Vec<f64>,
    pub(crate) endpoint_list_polls: EndpointListPolls,
    /// Checkpoint of the previous process, until a complete endpoint list names one of its servers.
    pub(crate) restored: Option<RestoredCheckpoint>,
    pub(crate) latencies: LatencyEstimates,
    pub(crate) failure_fractions: FailureFractions,
    pub(crate) outliers: OutlierDetector,
    pub(crate) slow_start: SlowStart,
    pub(crate) zone_health: ZoneHealth,
    pub(crate) origin_health: OriginHealth,
    pub(crate) recently_served: RecentlyServed,
    pub(crate) in_flight: InFlightRequests,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) tenant_quotas: TenantQuotas,
    /// Why the last request that was rejected or failed was ended.
    pub(crate) last_reason: DecisionReason,
    pub(crate) log_lines: u32,
}

impl Balancer {
    /// Creates the balancer of a node. `seed` seeds its random generator; `now` is the node's current time.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSettings`] if the rules cannot be kept under these settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Balancer, InvalidSettings> {
        settings.validate()?;
        let objectives = settings.classes.iter().map(|c| c.latency_objective);
        Ok(Balancer {
            rng: Rng(seed),
            partition: Partition::default(),
            other_zones: Partition::default(),
            origins: Vec::new(),
            weights: Vec::new(),
            endpoint_list_polls: EndpointListPolls::default(),
            restored: None,
            latencies: LatencyEstimates::new(objectives),
            failure_fractions: FailureFractions::default(),
            outliers: OutlierDetector::default(),
            slow_start: SlowStart::new(&settings, seed),
            zone_health: ZoneHealth::default(),
            origin_health: OriginHealth::new(settings.mode, now),
            recently_served: RecentlyServed::default(),
            in_flight: InFlightRequests::default(),
            retry_budget: RetryBudget::default(),
            tenant_quotas: TenantQuotas::new(&settings, now),
            last_reason: DecisionReason::None,
            log_lines: 0,
            settings,
        })
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Actions) {
        match event {
            Event::EndpointList(kind, entries) => {
                self.on_endpoint_list(now, kind, &entries, actions);
            }
            Event::EndpointListFailed => self.on_endpoint_list_failed(actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::ResponseStarted { request, .. } => {
                if let Some(request) = self.in_flight.by_id(&request) {
                    request.streaming = true;
                }
            }
            Event::AttemptEnded(outcome) => self.on_attempt_ended(now, &outcome, actions),
            Event::StopAttempts(request) => self.stop_attempts(now, &request, actions),
            Event::ClientDisconnected(request) => {
                if let Some(serial) = self.in_flight.serial(&request) {
                    self.end_request(serial, false, actions);
                }
            }
            Event::TimerExpired(token) => self.on_timer(now, token.into(), actions),
            Event::ProbeEnded { server, status, .. } => {
                self.observe_server(now, &server, Some(status), actions);
            }
            Event::ConnectionsChanged(id, change) => self.on_connections_changed(now, &id, change),
            Event::PeerMessage { .. } => {}
        }
    }

    fn on_request(&mut self, now: Micros, request: Request, actions: &mut Actions) {
        let key = request.key.as_deref().map(hash);
        let position = key.map_or_else(|| self.rng.next_unit(), unit_interval);
        self.update_slow_start(now);
        self.partition.record_arrival(position, key);
        self.slow_start.record_arrival(now);
        self.update_bounds_if_due(now);
        self.retry_budget.refill(self.failure_fractions.late);
        let arrivals = self.partition.hot_keys.arrivals;
        let over_quota = self
            .tenant_quotas
            .is_exceeded(now, request.tenant, arrivals);
        let useful_until = self.useful_until(now, &request);
        let likely_uncached = self.is_likely_uncached(&request, key);
        let serial = self.in_flight.insert(InFlightRequest {
            request,
            position,
            key,
            arrived: now,
            useful_until,
            attempts: Vec::new(),
            streaming: false,
            attempts_stopped: false,
            likely_uncached,
            missed: false,
        });
        if let Some(reason) = self.rejection_reason(now, serial, over_quota) {
            return self.finish(now, serial, reason, actions);
        }
        actions.push(TimerToken::Deadline(serial).after(useful_until - now));
        self.send_next(now, serial, actions);
    }

    /// Returns the time until which a response is useful, less a margin of two ticks for its delivery.
    fn useful_until(&self, now: Micros, request: &Request) -> Micros {
        let class = &self.settings.classes[request.class];
        let work_allowance = class.objective_per_work * request.work.unwrap_or(0.0);
        let latency_objective = (class.latency_objective as f64 + work_allowance) as Micros;
        let useful = if class.late_weight > 0.0 {
            request.budget
        } else {
            latency_objective.min(class.deadline).min(request.budget)
        };
        now + useful - 2 * self.settings.tick
    }

    /// Returns whether a request likely needs the origin. In cache-aside mode the cache servers answer
    /// misses, so only writes, which go straight to the origin, do.
    fn is_likely_uncached(&self, request: &Request, key: Option<u64>) -> bool {
        match self.settings.mode {
            CacheMode::CacheAside => request.write,
            CacheMode::ReadThrough => !key.is_some_and(|key| self.recently_served.contains(key)),
        }
    }

    fn on_attempt_ended(&mut self, now: Micros, outcome: &AttemptOutcome, actions: &mut Actions) {
        self.observe_attempt_end(now, outcome, actions);
        let Some(serial) = self.in_flight.serial(&outcome.request) else {
            return;
        };
        let request = &self.in_flight.requests[&serial];
        let evidence = AttemptEvidence::new(now, outcome, request, &self.settings);
        self.record_server_evidence(now, outcome, &evidence);
        self.record_origin_evidence(now, outcome, &evidence);
        self.end_attempt(serial, outcome);
        if outcome.status == Status::Ok {
            self.record_served(now, serial, outcome);
        }
        self.record_retry(now, serial, outcome);
        if outcome.is_final {
            self.record_final_response(outcome, &evidence);
            self.end_request(serial, false, actions);
        } else if outcome.status == Status::Miss && !self.admit_fetch(now, serial) {
            self.finish(now, serial, DecisionReason::Admission, actions);
        } else if self.is_idle(serial) {
            self.retry_or_finish(now, serial, outcome, &evidence, actions);
        }
    }

    /// Marks a request as missed by the cache (cache-aside) and returns whether it may go to the origin.
    fn admit_fetch(&mut self, now: Micros, serial: u64) -> bool {
        if let Some(request) = self.in_flight.requests.get_mut(&serial) {
            request.missed = true;
            request.likely_uncached = true;
        }
        self.is_admitted(now, serial)
    }

    /// Returns whether a request has neither a streamed response nor a pending attempt.
    pub(crate) fn is_idle(&self, serial: u64) -> bool {
        let request = self.in_flight.requests.get(&serial);
        request.is_some_and(|r| !r.streaming && r.pending_attempts() == 0)
    }

    fn on_timer(&mut self, now: Micros, token: TimerToken, actions: &mut Actions) {
        match token {
            TimerToken::Deadline(serial) => {
                let request = self.in_flight.requests.get(&serial);
                if request.is_some_and(|r| !r.streaming) {
                    self.finish(now, serial, DecisionReason::Deadline, actions);
                }
            }
            TimerToken::Hedge(serial) => self.on_hedge_timer(now, serial, actions),
            TimerToken::DeduplicationWindow(serial) => {
                self.on_deduplication_timer(now, serial, actions);
            }
            TimerToken::EndpointList => self.poll_endpoint_list(actions),
            TimerToken::ZoneProbe(zone) => self.probe_zone(now, zone, actions),
        }
    }
}
