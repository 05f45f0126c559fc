//! A node sends nothing new to a server later than the grace period after it was announced as draining or gone.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A node sends nothing new to a server later than the grace period after it was announced as draining or gone.
pub(super) struct AttemptToEndedServer;

impl Check for AttemptToEndedServer {
    fn rule(&self) -> Rule {
        Rule::DrainsKept
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Attempt {
            id,
            at_box,
            first_byte,
            ..
        } = &observation.event
        else {
            return None;
        };
        let node = history.request(id)?.node;
        let sent = first_byte - history.requirements.way;
        let announced = history.knowledge.end_announced(node, *at_box);
        let due = history.knowledge.end_due(node, *at_box);
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
            "node {node} sent to box {at_box} {} ms after it {how} that this drains or is gone",
            (sent - since) / 1000
        );
        Some(Finding::of(observation, id, why))
    }
}
