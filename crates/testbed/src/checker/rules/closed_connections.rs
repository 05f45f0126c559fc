//! At most one in [`REQUESTS_PER_CLOSED_CONNECTION`] requests has its new connection closed without an answer. A node
//! without capacity has to reject requests instead.

use sloewick_decision::api::Micros;

use crate::checker::history::{History, Request};
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Requests of a run for each new connection that may be closed without an answer.
const REQUESTS_PER_CLOSED_CONNECTION: u64 = 200;

/// Counts requests, and those whose new connection was closed before the request was forwarded.
#[derive(Default)]
pub(super) struct ClosedConnections {
    requests: u64,
    closed: u64,
}

impl Check for ClosedConnections {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        match &observation.event {
            Event::RequestSent { .. } => self.requests += 1,
            Event::NewConnectionClosed { id, node }
            | Event::ClosedUnanswered {
                id,
                node,
                is_first: true,
                ..
            } => {
                let unread =
                    |r: &Request| r.attempts.is_empty() && !r.excused && r.disconnected.is_none();
                if history.request(id).is_some_and(unread) && !history.has_ended(*node) {
                    self.closed += 1;
                }
            }
            _ => {}
        }
        None
    }

    fn finish(&mut self, now: Micros, _history: &History) -> Option<Finding> {
        if self.closed * REQUESTS_PER_CLOSED_CONNECTION <= self.requests {
            return None;
        }
        let why = format!(
            "{} of {} requests had their new connection closed without an answer: over one in \
             {REQUESTS_PER_CLOSED_CONNECTION}",
            self.closed, self.requests
        );
        Some(Finding {
            at: now,
            request: None,
            why,
        })
    }
}
