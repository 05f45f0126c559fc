//! The checker: decides from what the peers of the nodes observed whether the rules held.
//!
//! [`observations`] defines what a peer can report, [`violation`] the rules of the service, `rules` holds one file for
//! each check. The checker takes nothing from the nodes themselves. Times are as the peers saw them; where a node can
//! have known less than a peer, the checker allows for the longest delay of the network, so that it never reports a
//! node for what it could not see.

mod history;
#[allow(missing_docs)] // Fields of events are not all documented yet.
pub mod observations;
mod rules;
pub mod violation;

use sloewick_decision::api::Micros;

use crate::requirements::Requirements;
use history::History;
use observations::Observation;
use rules::{Check, Finding};
pub use violation::{Rule, Violation};

/// Violations kept of one run.
const MAX_VIOLATIONS: usize = 50;

/// Requests whose client disconnected before their answer, and how many attempts of those began over 0.1 s later, and
/// later than is ever allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisconnectStatistics {
    /// Requests whose client disconnected before their answer.
    pub requests: u64,
    /// Attempts for these that began over 0.1 s after the disconnection.
    pub late: u64,
    /// Attempts for these that began later than is ever allowed.
    pub sent_on: u64,
}

/// Figures that checks collect besides violations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statistics {
    /// Attempts for clients that had disconnected.
    pub disconnects: DisconnectStatistics,
    /// The most that a server that is warming up was sent by all nodes, as a fraction of what it can take.
    pub max_cold_load: f64,
}

/// Checks observations against the rules; owns the history of the run and the violations found.
pub struct Checker {
    history: History,
    checks: Vec<Box<dyn Check>>,
    /// Violations so far, at most `MAX_VIOLATIONS`.
    pub violations: Vec<Violation>,
    /// Observations so far.
    pub checked: u64,
}

impl Checker {
    /// A checker for a run with these requirements.
    pub fn new(requirements: Requirements) -> Checker {
        Checker {
            history: History::new(requirements),
            checks: rules::all(),
            violations: Vec::new(),
            checked: 0,
        }
    }

    /// Whether requests may come from others than the emulated clients; unknown requests are then no violation.
    pub fn allow_unknown_requests(&mut self, allow: bool) {
        self.history.allows_unknown_requests = allow;
    }

    /// A node that rejects all that it gets is a violation from now on.
    pub fn require_service(&mut self) {
        self.checks.push(rules::service());
    }

    /// Whether this node's process is stopped by a signal.
    pub fn is_paused(&self, node: usize) -> bool {
        self.history.is_paused(node)
    }

    /// Adds a violation that was found outside the observations.
    pub fn add(&mut self, violation: Violation) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Takes up an observation; they come in the order of their times.
    pub fn observe(&mut self, observation: &Observation) {
        self.checked += 1;
        self.advance(observation.at);
        self.history.log(observation);
        self.run_checks(|check, history| check.observe(observation, history));
        self.history.apply(observation);
    }

    /// Ends the run at this time: reports what is still due.
    pub fn finish(&mut self, now: Micros) {
        self.advance(now);
        self.run_checks(|check, history| check.finish(now, history));
    }

    /// The figures collected so far.
    pub fn statistics(&self) -> Statistics {
        let mut statistics = Statistics::default();
        for check in &self.checks {
            check.collect(&mut statistics);
        }
        statistics
    }

    fn advance(&mut self, now: Micros) {
        self.run_checks(|check, history| check.advance(now, history));
        self.history.forget_old_requests(now);
    }

    fn run_checks<F: IntoIterator<Item = Finding>>(
        &mut self,
        mut run: impl FnMut(&mut dyn Check, &History) -> F,
    ) {
        let mut checks = std::mem::take(&mut self.checks);
        for check in &mut checks {
            let rule = check.rule();
            for finding in run(check.as_mut(), &self.history) {
                self.report(rule, finding);
            }
        }
        self.checks = checks;
    }

    fn report(&mut self, rule: Rule, finding: Finding) {
        let request = finding.request.as_ref();
        let around = request.map_or(Vec::new(), |id| self.history.observations_of(id));
        self.add(Violation {
            rule,
            at: finding.at,
            id: finding.request,
            why: finding.why,
            around,
        });
    }
}
