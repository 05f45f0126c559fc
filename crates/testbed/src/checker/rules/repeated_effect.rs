//! A request takes effect at most once.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A request takes effect at most once.
pub(super) struct RepeatedEffect;

impl Check for RepeatedEffect {
    fn rule(&self) -> Rule {
        Rule::NoEffectTwice
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Effect { id, .. } = &observation.event else {
            return None;
        };
        let effects = history.request(id)?.effects + 1;
        if effects > 1 {
            return Some(Finding::of(
                observation,
                id,
                format!("took effect {effects} times"),
            ));
        }
        None
    }
}
