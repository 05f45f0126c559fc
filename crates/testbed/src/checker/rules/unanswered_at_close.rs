//! A node ends a connection only behind the answers to all requests that it has taken.
//!
//! Guards against shutdowns that lose requests. A request is taken once its last byte is written to a connection that the
//! node's machine accepted; a node can't see what is written in the moment in which it closes. So a request that was written
//! up to [`MAX_CROSSING`] before its client saw the end, and went to no server, has crossed it and is its client's to repeat.
//! So is the first one on a connection of which nothing was read, as far as [`super::closed_connections`] allows it.

use sloewick_decision::api::Micros;

use crate::checker::history::{History, Request};
use crate::checker::observations::{Answer, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// How long before its client sees the end of a connection a request may have been written that the node has not read: a node
/// may be held up for so long between reading its clock and writing.
const MAX_CROSSING: Micros = 150_000;

/// A node ends a connection only behind the answers to all requests that it has taken.
pub(super) struct UnansweredAtClose;

impl Check for UnansweredAtClose {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        match &observation.event {
            Event::ClosedUnanswered {
                id,
                node,
                after,
                is_first,
                partial,
            } => {
                let request = owed(history.request(id)?)?;
                // A value that broke off part way may be no fault of the node, and the client can tell.
                if *partial && request.ran() {
                    return None;
                }
                let has_crossed = *after <= MAX_CROSSING || *is_first;
                let why = if !request.attempts.is_empty() {
                    format!("node {node} forwarded it and ended its connection with no answer")
                } else if !has_crossed {
                    format!(
                        "node {node} ended its connection with no answer {} ms after it was written",
                        after / 1000
                    )
                } else {
                    return None;
                };
                Some(Finding::of(observation, id, why))
            }
            // Also where a server reads it only later.
            Event::Attempt { id, .. } => {
                let request = owed(history.request(id)?)?;
                let ended = matches!(
                    request.answered,
                    Some((_, Answer::Ended { partial: false }))
                );
                let why = format!("node {} forwarded what it did not answer", request.node);
                ended.then(|| Finding::of(observation, id, why))
            }
            _ => None,
        }
    }
}

/// A request whose answer is due.
fn owed(request: &Request) -> Option<&Request> {
    (!request.excused && request.disconnected.is_none()).then_some(request)
}
