//! The checker decides from the observations of the nodes' peers whether the nodes kept the rules of the service.
//!
//! [`observations`] defines what a peer can report, [`violation`] defines the rules, and `rules` has one file for each
//! check. The checker has no input from the nodes themselves. Times are those of the peers. Where a node may have learned
//! of an event later than a peer, the checker allows for the longest delay of the network, so that it reports no node for
//! something that the node could not know yet.

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

/// Largest number of violations that are stored for one run; further ones are dropped.
const MAX_VIOLATIONS: usize = 50;

/// Counts of requests whose client disconnected before the answer, and of the attempts that began afterwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisconnectStatistics {
    /// Requests whose client disconnected before their answer.
    pub requests: u64,
    /// Attempts of these requests that began over 0.1 s after the disconnection.
    pub late: u64,
    /// Attempts of these requests that began after the longest delay that is allowed.
    pub sent_on: u64,
}

/// Statistics that checks collect besides violations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statistics {
    /// Attempts of requests whose clients had disconnected.
    pub disconnects: DisconnectStatistics,
    /// Highest load that all nodes together sent to a server during its slow start, as a fraction of its capacity.
    pub max_cold_load: f64,
}

/// Checks observations against the rules. It owns the history of the run and the violations found.
pub struct Checker {
    history: History,
    checks: Vec<Box<dyn Check>>,
    /// Violations found so far, at most `MAX_VIOLATIONS`.
    pub violations: Vec<Violation>,
    /// Number of observations checked so far.
    pub checked: u64,
}

impl Checker {
    /// Creates a checker for a run with these requirements.
    pub fn new(requirements: Requirements) -> Checker {
        Checker {
            history: History::new(requirements),
            checks: rules::all(),
            violations: Vec::new(),
            checked: 0,
        }
    }

    /// Sets whether others than the emulated clients may send requests. If so, unknown requests are no violation.
    pub fn allow_unknown_requests(&mut self, allow: bool) {
        self.history.allows_unknown_requests = allow;
    }

    /// Also checks from now on that nodes do not reject all requests that they receive.
    pub fn require_service(&mut self) {
        self.checks.push(rules::service());
    }

    /// Whether this node's process is suspended (SIGSTOP).
    pub fn is_paused(&self, node: usize) -> bool {
        self.history.is_paused(node)
    }

    /// Adds a violation that was found by other means than observations.
    pub fn add(&mut self, violation: Violation) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Checks an observation. Observations have to be passed in the order of their times.
    pub fn observe(&mut self, observation: &Observation) {
        self.checked += 1;
        self.advance(observation.at);
        self.history.log(observation);
        self.run_checks(|check, history| check.observe(observation, history));
        self.history.apply(observation);
    }

    /// Ends the run at this time and reports violations that can be found only then.
    pub fn finish(&mut self, now: Micros) {
        self.advance(now);
        self.run_checks(|check, history| check.finish(now, history));
    }

    /// The statistics collected so far.
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
