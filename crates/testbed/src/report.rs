//! Service by class, outcomes, origin load and latencies, computed from the observations that the checker also receives.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write;

use sloewick_decision::api::Micros;

use crate::checker::observations::{Answer, Event, Id, Observation};

/// Name, latency objective and priority weight of a class.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    pub latency_objective: Micros,
    pub priority_weight: f64,
}

/// Counts and latencies of one span of time.
#[derive(Clone, Debug, Default)]
pub struct Span {
    /// By class: first requests, without retries and without those whose client disconnected.
    pub requested: Vec<u64>,
    /// By class: those of `requested` that were served, by themselves or by a retry, within the latency objective.
    pub in_time: Vec<u64>,
    /// Requests answered with a value.
    pub served: u64,
    /// Requests that were rejected.
    pub busy: u64,
    /// Requests answered with an error, or with a value that was not made for them.
    pub failed: u64,
    /// Requests whose connection ended before the complete answer.
    pub ended: u64,
    /// First requests whose client disconnected before the answer.
    pub disconnected: u64,
    /// Requests with which a client retried an earlier one.
    pub retries: u64,
    /// Attempts that cache servers received.
    pub attempts: u64,
    /// Fetches by the origin, without shared ones.
    pub fetches: u64,
    /// Reads that the origin answered with a fetch already in progress.
    pub shared_fetches: u64,
    /// Writes that took effect at the origin.
    pub effects: u64,
    /// Repeated writes that the origin dropped.
    pub dropped_repeats: u64,
    /// Times from the sending of a request until its answer with a value.
    latencies: Vec<Micros>,
}

impl Span {
    fn new(classes: usize) -> Span {
        Span {
            requested: vec![0; classes],
            in_time: vec![0; classes],
            ..Span::default()
        }
    }

