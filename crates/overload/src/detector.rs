//! Detects an overload of the origin: at every cache server, hardly any fetch is answered in time.
//!
//! An origin that receives more requests than it can serve, or that is slower for a while, answers all
//! requests late. When a node gives up late requests and closes their connections, their fetches are dropped.
//! Then no cache is filled, every request becomes a fetch, and the overload outlasts its cause. Therefore a
//! node has to detect it. The outcomes at one server or of one key are too few as evidence, since a node
//! sends a request to each server only once in several seconds; evidence is pooled over all servers.
//!
//! The detector must distinguish an overload from cache servers that are short of CPU time, which require the
//! opposite reaction. At such servers, hits and fetches are late alike, and the fraction of fetches among
//! answers is as usual. While the origin is overloaded, hits are answered as fast as usual, and fetches and
//! writes hardly at all. So answered fetches have the largest weight, an answered hit is evidence that no
//! fetch was answered in its place, and an unanswered read is weak evidence, since it may have waited for a
//! server.
//!
//! The test is a cumulative sum (CUSUM) of log likelihood ratios (Page, "Continuous inspection schemes",
//! Biometrika 41, 1954). It compares the hypothesis that one fetch in `FETCHES_PER_ANSWERED` is still
//! answered with the baseline of this node, separately for each kind of request. The baseline is learned fast
//! in normal operation, and slowly during an overload.
//!
//! Guarantees:
//!
//! - Only failures and hits begin an overload, and at least four outcomes are needed.
//! - Two answered fetches end any overload.
//! - Without outcomes an overload expires within three times `DECAY_TIME`.
//! - The size of the state is constant.

/// A time or a duration, in microseconds.
pub type Micros = i64;

/// During an overload, one in this many of the fetches that are usually answered in time is still answered in
/// time.
const FETCHES_PER_ANSWERED: f64 = 10.0;
/// Log odds at which an overload begins. Runs of hits and timeouts also occur by chance: with a threshold of
/// 3.5, a third of all nodes detected an overload at some time of a day without one, during 1.8% of their
/// requests.
const LOG_ODDS_BEGIN: f64 = 6.0;
/// Log odds at or below which an overload ends. Between the two thresholds the state does not change.
const LOG_ODDS_END: f64 = 0.0;
/// Log odds from which an overload is possible: hedged requests are suppressed, no request is rejected.
const LOG_ODDS_POSSIBLE: f64 = 2.0;
/// Bounds of the log odds. They limit how long the detection of an overload is delayed by a long time without
/// one, and the detection of its end by a long overload.
const MIN_LOG_ODDS: f64 = -1.0;
const MAX_LOG_ODDS: f64 = 6.9;
/// Upper bound of the evidence of an answer of the origin during an overload: only an origin whose queue is
/// short again answers in time. Two such answers end any overload.
const ANSWERED_FETCH_EVIDENCE: f64 = -MAX_LOG_ODDS / 2.0;
/// Maximum evidence of a failed write, and of a failed read. It is limited because a server may be the reason
/// for the failure.
const MAX_WRITE_EVIDENCE: f64 = 1.5;
const MAX_READ_EVIDENCE: f64 = 0.3;
/// Evidence of an answer that may have been served from a cache or by the origin.
const UNKNOWN_SOURCE_EVIDENCE: f64 = -0.5;
/// Upper bounds of the fractions that evidence is computed from. With a fraction near one, a single outcome
/// of the other kind would decide alone.
const MAX_MISSING_FRACTION: f64 = 0.6;
const MAX_LATE_FRACTION: f64 = 0.9;
/// Time in which evidence decays to 1/e, in microseconds.
const DECAY_TIME: Micros = 10_000_000;
/// Number of outcomes over which the baseline is averaged in normal operation.
const AVERAGING_SPAN: f64 = 128.0;
/// Number of outcomes that the initial assumption counts as.
const INITIAL_SPAN: f64 = 16.0;
/// Number of outcomes over which the baseline is averaged during an overload. The baseline keeps adapting,
/// since a state that lasts for a minute or more may be this node's normal operation.
const AVERAGING_SPAN_OVERLOADED: f64 = 1024.0;

/// Whether a request needs the origin, as estimated by the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A read of a key that was served recently. It is fetched only if the cached copy has expired or was
    /// invalidated by a write.
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
    /// Answered in time, either from the server's cache or by the origin.
    ServedByUnknownSource,
    /// Not answered in time, or rejected by a server that had too many requests in flight.
    NotServedInTime,
}

/// A moving average of the fraction of outcomes that match a condition. The first outcomes have a larger
/// weight; otherwise a node that has just started would rely on the initial assumption for long.
#[derive(Clone, Debug)]
struct MovingFraction {
    fraction: f64,
    /// Number of outcomes over which `fraction` is averaged in normal operation.
    span: f64,
}

impl MovingFraction {
    fn new(assumed_fraction: f64) -> MovingFraction {
        MovingFraction {
            fraction: assumed_fraction,
            span: INITIAL_SPAN,
        }
    }

