//! Each effect belongs to a request of a client.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Each effect belongs to a request of a client.
pub(super) struct UnrequestedEffect;

impl Check for UnrequestedEffect {
    fn rule(&self) -> Rule {
        Rule::NoEffectTwice
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Effect { id, .. } = &observation.event else {
            return None;
        };
        if history.request(id).is_some() || history.allows_unknown_requests {
            return None;
        }
        Some(Finding::of(
            observation,
            id,
            "an effect of a request that no client sent",
        ))
    }
}
