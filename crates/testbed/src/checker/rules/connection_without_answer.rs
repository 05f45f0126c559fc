//! A node does not end a connection before the complete answer to the request on it.

use crate::checker::history::History;
use crate::checker::observations::{Answer, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};
use crate::requirements::Repeat;

/// A node does not end a connection before the complete answer to the request on it.
pub(super) struct ConnectionWithoutAnswer;

impl Check for ConnectionWithoutAnswer {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Answered {
            id,
            answer: Answer::Ended { partial },
        } = &observation.event
        else {
            return None;
        };
        let request = history.request(id).filter(|r| r.answered.is_none())?;
        // A server may have broken off the value, which the node passes on; the client can detect that.
        let is_truncated_value = *partial && request.was_executed();
        // The node may have closed an idle connection before it could read the request. Clients send only requests again
        // that may be repeated; for those the check of resent requests finds out whether the node had read them.
        let crossed = !partial
            && request.attempts.is_empty()
            && history.repeat(request.class) == Repeat::Unsafe;
        if is_truncated_value || crossed || request.excused || history.has_ended(request.node) {
            return None;
        }
        let why = format!(
            "node {} ended the connection without a complete answer",
            request.node
        );
        Some(Finding::of(observation, id, why))
    }
}
