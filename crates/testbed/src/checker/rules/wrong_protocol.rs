//! No node uses a protocol that a server does not serve, once all nodes have been notified which server has the address.

use std::collections::{BTreeMap, BTreeSet};

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Which nodes run, and which servers were announced again after their end.
#[derive(Default)]
pub(super) struct WrongProtocol {
    running_nodes: BTreeSet<usize>,
    ended_servers: BTreeSet<usize>,
    /// Servers that were announced as started after their end, with the time of the last announcement that they are
    /// draining or removed; None if there was none since.
    announced_after_end: BTreeMap<usize, Option<Micros>>,
}

impl WrongProtocol {
    /// Describes the use of a protocol that a server does not serve; None if nodes could not know better.
    fn describe_misuse(&self, at: Micros, server: usize, history: &History) -> Option<String> {
        let limits = &history.requirements;
        let is_late = |since: Micros| at - since > limits.grace + 2 * limits.network_delay;
        // The list may name an ended server at the address of this one, as the one that started later.
        let is_misannounced = self
            .announced_after_end
            .values()
            .any(|end| end.is_none_or(|end| !is_late(end)));
        let all_notified = self.running_nodes.iter().all(|node| {
            let since = history.knowledge.start_announced(*node, server);
            since.is_some_and(is_late)
        });
        (!is_misannounced && all_notified).then(|| {
            format!(
                "cache server {server} received another protocol than its own, although all nodes had been notified of \
                 its start"
            )
        })
    }
}

impl Check for WrongProtocol {
    fn rule(&self) -> Rule {
        Rule::ProtocolAndLifecycle
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let at = observation.at;
        match &observation.event {
            Event::NodeStarted { node } => {
                self.running_nodes.insert(*node);
            }
            Event::NodeEnded { node, .. } => {
                self.running_nodes.remove(node);
            }
            Event::ServerEnded { server } => {
                self.ended_servers.insert(*server);
            }
            Event::AnnouncementSent { server, state, .. }
                if state.is_started() && self.ended_servers.contains(server) =>
            {
                self.announced_after_end.insert(*server, None);
            }
            Event::AnnouncementSent { server, .. } => {
                if let Some(end) = self.announced_after_end.get_mut(server) {
                    *end = Some(at);
                }
            }
            Event::WrongProtocol { server } => {
                let why = self.describe_misuse(at, *server, history)?;
                return Some(Finding::without_request(observation, why));
            }
            _ => {}
        }
        None
    }
}
