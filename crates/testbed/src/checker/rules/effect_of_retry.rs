//! A client's retry has no effect if an earlier request for the same thing had one.

use std::collections::{HashMap, VecDeque};

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Id, Observation};
use crate::checker::violation::Rule;
use crate::checker::{Check, Finding};

/// How long an effect is stored. This is far longer than the servers' deduplication window, the time until a client's
/// last retry, and the delays of an overloaded origin.
const EFFECT_RETENTION: Micros = 120_000_000;

/// Effects by idempotency key, or by the first request where there is no key.
#[derive(Default)]
pub(super) struct EffectOfRetry {
    effects: HashMap<Id, u32>,
    /// Keys of `effects` with the time of the first effect, oldest first.
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

    /// Counts an effect; returns the number of effects of this key so far.
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
        // The client's own key takes precedence over the key that the origin received.
        let key = request
            .idempotency_key
            .as_ref()
            .or(idempotency_key.as_ref());
        let key = key.unwrap_or(&request.first);
        self.forget_old_effects(observation.at);
        let count = self.count(observation.at, key);
        // A second effect of the same request is reported by the check of repeated effects.
        if count > 1 && request.effects == 0 {
            let why = format!("{key} took effect again, by another request");
            return Some(Finding::of(observation, id, why));
        }
        None
    }
}
