//! At most one node in ten rejects all that it gets for some seconds, with no attempt in between.

use std::collections::{BTreeMap, BTreeSet};

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Answer, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// For so long, and
const MAX_REJECTING_TIME: Micros = 4_000_000;
/// of so many requests at least.
const MIN_REJECTED: u32 = 15;
/// One node in so many may.
const NODES_PER_REJECTING_NODE: usize = 10;

/// Rejections of a node since its last attempt.
#[derive(Clone, Copy, Debug)]
struct Streak {
    since: Micros,
    rejected: u32,
}

/// At most one node in ten rejects all that it gets for some seconds, with no attempt in between.
#[derive(Default)]
pub(super) struct RejectsEverything {
    nodes: BTreeSet<usize>,
    streaks: BTreeMap<usize, Streak>,
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
            "of {} nodes {:?} rejected all that they got for {} s",
            self.nodes.len(),
            self.rejecting,
            MAX_REJECTING_TIME / 1_000_000
        );
        Some(Finding {
            at: now,
            request: None,
            why,
        })
    }
}
