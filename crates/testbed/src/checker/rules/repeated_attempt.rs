//! Once an attempt of a request may have run, the request is attempted again only as its class allows.

use crate::checker::history::{Attempt, History};
use crate::checker::observations::{AttemptOutcome, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};
use crate::requirements::Repeat;

/// Once an attempt of a request may have run, the request is attempted again only as its class allows.
pub(super) struct RepeatedAttempt;

impl Check for RepeatedAttempt {
    fn rule(&self) -> Rule {
        Rule::NoEffectTwice
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Attempt { id, first_byte, .. } = &observation.event else {
            return None;
        };
        let request = history.request(id)?;
        let may_have_run = |a: &&Attempt| a.outcome != Some(AttemptOutcome::Rejected);
        let first = request.attempts.iter().find(may_have_run)?.at;
        let sent = first_byte - history.requirements.network_delay;
        match history.repeat(request.class) {
            Repeat::Unsafe => {
                let why = "another attempt of a request that may have run and may not be repeated";
                Some(Finding::of(observation, id, why))
            }
            Repeat::Keyed(window) if sent - first > window => {
                let since = (observation.at - first) / 1000;
                let why = format!("attempted again {since} ms after it may first have run");
                Some(Finding::of(observation, id, why))
            }
            _ => None,
        }
    }
}
