//! A request that may not be repeated takes no effect after it was rejected.

use crate::checker::history::History;
use crate::checker::observations::{Answer, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};
use crate::requirements::Repeat;

/// A request that may not be repeated takes no effect after it was rejected.
pub(super) struct EffectAfterRejection;

impl Check for EffectAfterRejection {
    fn rule(&self) -> Rule {
        Rule::NoEffectTwice
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Effect { id, .. } = &observation.event else {
            return None;
        };
        let request = history.request(id)?;
        let rejected = matches!(request.answered, Some((_, Answer::Busy(_))));
        if rejected && history.repeat(request.class) == Repeat::Unsafe {
            return Some(Finding::of(
                observation,
                id,
                "took effect although it was rejected",
            ));
        }
        None
    }
}
