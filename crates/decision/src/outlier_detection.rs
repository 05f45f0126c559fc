//! Outlier detection: finds servers that fail more often than the others, and determines the fraction of
//! their keys that they retain meanwhile.
//!
//! Every server is modelled as either healthy or an outlier. The failure rates of attempts at healthy
//! servers and at outliers, and the number of outliers, are learned over all servers together: a mixture of
//! two Bernoulli distributions, its parameters updated with each outcome by online expectation maximization
//! (Dempster, Laird and Rubin 1977, Cappé and Moulines 2009). So a node that sends each server a request
//! once in a few seconds detects an outlier after two or three of them, since it has learned the normal
//! failure rate from the other servers.
//!
//! Guarantees: no server is ejected where half of the servers look like outliers or where all fail alike;
//! at most `MAX_EJECTED_FRACTION` of the servers are ejected at a time, those with the strongest evidence
//! first; an ejected server retains at least `PROBE_FRACTION` of its first attempts, and the evidence
//! against it decays with time. Only listed servers have records ([`OutlierDetector::retain`]). No clock
//! and no random numbers of its own: time and draws are arguments.

use std::collections::HashMap;

pub use sloewick_overload::RequestKind;

use crate::api::{Micros, ServerId};

/// Time in which evidence decays to 1/e, in microseconds.
const DECAY_TIME: f64 = 20e6;
/// Bounds of the log odds of being an outlier. They limit how many failures it takes to detect a server
/// that has long been healthy, and how many successes it takes to trust an outlier again.
const MIN_LOG_ODDS: f64 = -4.7;
const MAX_LOG_ODDS: f64 = 2.0;
/// Upper bound of the evidence of one failure: where outliers are few, a single failure ejects no server.
const MAX_EVIDENCE: f64 = 2.0;
/// Initial failure rates at healthy servers and at outliers, and the number of outcomes that these initial
/// rates weigh as much as.
const INITIAL_HEALTHY_FAILURE_RATE: f64 = 0.1;
const INITIAL_OUTLIER_FAILURE_RATE: f64 = 0.8;
const INITIAL_OUTCOMES: f64 = 10.0;
/// Maximum number of outcomes over which the failure rates are averaged.
const MAX_OUTCOMES: f64 = 256.0;
/// Prior assumption: `PRIOR_OUTLIERS` outliers among `PRIOR_SERVERS` servers.
const PRIOR_OUTLIERS: f64 = 1.0;
const PRIOR_SERVERS: f64 = 10.0;
/// Outlier probability above which a server loses keys, and by how much the probability must exceed it for
/// the server to retain nothing but probes.
const EJECTION_THRESHOLD: f64 = 0.5;
const EJECTION_RAMP: f64 = 0.35;
/// Fraction of the first attempts for its keys that an ejected server still gets, so that its recovery is
/// detected.
pub const PROBE_FRACTION: f64 = 0.1;
/// Maximum fraction of the servers that are ejected at a time.
const MAX_EJECTED_FRACTION: f64 = 1.0 / 3.0;
/// Maximum number of outcomes between two evaluations of all servers.
const OUTCOMES_PER_EVALUATION: u32 = 8;

/// A moving average of failures over at most [`MAX_OUTCOMES`] outcomes.
struct FailureRate {
    rate: f64,
    outcomes: f64,
}

impl FailureRate {
    fn new(rate: f64) -> FailureRate {
        FailureRate {
            rate,
            outcomes: INITIAL_OUTCOMES,
        }
    }

    fn record(&mut self, failed: f64, weight: f64) {
        self.outcomes = (self.outcomes + weight).min(MAX_OUTCOMES);
        self.rate += (failed - self.rate) * weight / self.outcomes;
    }
}

/// Failure rates of one kind of request, at healthy servers and at outliers.
struct FailureRates {
    healthy: FailureRate,
    outlier: FailureRate,
}

