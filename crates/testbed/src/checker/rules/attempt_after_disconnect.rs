//! No attempt of a request begins long after its client has disconnected.
//!
//! An attempt that begins later than [`MAX_DELAY`] is a violation. An attempt that begins later than [`SOON`] is late, and
//! late attempts are violations from the third of a run on, since two may occur by chance.

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Id, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};
use crate::checker::{DisconnectStatistics, Statistics};

/// Longest time from a client's disconnection to the begin of the last attempt of its request. It contains the 50 ms that
/// are added to every time limit for runs on sockets.
const MAX_DELAY: Micros = 300_000 + 50_000;
/// Time from a client's disconnection after which an attempt counts as late.
const SOON: Micros = 100_000;
/// Number of late attempts in a run that are no violation.
const MAX_LATE_ATTEMPTS: u64 = 2;

/// Counts requests whose clients disconnected, and late attempts of them.
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
                "attempt began {milliseconds} ms after the client disconnected"
            ));
        }
        let late = self.statistics.late;
        let limit = SOON / 1000;
        (late > MAX_LATE_ATTEMPTS).then(|| {
            format!(
                "attempt began {milliseconds} ms after the client disconnected: late attempt number {late}, each \
                 over {limit} ms"
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
                // A node that was suspended meanwhile learns of the disconnection when it is resumed.
                let resumed = history.knowledge.resumed(request.node);
                let known = disconnected.max(resumed.unwrap_or(disconnected));
                // One network delay for the disconnection to reach the node, and one for the attempt to reach the
                // server.
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
