//! A node sends clients only answers to their requests.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A node sends clients only answers to their requests.
pub(super) struct UnrequestedBytes;

impl Check for UnrequestedBytes {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, _history: &History) -> Option<Finding> {
        let Event::UnsolicitedBytes { node, bytes } = &observation.event else {
            return None;
        };
        let why = format!("node {node} sent bytes that answer no request: {bytes}");
        Some(Finding::without_request(observation, why))
    }
}