impl FailureRates {
    fn new() -> FailureRates {
        FailureRates {
            healthy: FailureRate::new(INITIAL_HEALTHY_FAILURE_RATE),
            outlier: FailureRate::new(INITIAL_OUTLIER_FAILURE_RATE),
        }
    }

    /// The log likelihood ratio of an outcome: positive if it is more likely at an outlier.
    fn evidence(&self, failed: bool) -> f64 {
        // An outlier rate that is no higher than the healthy rate is raised just above it, and so yields
        // almost no evidence.
        let healthy_rate = self.healthy.rate.clamp(0.01, 0.98);
        let outlier_rate = self
            .outlier
            .rate
            .clamp(0.02, 0.99)
            .max(self.healthy.rate + 0.01);
        if failed {
            (outlier_rate / healthy_rate).ln().min(MAX_EVIDENCE)
        } else {
            ((1.0 - outlier_rate) / (1.0 - healthy_rate)).ln()
        }
    }
}

/// Evidence against one server as of `updated`: log odds that its outcomes are those of an outlier.
struct ServerRecord {
    log_odds: f64,
    updated: Micros,
}

impl ServerRecord {
    fn decayed_log_odds(&self, now: Micros) -> f64 {
        self.log_odds * (-((now - self.updated).max(0) as f64) / DECAY_TIME).exp()
    }
}

/// Evidence against all listed servers, and the ejected servers.
pub struct OutlierDetector {
    records: HashMap<ServerId, ServerRecord>,
    /// Failure rates by [`RequestKind`], since requests that wait for the origin fail more often at every
    /// server.
    rates: [FailureRates; 3],
    /// Log odds of being an outlier before any evidence.
    prior_log_odds: f64,
    /// Ejected servers and the fraction of their keys that each retains. At most `MAX_EJECTED_FRACTION` of
    /// the servers.
    ejected: HashMap<ServerId, f64>,
    outcomes_since_evaluation: u32,
}

impl Default for OutlierDetector {
    fn default() -> OutlierDetector {
        OutlierDetector {
            records: HashMap::new(),
            rates: std::array::from_fn(|_| FailureRates::new()),
            prior_log_odds: log_odds(PRIOR_OUTLIERS / PRIOR_SERVERS),
            ejected: HashMap::new(),
            outcomes_since_evaluation: 0,
        }
    }
}

fn log_odds(probability: f64) -> f64 {
    (probability / (1.0 - probability)).ln()
}

fn probability(log_odds: f64) -> f64 {
    1.0 / (1.0 + (-log_odds).exp())
}

