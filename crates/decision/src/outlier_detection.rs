//! Outlier detection: which servers fail by themselves, and which fraction of their keys they retain
//! meanwhile.
//!
//! Every server is taken to be either healthy or an outlier. How often an attempt fails at a healthy one, how
//! often at an outlier, and how many are outliers is learned over all servers together (a mixture of two
//! Bernoulli distributions, its parameters by expectation and maximization as outcomes come; Dempster, Laird
//! and Rubin 1977, Cappé and Moulines 2009). So a node that sends each server a request in some seconds
//! detects an outlier after two or three of them: what is usual it has learned from the others.
//!
//! Guarantees: where half of the servers look like outliers none is ejected, nor where all fail alike; at
//! most `MAX_EJECTED_FRACTION` of the servers are ejected at a time, the worst first; an ejected server
//! retains at least `PROBE_FRACTION` of its first attempts, and the evidence against it decays with time.
//! Records are held for listed servers alone ([`OutlierDetector::retain`]). No clock and no random numbers of
//! its own: time and draws are arguments.

use std::collections::HashMap;

pub use sloewick_overload::RequestKind;

use crate::api::{Micros, ServerId};

/// The time in which evidence decays to 1/e, in microseconds.
const DECAY_TIME: f64 = 20e6;
/// Bounds of the logarithm of the odds of being an outlier. A server that was healthy for long must not need
/// many failures to be detected, nor an outlier many answers to be trusted again.
const MIN_LOG_ODDS: f64 = -4.7;
const MAX_LOG_ODDS: f64 = 2.0;
/// Largest evidence of one failure: alone it ejects no server where outliers are few.
const MAX_EVIDENCE: f64 = 2.0;
/// Initial failure rates at healthy servers and at outliers, and the number of outcomes that this counts for.
const INITIAL_HEALTHY_FAILURE_RATE: f64 = 0.1;
const INITIAL_OUTLIER_FAILURE_RATE: f64 = 0.8;
const INITIAL_OUTCOMES: f64 = 10.0;
/// Outcomes over which the failure rates are averaged.
const MAX_OUTCOMES: f64 = 256.0;
/// Outliers assumed where nothing is known, among so many servers.
const PRIOR_OUTLIERS: f64 = 1.0;
const PRIOR_SERVERS: f64 = 10.0;
/// Probability of being an outlier above which a server loses keys, and how far above it retains nothing but
/// probes.
const EJECTION_THRESHOLD: f64 = 0.5;
const EJECTION_RAMP: f64 = 0.35;
/// Fraction of the first attempts for its keys that an ejected server gets to prove itself.
pub const PROBE_FRACTION: f64 = 0.1;
/// Largest fraction of the servers that is ejected at a time.
const MAX_EJECTED_FRACTION: f64 = 1.0 / 3.0;
/// Outcomes between two evaluations of the whole fleet.
const OUTCOMES_PER_EVALUATION: u32 = 8;

/// A failure rate, averaged.
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

/// Failure rates for one kind of request.
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

    /// The log likelihood ratio of an outcome: positive for an outlier.
    fn evidence(&self, failed: bool) -> f64 {
        // A rate at outliers that is no higher than at healthy servers is no evidence.
        let low = self.healthy.rate.clamp(0.01, 0.98);
        let high = self
            .outlier
            .rate
            .clamp(0.02, 0.99)
            .max(self.healthy.rate + 0.01);
        if failed {
            (high / low).ln().min(MAX_EVIDENCE)
        } else {
            ((1.0 - high) / (1.0 - low)).ln()
        }
    }
}

/// Evidence against one server: logarithm of the odds that its outcomes are those of an outlier.
struct Record {
    log_odds: f64,
    updated: Micros,
}

impl Record {
    fn decayed_log_odds(&self, now: Micros) -> f64 {
        self.log_odds * (-((now - self.updated).max(0) as f64) / DECAY_TIME).exp()
    }
}

/// Evidence against all listed servers, and which of them are ejected.
pub struct OutlierDetector {
    records: HashMap<ServerId, Record>,
    /// For each [`RequestKind`], since requests that wait for the origin fail more often at every server.
    rates: [FailureRates; 3],
    /// Logarithm of the odds of being an outlier before any evidence.
    prior_log_odds: f64,
    /// Ejected servers, with the fraction of their keys that they retain. Bounded by
    /// `MAX_EJECTED_FRACTION`.
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

    /// Drops the evidence against a server: another process runs there now.
    pub fn reset(&mut self, server: &str) {
        self.records.remove(server);
        self.ejected.remove(server);
    }

    /// Probability that a server is an outlier, as far as its own outcomes say beside a fleet of which
    /// nothing is known.
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

    /// Restores the evidence against a server as of `updated`. Whether it is ejected is decided with the next
    /// outcomes.
    pub fn restore(&mut self, updated: Micros, server: &ServerId, outlier_probability: f64) {
        if outlier_probability > 0.0 {
            let evidence = log_odds(outlier_probability.clamp(1e-9, 1.0 - 1e-9))
                - log_odds(PRIOR_OUTLIERS / PRIOR_SERVERS);
            let log_odds = evidence.clamp(0.0, MAX_LOG_ODDS - MIN_LOG_ODDS);
            self.records
                .insert(server.clone(), Record { log_odds, updated });
            self.outcomes_since_evaluation = OUTCOMES_PER_EVALUATION;
        }
    }

    /// An attempt at a server ended by the server's own doing: answered, or failed. `servers`: how many are
    /// listed.
    pub fn record(
        &mut self,
        now: Micros,
        server: &ServerId,
        kind: RequestKind,
        failed: bool,
        servers: usize,
    ) {
        self.outcomes_since_evaluation = self.outcomes_since_evaluation.saturating_add(1);
        let initial = || Record {
            log_odds: 0.0,
            updated: now,
        };
        let record = self.records.entry(server.clone()).or_insert_with(initial);
        let before = record.decayed_log_odds(now);
        let rates = &mut self.rates[kind as usize];
        record.log_odds = (before + rates.evidence(failed)).clamp(
            MIN_LOG_ODDS - self.prior_log_odds,
            MAX_LOG_ODDS - self.prior_log_odds,
        );
        record.updated = now;
        let outlier = probability(self.prior_log_odds + before);
        let failing = f64::from(u8::from(failed));
        rates.healthy.record(failing, 1.0 - outlier);
        rates.outlier.record(failing, outlier);
        if failed
            || self.outcomes_since_evaluation >= OUTCOMES_PER_EVALUATION
            || self.ejected.contains_key(server)
        {
            self.evaluate(now, servers);
        }
    }

    /// Decides anew which of all `servers` that are listed are ejected.
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
        // What half of them do is not the behaviour of an outlier.
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

/// The largest number below 1.
const MAX_DRAW: f64 = 1.0 - f64::EPSILON / 2.0;

/// The score of a candidate as a key's secondary, by weighted rendezvous hashing (Thaler and Ravishankar; the
/// logarithmic form for weights): the candidate with the highest is chosen. A weight that changes moves only
/// keys of its own share. `mixed` is a hash of key and server.
pub fn rendezvous(mixed: u64, weight: f64) -> f64 {
    let drawn = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    // The highest draw rounds to 1, whose logarithm is 0.
    -weight.max(1e-9) / drawn.min(MAX_DRAW).ln()
}
