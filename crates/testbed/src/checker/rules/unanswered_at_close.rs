//! A node closes a connection only after it has answered all requests that it has accepted on it.
//!
//! Guards against shutdowns that lose requests. A request is accepted once its last byte is written to a connection that
//! the node's machine accepted. A node cannot see a request that is written at the moment at which it closes the
//! connection. So a request that was written at most [`MAX_CROSSING`] before its client saw the end, and of which no
//! attempt began, has crossed the close, and its client has to retry it. The same holds for the first request on a
//! connection of which the node has read nothing; [`super::closed_connections`] limits the number of those.

use sloewick_decision::api::Micros;

use crate::checker::history::{History, Request};
use crate::checker::observations::{Answer, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Longest time from the writing of a request that the node has not read until its client sees the end of the connection:
/// a node may be delayed for this long between reading its clock and writing.
const MAX_CROSSING: Micros = 150_000;

/// Finds requests whose connection was closed without an answer although the node had accepted them.
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
                let request = pending(history.request(id)?)?;
                // A server may have broken off the value, which the node passes on; the client can detect that.
                if *partial && request.was_executed() {
                    return None;
                }
                let has_crossed = *after <= MAX_CROSSING || *is_first;
                let why = if !request.attempts.is_empty() {
                    format!("node {node} forwarded it and closed its connection without an answer")
                } else if !has_crossed {
                    format!(
                        "node {node} closed its connection without an answer {} ms after it was written",
                        after / 1000
                    )
                } else {
                    return None;
                };
                Some(Finding::of(observation, id, why))
            }
            // An attempt that a server reads only after the connection of its client was closed.
            Event::Attempt { id, .. } => {
                let request = pending(history.request(id)?)?;
                let ended = matches!(
                    request.answered,
                    Some((_, Answer::Ended { partial: false }))
                );
                let why = format!(
                    "node {} forwarded a request that it did not answer",
                    request.node
                );
                ended.then(|| Finding::of(observation, id, why))
            }
            _ => None,
        }
    }
}

/// Returns the request if its answer is still due.
fn pending(request: &Request) -> Option<&Request> {
    (!request.excused && request.disconnected.is_none()).then_some(request)
}