impl OutlierDetector {
    /// Drops the records of servers that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.records.retain(|id, _| listed(id));
        self.ejected.retain(|id, _| listed(id));
    }

    /// Drops the evidence against a server because another process has taken its place.
    pub fn reset(&mut self, server: &str) {
        self.records.remove(server);
        self.ejected.remove(server);
    }

    /// Probability that a server is an outlier, computed from its own outcomes and the prior assumption,
    /// without what was learned about the fleet. 0 unless there is evidence against it.
    pub fn outlier_probability(&self, now: Micros, server: &str) -> f64 {
        let evidence = self
            .records
            .get(server)
            .map_or(0.0, |record| record.decayed_log_odds(now));
        if evidence > 0.0 {
            probability(log_odds(PRIOR_OUTLIERS / PRIOR_SERVERS) + evidence)
        } else {
            0.0
        }
    }

    /// Restores the evidence against a server as of `updated`. The next recorded outcome decides whether
    /// the server is ejected.
    pub fn restore(&mut self, updated: Micros, server: &ServerId, outlier_probability: f64) {
        if outlier_probability > 0.0 {
            let evidence = log_odds(outlier_probability.clamp(1e-9, 1.0 - 1e-9))
                - log_odds(PRIOR_OUTLIERS / PRIOR_SERVERS);
            let log_odds = evidence.clamp(0.0, MAX_LOG_ODDS - MIN_LOG_ODDS);
            self.records
                .insert(server.clone(), ServerRecord { log_odds, updated });
            self.outcomes_since_evaluation = OUTCOMES_PER_EVALUATION;
        }
    }

    /// Records an outcome that is attributed to the server itself: a response or a failure. `servers`:
    /// number of listed servers.
    pub fn record(
        &mut self,
        now: Micros,
        server: &ServerId,
        kind: RequestKind,
        failed: bool,
        servers: usize,
    ) {
        self.outcomes_since_evaluation = self.outcomes_since_evaluation.saturating_add(1);
        let initial = || ServerRecord {
            log_odds: 0.0,
            updated: now,
        };
        let record = self.records.entry(server.clone()).or_insert_with(initial);
        let evidence_before = record.decayed_log_odds(now);
        let rates = &mut self.rates[kind as usize];
        record.log_odds = (evidence_before + rates.evidence(failed)).clamp(
            MIN_LOG_ODDS - self.prior_log_odds,
            MAX_LOG_ODDS - self.prior_log_odds,
        );
        record.updated = now;
        let outlier_probability = probability(self.prior_log_odds + evidence_before);
        let failure = f64::from(u8::from(failed));
        rates.healthy.record(failure, 1.0 - outlier_probability);
        rates.outlier.record(failure, outlier_probability);
        if failed
            || self.outcomes_since_evaluation >= OUTCOMES_PER_EVALUATION
            || self.ejected.contains_key(server)
        {
            self.evaluate(now, servers);
        }
    }

    /// Determines which servers are ejected. `servers`: number of listed servers.
    fn evaluate(&mut self, now: Micros, servers: usize) {
        self.outcomes_since_evaluation = 0;
        self.ejected.clear();
        let evidence = self
            .records
            .iter()
            .map(|(id, record)| (record.decayed_log_odds(now), id));
        let mut worst_first: Vec<(f64, &ServerId)> = evidence.collect();
        worst_first.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        let outlier_probability = |evidence: f64| probability(self.prior_log_odds + evidence);
        let suspects = worst_first.iter().filter(|(evidence, _)| *evidence > 0.0);
        let outliers: f64 = suspects
            .clone()
            .map(|(evidence, _)| outlier_probability(*evidence))
            .sum();
        let max_ejected = (servers as f64 * MAX_EJECTED_FRACTION) as usize;
        // What half of the servers do is normal behaviour.
        if suspects.count() * 2 < servers {
            for (evidence, id) in worst_first.into_iter().take(max_ejected) {
                let excess = outlier_probability(evidence) - EJECTION_THRESHOLD;
                if excess > 0.0 && evidence > 0.0 {
                    let retained = (1.0 - excess / EJECTION_RAMP).clamp(0.0, 1.0);
                    self.ejected.insert(id.clone(), retained);
                }
            }
        }
        let fraction = (PRIOR_OUTLIERS + outliers) / (PRIOR_SERVERS + servers as f64);
        self.prior_log_odds = log_odds(fraction.min(MAX_EJECTED_FRACTION));
    }

    /// Fraction of its keys that a server retains: 1 unless it is ejected.
    pub fn retained_fraction(&self, server: &str) -> f64 {
        if self.ejected.is_empty() {
            return 1.0;
        }
        self.ejected.get(server).copied().unwrap_or(1.0)
    }
}

/// The largest `f64` below 1.
const MAX_DRAW: f64 = 1.0 - f64::EPSILON / 2.0;

/// Score of a candidate as a key's secondary server, by weighted rendezvous hashing (Thaler and
/// Ravishankar; the logarithmic form for weights). The candidate with the highest score is chosen. When the
/// weight of a candidate changes, only keys move that it gains or loses. `key_server_hash` is a hash of key
/// and server.
pub fn rendezvous_score(key_server_hash: u64, weight: f64) -> f64 {
    let drawn = ((key_server_hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    // The highest draw would round to 1, whose logarithm is 0.
    -weight.max(1e-9) / drawn.min(MAX_DRAW).ln()
}
