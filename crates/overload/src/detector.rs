//! Detects that the origin is overloaded: hardly any fetch is answered in time any more, at whatever server.
//!
//! An origin that receives more requests than it can serve, or that is slower for a while, answers everything
//! late. A node that gives late requests up and closes their connections has their fetches dropped; then no
//! cache is filled, every request becomes a fetch, and the overload outlives its cause. So a node has to
//! detect it. One server or one key is no evidence, since a node meets each server once in some seconds;
//! evidence is pooled over all servers.
//!
//! The state must be distinguished from cache servers that are short of CPU time, where just the opposite
//! reaction is right. There, hits and fetches are late alike, and the fraction of fetches among answers is as
//! usual. While the origin is overloaded, hits are answered as fast as ever, and fetches and writes hardly at
//! all. So answered fetches weigh most, an answered hit is evidence that no fetch was answered in its place,
//! and a read that was not answered, which may have waited for a server, is weak evidence.
//!
//! The test is a cumulative sum of log likelihood ratios (Page, "Continuous inspection schemes", Biometrika
//! 41, 1954) of "one fetch in `FETCHES_PER_ANSWERED` is still answered" against the baseline of this node,
//! for each kind of request by itself. The baseline is learned fast in normal operation, and slowly during an
//! overload.
//!
//! Guarantees: only failures and hits begin an overload, and at least four outcomes are needed; answered
//! fetches end it within two; without outcomes an overload is forgotten within three times `DECAY_TIME`.
//! State is bounded.

/// Microseconds.
pub type Micros = i64;

/// During an overload one in so many of the fetches that are usually answered in time still is.
const FETCHES_PER_ANSWERED: f64 = 10.0;
/// Log odds at which an overload begins, and at or below which it is over; between them the state stays. Runs
/// of hits and timeouts come by chance: with 3.5 to begin with, a third of all nodes believed in an overload
/// at some time of a calm day, for 1.8% of their requests.
const LOG_ODDS_BEGIN: f64 = 6.0;
const LOG_ODDS_END: f64 = 0.0;
/// Log odds from which an overload is possible: hedged requests are left out, nothing is rejected.
const LOG_ODDS_POSSIBLE: f64 = 2.0;
/// Bounds of the log odds: a long calm must not hide an overload for long, nor a long overload its end.
const MIN_LOG_ODDS: f64 = -1.0;
const MAX_LOG_ODDS: f64 = 6.9;
/// Evidence of an answer of the origin during an overload: its queue is short again, or this answer would not
/// have come in time. Two of them end any overload.
const ANSWERED_FETCH_EVIDENCE: f64 = -MAX_LOG_ODDS / 2.0;
/// Largest evidence of a failed write, and of a failed read: a server may be the reason why it failed.
const MAX_WRITE_EVIDENCE: f64 = 1.5;
const MAX_READ_EVIDENCE: f64 = 0.3;
/// Evidence of an answer of which it is unknown whether it was fetched.
const UNKNOWN_SOURCE_EVIDENCE: f64 = -0.5;
/// Bounds of the baseline: fractions near one would make any single outcome of the other kind decide alone.
const MAX_LOST_FRACTION: f64 = 0.6;
const MAX_LATE_FRACTION: f64 = 0.9;
/// The time in which evidence decays to 1/e.
const DECAY_TIME: Micros = 10_000_000;
/// Outcomes over which the baseline is averaged, and the number of outcomes that the initial assumption
/// counts for.
const AVERAGING_SPAN: f64 = 128.0;
const INITIAL_SPAN: f64 = 16.0;
/// The span during an overload: a state that lasts for a minute or more may be this node's normal operation.
const AVERAGING_SPAN_OVERLOADED: f64 = 1024.0;

/// What a request asks of the origin, as far as the node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A read of a key that was served recently: fetched only if a write or its age has invalidated the
    /// cached copy.
    LikelyCached,
    /// A read that may have to be fetched.
    LikelyUncached,
    /// A write, which always goes to the origin.
    Write,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered in time from the server's cache.
    ServedFromCache,
    /// Answered in time by the origin.
    ServedByOrigin,
    /// Answered in time; it is unknown by whom.
    ServedBySomeone,
    /// Not answered in time, or rejected by a server that had too many requests in flight.
    Late,
}

/// A fraction of outcomes, averaged over the last ones. The first ones weigh more, or a node that has just
/// started would judge by an assumption for long.
#[derive(Clone, Debug)]
struct Average {
    fraction: f64,
    outcomes: f64,
}

impl Average {
    fn new(fraction: f64) -> Average {
        Average {
            fraction,
            outcomes: INITIAL_SPAN,
        }
    }

    fn record(&mut self, matches: bool, overloaded: bool) {
        let span = if overloaded {
            AVERAGING_SPAN_OVERLOADED
        } else {
            self.outcomes
        };
        self.outcomes = (self.outcomes + 1.0).min(AVERAGING_SPAN);
        self.fraction += (f64::from(u8::from(matches)) - self.fraction) / span;
    }
}

