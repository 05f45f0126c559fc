//! A node accepts the connections that the load balancer sends to it, including those that arrive after SIGTERM.

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A node accepts the connections that the load balancer sends to it, until its process has ended.
pub(super) struct RefusedConnection;

impl Check for RefusedConnection {
    fn rule(&self) -> Rule {
        Rule::ProtocolAndLifecycle
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::ConnectionRefused { node } = &observation.event else {
            return None;
        };
        if history.has_ended(*node) || history.is_paused(*node) {
            return None;
        }
        let why = format!("node {node} refused a connection that the load balancer sent");
        Some(Finding::without_request(observation, why))
    }
}
