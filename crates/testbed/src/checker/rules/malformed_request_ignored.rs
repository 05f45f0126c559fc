//! A node answers a malformed request with an error or closes its connection.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A node answers a malformed request with an error or closes its connection.
pub(super) struct MalformedRequestIgnored;

impl Check for MalformedRequestIgnored {
    fn rule(&self) -> Rule {
        Rule::ProtocolAndLifecycle
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::MisbehavingClientIgnored { node, what } = &observation.event else {
            return None;
        };
        if history.has_ended(*node) || history.was_paused_recently(*node, observation.at) {
            return None;
        }
        let why = format!(
            "node {node} neither answered a malformed request nor closed its connection: {what}"
        );
        Some(Finding::without_request(observation, why))
    }
}