/// Normal operation for one kind of request.
#[derive(Clone, Debug)]
struct Baseline {
    /// Fetches among answers of known source, from zero; and the same from an assumed fraction.
    fetched: Average,
    assumed_fetched: Average,
    /// Requests not answered in time, and the least fraction of them that is taken for normal.
    late: Average,
    min_late: f64,
}

impl Baseline {
    fn new(assumed_fetched: f64, late: f64, min_late: f64) -> Baseline {
        Baseline {
            fetched: Average::new(0.0),
            assumed_fetched: Average::new(assumed_fetched),
            late: Average::new(late),
            min_late,
        }
    }

    /// The log likelihood ratio of this outcome: positive for an overload, negative against it.
    fn evidence(&self, outcome: Outcome, max_evidence: f64) -> f64 {
        let lost = |fetched: &Average| fetched.fraction * (1.0 - 1.0 / FETCHES_PER_ANSWERED);
        match outcome {
            // Among answers only: so late answers, for which servers may be the reason, do not count twice.
            // Where nothing was fetched before, no fetch is missing among the hits.
            Outcome::ServedFromCache => -(1.0 - lost(&self.fetched).min(MAX_LOST_FRACTION)).ln(),
            Outcome::ServedByOrigin => -FETCHES_PER_ANSWERED.ln(),
            Outcome::ServedBySomeone => UNKNOWN_SOURCE_EVIDENCE,
            // As far as such requests need the origin: where caches hold every key, servers are what is late.
            Outcome::Late => {
                let late = self.late.fraction.clamp(self.min_late, MAX_LATE_FRACTION);
                ((late + (1.0 - late) * lost(&self.assumed_fetched)) / late)
                    .ln()
                    .min(max_evidence)
            }
        }
    }

    fn record(&mut self, outcome: Outcome, overloaded: bool) {
        if matches!(outcome, Outcome::ServedFromCache | Outcome::ServedByOrigin) {
            let fetched = outcome == Outcome::ServedByOrigin;
            self.fetched.record(fetched, overloaded);
            self.assumed_fetched.record(fetched, overloaded);
        }
        self.late.record(outcome == Outcome::Late, overloaded);
    }
}

/// Whether the origin is overloaded, by the outcomes that one node has seen. See the module.
#[derive(Clone, Debug)]
pub struct OverloadDetector {
    /// Evidence for an overload, as of `updated`.
    log_odds: f64,
    updated: Micros,
    overloaded: bool,
    /// By [`RequestKind`].
    baselines: [Baseline; 3],
}

impl OverloadDetector {
    /// A node that has just started: no overload, and a little less calm than at a node that has seen some.
    pub fn new(now: Micros) -> OverloadDetector {
        let baselines = [
            Baseline::new(0.01, 0.05, 0.02),
            Baseline::new(0.7, 0.3, 0.05),
            Baseline::new(1.0, 0.05, 0.01),
        ];
        OverloadDetector {
            log_odds: 0.0,
            updated: now,
            overloaded: false,
            baselines,
        }
    }

    /// Whether the origin is overloaded.
    pub fn is_overloaded(&self, now: Micros) -> bool {
        self.overloaded && self.decayed_log_odds(now) > LOG_ODDS_BEGIN / 10.0
    }

    /// Whether the origin is or may be overloaded: enough to leave out what is optional, too little to reject
    /// anything.
    pub fn may_be_overloaded(&self, now: Micros) -> bool {
        self.is_overloaded(now) || self.decayed_log_odds(now) >= LOG_ODDS_POSSIBLE
    }

    fn decayed_log_odds(&self, now: Micros) -> f64 {
        self.log_odds * (-((now - self.updated).max(0) as f64) / DECAY_TIME as f64).exp()
    }

    /// An attempt ended.
    pub fn record(&mut self, now: Micros, kind: RequestKind, outcome: Outcome) {
        let was_overloaded = self.is_overloaded(now);
        let baseline = &mut self.baselines[kind as usize];
        let max_evidence = if kind == RequestKind::Write {
            MAX_WRITE_EVIDENCE
        } else {
            MAX_READ_EVIDENCE
        };
        let mut evidence = baseline.evidence(outcome, max_evidence);
        if was_overloaded && outcome == Outcome::ServedByOrigin {
            evidence = evidence.min(ANSWERED_FETCH_EVIDENCE);
        }
        self.log_odds = (self.decayed_log_odds(now) + evidence).clamp(MIN_LOG_ODDS, MAX_LOG_ODDS);
        self.updated = self.updated.max(now);
        self.overloaded = if was_overloaded {
            self.log_odds > LOG_ODDS_END
        } else {
            self.log_odds >= LOG_ODDS_BEGIN
        };
        self.baselines[kind as usize].record(outcome, self.overloaded);
    }
}

#[cfg(test)]
#[path = "detector_tests.rs"]
mod tests;
