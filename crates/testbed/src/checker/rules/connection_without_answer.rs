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
        // A value that broke off part way may be no fault of the node, and the client can tell.
        let value_broke_off = *partial && request.ran();
        // A connection that the node closes between requests may be crossed by a request that it has not read. Only what
        // may be repeated is sent again, and shows then whether the node had read it.
        let crossed = !partial
            && request.attempts.is_empty()
            && history.repeat(request.class) == Repeat::Unsafe;
        if value_broke_off || crossed || request.excused || history.has_ended(request.node) {
            return None;
        }
        let why = format!(
            "node {} ended the connection with no whole answer",
            request.node
        );
        Some(Finding::of(observation, id, why))
    }
}
