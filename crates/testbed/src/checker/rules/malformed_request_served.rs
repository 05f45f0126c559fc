//! A node does not serve a malformed request.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A node does not serve a malformed request.
pub(super) struct MalformedRequestServed;

impl Check for MalformedRequestServed {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, _history: &History) -> Option<Finding> {
        let Event::MisbehavingClientEnded {
            node, served: true, ..
        } = &observation.event
        else {
            return None;
        };
        let why = format!("node {node} served a malformed request");
        Some(Finding::without_request(observation, why))
    }
}