    fn record(&mut self, matches: bool, overloaded: bool) {
        let span = if overloaded {
            AVERAGING_SPAN_OVERLOADED
        } else {
            self.span
        };
        self.span = (self.span + 1.0).min(AVERAGING_SPAN);
        self.fraction += (f64::from(u8::from(matches)) - self.fraction) / span;
    }
}

/// The outcomes of one kind of request in normal operation.
#[derive(Clone, Debug)]
struct Baseline {
    /// Fraction of fetches among the answers of known source, assumed to be zero at first.
    fetched: MovingFraction,
    /// The same fraction, with another assumption at first.
    fetched_from_assumption: MovingFraction,
    /// Fraction of requests that are not answered in time.
    late: MovingFraction,
    /// Lower bound of the late fraction that evidence is computed from.
    min_late_fraction: f64,
}

impl Baseline {
    /// Creates a baseline from the fractions that are assumed at first.
    fn new(fetched_fraction: f64, late_fraction: f64, min_late_fraction: f64) -> Baseline {
        Baseline {
            fetched: MovingFraction::new(0.0),
            fetched_from_assumption: MovingFraction::new(fetched_fraction),
            late: MovingFraction::new(late_fraction),
            min_late_fraction,
        }
    }

    /// Returns the log likelihood ratio of an outcome: positive values are evidence for an overload, negative
    /// ones against it. `max_evidence` limits the evidence of a late outcome.
    fn evidence(&self, outcome: Outcome, max_evidence: f64) -> f64 {
        let missing =
            |fetched: &MovingFraction| fetched.fraction * (1.0 - 1.0 / FETCHES_PER_ANSWERED);
        match outcome {
            // Only answers count for the fraction of fetches. Late outcomes, for which servers may be the
            // reason, would otherwise count twice. If nothing was fetched before, no fetch is missing among
            // the hits.
            Outcome::ServedFromCache => {
                -(1.0 - missing(&self.fetched).min(MAX_MISSING_FRACTION)).ln()
            }
            Outcome::ServedByOrigin => -FETCHES_PER_ANSWERED.ln(),
            Outcome::ServedByUnknownSource => UNKNOWN_SOURCE_EVIDENCE,
            // Evidence only to the extent that such requests need the origin: if caches hold every key, the
            // servers are the reason for late outcomes.
            Outcome::NotServedInTime => {
                let late = self
                    .late
                    .fraction
                    .clamp(self.min_late_fraction, MAX_LATE_FRACTION);
                ((late + (1.0 - late) * missing(&self.fetched_from_assumption)) / late)
                    .ln()
                    .min(max_evidence)
            }
        }
    }

    fn record(&mut self, outcome: Outcome, overloaded: bool) {
        if matches!(outcome, Outcome::ServedFromCache | Outcome::ServedByOrigin) {
            let fetched = outcome == Outcome::ServedByOrigin;
            self.fetched.record(fetched, overloaded);
            self.fetched_from_assumption.record(fetched, overloaded);
        }
        self.late
            .record(outcome == Outcome::NotServedInTime, overloaded);
    }
}

/// Detects an overload of the origin from the outcomes of one node's attempts. The module documentation
/// describes the test and its guarantees.
#[derive(Clone, Debug)]
pub struct OverloadDetector {
    /// Accumulated evidence for an overload, as of `updated_at`.
    log_odds: f64,
    updated_at: Micros,
    overloaded: bool,
    /// Indexed by [`RequestKind`].
    baselines: [Baseline; 3],
}

impl OverloadDetector {
    /// Creates the detector of a node that has just started: without an overload, and with log odds slightly
    /// above those of a node that has been in normal operation for a while.
    pub fn new(now: Micros) -> OverloadDetector {
        let baselines = [
            Baseline::new(0.01, 0.05, 0.02),
            Baseline::new(0.7, 0.3, 0.05),
            Baseline::new(1.0, 0.05, 0.01),
        ];
        OverloadDetector {
            log_odds: 0.0,
            updated_at: now,
            overloaded: false,
            baselines,
        }
    }

    /// Returns whether the origin is overloaded. A detected overload expires when its log odds have decayed to
    /// a tenth of `LOG_ODDS_BEGIN`.
    pub fn is_overloaded(&self, now: Micros) -> bool {
        self.overloaded && self.decayed_log_odds(now) > LOG_ODDS_BEGIN / 10.0
    }

    /// Returns whether the origin is or may be overloaded. This is sufficient evidence to suppress optional
    /// requests, but not to reject any.
    pub fn may_be_overloaded(&self, now: Micros) -> bool {
        self.is_overloaded(now) || self.decayed_log_odds(now) >= LOG_ODDS_POSSIBLE
    }

    fn decayed_log_odds(&self, now: Micros) -> f64 {
        self.log_odds * (-((now - self.updated_at).max(0) as f64) / DECAY_TIME as f64).exp()
    }

    /// Records the outcome of an attempt that ended now.
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
        self.updated_at = self.updated_at.max(now);
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
