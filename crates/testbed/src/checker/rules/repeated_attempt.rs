//! Once an attempt of a request may have run, the request is attempted again only as its class allows.

use sloewick_decision::api::Micros;

use crate::checker::history::{Attempt, History};
use crate::checker::observations::{AttemptOutcome, Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};
use crate::requirements::Repeat;

/// A node may be held up for this long between reading its clock and writing, beyond the network's delay.
const MAX_HOLD_UP: Micros = 150_000;

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
        let network_delay = history.requirements.network_delay;
        let is_late = |window| {
            let sent = first_byte - network_delay;
            let received = observation.at - network_delay;
            sent - first > window || received - first > window + MAX_HOLD_UP
        };
        match history.repeat(request.class) {
            Repeat::Unsafe => {
                let why = "another attempt of a request that may have run and may not be repeated";
                Some(Finding::of(observation, id, why))
            }
            Repeat::Keyed(window) if is_late(window) => {
                let since = (observation.at - first) / 1000;
                let why = format!("attempted again {since} ms after it may first have run");
                Some(Finding::of(observation, id, why))
            }
            _ => None,
        }
    }
}
