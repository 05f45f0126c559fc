//! No attempt of a request begins long after its client has disconnected.
//!
//! Each attempt that begins later than [`MAX_DELAY`] is a violation, and so is each later than [`SOON`] from the third
//! of a run on: the first two are put down to chance.

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Id, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};
use crate::checker::{DisconnectStatistics, Statistics};

/// Longest time from a client's disconnection to the last attempt of its request, with 50 ms that time limits are
/// longer on sockets.
const MAX_DELAY: Micros = 300_000 + 50_000;
/// Time after which an attempt counts as late.
const SOON: Micros = 100_000;
/// Late attempts of a run that are no violation.
const MAX_LATE_ATTEMPTS: u64 = 2;

/// Counts late attempts.
#[derive(Default)]
pub(super) struct AttemptAfterDisconnect {
    statistics: DisconnectStatistics,
}

impl AttemptAfterDisconnect {
    fn disconnected(&mut self, id: &Id, history: &History) {
        let first =
            |r: &crate::checker::history::Request| r.disconnected.is_none() && r.answered.is_none();
        if history.request(id).is_some_and(first) {
            self.statistics.requests += 1;
        }
    }

    fn attempted(&mut self, delay: Micros) -> Option<String> {
        if delay <= SOON {
            return None;
        }
        self.statistics.late += 1;
        let milliseconds = delay / 1000;
        if delay > MAX_DELAY {
            self.statistics.sent_on += 1;
            return Some(format!(
                "sent on {milliseconds} ms after its client had left"
            ));
        }
        let late = self.statistics.late;
        let limit = SOON / 1000;
        (late > MAX_LATE_ATTEMPTS).then(|| {
            format!(
                "sent on {milliseconds} ms after its client had left, the attempt number {late} that was over \
                 {limit} ms late"
            )
        })
    }
}

impl Check for AttemptAfterDisconnect {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        match &observation.event {
            Event::ClientDisconnected { id } => {
                self.disconnected(id, history);
                None
            }
            Event::Attempt { id, first_byte, .. } => {
                let request = history.request(id)?;
                let disconnected = request.disconnected?;
                // A node that was stopped meanwhile learns of it when it goes on.
                let resumed = history.knowledge.resumed(request.node);
                let known = disconnected.max(resumed.unwrap_or(disconnected));
                // The news of it takes as long to the node as the attempt takes from it.
                let delay = first_byte - 2 * history.requirements.network_delay - known;
                let why = self.attempted(delay)?;
                Some(Finding::of(observation, id, why))
            }
            _ => None,
        }
    }

    fn collect(&self, statistics: &mut Statistics) {
        statistics.disconnects = self.statistics;
    }
}
