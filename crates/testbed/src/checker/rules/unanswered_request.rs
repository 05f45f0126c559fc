//! Each request receives its final answer within the time for which its client waits.

use std::collections::BTreeMap;

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Id, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// Requests by the time at which their answer is due.
#[derive(Default)]
pub(super) struct UnansweredRequest {
    due: BTreeMap<Micros, Vec<Id>>,
}

impl Check for UnansweredRequest {
    fn rule(&self) -> Rule {
        Rule::NoRequestLost
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        if let Event::RequestSent { id, budget, .. } = &observation.event {
            let limits = &history.requirements;
            let due = observation.at + budget + limits.slack + 2 * limits.network_delay;
            self.due.entry(due).or_default().push(id.clone());
        }
        None
    }

    fn advance(&mut self, now: Micros, history: &History) -> Vec<Finding> {
        let mut findings = Vec::new();
        while let Some(entry) = self.due.first_entry().filter(|e| *e.key() < now) {
            let (at, ids) = entry.remove_entry();
            for id in ids {
                findings.extend(unanswered(at, id, history));
            }
        }
        findings
    }
}

/// A finding if a request whose answer was due at this time has none.
fn unanswered(at: Micros, id: Id, history: &History) -> Option<Finding> {
    let request = history.request(&id)?;
    if request.answered.is_some() || request.disconnected.is_some() || request.excused {
        return None;
    }
    let (node, limit) = (request.node, request.budget / 1000);
    Some(Finding {
        at,
        request: Some(id),
        why: format!("no answer from node {node} within {limit} ms"),
    })
}
