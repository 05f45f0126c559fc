//! Cache servers receive only commands that clients sent.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Cache servers receive only commands that clients sent.
pub(super) struct MalformedCommand;

impl Check for MalformedCommand {
    fn rule(&self) -> Rule {
        Rule::ProtocolAndLifecycle
    }

    fn observe(&mut self, observation: &Observation, _history: &History) -> Option<Finding> {
        let Event::MalformedCommand { server, bytes } = &observation.event else {
            return None;
        };
        let why = format!("cache server {server} received a command that no client sent: {bytes}");
        Some(Finding::without_request(observation, why))
    }
}
