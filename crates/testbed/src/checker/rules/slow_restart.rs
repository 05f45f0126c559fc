//! At least nine in ten restarted processes become ready in time.

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Longest time from the start of a restarted process until it is ready.
const MAX_READY_TIME: Micros = 10_000_000;
/// The same for a process that was observed for less than [`MAX_READY_TIME`].
const MAX_READY_TIME_CUT_SHORT: Micros = 6_000_000;

/// A process of a node that is not the node's first one.
#[derive(Debug)]
struct Restart {
    node: usize,
    /// When it started.
    at: Micros,
    /// Time from its start until it answered PING; None until then.
    ready_after: Option<Micros>,
    /// Time for which it was observed; None while it still is.
    observed_for: Option<Micros>,
}

impl Restart {
    /// Whether it became ready too late; None if it was not observed for long enough to tell.
    fn is_late(&self, now: Micros) -> Option<bool> {
        let observed_for = self.observed_for.unwrap_or(now - self.at);
        let limit = if observed_for >= MAX_READY_TIME {
            MAX_READY_TIME
        } else {
            MAX_READY_TIME_CUT_SHORT
        };
        let known = self.ready_after.is_some() || observed_for >= limit;
        known.then(|| self.ready_after.is_none_or(|after| after > limit))
    }
}

/// All restarts of the run.
#[derive(Default)]
pub(super) struct SlowRestart {
    restarts: Vec<Restart>,
}

impl SlowRestart {
    /// Ends the observation of a node's process, which ends, is suspended or is started again.
    fn observed_until(&mut self, node: usize, at: Micros) {
        if let Some(restart) = self.restarts.iter_mut().rfind(|r| r.node == node) {
            restart.observed_for.get_or_insert(at - restart.at);
        }
    }

    fn ready(&mut self, node: usize, at: Micros) {
        let restart = self
            .restarts
            .iter_mut()
            .rfind(|r| r.node == node && r.observed_for.is_none());
        if let Some(restart) = restart {
            restart.ready_after.get_or_insert(at - restart.at);
        }
    }
}

impl Check for SlowRestart {
    fn rule(&self) -> Rule {
        Rule::ProtocolAndLifecycle
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let at = observation.at;
        match &observation.event {
            Event::NodeReady { node } => self.ready(*node, at),
            Event::NodeStopping { node }
            | Event::NodePaused { node }
            | Event::NodeEnded { node, .. } => self.observed_until(*node, at),
            Event::NodeStarted { node } => {
                self.observed_until(*node, at);
                if history.knowledge.started_before(*node) {
                    self.restarts.push(Restart {
                        node: *node,
                        at,
                        ready_after: None,
                        observed_for: None,
                    });
                }
            }
            _ => {}
        }
        None
    }

    fn finish(&mut self, now: Micros, _history: &History) -> Option<Finding> {
        let known: Vec<(usize, bool)> = self
            .restarts
            .iter()
            .filter_map(|r| Some((r.node, r.is_late(now)?)))
            .collect();
        let late: Vec<usize> = known
            .iter()
            .filter(|(_, late)| *late)
            .map(|(node, _)| *node)
            .collect();
        if late.len() * 10 <= known.len() {
            return None;
        }
        let why = format!(
            "{} of {} restarted processes were not ready within {} s: of nodes {late:?}",
            late.len(),
            known.len(),
            MAX_READY_TIME / 1_000_000
        );
        Some(Finding {
            at: now,
            request: None,
            why,
        })
    }
}
