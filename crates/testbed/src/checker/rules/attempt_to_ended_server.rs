//! A node sends no new request to a server later than the grace period after it was notified that the server is draining
//! or removed.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Compares the begin of each attempt with the announcement that its server is draining or removed.
pub(super) struct AttemptToEndedServer;

impl Check for AttemptToEndedServer {
    fn rule(&self) -> Rule {
        Rule::DrainRespected
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Attempt {
            id,
            server,
            first_byte,
            ..
        } = &observation.event
        else {
            return None;
        };
        let node = history.request(id)?.node;
        let sent = first_byte - history.requirements.network_delay;
        let announced = history.knowledge.end_announced(node, *server);
        let due = history.knowledge.end_due(node, *server);
        let since = announced.into_iter().chain(due).min()?;
        if sent - since <= history.requirements.grace {
            return None;
        }
        let notified = if announced == Some(since) {
            "was notified"
        } else {
            "counts as notified"
        };
        let why = format!(
            "node {node} sent to cache server {server} {} ms after it {notified} that the server is draining or removed",
            (sent - since) / 1000
        );
        Some(Finding::of(observation, id, why))
    }
}
