//! A request that may not be repeated is rejected only when no attempt of it can have run.

use crate::checker::history::History;
use crate::checker::observations::{Answer, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};
use crate::requirements::Repeat;

/// A request that may not be repeated is rejected only when no attempt of it can have run.
pub(super) struct RejectionAfterExecution;

impl Check for RejectionAfterExecution {
    fn rule(&self) -> Rule {
        Rule::NoEffectTwice
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Answered {
            id,
            answer: Answer::Busy(_),
        } = &observation.event
        else {
            return None;
        };
        let request = history.request(id).filter(|r| r.answered.is_none())?;
        let unsafe_to_repeat = history.repeat(request.class) == Repeat::Unsafe;
        if unsafe_to_repeat && request.may_have_run() {
            return Some(Finding::of(
                observation,
                id,
                "rejected although an attempt may have run",
            ));
        }
        None
    }
}
