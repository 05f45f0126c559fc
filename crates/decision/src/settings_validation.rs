//! Validation of the settings: rejects those under which the balancer cannot keep its rules.

use crate::api::{CacheMode, Class, Idempotency, Settings};

/// A setting that is out of its bounds, or missing where another one requires it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting {field}: {reason}")]
pub struct InvalidSettings {
    /// Name of the setting, in [`Settings`] or in the settings object; several names are separated by
    /// commas.
    pub field: &'static str,
    /// The condition that the setting must meet.
    pub reason: &'static str,
}

impl Settings {
    /// Rejects settings under which the balancer cannot keep its rules.
    ///
    /// # Errors
    ///
    /// [`InvalidSettings`] for the first invalid setting.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        if self.classes.is_empty() {
            return invalid("classes", "must contain at least one class");
        }
        self.classes.iter().try_for_each(Class::validate)?;
        if self.nodes == 0 {
            return invalid("nodes", "must be at least one");
        }
        if self.max_attempts == 0 {
            return invalid("max_attempts", "must be at least one");
        }
        if self.tick < 0 || self.final_response_grace < 0 || self.drain_grace < 0 {
            return invalid("tick, answer_slack, drain_grace", "must not be negative");
        }
        if self.poll_endpoint_list && self.poll_within <= 0 {
            return invalid(
                "ask_within",
                "must be above zero if the endpoint list is polled",
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
            return invalid("origin_kind", "is required in cache-aside mode");
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
            return invalid(
                "classes",
                "window must be above zero in a class with repeat \"guarded\"",
            );
        }
        let weights = [
            self.priority_weight,
            self.late_weight,
            self.objective_per_work,
        ];
        if !weights.into_iter().all(|weight| weight >= 0.0) {
            return invalid(
                "classes",
                "worth, late_share and aim_stretch must not be negative",
            );
        }
        Ok(())
    }
}

fn invalid(field: &'static str, reason: &'static str) -> Result<(), InvalidSettings> {
    Err(InvalidSettings { field, reason })
}
