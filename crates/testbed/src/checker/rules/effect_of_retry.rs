//! A client's retry takes no effect again where an earlier request for the same thing took effect.

use std::collections::{HashMap, VecDeque};

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Id, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// How long an effect is remembered: far beyond the servers' deduplication window, a client's last retry and an
/// overloaded origin.
const EFFECT_RETENTION: Micros = 120_000_000;

/// Effects by idempotency key, or by the first request where there is no key.
#[derive(Default)]
pub(super) struct EffectOfRetry {
    effects: HashMap<Id, u32>,
    /// When each was first seen, oldest first.
    first_seen: VecDeque<(Micros, Id)>,
}

impl EffectOfRetry {
    fn forget_old_effects(&mut self, now: Micros) {
        let old = |(seen, _): &(Micros, Id)| now - seen > EFFECT_RETENTION;
        while self.first_seen.front().is_some_and(old) {
            if let Some((_, key)) = self.first_seen.pop_front() {
                self.effects.remove(&key);
            }
        }
    }

    /// Counts an effect; how many there were with this one.
    fn count(&mut self, now: Micros, key: &Id) -> u32 {
        let count = self.effects.entry(key.clone()).or_default();
        *count += 1;
        if *count == 1 {
            self.first_seen.push_back((now, key.clone()));
        }
        *count
    }
}

impl Check for EffectOfRetry {
    fn rule(&self) -> Rule {
        Rule::NoEffectTwice
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let Event::Effect {
            id,
            idempotency_key,
        } = &observation.event
        else {
            return None;
        };
        let request = history.request(id)?;
        // The client's key counts, whatever key the origin was sent.
        let key = request
            .idempotency_key
            .as_ref()
            .or(idempotency_key.as_ref());
        let key = key.unwrap_or(&request.first);
        self.forget_old_effects(observation.at);
        let count = self.count(observation.at, key);
        // A second effect of the same request is reported as such.
        if count > 1 && request.effects == 0 {
            let why = format!("{key} took effect again, by another try");
            return Some(Finding::of(observation, id, why));
        }
        None
    }
}
