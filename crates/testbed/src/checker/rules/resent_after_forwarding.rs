//! A node does not close a connection without an answer after it has forwarded the request on it.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A node does not close a connection without an answer after it has forwarded the request on it.
pub(super) struct ResentAfterForwarding;

impl Check for ResentAfterForwarding {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Resent { id, .. } = &observation.event else {
            return None;
        };
        let request = history.request(id)?;
        let node = request.node;
        if request.attempts.is_empty() || request.excused || history.has_ended(node) {
            return None;
        }
        let why =
            format!("node {node} forwarded it and then closed its connection without an answer");
        Some(Finding::of(observation, id, why))
    }
}
