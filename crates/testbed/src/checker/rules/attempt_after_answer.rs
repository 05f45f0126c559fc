//! No attempt of a request begins after its final answer.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// No attempt of a request begins after its final answer.
pub(super) struct AttemptAfterAnswer;

impl Check for AttemptAfterAnswer {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Attempt { id, first_byte, .. } = &observation.event else {
            return None;
        };
        let (answered, _) = history.request(id)?.answered.as_ref()?;
        let sent = first_byte - history.requirements.network_delay;
        if sent > *answered {
            return Some(Finding::of(
                observation,
                id,
                "attempt began after the final answer",
            ));
        }
        None
    }
}
