//! Which settings are rejected: those under which the rules cannot be kept.

use crate::api::{CacheMode, Class, Idempotency, Settings};

/// Settings that do not fit together.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting {field}: {reason}")]
pub struct InvalidSettings {
    /// The setting, by its name in the settings object.
    pub field: &'static str,
    /// Why it cannot be.
    pub reason: &'static str,
}

impl Settings {
    /// Rejects settings under which the rules cannot be kept.
    ///
    /// # Errors
    ///
    /// [`InvalidSettings`] with the first setting that cannot be.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        if self.classes.is_empty() {
            return invalid("classes", "there must be one at least");
        }
        self.classes.iter().try_for_each(Class::validate)?;
        if self.nodes == 0 {
            return invalid("nodes", "there must be one at least");
        }
        if self.max_attempts == 0 {
            return invalid("max_attempts", "there must be one at least");
        }
        if self.tick < 0 || self.answer_slack < 0 || self.drain_grace < 0 {
            return invalid("tick, answer_slack, drain_grace", "must not be negative");
        }
        if self.poll && self.poll_within <= 0 {
            return invalid(
                "ask_within",
                "must be above zero where the list is asked for",
            );
        }
        if !(self.cold_capacity > 0.0 && self.cold_capacity <= 1.0) {
            return invalid("cold_from", "must be above zero and at most one");
        }
        if self.warm_up_time < 0
            || self.overload_window < 0
            || self.overload_multiple.is_nan()
            || self.overload_multiple < 0.0
        {
            return invalid("cold, fall, fall_multiple", "must not be negative");
        }
        if self.mode == CacheMode::CacheAside && self.origin_kind.is_none() {
            return invalid("origin_kind", "aside mode needs the origin's kind");
        }
        Ok(())
    }
}

impl Class {
    fn validate(&self) -> Result<(), InvalidSettings> {
        if self.deadline <= 0 || self.latency_objective <= 0 {
            return invalid("classes", "aim and deadline must be above zero");
        }
        if self.idempotency == Idempotency::Keyed && self.deduplication_window <= 0 {
            return invalid("classes", "a keyed class needs a window above zero");
        }
        let weights = [
            self.priority_weight,
            self.late_weight,
            self.objective_per_work,
        ];
        if !weights.into_iter().all(|weight| weight >= 0.0) {
            return invalid(
                "classes",
                "worth, late worth and stretch must not be negative",
            );
        }
        Ok(())
    }
}

fn invalid(field: &'static str, reason: &'static str) -> Result<(), InvalidSettings> {
    Err(InvalidSettings { field, reason })
}
