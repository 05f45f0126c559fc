//! An answer belongs to a request, is the only one, and has the value that a server made for this request.

use crate::checker::history::History;
use crate::checker::observations::{Answer, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// An answer belongs to a request, is the only one, and has the value that a server made for this request.
pub(super) struct InvalidAnswer;

impl Check for InvalidAnswer {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Answered { id, answer } = &observation.event else {
            return None;
        };
        let Some(request) = history.request(id) else {
            let why = "an answer to a request that no client sent";
            return Some(Finding::of(observation, id, why));
        };
        if request.answered.is_some() {
            return Some(Finding::of(observation, id, "a second final answer"));
        }
        match answer {
            Answer::Foreign(value) => {
                let why = format!("served with a value that was not made for it: {value}");
                Some(Finding::of(observation, id, why))
            }
            Answer::Served if !request.was_executed() => Some(Finding::of(
                observation,
                id,
                "served, but no cache server has executed it",
            )),
            _ => None,
        }
    }
}
