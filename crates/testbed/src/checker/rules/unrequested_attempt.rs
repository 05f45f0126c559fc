//! Each attempt belongs to a request of a client.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Each attempt belongs to a request of a client.
pub(super) struct UnrequestedAttempt;

impl Check for UnrequestedAttempt {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Attempt { id, .. } = &observation.event else {
            return None;
        };
        if history.request(id).is_some() || history.allows_unknown_requests {
            return None;
        }
        Some(Finding::of(
            observation,
            id,
            "an attempt of a request that no client sent",
        ))
    }
}
