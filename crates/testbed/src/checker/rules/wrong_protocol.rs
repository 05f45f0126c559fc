//! A server is not spoken to in a protocol that it does not speak once all nodes know who has its address.

use std::collections::{BTreeMap, BTreeSet};

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Which nodes run, and which servers were announced wrongly.
#[derive(Default)]
pub(super) struct WrongProtocol {
    running_nodes: BTreeSet<usize>,
    ended_servers: BTreeSet<usize>,
    /// Servers that were announced as started after their end, and when their end was announced last.
    announced_after_end: BTreeMap<usize, Option<Micros>>,
}

impl WrongProtocol {
    fn spoken_to(&self, at: Micros, server: usize, history: &History) -> Option<String> {
        let limits = &history.requirements;
        let is_late = |since: Micros| at - since > limits.grace + 2 * limits.network_delay;
        // A server that is no more may be listed at some address as started later.
        let misled = self
            .announced_after_end
            .values()
            .any(|over| over.is_none_or(|over| !is_late(over)));
        let all_know = self.running_nodes.iter().all(|node| {
            let since = history.knowledge.start_announced(*node, server);
            since.is_some_and(is_late)
        });
        (!misled && all_know).then(|| {
            format!("box {server} was spoken to in the other protocol, and all nodes knew it")
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
                if let Some(over) = self.announced_after_end.get_mut(server) {
                    *over = Some(at);
                }
            }
            Event::WrongProtocol { server } => {
                let why = self.spoken_to(at, *server, history)?;
                return Some(Finding::without_request(observation, why));
            }
            _ => {}
        }
        None
    }
}
