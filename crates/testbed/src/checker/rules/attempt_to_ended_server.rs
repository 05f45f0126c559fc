//! A node sends nothing new to a server later than the grace period after it was announced as draining or gone.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A node sends nothing new to a server later than the grace period after it was announced as draining or gone.
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
        let how = if announced == Some(since) {
            "was told"
        } else {
            "counts as told"
        };
        let why = format!(
            "node {node} sent to box {server} {} ms after it {how} that this drains or is gone",
            (sent - since) / 1000
        );
        Some(Finding::of(observation, id, why))
    }
}