    /// This quantile of the latencies of served requests, in microseconds; 0 if none was served.
    pub fn quantile(&mut self, fraction: f64) -> Micros {
        self.latencies.sort_unstable();
        let at = (self.latencies.len() as f64 * fraction) as usize;
        self.latencies
            .get(at.min(self.latencies.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    }

    /// Sum of the priority weights of the first requests that were served within their latency objective, as a fraction
    /// of the sum over all first requests; 1 if there were none.
    pub fn service(&self, classes: &[Class]) -> f64 {
        let sum = |counts: &[u64]| -> f64 {
            counts
                .iter()
                .zip(classes)
                .map(|(n, class)| *n as f64 * class.priority_weight)
                .sum()
        };
        let requested = sum(&self.requested);
        if requested == 0.0 {
            1.0
        } else {
            sum(&self.in_time) / requested
        }
    }

    /// Fraction of a class's first requests that were served within the latency objective; 1 if there were none.
    pub fn class_service(&self, class: usize) -> f64 {
        if self.requested[class] == 0 {
            1.0
        } else {
            self.in_time[class] as f64 / self.requested[class] as f64
        }
    }

    fn add(&mut self, other: &Span) {
        for class in 0..self.requested.len() {
            self.requested[class] += other.requested[class];
            self.in_time[class] += other.in_time[class];
        }
        self.served += other.served;
        self.busy += other.busy;
        self.failed += other.failed;
        self.ended += other.ended;
        self.disconnected += other.disconnected;
        self.retries += other.retries;
        self.attempts += other.attempts;
        self.fetches += other.fetches;
        self.shared_fetches += other.shared_fetches;
        self.effects += other.effects;
        self.dropped_repeats += other.dropped_repeats;
        self.latencies.extend_from_slice(&other.latencies);
    }
}

/// How long a request is stored: longer than any client waits for a request and its retries.
const REQUEST_RETENTION: Micros = 20_000_000;

/// A request without an answer.
struct Open {
    first: Id,
    /// When it was sent.
    requested: Micros,
    class: usize,
}

/// Statistics of a run, by second.
pub struct Report {
    pub classes: Vec<Class>,
    /// By second of the run. First requests, those in time and those given up by a disconnection count in the second in
    /// which they were sent, everything else in that in which it occurred.
    pub seconds: BTreeMap<i64, Span>,
    open: HashMap<Id, Open>,
    /// By first request: when it was sent, its class, and whether it has been served in time.
    firsts: HashMap<Id, (Micros, usize, bool)>,
    /// Requests in the order in which they were sent, for their removal.
    requested: VecDeque<(Micros, Id)>,
}

impl Report {
    pub fn new(classes: Vec<Class>) -> Report {
        Report {
            classes,
            seconds: BTreeMap::new(),
            open: HashMap::new(),
            firsts: HashMap::new(),
            requested: VecDeque::new(),
        }
    }

    fn second(&mut self, at: Micros) -> &mut Span {
        let classes = self.classes.len();
        self.seconds
            .entry(at / 1_000_000)
            .or_insert_with(|| Span::new(classes))
    }

    /// Adds an observation. Observations have to be passed in the order of their times.
    pub fn observe(&mut self, observation: &Observation) {
        let at = observation.at;
        self.forget_old_requests(at);
        match &observation.event {
            Event::RequestSent {
                id, class, first, ..
            } => self.requested(at, id, *class, first),
            Event::Answered { id, answer } => self.answered(at, id, answer),
            Event::ClientDisconnected { id } => {
                // A client that disconnects no longer waits for an answer, so its request is not counted.
                if let Some(open) = self.open.remove(id).filter(|o| o.first == *id) {
                    let span = self.second(open.requested);
                    span.requested[open.class] -= 1;
                    span.disconnected += 1;
                }
            }
            Event::Attempt { .. } => self.second(at).attempts += 1,
            Event::Fetch { shared: false } => self.second(at).fetches += 1,
            Event::Fetch { shared: true } => self.second(at).shared_fetches += 1,
            Event::Effect { .. } => self.second(at).effects += 1,
            Event::RepeatDropped { .. } => self.second(at).dropped_repeats += 1,
            _ => {}
        }
    }

    fn forget_old_requests(&mut self, now: Micros) {
        let old = |(requested, _): &(Micros, Id)| now - requested > REQUEST_RETENTION;
        while self.requested.front().is_some_and(old) {
            if let Some((_, id)) = self.requested.pop_front() {
                self.open.remove(&id);
                self.firsts.remove(&id);
            }
        }
    }

    fn requested(&mut self, at: Micros, id: &Id, class: usize, first: &Id) {
        let span = self.second(at);
        if id == first {
            span.requested[class] += 1;
            self.firsts.insert(id.clone(), (at, class, false));
        } else {
            span.retries += 1;
        }
        self.requested.push_back((at, id.clone()));
        let open = Open {
            first: first.clone(),
            requested: at,
            class,
        };
        self.open.insert(id.clone(), open);
    }

    fn answered(&mut self, at: Micros, id: &Id, answer: &Answer) {
        let Some(open) = self.open.remove(id) else {
            return;
        };
        let span = self.second(at);
        match answer {
            Answer::Served => {
                span.served += 1;
                span.latencies.push(at - open.requested);
            }
            Answer::Busy(_) => span.busy += 1,
            Answer::Ended { .. } => span.ended += 1,
            Answer::Failed | Answer::Foreign(_) => span.failed += 1,
        }
        if *answer == Answer::Served {
            self.count_in_time(at, &open);
        }
    }

    /// Counts a first request as in time if this is the first answer with a value to it or a retry of it, and if it arrived
    /// within the latency objective of the class.
    fn count_in_time(&mut self, at: Micros, open: &Open) {
        let objective = self.classes[open.class].latency_objective;
        let Some((requested, class, done)) = self.firsts.get_mut(&open.first) else {
            return;
        };
        if !*done && at - *requested <= objective {
            *done = true;
            let (requested, class) = (*requested, *class);
            self.second(requested).in_time[class] += 1;
        }
    }

    /// The sum of the spans from one second (inclusive) to another (exclusive).
    pub fn between(&self, from: i64, to: i64) -> Span {
        let mut all = Span::new(self.classes.len());
        self.seconds
            .range(from..to)
            .for_each(|(_, span)| all.add(span));
        all
    }

    /// The sum of all spans.
    pub fn total(&self) -> Span {
        self.between(i64::MIN, i64::MAX)
    }

    /// The lowest service in ten consecutive seconds.
    pub fn worst_ten_seconds(&self) -> f64 {
        let last = self.seconds.keys().next_back().copied().unwrap_or(0);
        let spans = (0..=(last - 10).max(0))
            .map(|from| self.between(from, from + 10).service(&self.classes));
        spans.fold(1.0, f64::min)
    }

    /// A summary of a span of this length as one line of text.
    pub fn line(&self, span: &mut Span, seconds: f64) -> String {
        let mut out = String::new();
        let (p50, p99) = (span.quantile(0.5), span.quantile(0.99));
        let requested: u64 = span.requested.iter().sum();
        // Writing to a string cannot fail.
        let _ = write!(
            out,
            "{:6.0} req/s  service {:.3}",
            requested as f64 / seconds,
            span.service(&self.classes)
        );
        for (i, class) in self.classes.iter().enumerate() {
            let _ = write!(out, "  {} {:.3}", class.name, span.class_service(i));
        }
        let _ = write!(
            out,
            "  busy {} failed {}  origin {:.0}/s  p50 {:.0} ms p99 {:.0} ms",
            span.busy,
            span.failed + span.ended,
            span.fetches as f64 / seconds,
            p50 as f64 / 1000.0,
            p99 as f64 / 1000.0
        );
        out
    }

    /// A summary of a span of this length as JSON.
    pub fn json(&self, span: &mut Span, seconds: f64) -> serde_json::Value {
        let classes: serde_json::Map<String, serde_json::Value> = self
            .classes
            .iter()
            .enumerate()
            .map(|(i, c)| {
                (
                    c.name.clone(),
                    serde_json::json!({"asked": span.requested[i], "in_time": span.in_time[i]}),
                )
            })
            .collect();
        serde_json::json!({
            "seconds": seconds, "service": span.service(&self.classes), "classes": classes,
            "served": span.served, "busy": span.busy, "failed": span.failed, "ended": span.ended,
            "left": span.disconnected, "retries": span.retries, "attempts": span.attempts,
            "origin_fetches": span.fetches, "shared_fetches": span.shared_fetches,
            "effects": span.effects, "dropped_repeats": span.dropped_repeats,
            "p50_ms": span.quantile(0.5) as f64 / 1000.0, "p99_ms": span.quantile(0.99) as f64 / 1000.0,
        })
    }
}
