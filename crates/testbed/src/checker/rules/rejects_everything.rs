//! At most one node in ten rejects all that it gets for some seconds, with no attempt in between.

use std::collections::{BTreeMap, BTreeSet};

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Answer, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// A node counts as rejecting everything after this time of rejections only, with at least [`MIN_REJECTED`] of them.
const MAX_REJECTING_TIME: Micros = 4_000_000;
/// Least number of rejected requests for a node to count as rejecting everything.
const MIN_REJECTED: u32 = 15;
/// One in this many nodes may reject everything.
const NODES_PER_REJECTING_NODE: usize = 10;

/// Rejections of a node since its last attempt.
#[derive(Clone, Copy, Debug)]
struct Streak {
    /// Time of the first rejection.
    since: Micros,
    rejected: u32,
}

/// At most one node in ten rejects all that it gets for some seconds, with no attempt in between.
#[derive(Default)]
pub(super) struct RejectsEverything {
    /// All nodes of the run.
    nodes: BTreeSet<usize>,
    streaks: BTreeMap<usize, Streak>,
    /// Nodes that have rejected everything for long enough.
    rejecting: BTreeSet<usize>,
}

impl Check for RejectsEverything {
    fn rule(&self) -> Rule {
        Rule::ProtocolAndLifecycle
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        match &observation.event {
            Event::NodeStarted { node }
            | Event::NodeStopping { node }
            | Event::NodeEnded { node, .. } => {
                self.nodes.insert(*node);
                self.streaks.remove(node);
            }
            Event::Attempt { id, .. } => {
                self.streaks.remove(&history.request(id)?.node);
            }
            Event::Answered {
                id,
                answer: Answer::Busy(_),
            } => {
                let node = history.request(id)?.node;
                let streak = self.streaks.entry(node).or_insert(Streak {
                    since: observation.at,
                    rejected: 0,
                });
                streak.rejected += 1;
                let lasts = observation.at - streak.since;
                if streak.rejected >= MIN_REJECTED && lasts >= MAX_REJECTING_TIME {
                    self.rejecting.insert(node);
                }
            }
            _ => {}
        }
        None
    }

    fn finish(&mut self, now: Micros, _history: &History) -> Option<Finding> {
        if self.rejecting.len() * NODES_PER_REJECTING_NODE <= self.nodes.len() {
            return None;
        }
        let why = format!(
            "nodes {:?} of {} rejected all requests for {} s",
            self.rejecting,
            self.nodes.len(),
            MAX_REJECTING_TIME / 1_000_000
        );
        Some(Finding {
            at: now,
            request: None,
            why,
        })
    }
}
