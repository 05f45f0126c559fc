//! Which fraction of the requests that may need the origin is admitted while it is overloaded, and how fast
//! the fraction rises again afterwards.
//!
//! It is a fraction of the requests and not a number of them: the fractions of all nodes add up to a fraction
//! of the fleet's load, however many nodes there are and however uneven their traffic is. Each node lowers
//! and raises its own by its own evidence, so not all of them do so at one instant.
//!
//! Guarantees: the fraction lies between `MIN_FRACTION` and 1. From the minimum it reaches 1 within five
//! seconds without an overload, and within two if the last overload began while it was 1, as long as requests
//! come: between two requests it moves by a second's worth at most, so that a process that was stopped
//! resumes with the state that it had, and continues from there. While no time passes it does not move.

use crate::detector::Micros;

/// The least fraction: what still goes to see whether the overload is over. All nodes together then send a
/// fiftieth of the usual requests.
const MIN_FRACTION: f64 = 0.02;
/// The fraction above which it falls fast. An origin that is eight times slower and usually serves less than
/// half of what it can still bears a quarter of the usual fetches; a fifth lets its queue run empty, while
/// caches hold popular keys.
const FAST_FALL_ABOVE: f64 = 0.2;
/// The time in which the fraction falls to 1/e: about what detection takes; and below `FAST_FALL_ABOVE`,
/// which only a load that stays too high reaches.
const FALL_TIME: f64 = 1_000_000.0;
const SLOW_FALL_TIME: f64 = 20_000_000.0;
/// The time in which it rises by e, up to half of the fraction at which the last overload began, and beyond:
/// a new overload would be detected within the second.
const RISE_TIME: f64 = 500_000.0;
const SLOW_RISE_TIME: f64 = 1_000_000.0;
/// Longest time between two requests that counts as time in which the state was held.
const MAX_STEP: Micros = 1_000_000;

/// The admitted fraction of one node. See the module.
#[derive(Clone, Debug)]
pub struct AdmissionRamp {
    fraction: f64,
    /// Half of the fraction at which the last overload began.
    fast_rise_below: f64,
    overloaded: bool,
    updated: Micros,
}

impl AdmissionRamp {
    /// Everything is admitted.
    pub fn new(now: Micros) -> AdmissionRamp {
        AdmissionRamp {
            fraction: 1.0,
            fast_rise_below: 1.0,
            overloaded: false,
            updated: now,
        }
    }

    /// The fraction to admit now, while the origin is overloaded or not.
    pub fn admitted_fraction(&mut self, now: Micros, overloaded: bool) -> f64 {
        let elapsed = (now - self.updated).clamp(0, MAX_STEP) as f64;
        self.updated = self.updated.max(now);
        if overloaded && !self.overloaded {
            // One overload in calm says nothing of the usual load; one that begins during the rise does.
            self.fast_rise_below = if self.fraction >= 1.0 {
                1.0
            } else {
                self.fraction / 2.0
            };
        }
        self.overloaded = overloaded;
        let exponent = match overloaded {
            true if self.fraction > FAST_FALL_ABOVE => -elapsed / FALL_TIME,
            true => -elapsed / SLOW_FALL_TIME,
            false if self.fraction < self.fast_rise_below => elapsed / RISE_TIME,
            false => elapsed / SLOW_RISE_TIME,
        };
        self.fraction = (self.fraction * exponent.exp()).clamp(MIN_FRACTION, 1.0);
        self.fraction
    }
}

#[cfg(test)]
#[path = "admission_ramp_tests.rs"]
mod tests;
